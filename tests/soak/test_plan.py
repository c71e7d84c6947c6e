"""Fault plans are reproducible and keep to their rules."""

import hashlib
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from soak.plan import (
    DEPLOYMENT,
    DISK_FAULTS,
    DISK_LOSS_INTERVAL_SECONDS,
    FAULTS_BY_TARGET,
    STOPS,
    FaultKind,
    FleetSize,
    Target,
    draw_floods,
    draw_power_loss,
    draw_reloads,
    draw_stops,
    make_plan,
)


@given(st.integers(0, 10_000))
def test_plans_are_reproducible(seed):
    assert make_plan(seed, 20.0, FleetSize()) == make_plan(
        seed, 20.0, FleetSize()
    )


@given(st.integers(0, 10_000))
def test_faults_match_their_targets(seed):
    size = FleetSize(controls=5, gateways=2, endpoints=3)
    for fault in make_plan(seed, 20.0, size):
        assert fault.kind in FAULTS_BY_TARGET[fault.target]
        assert fault.number < 5


@given(st.integers(0, 10_000))
def test_disk_losses_keep_their_minimum_interval(seed):
    """A disk loss before the previous replica is restored may lose changes.

    Acknowledged changes are stored only on a majority of the disks.
    """
    plan = make_plan(seed, 60.0, FleetSize())
    losses = [f for f in plan if f.kind is FaultKind.LOSE_DISK]
    for first, second in zip(losses, losses[1:], strict=False):
        assert (
            second.at >= first.at + first.seconds + DISK_LOSS_INTERVAL_SECONDS
        )


def test_all_fault_kinds_occur():
    seen = {
        f.kind for seed in range(40) for f in make_plan(seed, 30.0, FleetSize())
    }
    assert seen == set(FaultKind)


def test_power_is_lost_with_and_without_a_disk():
    found = [draw_power_loss(seed, FleetSize()) for seed in range(60)]
    lost_disks = {loss.lost_disk for loss in found if loss is not None}
    assert None in found
    assert lost_disks == {None, 0, 1, 2}


OTHER_FAULTS = {
    (7, 8.0): (11, "4fd7e6c8c433389c"),
    (100, 20.0): (33, "010fe74e838301bf"),
    (105, 20.0): (33, "bc8a77012e6ae77d"),
    (945, 20.0): (47, "5e0b6fdcfc01a9ad"),
    (3008, 20.0): (37, "03834b061848022a"),
    (4004, 20.0): (45, "26fffa76f276838a"),
}
"""Number and digest of the other faults, by seed and seconds."""


def stops_and_reloads(seed, seconds):
    size = FleetSize()
    return draw_stops(seed, seconds, size) + draw_reloads(seed, seconds, size)


@pytest.mark.parametrize(("seed", "seconds"), OTHER_FAULTS)
def test_stops_leave_the_other_faults_as_they_were(seed, seconds):
    """Guards against seeds that no longer give the faults they are kept for."""
    plan = make_plan(seed, seconds, FleetSize())
    separate = stops_and_reloads(seed, seconds) + draw_floods(seed, seconds)
    for fault in separate:
        plan.remove(fault)
    fields = [
        (f.at, f.target.value, f.kind.value, f.number, f.seconds) for f in plan
    ]
    digest = hashlib.sha256(repr(fields).encode()).hexdigest()[:16]
    assert (len(plan), digest) == OTHER_FAULTS[seed, seconds]


@given(st.integers(0, 10_000))
def test_a_plan_of_stops_holds_no_other_fault(seed):
    plan = make_plan(seed, 20.0, FleetSize(), stops_only=True)
    expected = stops_and_reloads(seed, 20.0)
    assert sorted(expected, key=str) == sorted(plan, key=str)


def test_stops_overlap_and_meet_control_hosts_and_slow_processes():
    """Guards against stops that only follow each other."""
    plans = [draw_stops(seed, 20.0, FleetSize()) for seed in range(40)]
    kinds = {(f.target, f.kind) for plan in plans for f in plan}
    for target in (Target.GATEWAY, Target.CONTROL):
        assert {(target, kind) for kind in (*STOPS, FaultKind.TURNS)} <= kinds
    assert any(
        first.kind in STOPS
        and second.kind in STOPS
        and first.target is second.target
        and first.number != second.number
        and second.at - first.at < 1.0
        for plan in plans
        for first, second in zip(plan, plan[1:], strict=False)
    )


@given(st.integers(0, 10_000))
def test_disk_faults_spare_control_hosts_without_a_disk(seed):
    for fault in make_plan(seed, 20.0, DEPLOYMENT):
        if fault.kind in DISK_FAULTS:
            assert fault.number < DEPLOYMENT.controls


def test_faults_of_a_deployment_meet_many_processes_at_once():
    """Guards against plans whose signals reach few processes at a time."""
    plans = [make_plan(seed, 20.0, DEPLOYMENT) for seed in range(20)]
    for kind in (FaultKind.TERMINATE, FaultKind.RELOAD, FaultKind.KILL):
        counts = Counter(
            (number, fault.at)
            for number, plan in enumerate(plans)
            for fault in plan
            if fault.kind is kind and fault.target is Target.GATEWAY
        )
        assert max(counts.values()) >= DEPLOYMENT.gateways // 3
