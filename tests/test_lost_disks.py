"""Control hosts lose their disks, one after the other."""

import asyncio
import shutil

import pytest
from gateway_fleet import (
    API_KEY,
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

from marjoramyard.fleet.paths import INIT_PATH
from marjoramyard.standin.processes import free_address
from marjoramyard.standin.relay import relay_to

REPLACEMENT_SECONDS = 4.0
"""Within this time a lost voter is replaced once its host is back."""
RECOVERY_SECONDS = 12.0
"""Within this time service is back after all hosts have lost power."""
ALONE_SECONDS = 4.0
"""Longer than a host waits for others before it founds a cluster."""
CONTROL_NAMES = ("control-0", "control-1", "control-2")


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as started:
        yield started


async def voters_of(fleet, number):
    """Returns the voters by address, as a host knows them."""
    url = f"http://{fleet.hosts[number]}:{fleet.peer_port}/control/v1/status"
    async with fleet.session.post(url, data=b"{}") as response:
        membership = (await response.json())["membership"]
    addresses = membership["addresses"]
    return [(addresses[voter], voter) for voter in membership["voters"]]


async def lose_disk(fleet, number):
    """Ends a control host and empties its disk."""
    child = fleet.children[f"control-{number}"]
    if child.is_running:
        await child.kill()
    shutil.rmtree(fleet.folder / f"data-{number}")


async def restart_behind(fleet, number, internal):
    """Starts a control host whose peers reach it through a relay."""
    host = fleet.hosts[number]
    fleet.write_control_settings(
        number,
        host,
        first_start=False,
        internal=internal,
        advertised=f"{host}:{fleet.peer_port}",
    )
    await fleet.start(f"control-{number}")


async def is_replaced(fleet, before):
    """Whether there are three voters and the lost one isn't among them."""
    found = await voters_of(fleet, 0)
    kept = set(before) & set(found)
    return len(found) == 3 and len(kept) == 2


async def lose_a_disk_and_the_call(fleet, relay):
    """Host 1 comes back empty, and the calls that initialise it are lost."""
    before = await voters_of(fleet, 0)
    await lose_disk(fleet, 1)
    relay.resets_on = f"POST {INIT_PATH}".encode()
    relay.resets_left = 2
    await restart_behind(fleet, 1, relay.target)
    return before


@pytest.fixture
async def relay(fleet):
    host = fleet.hosts[1]
    port = free_address().split(":")[1]
    await fleet.children["control-1"].kill()
    async with relay_to(f"{host}:{port}", f"{host}:{fleet.peer_port}") as link:
        await restart_behind(fleet, 1, link.target)
        await wait_until(fleet.control_hosts_are_ready)
        yield link


async def test_a_host_is_initialised_again_after_the_call_was_lost(
    fleet, relay
):
    """Guards against a lost disk that one lost call leaves unreplaced."""
    before = await lose_a_disk_and_the_call(fleet, relay)

    async def replaced():
        return await is_replaced(fleet, before)

    await wait_until(replaced, REPLACEMENT_SECONDS + 2.0)
    assert relay.resets_left < 2


async def test_service_is_back_after_a_second_lost_disk_and_a_loss_of_power(
    fleet, relay
):
    """Guards against two lost voters of which the first was never replaced."""
    endpoint = FakeEndpoint("api-1")
    async with endpoint.running():
        keyed = route("k", "/k/", open_access=False)
        await fleet.put_config(config(2, keyed))
        await lose_a_disk_and_the_call(fleet, relay)
        await asyncio.sleep(REPLACEMENT_SECONDS)
        await fleet.put_config(config(3, keyed))
        for name in (*CONTROL_NAMES, "gateway"):
            if name != "control-2":
                await fleet.children[name].kill()
        await lose_disk(fleet, 2)
        for name in (*CONTROL_NAMES, "gateway"):
            await fleet.start(name)

        async def keyed_requests_are_served():
            await fleet.send_heartbeat(endpoint)
            headers = {"Api-Key": API_KEY}
            async with fleet.request("/k/x", headers=headers) as response:
                return response.status == 200

        await wait_until(keyed_requests_are_served, RECOVERY_SECONDS)
        status, document = await fleet.read_config(0)
        assert (status, document["version"]) == (200, 3)


async def test_the_first_host_founds_no_second_cluster(fleet):
    """Guards against a configuration that is gone after all hosts have lost
    power and one its disk, as that host is up long before the others and has
    been told that the fleet starts for the first time.
    """
    await fleet.put_config(config(2))
    for name in CONTROL_NAMES:
        await fleet.children[name].kill()
    await lose_disk(fleet, 0)
    await fleet.start("control-0")
    await asyncio.sleep(ALONE_SECONDS)
    for name in CONTROL_NAMES[1:]:
        await fleet.start(name)
    await wait_until(fleet.control_hosts_are_ready, RECOVERY_SECONDS)
    for host in range(3):
        status, document = await fleet.read_config(host)
        assert (status, document["version"]) == (200, 2)
