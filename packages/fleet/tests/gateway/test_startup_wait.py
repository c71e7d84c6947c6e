"""Requests at a gateway that has just started."""

import asyncio

import msgspec
import pytest

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.startup_wait import StartupWait
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import SyncReply
from marjoramyard.kernel.util.clocks import seconds_since_boot

LONG_SECONDS = 30.0


@pytest.fixture
def view():
    return FleetView(GATEWAY_DIALECTS.get("native"), 60.0)


def confirm(view, version):
    """Applies a reply of a control host that confirms a version."""
    reply = SyncReply("epoch", 0, confirmed=True, version=version)
    view.apply("10.0.0.1:1", reply, seconds_since_boot())


async def start_holding(startup, caller_seconds=LONG_SECONDS):
    task = asyncio.create_task(startup.hold(caller_seconds))
    while not startup.held_count:
        await asyncio.sleep(0)
    return task


async def test_requests_after_a_loss_of_power_wait_for_the_first_lease(view):
    """Guards against refusals while the control hosts elect a leader."""
    startup = StartupWait(view, LONG_SECONDS)
    held = await start_holding(startup)
    view.table = RouteTable(FleetConfig(1))
    assert not held.done()
    confirm(view, 1)
    await held
    assert view.has_valid_lease()


async def test_a_lease_of_a_configuration_that_is_on_its_way_opens(view):
    """Guards against requests held although the gateway can serve."""
    startup = StartupWait(view, LONG_SECONDS)
    held = await start_holding(startup)
    confirm(view, 1)
    assert not startup.is_able.is_set()
    assert view.install(ConfigDocument(1, msgspec.json.encode(FleetConfig(1))))
    await held


async def test_a_request_is_not_held_beyond_a_part_of_its_time(view):
    """Guards against callers without time for another attempt."""
    startup = StartupWait(view, LONG_SECONDS)
    async with asyncio.timeout(LONG_SECONDS / 2):
        await startup.hold(0.03)
    assert startup.held_count == 1


async def test_requests_are_held_only_right_after_the_start(view):
    """Guards against waits at a gateway that finds no control host."""
    startup = StartupWait(view, 0.0)
    await startup.hold(LONG_SECONDS)
    assert startup.held_count == 0


async def test_a_lease_lost_later_does_not_hold_requests(view):
    """Guards against waits at a gateway that has lost the control hosts."""
    startup = StartupWait(view, LONG_SECONDS)
    view.table = RouteTable(FleetConfig(1))
    confirm(view, 1)
    view.lease.valid_until = 0.0
    await startup.hold(LONG_SECONDS)
    assert startup.held_count == 0
