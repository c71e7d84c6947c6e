"""Plans membership changes, one member at a time.

A lost voter is replaced automatically: the replacement catches up as a
learner, becomes a voter, and only then is the lost voter removed. No quorum is
smaller than before at any point, so losing a second voter during the
replacement does not lose acknowledged entries.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.kernel.ids import ReplicaId


class StepKind(Enum):
    """The kind of a membership change."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"


class Step(msgspec.Struct, frozen=True):
    """A change of a single member."""

    kind: StepKind
    replica: ReplicaId
    address: str = ""


class AvailableHost(msgspec.Struct, frozen=True):
    """A running host that can hold a replica."""

    replica: ReplicaId
    address: str
    zone: str = ""


def next_step(
    membership: Membership,
    target_voters: int,
    available_hosts: Iterable[AvailableHost],
    lost: set[ReplicaId],
    caught_up: set[ReplicaId],
) -> Step | None:
    """Returns the next change to make, or None if there is none.

    Args:
        membership: The current membership.
        target_voters: The target number of voters.
        available_hosts: Running hosts with a disk, members or not.
        lost: Members that are considered permanently lost.
        caught_up: Learners that have synced all committed entries.
    """
    lost_voters = [r for r in membership.voters if r in lost]
    alive = len(membership.voters) - len(lost_voters)
    if lost_voters and alive >= target_voters:
        return Step(StepKind.REMOVE, lost_voters[0])
    for replica in membership.learners:
        if replica in lost:
            return Step(StepKind.REMOVE, replica)
    if alive < target_voters:
        for replica in membership.learners:
            if replica in caught_up:
                return Step(StepKind.PROMOTE, replica)
    for host in available_hosts:
        if host.replica not in membership.members:
            return Step(StepKind.ADD, host.replica, host.address)
    if not lost_voters and len(membership.voters) > target_voters:
        return Step(StepKind.REMOVE, membership.voters[-1])
    return None


def apply_step(membership: Membership, step: Step) -> Membership:
    """Returns the membership that results from a step."""
    if step.kind is StepKind.ADD:
        return membership.with_learner(step.replica, step.address)
    if step.kind is StepKind.PROMOTE:
        return membership.promoted(step.replica)
    return membership.without(step.replica)
