"""Leader election with pre-vote and leadership transfer."""

from marjoramyard.coordination.consensus.messages import (
    EntryKind,
    VoteReply,
    VoteRequest,
)
from marjoramyard.coordination.consensus.replica import (
    NO_REPLICA,
    Progress,
    Role,
)
from marjoramyard.coordination.consensus.replication import Replication
from marjoramyard.kernel.ids import ReplicaId


class Elections(Replication):
    """Requests, grants and counts votes."""

    def _campaign(self, pre: bool, transfer: bool = False) -> None:
        """Starts a pre-vote or an election.

        A pre-vote does not raise the term, so a replica that rejoins after a
        partition does not depose a working leader.

        Args:
            pre: Whether this is a pre-vote.
            transfer: Whether the leader requested the election; voters then
                reply even while they are in contact with it.
        """
        self.leader = NO_REPLICA
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        if not pre:
            self.term += 1
            self.vote = self.replica_id
        self.votes = {self.replica_id: True}
        request = VoteRequest(
            self.term + 1 if pre else self.term,
            self.log.last_index,
            self.log.last_term,
            pre,
            transfer,
        )
        for replica in self.membership.voters:
            if replica != self.replica_id:
                self._send(replica, request)
        self._count_votes()

    def _on_vote_request(self, sender: ReplicaId, request: VoteRequest) -> None:
        ticks_since_contact = self.ticks - self.leader_contact_tick
        has_leader = self.role is Role.LEADER or (
            self.leader != NO_REPLICA
            and ticks_since_contact < self.timings.election_ticks
        )
        if has_leader and not request.transfer:
            # A replica that lost contact must not depose a working leader.
            if request.term > self.term or request.pre:
                self._send(sender, VoteReply(self.term, False, request.pre))
            return
        if not request.pre and request.term > self.term:
            self._become_follower(request.term, NO_REPLICA)
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre:
            granted = request.term > self.term and up_to_date
            term = request.term if granted else self.term
            self._send(sender, VoteReply(term, granted, True))
            return
        free = self.vote in (NO_REPLICA, sender)
        granted = request.term == self.term and free and up_to_date
        if granted:
            self.vote = sender
            self._reset_election_timer()
        self._send(sender, VoteReply(self.term, granted))

    def _on_vote_reply(self, sender: ReplicaId, reply: VoteReply) -> None:
        if not reply.granted and reply.term > self.term:
            self._become_follower(reply.term, NO_REPLICA)
            return
        expected = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        term = self.term + 1 if reply.pre else self.term
        if self.role is not expected or (reply.granted and reply.term != term):
            return
        self.votes[sender] = reply.granted
        self._count_votes()

    def _count_votes(self) -> None:
        granted = sum(
            1 for replica in self.membership.voters if self.votes.get(replica)
        )
        if granted < self.membership.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.replica_id
        self.round = 0
        self.round_requested = False
        self.progress = {
            replica: Progress(
                next=self.log.last_index + 1, last_reply_tick=self.ticks
            )
            for replica in self.membership.members
        }
        self.term_start_index = self.log.last_index + 1
        self._append_as_leader(EntryKind.NOOP, "")
        self._broadcast()
