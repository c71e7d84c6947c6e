"""Decides the next change of a cluster's membership.

A lost voter is replaced without an operator. The order matters: the
newcomer is caught up as a learner, then votes, and only then is the lost
one taken out. At no moment does a quorum consist of fewer copies than
before, so a second loss in between can't take an acknowledged entry with it.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.kernel.ids import ReplicaId


class StepKind(Enum):
    """What one change of the membership does."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"


class Step(msgspec.Struct, frozen=True):
    """One change by one member."""

    kind: StepKind
    replica: ReplicaId
    address: str = ""


class Candidate(msgspec.Struct, frozen=True):
    """A live host with a disk."""

    replica: ReplicaId
    address: str
    zone: str = ""


def next_step(
    membership: Membership,
    wanted: int,
    candidates: Iterable[Candidate],
    lost: set[ReplicaId],
    caught_up: set[ReplicaId],
) -> Step | None:
    """Returns the change to make now, or None if all is in order.

    Args:
        membership: What is in force.
        wanted: How many voters there should be.
        candidates: Live hosts with a disk, members or not.
        lost: Members that are taken to be gone.
        caught_up: Learners that have synced all that is committed.
    """
    lost_voters = [r for r in membership.voters if r in lost]
    alive = len(membership.voters) - len(lost_voters)
    if lost_voters and alive >= wanted:
        return Step(StepKind.REMOVE, lost_voters[0])
    for replica in membership.learners:
        if replica in lost:
            return Step(StepKind.REMOVE, replica)
    if alive < wanted:
        for replica in membership.learners:
            if replica in caught_up:
                return Step(StepKind.PROMOTE, replica)
    for candidate in candidates:
        if candidate.replica not in membership.members:
            return Step(StepKind.ADD, candidate.replica, candidate.address)
    if not lost_voters and len(membership.voters) > wanted:
        return Step(StepKind.REMOVE, membership.voters[-1])
    return None


def apply_step(membership: Membership, step: Step) -> Membership:
    """Returns the membership after a step."""
    if step.kind is StepKind.ADD:
        return membership.with_learner(step.replica, step.address)
    if step.kind is StepKind.PROMOTE:
        return membership.promoted(step.replica)
    return membership.without(step.replica)
