"""A deployment that is started with the data folders of an earlier run."""

import pytest
from deployed_fleet import (
    CONTROL,
    PORT_COUNT,
    DeployedFleet,
    deployed_fleet,
    free_port,
)
from gateway_fleet import wait_until
from test_deployed_fleet import CONFIG
from test_held_addresses import events, wait_for_event


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1, 1, 1], 1) as started:
        yield started


async def accept(fleet: DeployedFleet, version: int) -> None:
    async def is_accepted():
        document = CONFIG | {"version": version}
        return await fleet.put_config(document) == 200

    await wait_until(is_accepted)


async def config_version(fleet: DeployedFleet) -> int:
    url = f"http://{fleet.operator_addresses[0]}/v1/config"

    async def read():
        async with fleet.session.get(url) as response:
            return response.status == 200 and await response.json()

    return (await wait_until(read))["version"]


async def start_all(fleet: DeployedFleet) -> None:
    """Starts all processes, as if for the first time, with empty logs."""
    for host in fleet.hosts:
        for child in host.children.values():
            child.log.unlink(missing_ok=True)
    await fleet.start_all()


async def kill_all(fleet: DeployedFleet) -> None:
    for child in fleet.children():
        await child.kill()


async def test_a_first_start_with_data_serves_and_keeps_it(fleet):
    """Guards against data that is thrown away, or processes that don't start,
    as settings still say that the fleet starts for the first time.
    """
    await start_all(fleet)
    await accept(fleet, version=2)
    controls = [host.children[CONTROL] for host in fleet.hosts]
    assert all("first_start_ignored" not in events(c) for c in controls)
    await kill_all(fleet)
    await start_all(fleet)
    for host in fleet.hosts:
        await wait_for_event(host.children[CONTROL], "first_start_ignored")
        assert "address_differs" not in events(host.children[CONTROL])
    assert await config_version(fleet) == 2
    await accept(fleet, version=3)
    assert await config_version(fleet) == 3

    async def all_are_ready():
        return all([await fleet.is_ready(host) for host in fleet.hosts])

    await wait_until(all_are_ready)


async def test_data_of_other_addresses_is_named_and_kept(fleet):
    """Guards against control hosts that find no quorum and don't say why, or
    lose their data, as they were started at other addresses.
    """
    await start_all(fleet)
    await accept(fleet, version=2)
    await kill_all(fleet)
    former = fleet.ports.first
    fleet.ports.first = free_port(PORT_COUNT)
    await start_all(fleet)
    for host in fleet.hosts:
        await wait_for_event(host.children[CONTROL], "address_differs")
    await kill_all(fleet)
    fleet.ports.first = former
    await start_all(fleet)
    assert await config_version(fleet) == 2
