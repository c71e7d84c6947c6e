"""The state of one replica: term, vote, log, membership and outbox."""

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
    """The role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftTimings(msgspec.Struct, frozen=True):
    """Timeouts in driver ticks, and the batch size of replication.

    Attributes:
        election_ticks: The minimum election timeout. Each timeout is drawn
            at random between this value and twice this value.
        heartbeat_ticks: The interval between a leader's heartbeats.
        max_batch_entries: The maximum number of entries in one append.
        max_batch_size: The maximum size of the entries in one append, unless
            a single one is larger. Once as much has been sent to a member
            without a reply, no more entries are.
        first_election_ticks: The minimum election timeout of a replica that
            has started recently and has not had contact with a leader; 0 to
            use `election_ticks`.
    """

    election_ticks: int = 10
    heartbeat_ticks: int = 2
    max_batch_entries: int = 256
    max_batch_size: int = 64 << 20
    first_election_ticks: int = 0


class Progress(msgspec.Struct):
    """A leader's replication progress for one member.

    Attributes:
        match: The highest index known to be synced on the member.
        next: The next index to send.
        last_reply_tick: The tick of the member's last reply.
        round: The latest heartbeat round that the member has acknowledged.
        retried_from: The first index of the last retry; 0 if there was none.
        retried_tick: The tick of the last retry.
        unconfirmed_size: The size of the entries that were sent and not
            acknowledged yet.
    """

    match: int = 0
    next: int = 1
    last_reply_tick: int = 0
    round: int = 0
    retried_from: int = 0
    retried_tick: int = 0
    unconfirmed_size: int = 0


class ReplicaState:
    """The state shared by elections and replication.

    Attributes:
        replica_id: The identity of this replica.
        synced_index: The last log index known to be on disk here.
        commit_index: The last index known to be committed.
        applied_index: The last index handed to the driver to be applied.
        leader: The leader of the current term, if known.
        ticks: The number of driver ticks since the start.
        leader_contact_tick: The tick of the last message from a leader;
            negative if there has been none.
        election_tick: The tick at which an election starts unless a leader
            is in contact before it.
        votes: The replies to the current candidacy, by replica.
        progress: The replication progress of each member, on a leader.
        term_start_index: The index of the leader's first entry in its term.
        round: The current heartbeat round.
        round_requested: Whether another heartbeat round is to start as soon
            as the current one is confirmed.
        outbox: Messages not yet given to the driver.
        written_hard_state: The hard state last given to the driver.
        pending_snapshot: A received snapshot not yet given to the driver.
        first_unwritten: The first index not yet given to the driver.
    """

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
        self._reset_election_timer()

    def _latest_membership(self) -> Membership:
        """Returns the newest membership in the log, committed or not."""
        for entry in reversed(self.log.entries):
            if entry.kind is EntryKind.MEMBERSHIP:
                return msgspec.json.decode(entry.data, type=Membership)
        return self.log.snapshot.membership

    def _membership_is_committed(self) -> bool:
        after = self.log.between(self.commit_index, self.log.last_index)
        return all(e.kind is not EntryKind.MEMBERSHIP for e in after)

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes and may become a candidate."""
        return self.replica_id in self.membership.voters

    def _reset_election_timer(self) -> None:
        min_ticks = self.timings.election_ticks
        if self._uses_first_election_timeout():
            min_ticks = self.timings.first_election_ticks
        self.election_tick = self.ticks + self.rng.randint(
            min_ticks, 2 * min_ticks
        )

    def _uses_first_election_timeout(self) -> bool:
        """Whether to use the shorter election timeout of a recent start.

        If all hosts restart at once, for example after a power loss, there
        is no leader, and requests are refused until one is elected. If there
        is a leader, its followers reject the pre-vote, so the shorter
        timeout cannot depose it.
        """
        no_leader_contact = self.leader_contact_tick < 0
        return (
            self.timings.first_election_ticks > 0
            and no_leader_contact
            and self.ticks < 2 * self.timings.election_ticks
        )

    def _become_follower(self, term: int, leader: ReplicaId) -> None:
        if term > self.term:
            self.term = term
            self.vote = NO_REPLICA
        self.role = Role.FOLLOWER
        self.leader = leader
        self.round_requested = False
        self._reset_election_timer()

    def _append_to_log(self, entries: list[LogEntry]) -> None:
        first = entries[0].index
        replaces = first <= self.log.last_index
        self.log.append(entries)
        self.first_unwritten = min(self.first_unwritten, first)
        self.synced_index = min(self.synced_index, first - 1)
        if replaces or any(e.kind is EntryKind.MEMBERSHIP for e in entries):
            # Scanning the log is expensive; skip it for plain appends.
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
        """Replaces the log up to the applied entry `index` with a snapshot.

        Args:
            index: The last entry that the snapshot covers.
            data: The state of the state machine after that entry.
        """
        term = self.log.term_at(index)
        membership = self.log.snapshot.membership
        for entry in self.log.between(self.log.snapshot.index, index):
            if entry.kind is EntryKind.MEMBERSHIP:
                membership = msgspec.json.decode(entry.data, type=Membership)
        snapshot = Snapshot(index, term or 0, membership, data)
        self.log.compact(snapshot)
        return snapshot

    def take_ready(self) -> Ready:
        """Returns the pending output for the driver and clears it."""
        hard_state = HardState(self.term, self.vote)
        entries = self.log.between(
            self.first_unwritten - 1, self.log.last_index
        )
        ready = Ready(
            hard_state if hard_state != self.written_hard_state else None,
            self.pending_snapshot,
            entries,
            self.outbox,
            self.log.between(self.applied_index, self.commit_index),
        )
        self.written_hard_state = hard_state
        self.pending_snapshot = None
        self.first_unwritten = self.log.last_index + 1
        self.outbox = []
        self.applied_index = self.commit_index
        return ready
