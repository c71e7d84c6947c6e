"""Gateways that are out of step while a new software version joins."""

import asyncio
import contextlib

import pytest
from cut_links import Cut, relayed_control_hosts
from gateway_fleet import gateway_fleet, wait_until
from raw_clients import wait_until_suspended
from versioned_endpoints import (
    SECOND_GATEWAY,
    Stream,
    VersionedEndpoint,
    VersionedFleet,
    document,
)

from marjoramyard.fleet.paths import (
    ANNOUNCE_PATH,
    CONFIRM_VERSIONS_PATH,
    STATUS_PATH,
)

PATH = "/api/x"
STREAMS = 12
MARKS = (SECOND_GATEWAY.encode(), CONFIRM_VERSIONS_PATH.encode())
"""What only the second gateway sends to control hosts."""
ANNOUNCEMENTS = 1_000_000
"""More than control hosts send in a test."""
WAKES_AFTER_SECONDS = 0.2
"""From when the requests are sent until the gateway wakes up."""
PAUSE_SECONDS = 1.0
"""Long enough for a gateway to notice that it was suspended."""
GOES_ON_SECONDS = 8.0
REVOKE_SECONDS = 5.0
"""Within this time after the acknowledgement a revoked key is refused."""
HELD_SECONDS = 3.0
"""Longer than streams wait for a leader, and shorter than their time limit."""


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
        versioned.endpoints = endpoints
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


async def join(versioned, stack, version, hosts=range(3)):
    """Lets two endpoints of a software version join."""
    for number in (0, 1):
        endpoint = VersionedEndpoint(f"{version}-{number}", version, "api")
        endpoint.hosts = hosts
        await stack.enter_async_context(endpoint.announced(versioned.fleet))


async def resume_all(versioned, streams, **options):
    await asyncio.gather(
        *(versioned.resume(stream, 1, PATH, **options) for stream in streams)
    )


def mixed(streams):
    return [stream.versions for stream in streams if stream.is_mixed]


async def go_on(versioned, streams):
    """Takes streams up until each has ended."""

    async def have_ended():
        left = [stream for stream in streams if not stream.is_complete]
        await resume_all(versioned, left)
        return all(stream.is_complete for stream in streams)

    await wait_until(have_ended, GOES_ON_SECONDS)


async def find_leader(fleet):
    """Returns the name of the control host that leads."""

    async def name():
        for number, host in enumerate(fleet.hosts):
            url = f"http://{host}:{fleet.peer_port}{STATUS_PATH}"
            async with fleet.session.post(url, data=b"{}") as response:
                if (await response.json())["role"] == "leader":
                    return f"control-{number}"
        return ""

    return await wait_until(name)


NAMED_OR_NOT = pytest.mark.parametrize(
    "resumes", [{}, {"Resumes": ""}], ids=["named", "not"]
)


@NAMED_OR_NOT
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
        await go_on(versioned, streams)
        assert mixed(streams) == []
        assert all(stream.is_whole for stream in streams)


async def test_two_versions_join_while_a_gateway_is_suspended(tmp_path):
    """Guards against streams of two releases at once that go on at a third
    version, or at each other's.
    """
    async with versioned_fleet(tmp_path) as (versioned, stack):
        async with suspended(versioned.fleet.children[SECOND_GATEWAY]):
            await join(versioned, stack, "v2")
            await join(versioned, stack, "v3")
            streams = await begin_streams_of(versioned, "v2", 6)
            streams += await begin_streams_of(versioned, "v3", 6)
            taken_up = asyncio.create_task(
                resume_all(versioned, streams, Resumes="")
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        await taken_up
        await go_on(versioned, streams)
        assert mixed(streams) == []


@NAMED_OR_NOT
async def test_a_leader_that_wakes_up_with_a_gateway_confirms_nothing_old(
    tmp_path, resumes
):
    """Guards against a leader that was replaced while it was suspended, and
    tells a gateway of the versions that it knew.
    """
    async with versioned_fleet(tmp_path) as (versioned, stack):
        children = versioned.fleet.children
        leader = children[await find_leader(versioned.fleet)]
        async with suspended(leader), suspended(children[SECOND_GATEWAY]):
            await join(versioned, stack, "v2")
            streams = await begin_streams_of(versioned, "v2")
            taken_up = asyncio.create_task(
                resume_all(versioned, streams, **resumes)
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        await taken_up
        await go_on(versioned, streams)
        assert mixed(streams) == []


async def test_streams_go_on_while_a_leader_that_hangs_is_replaced(tmp_path):
    """Guards against streams of the only version that are refused for good, or
    held, while no control host can confirm it.
    """
    async with versioned_fleet(tmp_path) as (versioned, _):
        leader = await find_leader(versioned.fleet)
        streams = await begin_streams_of(versioned, "v1")
        async with suspended(versioned.fleet.children[leader]):
            async with asyncio.timeout(HELD_SECONDS):
                await resume_all(versioned, streams, Resumes="")

            async def have_ended():
                left = [s for s in streams if not s.is_complete]
                await resume_all(versioned, left, Resumes="")
                return all(stream.is_complete for stream in streams)

            await wait_until(have_ended, GOES_ON_SECONDS)
        assert {s for stream in streams for s in stream.statuses} <= {200, 503}


@NAMED_OR_NOT
@pytest.mark.parametrize("cut", Cut)
async def test_a_gateway_that_is_cut_off_knows_no_sole_version(
    tmp_path, cut, resumes
):
    """Guards against a gateway that is cut off from the control hosts in one
    direction or both, and resumes streams at the only version that it knows.
    """
    async with (
        versioned_fleet(tmp_path) as (versioned, stack),
        relayed_control_hosts(versioned.fleet, *MARKS) as links,
    ):
        known = await begin_streams_of(versioned, "v1")
        with links.cut(cut):
            await join(versioned, stack, "v2")
            streams = await begin_streams_of(versioned, "v2")
            await resume_all(versioned, streams + known, **resumes)
        await go_on(versioned, streams + known)
        assert mixed(streams + known) == []
        assert all(stream.is_whole for stream in streams + known)


def start_again(endpoint, version):
    """Starts an endpoint again under its name, at another version.

    Its events come faster than a gateway can hear of that.
    """
    endpoint.version, endpoint.born = version, 2
    endpoint.event_seconds = 0.0


async def test_a_gateway_that_wakes_up_hears_of_endpoints_that_started_again(
    tmp_path,
):
    """Guards against a gateway that was suspended while endpoints started again
    under their names at another version, and takes them for what they were.
    """
    async with versioned_fleet(tmp_path) as (versioned, _):
        streams = await begin_streams_of(versioned, "v1")
        async with suspended(versioned.fleet.children[SECOND_GATEWAY]):
            for endpoint in versioned.endpoints:
                start_again(endpoint, "v2")
            await begin_streams_of(versioned, "v2", 4)
            await asyncio.sleep(PAUSE_SECONDS)
            taken_up = asyncio.create_task(resume_all(versioned, streams))
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        await taken_up
        assert mixed(streams) == []


async def test_a_stream_that_a_gateway_begins_as_it_wakes_up_is_of_its_version(
    tmp_path,
):
    """Guards against recording a stream at the version that its endpoint had
    before the gateway was suspended.
    """
    async with versioned_fleet(tmp_path) as (versioned, _):
        second = versioned.fleet.children[SECOND_GATEWAY]
        async with suspended(second):
            start_again(versioned.endpoints[0], "v2")
            await begin_streams_of(versioned, "v2", 4)
            await asyncio.sleep(PAUSE_SECONDS)
            begun = asyncio.gather(
                *(versioned.begin(PATH, gateway=1) for _ in range(STREAMS))
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        streams = await begun
        await asyncio.gather(
            *(versioned.resume(stream, 0, PATH) for stream in streams)
        )
        assert all(stream.versions for stream in streams)
        assert mixed(streams) == []


async def test_a_gateway_that_wakes_up_serves_no_key_that_was_revoked(tmp_path):
    """Guards against a gateway that, in its first moment after a pause, serves
    with a key that was revoked during it.
    """
    async with versioned_fleet(tmp_path) as (versioned, _):
        second = versioned.fleet.children[SECOND_GATEWAY]
        revoked = document() | {"version": 3}
        revoked["workspaces"] = revoked["workspaces"][1:]
        async with suspended(second):
            await versioned.fleet.put_config(revoked)
            await asyncio.sleep(REVOKE_SECONDS)
            for endpoint in versioned.endpoints:
                endpoint.requests.clear()
            streams = [Stream(f"revoked-{n}") for n in range(STREAMS)]
            sent = asyncio.gather(
                *(versioned.send(stream, 1, PATH) for stream in streams)
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        await sent
        assert not any(endpoint.requests for endpoint in versioned.endpoints)
        assert all(stream.statuses != [200] for stream in streams)


async def test_a_leader_that_wakes_up_tells_no_old_configuration(tmp_path):
    """Guards against a control host that was replaced as the leader while it
    was suspended, and answers a read by what it had.
    """
    async with versioned_fleet(tmp_path) as (versioned, _):
        fleet = versioned.fleet
        leader = await find_leader(fleet)
        number = int(leader.removeprefix("control-"))
        async with suspended(fleet.children[leader]):
            newer = document() | {"version": 3}
            await fleet.put_config(newer, host=(number + 1) % 3)
            reads = asyncio.gather(
                *(fleet.read_config(number) for _ in range(STREAMS))
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        for status, found in await reads:
            assert status >= 500 or found["version"] == 3


async def test_a_version_that_the_leader_has_not_heard_of_is_recorded(tmp_path):
    """Guards against streams of a version that one gateway uses, as it has
    waited long enough for its record, and that only a follower has told it of.
    """
    async with (
        versioned_fleet(tmp_path) as (versioned, stack),
        relayed_control_hosts(versioned.fleet, *MARKS) as links,
    ):
        leader = await find_leader(versioned.fleet)
        follower = next(n for n in range(3) if leader != f"control-{n}")
        for relay in links.relays:
            relay.resets_on = f"POST {ANNOUNCE_PATH}".encode()
            relay.resets_left = ANNOUNCEMENTS
        links.relays[follower].drops_marked = Cut.BOTH.drops
        await join(versioned, stack, "v2", [follower])
        streams = await begin_streams_of(versioned, "v2")
        await resume_all(versioned, streams, Resumes="")
        assert await find_leader(versioned.fleet) == leader
        assert mixed(streams) == []
        confirmed = await confirm_versions(versioned.fleet, leader)
        assert ["api", "v2"] in confirmed["versions"]


async def confirm_versions(fleet, leader):
    """Returns the versions that the leader confirms."""
    host = fleet.hosts[int(leader.removeprefix("control-"))]
    url = f"http://{host}:{fleet.peer_port}{CONFIRM_VERSIONS_PATH}"
    question = {"services": ["api"], "versions_revision": -1}
    async with fleet.session.post(url, json=question) as response:
        assert response.status == 200
        return await response.json()


async def test_a_gateway_that_wakes_up_sends_nothing_to_endpoints_that_left(
    tmp_path,
):
    """Guards against requests to endpoints whose departure was acknowledged
    while a gateway was suspended.
    """
    async with versioned_fleet(tmp_path) as (versioned, _):
        fleet = versioned.fleet
        leaving, staying = versioned.endpoints
        async with suspended(fleet.children[SECOND_GATEWAY]):
            leaving.state = ""
            url = f"http://{fleet.operator_addresses[0]}/registrations/"
            async with fleet.session.delete(url + leaving.name) as response:
                assert response.status == 200
            await asyncio.sleep(PAUSE_SECONDS)
            leaving.requests.clear()
            streams = [Stream(f"late-{number}") for number in range(STREAMS)]
            sent = asyncio.gather(
                *(versioned.send(stream, 1, PATH) for stream in streams)
            )
            await asyncio.sleep(WAKES_AFTER_SECONDS)
        await sent
        assert leaving.requests == []
        assert all(stream.statuses == [200] for stream in streams)
