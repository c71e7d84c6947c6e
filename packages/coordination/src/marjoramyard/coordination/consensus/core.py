"""The Raft core: processes ticks and messages, outputs messages and writes."""

import msgspec

from marjoramyard.coordination.consensus.elections import Elections
from marjoramyard.coordination.consensus.messages import (
    Append,
    AppendReply,
    EntryKind,
    Envelope,
    InstallSnapshot,
    Membership,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from marjoramyard.coordination.consensus.replica import NO_REPLICA, Role


class RaftCore(Elections):
    """One Raft replica without I/O; a driver feeds it ticks and messages.

    After each input the driver calls `take_ready()`, writes and syncs the
    returned state, calls `mark_synced()`, sends the messages and applies the
    committed entries.
    """

    def change_membership(self, membership: Membership) -> int | None:
        """Proposes a membership that differs by at most one voter.

        The previous change must be committed first, because two changes in
        progress could form quorums that do not overlap. An entry of the
        current term must be committed too, because an uncommitted change of
        an earlier leader could otherwise take effect concurrently.

        Returns:
            The log index of the change, or None if this replica is not a
            leader that may make the change now.
        """
        changed_voters = set(membership.voters) ^ set(self.membership.voters)
        if not self.can_serve_reads or len(changed_voters) > 1:
            return None
        if not self._membership_is_committed() or not membership.voters:
            return None
        data = msgspec.json.encode(membership).decode()
        return self._append_as_leader(EntryKind.MEMBERSHIP, data)

    def tick(self) -> None:
        """Advances the clock by one tick."""
        self.ticks += 1
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self.ticks >= self.election_tick:
            self._reset_election_timer()
            if self.is_voter:
                self._campaign(pre=True)

    def _tick_leader(self) -> None:
        if self.ticks % self.timings.heartbeat_ticks == 0:
            self._broadcast()
        if self.ticks % self.timings.election_ticks == 0:
            self._check_quorum()

    def _check_quorum(self) -> None:
        """Steps down if no quorum replied within the election timeout.

        A partitioned leader would otherwise keep accepting proposals that
        cannot be committed.
        """
        since = self.ticks - self.timings.election_ticks
        responding = sum(
            1
            for replica in self.membership.voters
            if replica == self.replica_id
            or self.progress[replica].last_reply_tick > since
        )
        if responding < self.membership.quorum:
            self._become_follower(self.term, NO_REPLICA)

    def propose(self, data: str) -> int | None:
        """Appends a command; returns its index, or None if not the leader."""
        if self.role is not Role.LEADER:
            return None
        return self._append_as_leader(EntryKind.COMMAND, data)

    def transfer_leadership(self) -> bool:
        """Asks the most up-to-date voter to start an election at once.

        Returns:
            Whether the request was queued; False if this replica is not the
            leader or there is no other voter.
        """
        others = (
            [r for r in self.membership.voters if r != self.replica_id]
            if self.role is Role.LEADER
            else []
        )
        if not others:
            return False
        best = max(others, key=lambda r: self.progress[r].match)
        self._send(best, TimeoutNow(self.term))
        return True

    def receive(self, envelope: Envelope) -> None:
        """Handles a message; drops it if addressed to another replica.

        A host that lost its disk gets a new replica ID. It has no record of
        the votes cast under the old ID, so handling messages to that ID could
        produce a second vote in the same term and elect two leaders.
        """
        if envelope.receiver != self.replica_id:
            return
        sender, message = envelope.sender, envelope.message
        if isinstance(message, VoteRequest):
            self._on_vote_request(sender, message)
            return
        if isinstance(message, VoteReply):
            self._on_vote_reply(sender, message)
            return
        if message.term < self.term:
            if isinstance(message, Append | InstallSnapshot):
                self._send(sender, AppendReply(self.term, False, 0))
            return
        if message.term > self.term:
            self._become_follower(message.term, NO_REPLICA)
        if isinstance(message, Append):
            self._on_append(sender, message)
        elif isinstance(message, InstallSnapshot):
            self._on_snapshot(sender, message)
        elif isinstance(message, AppendReply):
            self._on_append_reply(sender, message)
        elif isinstance(message, TimeoutNow) and self.is_voter:
            self._campaign(pre=False, transfer=True)
