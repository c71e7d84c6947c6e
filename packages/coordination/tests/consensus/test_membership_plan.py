"""Tests of the planning of membership changes."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.consensus.membership_plan import (
    AvailableHost,
    Step,
    StepKind,
    apply_step,
    next_step,
)
from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.kernel.ids import ReplicaId

A, B, C, D = (ReplicaId(name) for name in "abcd")
ADDRESSES = {A: "1", B: "2", C: "3", D: "4"}


def members(voters, learners=()):
    return Membership(tuple(voters), tuple(learners), ADDRESSES)


def available_hosts(*replicas):
    return [AvailableHost(replica, ADDRESSES[replica]) for replica in replicas]


def test_a_wiped_voter_is_replaced_before_it_is_removed():
    """Guards against: acknowledged entries lost with a second disk.

    C loses its disk and rejoins as D.
    """
    membership = members((A, B, C))
    steps = []
    for caught_up in (set(), set(), {D}, {D}):
        step = next_step(
            membership, 3, available_hosts(A, B, D), {C}, caught_up
        )
        if step is None:
            continue
        steps.append((step.kind, step.replica))
        membership = apply_step(membership, step)
    assert steps == [
        (StepKind.ADD, D),
        (StepKind.PROMOTE, D),
        (StepKind.REMOVE, C),
    ]
    assert set(membership.voters) == {A, B, D}


def test_a_lost_voter_without_a_replacement_stays():
    assert next_step(
        members((A, B, C)), 3, available_hosts(A, B), {C}, set()
    ) is (None)


def test_a_lost_learner_is_removed():
    step = next_step(members((A, B, C), (D,)), 3, [], {D}, set())
    assert step == Step(StepKind.REMOVE, D)


@given(
    st.sets(st.sampled_from([A, B, C, D])),
    st.sets(st.sampled_from([A, B, C, D])),
    st.sets(st.sampled_from([A, B, C, D])),
)
def test_no_step_ever_removes_a_voter_that_is_still_needed(
    announced, lost, caught_up
):
    membership = members((A, B, C))
    for _ in range(6):
        step = next_step(
            membership, 3, available_hosts(*sorted(announced)), lost, caught_up
        )
        if step is None:
            return
        if step.kind is StepKind.REMOVE and step.replica in membership.voters:
            alive = [r for r in membership.voters if r not in lost]
            assert len([r for r in alive if r != step.replica]) >= 3
        membership = apply_step(membership, step)
