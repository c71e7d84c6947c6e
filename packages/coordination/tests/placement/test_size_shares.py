"""Load: an overload of prompts of which some are much longer than others."""

from marjoramyard.coordination.placement.size_shares import (
    HALF_LIFE_MS,
    SizeShares,
)


def make_shares(large, others):
    """Returns shares after (arrived, granted) prompts of each size."""
    shares = SizeShares()
    for is_large, (arrived, granted) in ((True, large), (False, others)):
        for _ in range(arrived):
            shares.record_arrival(is_large, 0.0)
        for _ in range(granted):
            shares.record_grant(is_large, 0.0)
    return shares


def test_large_prompts_that_are_refused_are_behind():
    assert make_shares((10, 2), (90, 80)).is_large_behind()


def test_large_prompts_that_are_served_half_as_often_are_not_behind():
    assert not make_shares((10, 5), (90, 90)).is_large_behind()


def test_a_few_large_prompts_show_nothing():
    """Guards against a rule that one refused prompt changes for all."""
    assert not make_shares((2, 0), (90, 90)).is_large_behind()


def test_old_refusals_are_forgotten():
    """Guards against large prompts that are preferred after an overload."""
    shares = make_shares((10, 0), (90, 90))
    for _ in range(10):
        shares.record_arrival(True, 10 * HALF_LIFE_MS)
        shares.record_grant(True, 10 * HALF_LIFE_MS)
    assert not shares.is_large_behind()
