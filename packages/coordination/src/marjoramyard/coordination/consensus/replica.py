"""What a replica holds: its term, log, membership and outgoing messages."""

import random
from enum import Enum

import msgspec

from marjoramyard.coordination.consensus.log import ReplicatedLog
from marjoramyard.coordination.consensus.messages import (
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    Membership,
    Message,
    Ready,
    Snapshot,
    StoredState,
)
from marjoramyard.kernel.ids import ReplicaId

NO_REPLICA = ReplicaId("")


class Role(Enum):
    """What a replica is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftTimings(msgspec.Struct, frozen=True):
    """Durations, in ticks of the driver.

    Attributes:
        election: The least time without a leader before an election; each
            wait is drawn between this and twice this.
        heartbeat: The time between a leader's messages.
        max_batch: The most entries in one append.
        first_election: The same as `election`, for a replica that has just
            started and has not heard a leader yet; 0 for no such haste.
    """

    election_ticks: int = 10
    heartbeat_ticks: int = 2
    max_batch_entries: int = 256
    first_election_ticks: int = 0


class Progress(msgspec.Struct):
    """What a leader knows of one member.

    Attributes:
        match: The last index known to be synced there.
        next: The next index to send.
        heard: The tick of its last reply.
        round: The newest round it has echoed.
    """

    match: int = 0
    next: int = 1
    last_reply_tick: int = 0
    round: int = 0


class ReplicaState:
    """The state that elections and replication share."""

    def __init__(
        self,
        replica_id: ReplicaId,
        stored: StoredState,
        timings: RaftTimings,
        rng: random.Random,
    ):
        self.replica_id = replica_id
        self.timings = timings
        self.rng = rng
        self.term = stored.hard.term
        self.vote = stored.hard.vote
        self.log = ReplicatedLog(stored.snapshot, stored.entries)
        self.synced_index = self.log.last_index
        self.commit_index = stored.snapshot.index
        self.applied_index = stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = NO_REPLICA
        self.ticks = 0
        self.leader_contact_tick = -timings.election_ticks
        self.election_tick = 0
        self.votes: dict[ReplicaId, bool] = {}
        self.progress: dict[ReplicaId, Progress] = {}
        self.term_start_index = 0
        self.round = 0
        self.round_requested = False
        self.outbox: list[Envelope] = []
        self.written_hard_state = stored.hard
        self.pending_snapshot: Snapshot | None = None
        self.first_unwritten = self.log.last_index + 1
        self.membership = self._latest_membership()
        self._reset_deadline()

    def _latest_membership(self) -> Membership:
        """A membership entry counts as soon as it is in the log."""
        for entry in reversed(self.log.entries):
            if entry.kind is EntryKind.MEMBERSHIP:
                return msgspec.json.decode(entry.data, type=Membership)
        return self.log.snapshot.membership

    def _membership_is_committed(self) -> bool:
        after = self.log.between(self.commit_index, self.log.last_index)
        return all(e.kind is not EntryKind.MEMBERSHIP for e in after)

    @property
    def is_voter(self) -> bool:
        """Whether this replica may stand for election."""
        return self.replica_id in self.membership.voters

    def _reset_deadline(self) -> None:
        least = self.timings.election_ticks
        if self._uses_first_election_timeout():
            least = self.timings.first_election_ticks
        self.election_tick = self.ticks + self.rng.randint(least, 2 * least)

    def _uses_first_election_timeout(self) -> bool:
        """Whether there is likely no leader at all, as after a power loss.

        All hosts are back at once then, and each waits in vain to hear a
        leader; callers would be refused all that time. If there is a leader
        after all, those who hear it turn the pre-vote down, so haste can't
        depose it.
        """
        never_heard = self.leader_contact_tick < 0
        return (
            self.timings.first_election_ticks > 0
            and never_heard
            and self.ticks < 2 * self.timings.election_ticks
        )

    def _become_follower(self, term: int, leader: ReplicaId) -> None:
        if term > self.term:
            self.term = term
            self.vote = NO_REPLICA
        self.role = Role.FOLLOWER
        self.leader = leader
        self.round_requested = False
        self._reset_deadline()

    def _append_to_log(self, entries: list[LogEntry]) -> None:
        first = entries[0].index
        replaces = first <= self.log.last_index
        self.log.append(entries)
        self.first_unwritten = min(self.first_unwritten, first)
        self.synced_index = min(self.synced_index, first - 1)
        if replaces or any(e.kind is EntryKind.MEMBERSHIP for e in entries):
            # Looked for only then: the log may hold thousands of entries.
            self.membership = self._latest_membership()
        if self.role is Role.LEADER:
            for replica in self.membership.members:
                self.progress.setdefault(
                    replica, Progress(next=first, last_reply_tick=self.ticks)
                )

    def _send(self, receiver: ReplicaId, message: Message) -> None:
        self.outbox.append(Envelope(self.replica_id, receiver, message))

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        if (
            self.role is Role.LEADER
            and self.replica_id not in self.membership.voters
        ):
            if self._membership_is_committed():
                self._become_follower(self.term, NO_REPLICA)

    def compact(self, index: int, data: str) -> Snapshot:
        """Replaces the log up to `index`, which is applied, by a state."""
        term = self.log.term_at(index)
        membership = self.log.snapshot.membership
        for entry in self.log.between(self.log.snapshot.index, index):
            if entry.kind is EntryKind.MEMBERSHIP:
                membership = msgspec.json.decode(entry.data, type=Membership)
        snapshot = Snapshot(index, term or 0, membership, data)
        self.log.compact(snapshot)
        return snapshot

    def take_ready(self) -> Ready:
        """Returns what the driver must do, and counts it as taken."""
        hard = HardState(self.term, self.vote)
        entries = self.log.between(
            self.first_unwritten - 1, self.log.last_index
        )
        ready = Ready(
            hard if hard != self.written_hard_state else None,
            self.pending_snapshot,
            entries,
            self.outbox,
            self.log.between(self.applied_index, self.commit_index),
        )
        self.written_hard_state = hard
        self.pending_snapshot = None
        self.first_unwritten = self.log.last_index + 1
        self.outbox = []
        self.applied_index = self.commit_index
        return ready
