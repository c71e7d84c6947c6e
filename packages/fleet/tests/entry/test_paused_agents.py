"""Requests that wait while endpoints pause."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from marjoramyard.fleet.entry.paused_agents import (
    PausedAgents,
    WaitingRequests,
)
from marjoramyard.kernel.errors import FailureKind, FleetError, Outcome


def test_one_agent_that_does_not_pause_is_enough():
    """Guards against refusing requests that another endpoint can serve."""
    paused = PausedAgents()
    paused.record("a", 30.0)
    assert paused.first_end(["a"]) > time.monotonic() + 25.0
    assert paused.first_end(["a", "b"]) == 0.0
    paused.record("b", 5.0)
    assert paused.first_end(["a", "b"]) < time.monotonic() + 6.0
    paused.record("b", 0.0)
    assert paused.first_end(["a", "b"]) == 0.0
    assert paused.first_end([]) == 0.0


async def test_only_those_that_cannot_wait_for_the_end_are_refused():
    """Guards against refusing requests that a pause does not outlast, and
    against others that wait for nothing.
    """
    waiting = WaitingRequests()
    futures = {}
    for seconds in (2.0, 60.0):
        futures[seconds] = asyncio.get_running_loop().create_future()
        request = SimpleNamespace(seconds_left=lambda s=seconds: s)
        waiting.add(futures[seconds], request)
    waiting.refuse_until(time.monotonic() + 30.0)
    with pytest.raises(FleetError) as caught:
        await futures[2.0]
    found = caught.value.failure
    assert found.kind is FailureKind.NO_ENDPOINT
    assert found.outcome == Outcome.NOT_RUN.value
    assert 29.0 < found.retry_after < 31.0
    await asyncio.sleep(0)
    assert not futures[60.0].done()
    assert list(waiting.deadlines) == [futures[60.0]]
