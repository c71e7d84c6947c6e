"""Gateways that are out of step while a new software version joins."""

import asyncio
import contextlib

import pytest
from gateway_fleet import gateway_fleet, wait_until
from raw_clients import wait_until_suspended
from versioned_endpoints import (
    SECOND_GATEWAY,
    VersionedEndpoint,
    VersionedFleet,
    document,
)

PATH = "/api/x"
STREAMS = 12
WAKES_AFTER_SECONDS = 0.2
"""From when the requests are sent until the gateway wakes up."""
RETRY_SECONDS = 0.4
GOES_ON_SECONDS = 8.0


@contextlib.asynccontextmanager
async def versioned_fleet(folder):
    """Two gateways, and two endpoints of the first software version."""
    async with (
        gateway_fleet(folder) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        versioned = VersionedFleet(fleet)
        await fleet.put_config(document())
        endpoints = [VersionedEndpoint(f"old-{n}", "v1", "api") for n in (0, 1)]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.announced(fleet))
        await versioned.start_second_gateway()
        await versioned.wait_until_all_serve(endpoints, PATH)
        yield versioned, stack


async def begin_streams_of(versioned, version, count=STREAMS):
    """Begins streams at the first gateway until enough are of a version."""
    streams = []

    async def are_enough():
        begun = await asyncio.gather(*(versioned.begin(PATH) for _ in range(4)))
        streams.extend(s for s in begun if s.versions[:1] == [version])
        return len(streams) >= count

    await wait_until(are_enough)
    return streams


@contextlib.asynccontextmanager
async def suspended(child):
    """Suspends a process."""
    child.suspend()
    await wait_until_suspended(child)
    try:
        yield
    finally:
        child.resume()


async def join(versioned, stack, version):
    """Lets two endpoints of a software version join."""
    for number in (0, 1):
        endpoint = VersionedEndpoint(f"{version}-{number}", version, "api")
        await stack.enter_async_context(endpoint.announced(versioned.fleet))


async def resume_all(versioned, streams, **options):
    await asyncio.gather(
        *(versioned.resume(stream, 1, PATH, **options) for stream in streams)
    )


def mixed(streams):
    return [stream.versions for stream in streams if stream.is_mixed]


@pytest.mark.parametrize("resumes", [{}, {"Resumes": ""}], ids=["named", "not"])
async def test_a_gateway_that_wakes_up_knows_no_sole_version(tmp_path, resumes):
    """Guards against a gateway that was suspended while a software version
    joined, and resumes its streams at the only one that it knows.
    """
    async with versioned_fleet(tmp_path) as (versioned, stack):
        second = versioned.fleet.children[SECOND_GATEWAY]
        async with suspended(second):
            await join(versioned, stack, "v2")
            streams = await begin_streams_of(versioned, "v2")
            taken_up = asyncio.create_task(
                resume_all(versioned, streams, **resumes)
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        await taken_up
        assert mixed(streams) == []
