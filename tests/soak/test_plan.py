"""A plan of faults depends on its arguments alone and keeps to its rules."""

from hypothesis import given
from hypothesis import strategies as st

from soak.plan import CHOICES, DISK_GAP_SECONDS, FaultKind, Size, make_plan


@given(st.integers(0, 10_000))
def test_a_seed_always_gives_the_same_plan(seed):
    assert make_plan(seed, 20.0, Size()) == make_plan(seed, 20.0, Size())


@given(st.integers(0, 10_000))
def test_faults_fit_their_targets(seed):
    size = Size(controls=5, gateways=2, endpoints=3)
    for fault in make_plan(seed, 20.0, size):
        assert fault.kind in CHOICES[fault.target]
        assert fault.number < 5


@given(st.integers(0, 10_000))
def test_no_second_disk_is_lost_before_the_first_is_made_good(seed):
    """An acknowledged change would be gone, and rightly so.

    Its copies are on a majority of disks. A second disk lost before the
    first one's copy has been made anew is more than the fleet must bear.
    """
    plan = make_plan(seed, 60.0, Size())
    wipes = [f for f in plan if f.kind is FaultKind.WIPE]
    for first, second in zip(wipes, wipes[1:], strict=False):
        assert second.at >= first.at + first.seconds + DISK_GAP_SECONDS


def test_every_kind_of_fault_is_drawn():
    seen = {f.kind for seed in range(40) for f in make_plan(seed, 30.0, Size())}
    assert seen == set(FaultKind)
