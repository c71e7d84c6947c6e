"""Fault plans are reproducible and keep to their rules."""

from hypothesis import given
from hypothesis import strategies as st

from soak.plan import (
    DISK_LOSS_INTERVAL_SECONDS,
    FAULTS_BY_TARGET,
    FaultKind,
    FleetSize,
    draw_power_loss,
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
