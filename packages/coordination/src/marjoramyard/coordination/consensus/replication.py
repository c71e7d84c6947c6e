"""Log replication: appends, snapshots, commit index, heartbeat rounds."""

from marjoramyard.coordination.consensus.log import ReplicatedLog
from marjoramyard.coordination.consensus.messages import (
    Append,
    AppendReply,
    EntryKind,
    InstallSnapshot,
    LogEntry,
)
from marjoramyard.coordination.consensus.replica import ReplicaState, Role
from marjoramyard.kernel.ids import ReplicaId

RETRY_TICKS = 2
"""How long after a retry the same rejection causes no other one."""


class Replication(ReplicaState):
    """The leader's and the follower's side of log replication."""

    def is_caught_up(self, replica: ReplicaId) -> bool:
        """Returns whether a member has synced all committed entries."""
        progress = self.progress.get(replica)
        return progress is not None and progress.match >= self.commit_index

    def flush(self) -> None:
        """Sends unsent entries to all members, in batches."""
        if self.role is Role.LEADER:
            for replica in self.membership.members:
                if replica != self.replica_id:
                    self._send_unsent(replica)

    def _append_as_leader(self, kind: EntryKind, data: str) -> int | None:
        if self.role is not Role.LEADER:
            return None
        index = self.log.last_index + 1
        self._append_to_log([LogEntry(index, self.term, kind, data)])
        return index

    def withdraw_unsynced(self) -> None:
        """Removes a leader's proposals that were neither stored nor sent."""
        self.log.truncate(self.synced_index)
        self.first_unwritten = self.log.last_index + 1
        self.membership = self._latest_membership()
        for progress in self.progress.values():
            progress.next = min(progress.next, self.log.last_index + 1)
            progress.unconfirmed_size = 0

    def _broadcast(self) -> None:
        for replica in self.membership.members:
            if replica != self.replica_id:
                self._send_append(replica)

    def _send_unsent(self, replica: ReplicaId) -> None:
        if self._last_to_send(replica) >= self.progress[replica].next:
            self._send_append(replica)

    def _last_to_send(self, replica: ReplicaId) -> int:
        """Returns the last entry of the next append to a member."""
        progress = self.progress[replica]
        after = progress.next - 1
        limit = self.timings.max_batch_size
        if progress.unconfirmed_size >= limit:
            return after
        last = min(self.log.last_index, after + self.timings.max_batch_entries)
        while last > after + 1 and self.log.size_between(after, last) > limit:
            last -= 1
        return last

    def _send_append(self, replica: ReplicaId) -> None:
        progress = self.progress[replica]
        previous = progress.next - 1
        term = self.log.term_at(previous)
        if term is None:
            snapshot = self.log.snapshot
            self._send(
                replica, InstallSnapshot(self.term, snapshot, self.round)
            )
            progress.next = snapshot.index + 1
            return
        last = self._last_to_send(replica)
        entries = self.log.between(previous, last)
        self._send(
            replica,
            Append(
                self.term,
                previous,
                term,
                entries,
                self.commit_index,
                self.round,
            ),
        )
        # Pipelining: assume delivery; a rejection resets `next`.
        progress.next = last + 1
        progress.unconfirmed_size += self.log.size_between(previous, last)

    def _follow_leader(self, leader: ReplicaId) -> None:
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leader_contact_tick = self.ticks
        self._reset_election_timer()

    def _on_append(self, sender: ReplicaId, message: Append) -> None:
        self._follow_leader(sender)
        previous = message.prev_index
        if previous < self.commit_index:
            # Entries up to the commit index match already.
            entries = [
                e for e in message.entries if e.index > self.commit_index
            ]
            previous = min(self.commit_index, previous + len(message.entries))
        elif self.log.term_at(previous) != message.prev_term:
            hint = min(self.log.last_index, previous - 1)
            hint = max(hint, self.commit_index)
            self._send(
                sender, AppendReply(self.term, False, hint, message.round)
            )
            return
        else:
            entries = list(message.entries)
        while entries and self.log.term_at(entries[0].index) == entries[0].term:
            previous = entries.pop(0).index
        if entries:
            self._append_to_log(entries)
            previous = entries[-1].index
        self._commit_to(min(message.commit, previous))
        self._send(
            sender, AppendReply(self.term, True, previous, message.round)
        )

    def _on_snapshot(self, sender: ReplicaId, message: InstallSnapshot) -> None:
        self._follow_leader(sender)
        snapshot = message.snapshot
        if self.log.term_at(snapshot.index) == snapshot.term:
            # The log already holds that entry. Discarding later entries
            # could lose acknowledged, possibly committed ones.
            self._commit_to(snapshot.index)
        elif snapshot.index > self.commit_index:
            self.log = ReplicatedLog(snapshot, [])
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self.synced_index = snapshot.index
            self.first_unwritten = snapshot.index + 1
            self.pending_snapshot = snapshot
            self.membership = snapshot.membership
        self._send(
            sender,
            AppendReply(
                self.term,
                True,
                max(self.commit_index, snapshot.index),
                message.round,
            ),
        )

    def _on_append_reply(self, sender: ReplicaId, reply: AppendReply) -> None:
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.last_reply_tick = self.ticks
        progress.round = max(progress.round, reply.round)
        if reply.success:
            progress.match = max(progress.match, reply.match)
            progress.next = max(progress.next, reply.match + 1)
            progress.unconfirmed_size = self.log.size_between(
                progress.match, progress.next - 1
            )
            self._advance_commit()
            self._send_unsent(sender)
        else:
            self._retry(sender, max(progress.match, reply.match) + 1)
        self._start_round_if_idle()

    def _retry(self, replica: ReplicaId, first: int) -> None:
        """Sends entries again after an append was rejected.

        Appends that are on their way to the member are rejected as well.
        If each of these caused a retry, the same entries would be sent many
        times.

        Args:
            replica: The member.
            first: The index of the first entry that it lacks.
        """
        progress = self.progress[replica]
        is_recent = self.ticks - progress.retried_tick < RETRY_TICKS
        if progress.retried_from == first and is_recent:
            return
        progress.retried_from = first
        progress.retried_tick = self.ticks
        progress.next = first
        progress.unconfirmed_size = 0
        self._send_append(replica)

    def _advance_commit(self) -> None:
        matches = sorted(
            self.synced_index
            if replica == self.replica_id
            else self.progress[replica].match
            for replica in self.membership.voters
        )
        index = matches[-self.membership.quorum]
        # An entry of an earlier term that is stored on a quorum can still be
        # overwritten; it is committed only by a later entry of this term.
        if self.log.term_at(index) == self.term:
            self._commit_to(index)

    def request_round(self) -> int:
        """Requests confirmation that this replica is still the leader.

        Leadership is confirmed once a quorum has acknowledged a heartbeat
        round that started after the request; a read served then cannot be
        stale.

        Returns:
            The round to wait for in `confirmed_round`.
        """
        self.round_requested = True
        self._start_round_if_idle()
        return self.round if not self.round_requested else self.round + 1

    @property
    def confirmed_round(self) -> int:
        """The latest heartbeat round acknowledged by a quorum."""
        rounds = sorted(
            self.round
            if replica == self.replica_id
            else self.progress[replica].round
            for replica in self.membership.voters
            if replica == self.replica_id or replica in self.progress
        )
        quorum = self.membership.quorum
        return rounds[-quorum] if len(rounds) >= quorum else 0

    @property
    def can_serve_reads(self) -> bool:
        """Whether this leader has committed an entry of its own term.

        Before that, a new leader may not know of all committed entries and
        could serve stale reads.
        """
        return (
            self.role is Role.LEADER
            and self.commit_index >= self.term_start_index
        )

    def _start_round_if_idle(self) -> None:
        if self.role is Role.LEADER and self.round_requested:
            if self.confirmed_round >= self.round:
                self.round_requested = False
                self.round += 1
                self._broadcast()

    def mark_synced(self) -> None:
        """Records that the output of the last `take_ready()` is on disk."""
        self.synced_index = self.log.last_index
        if (
            self.role is Role.LEADER
            and self.replica_id in self.membership.voters
        ):
            self._advance_commit()
