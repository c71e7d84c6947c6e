"""Resumed streams after all control hosts and gateways have lost power."""

import asyncio
import contextlib
import time

import aiohttp
import pytest
from gateway_fleet import gateway_fleet, wait_until
from versioned_endpoints import (
    SECOND_GATEWAY,
    Stream,
    VersionedEndpoint,
    VersionedFleet,
    document,
)

PATH = "/api/x"
STREAMS = 12
LIMIT_MS = 2000
PROCESSES = ("control-0", "control-1", "control-2", "gateway", SECOND_GATEWAY)
DOWN_SECONDS = 1.0
TAKE_UP_SECONDS = 24.0
"""Longer than the time limit of a stream and the 15 s for which it is
remembered, from when the processes are back."""
TAKE_UP_PAUSE_SECONDS = 0.4
SOON_SECONDS = 5.0
"""Within this time after their start gateways have heard of all endpoints."""


@contextlib.asynccontextmanager
async def running_fleet(folder, *names_and_versions):
    """Two gateways and the endpoints of one service."""
    async with (
        gateway_fleet(folder) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        versioned = VersionedFleet(fleet)
        await fleet.put_config(document(timeout_ms=LIMIT_MS))
        endpoints = [
            VersionedEndpoint(name, version, "api")
            for name, version in names_and_versions
        ]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.announced(fleet))
        await versioned.start_second_gateway()
        await versioned.wait_until_all_serve(endpoints, PATH)
        yield versioned, endpoints


async def lose_power(versioned):
    """Kills all processes at once, and starts them again."""
    children = versioned.fleet.children
    for name in PROCESSES:
        children[name].process.kill()
    await asyncio.gather(*(children[name].kill() for name in PROCESSES))
    for number, host in enumerate(versioned.fleet.hosts):
        versioned.fleet.write_control_settings(number, host, first_start=False)
    await asyncio.sleep(DOWN_SECONDS)
    for name in PROCESSES:
        await versioned.fleet.start(name)


async def take_up_for(versioned, streams, seconds):
    """Takes streams up until each has ended or the time is over."""
    until = time.monotonic() + seconds

    async def take_up(number, stream):
        while time.monotonic() < until and not stream.is_complete:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                await versioned.resume(stream, number % 2, PATH)
            await asyncio.sleep(TAKE_UP_PAUSE_SECONDS)

    await asyncio.gather(*(take_up(*each) for each in enumerate(streams)))


async def wait_until_unused(versioned, endpoints):
    """Waits until neither gateway sends requests to endpoints that leave."""

    async def are_unused():
        for endpoint in endpoints:
            endpoint.requests.clear()
        for gateway in (0, 1) * 4:
            await versioned.send(Stream("probe"), gateway, PATH)
        return not any(endpoint.requests for endpoint in endpoints)

    await wait_until(are_unused)


async def begin_streams(versioned):
    return await asyncio.gather(
        *(versioned.begin(PATH, number % 2) for number in range(STREAMS))
    )


def is_mixed(streams):
    return [stream.versions for stream in streams if stream.is_mixed]


@pytest.mark.parametrize("keeps_names", [True, False])
async def test_no_stream_goes_on_at_the_version_that_replaced_its_own(
    tmp_path, keeps_names
):
    """Guards against streams joined from two versions, as nobody knows of the
    former one once all processes have lost power.
    """
    names = [("i-0", "v1"), ("i-1", "v1")]
    if not keeps_names:
        names += [("i-2", "v2"), ("i-3", "v2")]
    async with running_fleet(tmp_path, *names) as (versioned, endpoints):
        streams = await begin_streams(versioned)
        for endpoint in endpoints[:2]:
            if keeps_names:
                endpoint.version, endpoint.born = "v2", 2
            else:
                endpoint.state = "draining"
        remaining = endpoints if keeps_names else endpoints[2:]
        await versioned.wait_until_all_serve(remaining, PATH)
        begun_before = [s for s in streams if s.versions[0] == "v1"]
        assert begun_before
        if not keeps_names:
            await wait_until_unused(versioned, endpoints[:2])
            for endpoint in endpoints[:2]:
                endpoint.state = ""
        await lose_power(versioned)
        await take_up_for(versioned, begun_before, TAKE_UP_SECONDS)
        assert is_mixed(begun_before) == []


async def test_streams_go_on_at_once_if_there_was_one_version(tmp_path):
    """Guards against refusing streams until nobody can take them up any more,
    though the service has had one version only.
    """
    names = [("i-0", "v1"), ("i-1", "v1")]
    async with running_fleet(tmp_path, *names) as (versioned, _):
        streams = await begin_streams(versioned)
        await lose_power(versioned)
        await wait_until(versioned.fleet.is_ready)
        await take_up_for(versioned, streams, SOON_SECONDS)
        assert all(stream.is_complete for stream in streams)
        assert is_mixed(streams) == []


async def test_no_stream_changes_its_version_while_both_serve(tmp_path):
    """Guards against streams joined from two versions that serve on."""
    names = [("i-0", "v1"), ("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2")]
    async with running_fleet(tmp_path, *names) as (versioned, _):
        streams = await begin_streams(versioned)
        await lose_power(versioned)
        await take_up_for(versioned, streams, TAKE_UP_SECONDS)
        assert is_mixed(streams) == []
