"""Control hosts whose disks refuse every write for a time."""

import resource

import pytest
from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

HOSTS = (0, 1, 2)


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as started:
        yield started


def limit_files(fleet, size):
    """Lets the control hosts write no file beyond a size."""
    for number in HOSTS:
        pid = fleet.children[f"control-{number}"].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard))


async def refused_code(fleet, host, document):
    url = f"http://{fleet.operator_addresses[host]}/fleet-config"
    async with fleet.session.put(url, json=document) as response:
        assert response.status != 200
        return (await response.json())["error"]["code"]


async def test_full_disks_of_all_control_hosts_stop_changes_only(fleet):
    """Guards against requests and reads that fail while disks are full."""
    endpoint = FakeEndpoint("api-1")
    async with endpoint.running():
        await fleet.send_heartbeat(endpoint)
        await wait_until(fleet.is_serving)
        limit_files(fleet, 1)
        changed = config(2, route("new", "/new/"))

        async def refused_for_the_disk():
            codes = [await refused_code(fleet, n, changed) for n in HOSTS]
            return "storage_full" in codes

        await wait_until(refused_for_the_disk)
        await wait_until(fleet.control_hosts_are_ready)
        for host in HOSTS:
            _, held = await fleet.read_config(host)
            assert held["version"] == 1
        await fleet.send_heartbeat(endpoint)
        await wait_until(fleet.is_serving)
        limit_files(fleet, resource.RLIM_INFINITY)
        await fleet.put_config(changed)
        await wait_until(fleet.control_hosts_are_ready)
        _, held = await fleet.read_config(1)
        assert held["version"] == 2
        await fleet.send_heartbeat(endpoint)

        async def serves_the_new_route():
            return await fleet.is_serving("/new/x")

        await wait_until(serves_the_new_route)
