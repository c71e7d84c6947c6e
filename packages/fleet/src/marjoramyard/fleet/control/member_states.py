"""What the leader knows of the members of the cluster."""

from collections import Counter
from collections.abc import Mapping
from enum import Enum

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.fleet.sync_messages import ControlHost
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)


class MemberState(Enum):
    """Whether a member can take part in decisions."""

    ACTIVE = "active"
    LOST = "lost"
    """Its disk is lost, or it has not been heard of for long."""
    WITHOUT_REPLICA = "without-replica"
    """Its host runs, but holds no replica of the cluster yet."""


def member_states(
    membership: Membership,
    lost: set[ReplicaId],
    hosts: Mapping[str, ControlHost],
) -> dict[ReplicaId, MemberState]:
    """Returns the state of each member.

    Args:
        membership: The members.
        lost: Those that are considered lost.
        hosts: The last announcement of each other host, by address.
    """
    states = {}
    for replica in membership.members:
        host = hosts.get(membership.addresses.get(replica, ""))
        states[replica] = MemberState.ACTIVE
        if replica in lost:
            states[replica] = MemberState.LOST
        elif host is not None and not host.cluster:
            states[replica] = MemberState.WITHOUT_REPLICA
    return states


class MemberReport:
    """Logs the states of the members when they change.

    Attributes:
        states: The states that were last reported, by replica.
        voters: The number of voters by state.
    """

    def __init__(self):
        self.states: dict[ReplicaId, MemberState] = {}
        self.voters: Counter[MemberState] = Counter()

    def update(
        self, membership: Membership, states: dict[ReplicaId, MemberState]
    ) -> None:
        """Reports the states if they differ from the last ones."""
        self.voters = Counter(states[voter] for voter in membership.voters)
        if states == self.states:
            return
        self.states = states
        active = self.voters[MemberState.ACTIVE]
        logger.info(
            "cluster_members",
            voters=len(membership.voters),
            active=active,
            spare=active - membership.quorum,
            not_active={
                replica: state.value
                for replica, state in states.items()
                if state is not MemberState.ACTIVE
            },
        )

    def clear(self) -> None:
        """Forgets the states, on a host that does not lead."""
        self.states = {}
        self.voters = Counter()

    def counts(self) -> list[tuple[float, dict[str, str]]]:
        """Returns the number of voters by state, for a gauge."""
        return [
            (count, {"state": state.value})
            for state, count in self.voters.items()
        ]
