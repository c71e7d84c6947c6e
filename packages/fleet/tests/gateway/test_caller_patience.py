"""How long callers have waited before their present attempt."""

import pytest

from marjoramyard.fleet.gateway import caller_patience
from marjoramyard.fleet.gateway.caller_patience import (
    WINDOW_SECONDS,
    CallerPatience,
)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

        def monotonic(self):
            return self.now

    instance = Clock()
    monkeypatch.setattr(caller_patience, "time", instance)
    return instance


@pytest.fixture
def patience(clock):
    return CallerPatience()


def test_a_caller_that_states_less_time_has_waited(patience):
    assert patience.waited_ms("chat", 3000.0) == 0.0
    assert patience.waited_ms("chat", 1400.0) == 1600.0
    assert patience.waited_ms("guide", 1400.0) == 0.0


def test_small_differences_are_not_waiting(patience):
    """Guards against new callers that are taken for returning ones."""
    patience.waited_ms("chat", 3000.0)
    assert patience.waited_ms("chat", 2500.0) == 0.0


def test_a_change_of_the_callers_is_learnt(patience, clock):
    """Guards against new callers that count as overdue for ever."""
    patience.waited_ms("chat", 9000.0)
    clock.now += WINDOW_SECONDS + 1.0
    assert patience.waited_ms("chat", 3000.0) == 6000.0
    clock.now += WINDOW_SECONDS + 1.0
    assert patience.waited_ms("chat", 3000.0) == 0.0
