"""Load: polls of all gateways at the leader."""

import asyncio

from result import Err, Ok

from marjoramyard.fleet.control.leadership_checks import (
    GROUP_SECONDS,
    LeadershipChecks,
)
from marjoramyard.kernel.errors import FailureKind, failure


class Quorum:
    """Counts checks, and fails them if told to."""

    def __init__(self):
        self.checks = 0
        self.is_lost = False

    async def confirm(self):
        self.checks += 1
        lost = self.is_lost
        await asyncio.sleep(0.001)
        return Err(failure(FailureKind.NO_QUORUM, "")) if lost else Ok(1)


async def test_polls_share_a_check():
    """Guards against messages to all voters for each poll of each gateway."""
    quorum = Quorum()
    checks = LeadershipChecks(quorum.confirm)
    results = await asyncio.gather(
        *(checks.is_confirmed(is_urgent=False) for _ in range(40))
    )
    assert all(results)
    assert quorum.checks == 1


async def test_a_poll_is_not_served_by_a_check_that_started_before_it():
    """Guards against a lease that a former leader renews."""
    quorum = Quorum()
    checks = LeadershipChecks(quorum.confirm)
    early = asyncio.create_task(checks.is_confirmed(is_urgent=False))
    while not quorum.checks:
        await asyncio.sleep(0.001)
    quorum.is_lost = True
    assert not await checks.is_confirmed(is_urgent=False)
    assert await early


async def test_a_poll_with_changes_is_not_delayed():
    """Guards against configurations that come into force later."""
    checks = LeadershipChecks(Quorum().confirm)
    async with asyncio.timeout(GROUP_SECONDS / 2):
        assert await checks.is_confirmed(is_urgent=True)


async def test_a_poll_that_is_cancelled_does_not_end_the_check_of_others():
    checks = LeadershipChecks(Quorum().confirm)
    first = asyncio.create_task(checks.is_confirmed(is_urgent=False))
    second = asyncio.create_task(checks.is_confirmed(is_urgent=False))
    await asyncio.sleep(0)
    first.cancel()
    assert await second
