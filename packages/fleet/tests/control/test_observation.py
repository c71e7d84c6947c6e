"""For how long a control host knows which endpoints have served."""

import pytest

from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
)
from marjoramyard.fleet.control import observation as module
from marjoramyard.fleet.control.observation import (
    EXCHANGE_SECONDS,
    Observation,
)

SETTLING = 1.0


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 500.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(module, "time", clock)
    return clock


def test_a_host_that_starts_knows_nothing_until_it_has_heard_of_all(clock):
    """Guards against conclusions from the first heartbeats after a start."""
    observation = Observation(False, SETTLING)
    clock.now += 0.9
    assert observation.seconds(False) == 0.0
    clock.now += 9.1
    assert observation.seconds(False) == pytest.approx(10.0)


def test_at_the_first_start_no_endpoint_has_served_before(clock):
    """Guards against refusing streams in the first minute of a fleet."""
    observation = Observation(True, SETTLING)
    clock.now += 2.0
    known = observation.seconds(False)
    assert known == pytest.approx(2.0 + DEPARTED_RETENTION_SECONDS)


def test_a_restarted_host_knows_for_as_long_as_the_others(clock):
    """Guards against refusing streams after the restart of one host."""
    observation = Observation(False, SETTLING)
    observation.on_heard("other", 400.0)
    clock.now += SETTLING
    assert observation.seconds(False) == pytest.approx(SETTLING)
    clock.now += EXCHANGE_SECONDS
    observation.on_heard("other", 403.0)
    assert observation.seconds(False) == pytest.approx(403.0)


def test_a_host_that_is_heard_of_again_has_to_tell_all_first(clock):
    """Guards against trusting what a host has not passed on yet."""
    observation = Observation(False, SETTLING)
    observation.on_heard("other", 0.0)
    clock.now += 60.0
    observation.on_lost("other")
    observation.on_heard("other", 400.0)
    assert observation.seconds(False) == pytest.approx(60.0)


def test_an_isolated_host_knows_nothing_until_it_has_heard_of_all(clock):
    """Guards against conclusions of a host that was cut off."""
    observation = Observation(True, SETTLING)
    clock.now += 60.0
    assert observation.seconds(True) == 0.0
    clock.now += EXCHANGE_SECONDS / 2
    assert observation.seconds(False) == 0.0
    clock.now += EXCHANGE_SECONDS
    assert observation.seconds(False) > 60.0
