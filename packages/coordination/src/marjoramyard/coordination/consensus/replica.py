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

NOBODY = ReplicaId("")


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

    election: int = 10
    heartbeat: int = 2
    max_batch: int = 256
    first_election: int = 0


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
    heard: int = 0
    round: int = 0


class ReplicaState:
    """The state that elections and replication share."""

    def __init__(
        self,
        me: ReplicaId,
        stored: StoredState,
        timings: RaftTimings,
        rng: random.Random,
    ):
        self.me = me
        self.timings = timings
        self.rng = rng
        self.term = stored.hard.term
        self.vote = stored.hard.vote
        self.log = ReplicatedLog(stored.snapshot, stored.entries)
        self.synced_index = self.log.last_index
        self.commit = stored.snapshot.index
        self.applied = stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader = NOBODY
        self.ticks = 0
        self.heard_leader = -timings.election
        self.deadline = 0
        self.votes: dict[ReplicaId, bool] = {}
        self.progress: dict[ReplicaId, Progress] = {}
        self.term_start = 0
        self.round = 0
        self.wants_round = False
        self.outbox: list[Envelope] = []
        self.hard_written = stored.hard
        self.install: Snapshot | None = None
        self.write_from = self.log.last_index + 1
        self.membership = self._latest_membership()
        self._reset_deadline()

    def _latest_membership(self) -> Membership:
        """A membership entry counts as soon as it is in the log."""
        for entry in reversed(self.log.entries):
            if entry.kind is EntryKind.MEMBERSHIP:
                return msgspec.json.decode(entry.data, type=Membership)
        return self.log.snapshot.membership

    def _membership_is_committed(self) -> bool:
        after = self.log.between(self.commit, self.log.last_index)
        return all(e.kind is not EntryKind.MEMBERSHIP for e in after)

    @property
    def is_voter(self) -> bool:
        """Whether this replica may stand for election."""
        return self.me in self.membership.voters

    def _reset_deadline(self) -> None:
        least = self.timings.election
        if self._may_be_hasty():
            least = self.timings.first_election
        self.deadline = self.ticks + self.rng.randint(least, 2 * least)

    def _may_be_hasty(self) -> bool:
        """Whether there is likely no leader at all, as after a power loss.

        All hosts are back at once then, and each waits in vain to hear a
        leader; callers would be refused all that time. If there is a leader
        after all, those who hear it turn the pre-vote down, so haste can't
        depose it.
        """
        never_heard = self.heard_leader < 0
        return (
            self.timings.first_election > 0
            and never_heard
            and self.ticks < 2 * self.timings.election
        )

    def _become_follower(self, term: int, leader: ReplicaId) -> None:
        if term > self.term:
            self.term = term
            self.vote = NOBODY
        self.role = Role.FOLLOWER
        self.leader = leader
        self.wants_round = False
        self._reset_deadline()

    def _write(self, entries: list[LogEntry]) -> None:
        first = entries[0].index
        replaces = first <= self.log.last_index
        self.log.append(entries)
        self.write_from = min(self.write_from, first)
        self.synced_index = min(self.synced_index, first - 1)
        if replaces or any(e.kind is EntryKind.MEMBERSHIP for e in entries):
            # Looked for only then: the log may hold thousands of entries.
            self.membership = self._latest_membership()
        if self.role is Role.LEADER:
            for replica in self.membership.members:
                self.progress.setdefault(
                    replica, Progress(next=first, heard=self.ticks)
                )

    def _send(self, receiver: ReplicaId, message: Message) -> None:
        self.outbox.append(Envelope(self.me, receiver, message))

    def _commit_to(self, index: int) -> None:
        if index <= self.commit:
            return
        self.commit = index
        if self.role is Role.LEADER and self.me not in self.membership.voters:
            if self._membership_is_committed():
                self._become_follower(self.term, NOBODY)

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
        entries = self.log.between(self.write_from - 1, self.log.last_index)
        ready = Ready(
            hard if hard != self.hard_written else None,
            self.install,
            entries,
            self.outbox,
            self.log.between(self.applied, self.commit),
        )
        self.hard_written = hard
        self.install = None
        self.write_from = self.log.last_index + 1
        self.outbox = []
        self.applied = self.commit
        return ready
