"""The replica as a state machine: messages in, messages and writes out."""

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
    """One replica. The driver feeds it ticks and messages.

    After each input the driver takes `take_ready()`, syncs what it says,
    calls `synced()`, sends the messages and applies what is committed.
    """

    def change_membership(self, membership: Membership) -> int | None:
        """Proposes a change by one member; None if it can't be now.

        Two changes at once could make quorums that do not overlap, so one
        must be committed before the next; and nothing is changed before an
        entry of this term is committed, or an older leader's uncommitted
        change could come back beside it.
        """
        moved = set(membership.voters) ^ set(self.membership.voters)
        if not self.can_serve_reads or len(moved) > 1:
            return None
        if not self._membership_is_committed() or not membership.voters:
            return None
        data = msgspec.json.encode(membership).decode()
        return self._append_as_leader(EntryKind.MEMBERSHIP, data)

    def tick(self) -> None:
        """One unit of time has passed."""
        self.ticks += 1
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self.ticks >= self.election_tick:
            self._reset_deadline()
            if self.is_voter:
                self._campaign(pre=True)

    def _tick_leader(self) -> None:
        if self.ticks % self.timings.heartbeat_ticks == 0:
            self._broadcast()
        if self.ticks % self.timings.election_ticks == 0:
            self._check_quorum()

    def _check_quorum(self) -> None:
        """Steps down when a quorum has been silent.

        A leader that is cut off would go on taking proposals that can never
        commit, and its callers would wait; it must notice by itself.
        """
        since = self.ticks - self.timings.election_ticks
        heard = sum(
            1
            for replica in self.membership.voters
            if replica == self.replica_id
            or self.progress[replica].last_reply_tick > since
        )
        if heard < self.membership.quorum:
            self._become_follower(self.term, NO_REPLICA)

    def propose(self, data: str) -> int | None:
        """Appends a command; returns its index, or None if not leader."""
        if self.role is not Role.LEADER:
            return None
        return self._append_as_leader(EntryKind.COMMAND, data)

    def transfer_leadership(self) -> bool:
        """Hands over to the member that has most of the log."""
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
        """Handles a message; one meant for another replica is dropped.

        A host whose disk was wiped has a new replica id. What is addressed
        to its old id must not reach it: it has forgotten its old votes, and
        voting again in the same term could elect two leaders.
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
