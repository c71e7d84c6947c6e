"""What replicas store and send to each other."""

from enum import Enum

import msgspec

from marjoramyard.kernel.ids import ReplicaId


class EntryKind(Enum):
    """What a log entry carries."""

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
    """Who votes, who only receives the log, and where each listens."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    addresses: dict[ReplicaId, str] = {}

    @property
    def members(self) -> tuple[ReplicaId, ...]:
        """Everybody who receives the log."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1

    def with_learner(self, replica: ReplicaId, address: str) -> "Membership":
        """Adds a replica that receives the log and does not vote."""
        addresses = {**self.addresses, replica: address}
        return Membership(self.voters, (*self.learners, replica), addresses)

    def promoted(self, replica: ReplicaId) -> "Membership":
        """Makes a learner a voter."""
        learners = tuple(r for r in self.learners if r != replica)
        return Membership((*self.voters, replica), learners, self.addresses)

    def without(self, replica: ReplicaId) -> "Membership":
        """Removes a replica."""
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
    """What a replica must never forget: its term and its vote in it."""

    term: int = 0
    vote: ReplicaId = ReplicaId("")


class StoredState(msgspec.Struct):
    """What a replica reads from its disk at start."""

    hard: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: list[LogEntry] = []


class VoteRequest(msgspec.Struct, tag="vote", frozen=True):
    """Asks for a vote; a pre-vote only asks whether it would be given."""

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, tag="voted", frozen=True):
    """Answers a vote request."""

    term: int
    granted: bool
    pre: bool = False


class Append(msgspec.Struct, tag="append", frozen=True):
    """Sends entries, or none as a heartbeat.

    Attributes:
        round: Echoed by the reply; a quorum of echoes proves that the
            sender still led when the round began.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: list[LogEntry]
    commit: int
    round: int = 0


class InstallSnapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """Sends the state to a replica whose next entries are compacted."""

    term: int
    snapshot: Snapshot
    round: int = 0


class AppendReply(msgspec.Struct, tag="appended", frozen=True):
    """Answers an append or a snapshot.

    Attributes:
        match: With success, the last index that is the leader's and is
            synced; else where the leader should try again from.
    """

    term: int
    success: bool
    match: int
    round: int = 0


class TimeoutNow(msgspec.Struct, tag="timeout-now", frozen=True):
    """Asks the receiver to stand for election at once."""

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
        reply_to: Where the sender listens; the driver fills it in.
    """

    sender: ReplicaId
    receiver: ReplicaId
    message: Message
    reply_to: str = ""


class Ready(msgspec.Struct):
    """What the driver does next, in this order.

    Attributes:
        hard: To be synced, if set.
        snapshot: To be synced and installed, if set.
        entries: To be synced; they replace all from the first one's index.
        messages: To be sent, but only after all above is synced.
        committed: To be applied.
    """

    hard_state: HardState | None
    snapshot: Snapshot | None
    entries: list[LogEntry]
    messages: list[Envelope]
    committed: list[LogEntry]

    @property
    def is_empty(self) -> bool:
        """There is nothing to do."""
        return not (
            self.hard_state
            or self.snapshot
            or self.entries
            or self.messages
            or self.committed
        )
