"""Tests of the refusal of requests that may outlast a process."""

import asyncio

import pytest

from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests
from marjoramyard.kernel.errors import FailureKind, FleetError, Outcome

STOP_SECONDS = 5.0


async def wait_within(outlasting, deadline_at, event):
    async with outlasting.refusing(deadline_at):
        await event.wait()


async def test_only_waiting_requests_that_may_outlast_the_process_are_refused():
    """Guards against requests that wait until the process is about to end,
    and against refusing those that end before it."""
    now = asyncio.get_running_loop().time()
    outlasting, event = OutlastingRequests(0.5), asyncio.Event()
    short = asyncio.create_task(wait_within(outlasting, now + 4.0, event))
    long = asyncio.create_task(wait_within(outlasting, now + 6.0, event))
    await asyncio.sleep(0)
    outlasting.stop(now + STOP_SECONDS)
    with pytest.raises(FleetError) as refused:
        await long
    assert refused.value.failure.kind is FailureKind.LEAVING
    assert refused.value.failure.outcome == Outcome.NOT_RUN.value
    assert refused.value.failure.retry_after == 0.5
    assert not short.done()
    event.set()
    await short


async def test_requests_are_checked_before_they_are_passed_on():
    """Guards against requests that stop waiting in the moment of the signal
    and are passed on."""
    now = asyncio.get_running_loop().time()
    outlasting = OutlastingRequests(0.5)
    outlasting.check(now + 6.0)
    outlasting.stop(now + STOP_SECONDS)
    outlasting.check(now + 4.0)
    with pytest.raises(FleetError):
        outlasting.check(now + 6.0)
    with pytest.raises(FleetError):
        await wait_within(outlasting, now + 6.0, asyncio.Event())


async def test_other_timeouts_of_waiting_requests_are_not_refusals():
    """Guards against a timeout of the request itself that counts as the stop
    of the process."""
    now = asyncio.get_running_loop().time()
    outlasting = OutlastingRequests(0.5)
    with pytest.raises(TimeoutError):
        async with outlasting.refusing(now + 6.0):
            raise TimeoutError
