"""Resumed streams while endpoints of several software versions serve."""

import asyncio
import contextlib
import time

import pytest
from gateway_fleet import gateway_fleet, wait_until
from versioned_endpoints import (
    BREAKING_BODY,
    BROKEN_AFTER,
    OTHER_KEY,
    SECOND_GATEWAY,
    Stream,
    VersionedEndpoint,
    VersionedFleet,
    document,
)

STREAMS = 12
PATHS = {"chat": "/chat/x", "api": "/api/x"}
AT_ONCE_SECONDS = 1.0
"""Well below the time limit of the routes."""

pytestmark = pytest.mark.parametrize("service", PATHS)


@contextlib.asynccontextmanager
async def versioned_fleet(folder, service, versions):
    """Two gateways, and two endpoints of each software version."""
    async with (
        gateway_fleet(folder) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        versioned = VersionedFleet(fleet)
        await fleet.put_config(document())
        endpoints = [
            VersionedEndpoint(f"i-{version}-{number}", version, service)
            for version in versions
            for number in range(2)
        ]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.announced(fleet))
        await versioned.start_second_gateway()
        await versioned.wait_until_all_serve(endpoints, PATHS[service])
        yield versioned, endpoints


async def begin_streams(versioned, service, count=STREAMS, **options):
    streams = await asyncio.gather(
        *(versioned.begin(PATHS[service], **options) for _ in range(count))
    )
    assert len({stream.versions[0] for stream in streams}) > 1
    return streams


async def resume_streams(versioned, service, streams, gateway):
    await asyncio.gather(
        *(
            versioned.resume(stream, gateway, PATHS[service])
            for stream in streams
        )
    )


def check_all_went_on(streams):
    """Checks that each stream is whole and of one version."""
    assert [stream for stream in streams if stream.is_mixed] == []
    assert all(stream.is_whole and stream.is_complete for stream in streams)


@pytest.mark.parametrize("gateway", [0, 1], ids=["same", "another"])
async def test_a_resumed_stream_stays_at_its_software_version(
    tmp_path, service, gateway
):
    """Guards against a stream that goes on at an endpoint of another software
    version than the one that began it.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (fleet, _):
        streams = await begin_streams(fleet, service)
        await resume_streams(fleet, service, streams, gateway)
        check_all_went_on(streams)


@pytest.mark.parametrize("killed", [0, 1])
async def test_a_stream_stays_at_its_version_after_its_gateway_was_killed(
    tmp_path, service, killed
):
    """Guards against versions of streams that only the killed gateway knew,
    whether or not it was the broker.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (fleet, _):
        streams = await begin_streams(fleet, service, gateway=killed)
        name = SECOND_GATEWAY if killed else "gateway"
        await fleet.fleet.children[name].kill()
        await resume_streams(fleet, service, streams, 1 - killed)
        check_all_went_on(streams)


async def test_a_stream_stays_at_its_version_after_its_gateway_restarted(
    tmp_path, service
):
    """Guards against a gateway that, started again, resumes streams that it
    doesn't know at any version.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (
        fleet,
        endpoints,
    ):
        streams = await begin_streams(fleet, service)
        await fleet.restart("gateway")
        await fleet.wait_until_all_serve(endpoints, PATHS[service])
        await resume_streams(fleet, service, streams, 0)
        check_all_went_on(streams)


async def test_a_stream_taken_up_twice_stays_at_its_version(tmp_path, service):
    """Guards against forgetting the version of a stream that is taken up again
    at another gateway and back, each time under its first attempt.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (fleet, _):
        streams = await begin_streams(fleet, service)
        for stream in streams:
            await fleet.resume(stream, 1, PATHS[service], leave_after=2)
        await resume_streams(fleet, service, streams, 0)
        check_all_went_on(streams)


async def test_a_stream_without_an_endpoint_of_its_version_is_refused_at_once(
    tmp_path, service
):
    """Guards against resuming a stream at another version, or holding it until
    its deadline, when all endpoints of its version drain or are gone.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (
        fleet,
        endpoints,
    ):
        streams = await begin_streams(fleet, service)
        for endpoint in endpoints[:2]:
            endpoint.state = "draining"
            for host in range(3):
                await fleet.fleet.send_heartbeat(endpoint, "draining", host)

        async def none_gets_requests():
            for endpoint in endpoints[:2]:
                endpoint.requests.clear()
            for gateway in (0, 1) * 4:
                await fleet.send(Stream("probe"), gateway, PATHS[service])
            return not any(endpoint.requests for endpoint in endpoints[:2])

        await wait_until(none_gets_requests)
        for stream in streams:
            began_at = time.monotonic()
            text = await fleet.resume(stream, 1, PATHS[service])
            if stream.versions[0] == "v1":
                assert stream.statuses[-1] == 503
                assert '"not-run"' in text
                assert "version" in text
                assert time.monotonic() - began_at < AT_ONCE_SECONDS
        assert not any(stream.is_mixed for stream in streams)


async def test_a_stream_is_broken_off_if_no_endpoint_of_its_version_is_left(
    tmp_path, service
):
    """Guards against a response whose rest comes from another version, within
    one response and complete to its caller.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (
        fleet,
        endpoints,
    ):
        for endpoint in endpoints[1::2]:
            endpoint.state = "draining"
            for host in range(3):
                await fleet.fleet.send_heartbeat(endpoint, "draining", host)
        streams = [Stream(f"cut-{number}") for number in range(STREAMS)]
        for stream in streams:
            await fleet.send(stream, 0, PATHS[service], BREAKING_BODY)
        assert not any(stream.is_mixed for stream in streams)
        for stream in streams:
            if stream.statuses == [200] and not stream.is_whole:
                assert not stream.is_complete
                assert len(stream.numbers) == BROKEN_AFTER


async def test_a_stream_goes_on_in_its_response_at_another_endpoint(
    tmp_path, service
):
    """Guards against breaking streams off while another endpoint of their
    version serves.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (fleet, _):
        streams = [Stream(f"on-{number}") for number in range(STREAMS)]
        for stream in streams:
            await fleet.send(stream, 0, PATHS[service], BREAKING_BODY)
        check_all_went_on(streams)


async def test_an_unknown_stream_is_refused_while_versions_differ(
    tmp_path, service
):
    """Guards against resuming a stream whose version nobody knows, or one that
    another workspace has begun.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (fleet, _):
        path = PATHS[service]
        unknown = Stream("never-begun")
        unknown.numbers.append(2)
        foreign = await fleet.begin(path)
        nameless = await fleet.begin(path)
        await fleet.resume(unknown, 1, path)
        await fleet.resume(foreign, 1, path, **{"Api-Key": OTHER_KEY})
        await fleet.resume(nameless, 1, path, Resumes="")
        for stream in (unknown, foreign, nameless):
            assert stream.statuses[-1] == 503


async def test_streams_go_on_anywhere_while_one_version_serves(
    tmp_path, service
):
    """Guards against refusing streams of a service that has one version."""
    async with versioned_fleet(tmp_path, service, ("v1",)) as (fleet, _):
        streams = await asyncio.gather(
            *(fleet.begin(PATHS[service]) for _ in range(STREAMS))
        )
        await resume_streams(fleet, service, streams, 1)
        check_all_went_on(streams)


async def test_a_gateway_that_is_cut_off_resumes_no_stream_at_another_version(
    tmp_path, service
):
    """Guards against a gateway without control hosts and broker that resumes
    what it doesn't know, or holds it until its deadline.
    """
    async with versioned_fleet(tmp_path, service, ("v1", "v2")) as (fleet, _):
        streams = await begin_streams(fleet, service)
        unknown = Stream("never-begun")
        unknown.numbers.append(2)
        for name in ("control-0", "control-1", "control-2", "gateway"):
            await fleet.fleet.children[name].kill()
        await resume_streams(fleet, service, [*streams, unknown], 1)
        assert not any(stream.is_mixed for stream in streams)
        assert unknown.statuses == [503]


async def test_gateways_that_restart_after_a_release_under_the_same_names(
    tmp_path, service
):
    """Guards against resuming streams of a version that endpoints had before
    they started again under their names, which only lost gateways knew.
    """
    async with versioned_fleet(tmp_path, service, ("v1",)) as (
        fleet,
        endpoints,
    ):
        streams = await asyncio.gather(
            *(fleet.begin(PATHS[service]) for _ in range(STREAMS))
        )
        for endpoint in endpoints:
            endpoint.version, endpoint.born = "v2", 2
        await fleet.wait_until_all_serve(endpoints, PATHS[service])
        for name in ("gateway", SECOND_GATEWAY):
            await fleet.fleet.children[name].kill()
        for name in ("gateway", SECOND_GATEWAY):
            await fleet.fleet.start(name)
        await fleet.wait_until_all_serve(endpoints, PATHS[service])
        await resume_streams(fleet, service, streams, 1)
        assert [stream for stream in streams if stream.is_mixed] == []
