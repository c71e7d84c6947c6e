"""Prompt parts that crash engines, in requests that are never alike."""

import asyncio
import itertools
import time

import pytest
from crashing_engines import (
    CONTACT_SECONDS,
    NOTICED_ENDS,
    PLACES,
    SOUND_CALLERS,
    TEST_SECONDS,
    parts_fleet,
    send_all,
)
from gateway_fleet import wait_until

ALLOWED_LATER = 3
LATER_SECONDS = 16.0
"""Long enough for the trial after the first quarantine, and for the requests by
which the sound ones are judged after it."""
MIN_SERVED_SHARE = 0.5
"""Of the sound requests' share without disturbance."""


def check_sound_ones_were_served(found, began_at):
    before = found.served_share(0.0, began_at)
    ends = found.ends[:NOTICED_ENDS]
    after = found.served_share(ends[-1] + 2 * CONTACT_SECONDS)
    assert after >= MIN_SERVED_SHARE * before


@pytest.mark.parametrize("place", PLACES)
async def test_a_part_that_crashes_engines_is_not_sent_on_and_on(
    tmp_path, place
):
    """Guards against requests that are never alike, and take a service down
    for all by the one prompt part that they share.
    """
    async with parts_fleet(tmp_path) as found:
        began_at = await send_all(found, PLACES[place])
        assert found.later_arrivals() <= ALLOWED_LATER
        check_sound_ones_were_served(found, began_at)


async def test_a_gateway_that_starts_again_refuses_the_part_too(tmp_path):
    """Guards against forgetting a part when a gateway or the leader of the
    control hosts is killed.
    """
    async with parts_fleet(tmp_path) as found:
        began_at = await send_all(found, PLACES["first"], 8.0)
        await found.fleet.children["gateway"].kill()
        await found.fleet.children["control-0"].kill()
        await found.fleet.start("gateway")
        await found.fleet.start("control-0")
        await wait_until(found.fleet.is_ready)
        await send_all(found, PLACES["first"], LATER_SECONDS)
        assert found.later_arrivals() <= ALLOWED_LATER
        check_sound_ones_were_served(found, began_at)


async def test_gateways_without_control_hosts_refuse_the_part_too(tmp_path):
    """Guards against gateways that let such requests through while no control
    host can decide.
    """
    async with parts_fleet(tmp_path) as found:
        for number in range(3):
            await found.fleet.children[f"control-{number}"].kill()
        await send_all(found, PLACES["first"], 8.0)
        assert found.later_arrivals() <= 2 * ALLOWED_LATER


async def test_a_part_of_all_requests_is_served_while_engines_crash(tmp_path):
    """Guards against refusing a popular part because engines crash for another
    reason while requests with it run.
    """
    async with parts_fleet(tmp_path) as found:
        until = time.monotonic() + TEST_SECONDS

        async def crash_in_turn():
            for engine in itertools.cycle(found.engines):
                if time.monotonic() > until - 4.0:
                    return
                await engine.crash()
                await asyncio.sleep(0.3)

        crashes = asyncio.create_task(crash_in_turn())
        callers = [
            found.send_sound(until, lambda: ["cc01:200"])
            for _ in range(SOUND_CALLERS)
        ]
        await asyncio.gather(*callers)
        await crashes
        assert len(found.ends) >= NOTICED_ENDS
        assert found.served_share(0.0) == 1.0
