"""Control hosts that lose power right after they have acknowledged something.

What is acknowledged must not be lost with its only holder.
"""

import contextlib

import pytest
from control_hosts import CONTROL, control_hosts, find_host
from gateway_fleet import config, wait_until

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    HoldSuspect,
    ReleaseSuspect,
    ReportDeath,
)
from marjoramyard.coordination.governance.suspects import EndedRun
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.kernel.metrics import Metrics

LEADER_SECONDS = 15.0
"""Within this time a command is applied after the leader was lost."""
SUSPECT = "f-1"


@contextlib.asynccontextmanager
async def fleet_and_client(folder):
    """Control hosts, and a client of their leader."""
    async with control_hosts(folder) as fleet:
        client = InternalClient("", Metrics("gateway", "g"))
        addresses = [fleet.internal_address(number) for number in range(3)]
        try:
            yield fleet, ControlClient(client, addresses)
        finally:
            await client.close()


async def apply(control, command):
    result = await control.command(command, LEADER_SECONDS)
    return result.unwrap()


async def lose_leader_after(fleet, control, command):
    """Has a command acknowledged by the leader, which loses power at once."""
    leader = await find_host(fleet, "leader")
    control.leader = fleet.internal_address(leader)
    reply = await apply(control, command)
    await fleet.child(leader).kill()
    return leader, reply


async def suspect(control):
    """Reports deaths after which a request is held, out of quarantine."""
    for number in range(2):
        run = EndedRun(SUSPECT, earlier_deaths=number)
        report = ReportDeath(f"death-{number}", runs=[run], seconds_ago=60.0)
        await apply(control, report)


async def is_granted(control, holder):
    reply = await apply(control, HoldSuspect(SUSPECT, holder))
    return reply.granted


async def test_a_suspect_outlives_the_leader_that_was_told(tmp_path):
    """Guards against a request that crashes endpoints and runs again, as only
    a leader that was lost had been told of it.
    """
    async with fleet_and_client(tmp_path) as (fleet, control):
        first = EndedRun(SUSPECT)
        await apply(control, ReportDeath("death-0", runs=[first]))
        second = EndedRun(SUSPECT, earlier_deaths=1)
        report = ReportDeath("death-1", runs=[second])
        leader, reply = await lose_leader_after(fleet, control, report)
        assert reply.convicted == [SUSPECT]
        assert not await is_granted(control, "g-1")
        await fleet.start(CONTROL[leader])
        assert not await is_granted(control, "g-1")


async def test_a_hold_outlives_the_leader_that_granted_it(tmp_path):
    """Guards against a suspect that runs at two endpoints at once, as only a
    leader that was lost knew who held it.
    """
    async with fleet_and_client(tmp_path) as (fleet, control):
        await suspect(control)
        hold = HoldSuspect(SUSPECT, "g-1")
        leader, reply = await lose_leader_after(fleet, control, hold)
        assert reply.granted
        assert not await is_granted(control, "g-2")
        await fleet.start(CONTROL[leader])
        await apply(control, ReleaseSuspect(SUSPECT, "g-1", False))
        assert await is_granted(control, "g-2")


async def test_a_cleared_suspect_outlives_the_leader_that_was_told(tmp_path):
    """Guards against a harmless request that is refused again, as only a
    leader that was lost had been told of its response.
    """
    async with fleet_and_client(tmp_path) as (fleet, control):
        await suspect(control)
        clear = ClearSuspects([SUSPECT], "g-1")
        await lose_leader_after(fleet, control, clear)
        assert await is_granted(control, "g-1")
        assert await is_granted(control, "g-2")


async def evacuated_zones(fleet, host):
    """Returns the evacuated zones; None while no leader can be asked."""
    url = f"http://{fleet.operator_addresses[host]}/evacuations"
    async with fleet.session.get(url) as response:
        if response.status != 200:
            return None
        zones = (await response.json())["zones"]
    return [name for name, state in zones.items() if state["is_evacuated"]]


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_an_evacuation_outlives_the_host_that_acknowledged_it(
    tmp_path, role
):
    """Guards against an evacuation that is lost with the host that has
    acknowledged it.
    """
    async with control_hosts(tmp_path) as fleet:
        host = await find_host(fleet, role)
        others = [number for number in range(3) if number != host]
        await fleet.change_zone("PUT", "a", host=host)
        await fleet.child(host).kill()
        for other in others:

            async def is_evacuated(other=other):
                return await evacuated_zones(fleet, other) == ["a"]

            await wait_until(is_evacuated)
        await fleet.start(CONTROL[host])
        await fleet.change_zone("DELETE", "a", host=others[0])
        await fleet.child(others[0]).kill()

        async def is_restored():
            return await evacuated_zones(fleet, others[1]) == []

        await wait_until(is_restored)


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_a_configuration_outlives_the_host_that_acknowledged_it(
    tmp_path, role
):
    """Guards against a configuration that is lost with the host that has
    acknowledged it.
    """
    async with control_hosts(tmp_path) as fleet:
        host = await find_host(fleet, role)
        await fleet.put_config(config(2), host=host)
        await fleet.child(host).kill()
        for other in range(3):
            if other == host:
                continue

            async def is_read(other=other):
                status, found = await fleet.read_config(other)
                return status == 200 and found["version"] == 2

            await wait_until(is_read)
