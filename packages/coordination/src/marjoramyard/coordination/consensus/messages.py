"""The data that replicas store and exchange."""

from enum import Enum

import msgspec

from marjoramyard.kernel.ids import ReplicaId


class EntryKind(Enum):
    """The type of a log entry's payload."""

    COMMAND = "c"
    MEMBERSHIP = "m"
    NOOP = "n"


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log; `data` is JSON text."""

    index: int
    term: int
    kind: EntryKind
    data: str = ""


class Membership(msgspec.Struct, frozen=True):
    """The voters, the learners and the addresses of a cluster."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    addresses: dict[ReplicaId, str] = {}

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """All replicas that receive the log."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, replica: ReplicaId, address: str) -> "Membership":
        """Returns a membership with a new, non-voting replica."""
        addresses = {**self.addresses, replica: address}
        return Membership(self.voters, (*self.learners, replica), addresses)

    def promoted(self, replica: ReplicaId) -> "Membership":
        """Returns a membership in which a learner has become a voter."""
        learners = tuple(r for r in self.learners if r != replica)
        return Membership((*self.voters, replica), learners, self.addresses)

    def without(self, replica: ReplicaId) -> "Membership":
        """Returns a membership without a replica."""
        return Membership(
            tuple(r for r in self.voters if r != replica),
            tuple(r for r in self.learners if r != replica),
            {r: a for r, a in self.addresses.items() if r != replica},
        )


class Snapshot(msgspec.Struct, frozen=True):
    """The state machine's state after the entry at `index`."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: str = ""


class HardState(msgspec.Struct, frozen=True):
    """The current term and vote; must be synced before messages are sent."""

    term: int = 0
    vote: ReplicaId = ReplicaId("")


class StoredState(msgspec.Struct):
    """The state that a replica loads from disk at startup."""

    hard: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: list[LogEntry] = []


class VoteRequest(msgspec.Struct, tag="vote", frozen=True):
    """Requests a vote, or a pre-vote, which does not raise the term."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, tag="voted", frozen=True):
    """The reply to a vote request."""

    term: int
    granted: bool
    pre: bool = False


class Append(msgspec.Struct, tag="append", frozen=True):
    """Replicates entries; without entries it is a heartbeat.

    Attributes:
        prev_index: The index before the first entry.
        prev_term: The term of the entry at `prev_index`.
        commit: The leader's commit index.
        round: The heartbeat round, returned in the reply. Replies from a
            quorum confirm that the sender was the leader when the round
            started.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: list[LogEntry]
    commit: int
    round: int = 0


class InstallSnapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """Replaces the log of a replica that needs compacted entries."""

    term: int
    snapshot: Snapshot
    round: int = 0


class AppendReply(msgspec.Struct, tag="appended", frozen=True):
    """The reply to an append or a snapshot.

    Attributes:
        match: On success, the last synced index that matches the leader's
            log; otherwise the index after which the leader should retry.
    """

    term: int
    success: bool
    match: int
    round: int = 0


class TimeoutNow(msgspec.Struct, tag="timeout-now", frozen=True):
    """Asks the receiver to start an election at once."""

    term: int


Message = (
    VoteRequest
    | VoteReply
    | Append
    | InstallSnapshot
    | AppendReply
    | TimeoutNow
)


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message between two replicas.

    Attributes:
        reply_to: The sender's address; set by the driver.
    """

    sender: ReplicaId
    receiver: ReplicaId
    message: Message
    reply_to: str = ""


class Ready(msgspec.Struct):
    """The pending output of a replica, to be processed in this order.

    Attributes:
        hard_state: To be written and synced, if set.
        snapshot: To be written, synced and installed, if set.
        entries: To be written and synced; they replace all stored entries
            from the first one's index onwards.
        messages: To be sent once everything above is synced.
        committed: To be applied to the state machine.
    """

    hard_state: HardState | None
    snapshot: Snapshot | None
    entries: list[LogEntry]
    messages: list[Envelope]
    committed: list[LogEntry]

    @property
    def is_empty(self) -> bool:
        """Whether there is no pending output."""
        return not (
            self.hard_state
            or self.snapshot
            or self.entries
            or self.messages
            or self.committed
        )
