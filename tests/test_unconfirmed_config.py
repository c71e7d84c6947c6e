"""Gateways that start while no control host can confirm the configuration."""

import time

import pytest
from gateway_fleet import FakeEndpoint, config, gateway_fleet, route, wait_until

SNAPSHOT_EVERY = 3
OBSERVED_SECONDS = 3.0
CONTROL_NAMES = ("control-0", "control-1", "control-2")


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as started:
        yield started


async def snapshots_of(fleet, number):
    return list((fleet.folder / f"data-{number}").glob("snapshot-*.json"))


async def fill_snapshot(fleet, version, is_new=False):
    """Sends configurations until host 0 has a snapshot that holds one.

    Args:
        fleet: The fleet.
        version: The first version to send.
        is_new: Whether it must take another snapshot than it has.

    Returns:
        The next version.
    """
    before = await snapshots_of(fleet, 0) if is_new else []
    while await snapshots_of(fleet, 0) == before:
        await fleet.put_config(config(version, route("old", "/old/")))
        version += 1
    return version


async def put_beyond_snapshot(fleet, version):
    """Sends a configuration with a further route.

    Returns:
        Whether host 0 has it in its log only. It takes a snapshot of it if
        changes of the leader, each an entry, have filled the log.
    """
    before = await snapshots_of(fleet, 0)
    added = route("new", "/new/")
    await fleet.put_config(config(version, route("old", "/old/"), added))
    await wait_until(fleet.control_hosts_are_ready)

    async def has_applied():
        return (await fleet.sync_reply(0))["version"] == version

    await wait_until(has_applied)
    return await snapshots_of(fleet, 0) == before


async def start_without_quorum(fleet):
    """Restarts the gateway beside a single control host.

    This host holds an older configuration in its snapshot than in its log, of
    which it can't know whether it was committed.
    """
    for number, host in enumerate(fleet.hosts):
        fleet.write_control_settings(
            number, host, first_start=False, snapshot_every=SNAPSHOT_EVERY
        )
        await fleet.children[f"control-{number}"].kill()
        await fleet.start(f"control-{number}")
        await wait_until(fleet.control_hosts_are_ready)
    version = await fill_snapshot(fleet, 2)
    while not await put_beyond_snapshot(fleet, version):
        version = await fill_snapshot(fleet, version + 1, is_new=True)
    for name in (*CONTROL_NAMES, "gateway"):
        await fleet.children[name].kill()
    for name in ("control-0", "gateway"):
        await fleet.start(name)

    async def both_listen():
        host = f"{fleet.hosts[0]}:{fleet.peer_port}"
        async with fleet.session.get(f"http://{host}/healthz") as response:
            assert response.status == 200
        async with fleet.request("/a/x"):
            return True

    await wait_until(both_listen)


async def statuses(fleet, path, endpoint=None):
    """Returns the statuses of requests over some seconds."""
    found = set()
    end = time.monotonic() + OBSERVED_SECONDS
    while time.monotonic() < end:
        if endpoint is not None:
            await fleet.send_heartbeat(endpoint)
        async with fleet.request(path, deadline_ms=400) as response:
            found.add(response.status)
    return found


async def test_a_route_of_a_newer_version_is_not_refused_as_unknown(fleet):
    """Guards against a gateway that obeys the version of a stale snapshot."""
    await start_without_quorum(fleet)
    assert await statuses(fleet, "/new/x") == {503}


async def test_no_request_runs_by_an_unconfirmed_version(fleet):
    """Guards against requests that run by a version that was replaced."""
    endpoint = FakeEndpoint("api-1")
    async with endpoint.running():
        await start_without_quorum(fleet)
        assert await statuses(fleet, "/a/x", endpoint) == {503}
        assert not endpoint.requests
