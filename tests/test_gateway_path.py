"""Gateways and self-forming control hosts, as separate processes."""

import asyncio
import contextlib
import json
import shutil
import signal

import aiohttp
import pytest
from aiohttp import web
from gateway_fleet import (
    KEY,
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    until,
)


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        yield running


@pytest.fixture
async def endpoint(fleet):
    async with FakeEndpoint("i-1").serving() as one:
        await fleet.tell(one)
        await until(fleet.served)
        one.seen.clear()
        yield one


async def test_a_request_is_served_with_our_headers_only(fleet, endpoint):
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    await until(lambda: fleet_has(fleet, "/k/x", 401))
    headers = {"Api-Key": KEY, "Workspace": "somebody-else", "X-Mine": "1"}
    async with fleet.request("/k/x?q=1", data=b"body", headers=headers) as got:
        assert got.status == 200
        assert await got.text() == "whole body"
        assert got.headers["Answer-Signature"] == "by i-1"
    _, seen, _ = endpoint.seen[-1]
    assert seen["Workspace"] == "shop"
    assert seen["Target-Endpoint"] == "i-1"
    assert seen["X-Mine"] == "1"
    assert "Api-Key" not in seen
    assert 0 < int(seen["Request-Deadline-Ms"]) <= 2000


async def fleet_has(fleet, path, status):
    async with fleet.request(path) as response:
        return response.status == status


async def test_an_unknown_path_and_a_wrong_key_are_told_apart(fleet, endpoint):
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    await until(lambda: fleet_has(fleet, "/k/x", 401))
    assert await fleet_has(fleet, "/nowhere/x", 404)
    assert endpoint.seen == []


async def test_a_key_that_was_taken_away_is_refused(fleet, endpoint):
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    headers = {"Api-Key": KEY}

    async def allowed():
        async with fleet.request("/k/x", headers=headers) as response:
            return response.status == 200

    await until(allowed)
    keyless = config(3, route("k", "/k/", open_access=False), keys=())
    await fleet.put_config(keyless)

    async def refused():
        return not await allowed()

    await until(refused, seconds=5.0)


async def test_a_cut_off_gateway_stops_taking_keys(fleet, endpoint):
    """A key that was taken away would go on working at a gateway cut off.

    All control hosts stand still, so nobody can tell the gateway of a
    change. Within the revocation time it refuses keys, says that nothing
    was run, and goes on serving what needs no key.
    """
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    headers = {"Api-Key": KEY}

    async def status():
        async with fleet.request("/k/x", headers=headers) as response:
            return response.status

    async def is_allowed():
        return await status() == 200

    async def is_refused():
        return await status() == 503

    await until(is_allowed)
    controls = [c for n, c in fleet.children.items() if n != "gateway"]
    for child in controls:
        child.freeze()
    await until(is_refused, seconds=6.0)
    assert await fleet.served()
    assert not await fleet.is_ready()
    for child in controls:
        child.thaw()
    await until(is_allowed)


async def test_a_draining_endpoint_gets_no_new_work(fleet, endpoint):
    async with FakeEndpoint("i-2").serving() as other:
        await fleet.tell(other, host=1)
        await fleet.tell(endpoint, "draining", host=2)
        log = fleet.folder / "gateway.log"

        async def gateway_knows():
            # The last line may be incomplete while it is written.
            lines = log.read_text().splitlines()
            events = [json.loads(line) for line in lines if line.endswith("}")]
            return any(
                event["event"] == "endpoint"
                and event["endpoint"] == "i-1"
                and event["state"] == "draining"
                for event in events
            )

        async def goes_to_the_other():
            before = len(other.seen)
            await fleet.served()
            return len(other.seen) > before

        await until(gateway_knows)
        await until(goes_to_the_other)
        endpoint.seen.clear()
        for _ in range(10):
            assert await fleet.served()
        assert endpoint.seen == []


async def test_a_broken_idempotent_request_runs_once_more(fleet, endpoint):
    async def broken(request):
        request.transport.abort()
        return web.Response()

    endpoint.answer = broken
    async with FakeEndpoint("i-2").serving() as other:
        await fleet.tell(other)

        async def served_after_a_break():
            # False until the gateway has heard of the second endpoint.
            return await fleet.served() and endpoint.seen and other.seen

        await until(served_after_a_break)
        for _ in range(10):
            assert await fleet.served()


async def test_a_booking_that_broke_is_never_sent_again(fleet, endpoint):
    """A customer's card would be charged twice.

    The endpoint takes the booking and its connection breaks. It may have
    run, so the caller is told 502, which promises nothing, and no other
    endpoint gets it.
    """
    await fleet.put_config(config(2, route("b", "/b/", kind="non_idempotent")))

    async def broken(request):
        request.transport.abort()
        return web.Response()

    endpoint.answer = broken
    async with FakeEndpoint("i-2").serving() as other:
        other.answer = broken
        await fleet.tell(other)
        await until(lambda: fleet_has(fleet, "/b/x", 502))
        endpoint.seen.clear()
        other.seen.clear()
        async with fleet.request("/b/x", id="once") as response:
            assert response.status == 502
        assert len(endpoint.seen) + len(other.seen) == 1


async def test_an_answer_of_another_request_reaches_nobody(fleet, endpoint):
    """A caller would read another caller's answer.

    The endpoint answers under another request's id, as an extra answer that
    came late on a kept connection does.
    """

    async def strangers(request):
        headers = {**endpoint.signed(request), "Request-Id": "stranger"}
        return web.Response(text="stranger's", headers=headers)

    endpoint.answer = strangers
    async with fleet.request() as response:
        assert response.status == 502
        assert "stranger's" not in await response.text()


async def test_a_route_s_timeout_ends_the_wait(fleet, endpoint):
    async def never(_):
        await asyncio.Event().wait()

    endpoint.answer = never
    async with fleet.request(deadline_ms=30_000) as response:
        assert response.status == 504


async def test_a_caller_that_leaves_ends_the_run(fleet, endpoint):
    left = asyncio.Event()
    begun = asyncio.Event()

    async def long(_):
        begun.set()
        try:
            await asyncio.Event().wait()
        finally:
            left.set()

    endpoint.answer = long
    task = asyncio.create_task(fleet.served())
    await begun.wait()
    task.cancel()
    async with asyncio.timeout(5.0):
        await left.wait()


def events(request, endpoint, first, last, break_after=False):
    """Answers with numbered events, and may break in the middle of one."""

    async def answer():
        response = web.StreamResponse(headers=endpoint.signed(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(first, last + 1):
            text = f"id: {number}\ndata: piece {number}\n\n"
            await response.write(text.encode())
        if break_after:
            await response.write(b"id: 99\nda")
            await asyncio.sleep(0)
            request.transport.abort()
        return response

    return answer()


STREAM = {"kind": "stream", "resumable": True}


async def test_a_stream_goes_on_at_another_endpoint(fleet, endpoint):
    """A fitting chat would stall in the middle of its answer.

    The first endpoint breaks off within an event. The caller sees each event
    once and in order, and the answer ends as a whole.
    """
    await fleet.put_config(config(2, route("s", "/s/", **STREAM)))
    async with FakeEndpoint("i-2").serving() as other:
        await fleet.tell(other)

        async def answer(request, which):
            last = request.headers.get("Last-Event-Id")
            if last is None:
                return await events(request, which, 1, 3, break_after=True)
            return await events(request, which, int(last) + 1, 6)

        endpoint.answer = lambda request: answer(request, endpoint)
        other.answer = lambda request: answer(request, other)

        async def whole():
            async with fleet.request("/s/x") as response:
                if response.status != 200:
                    return None
                return await response.text()

        text = await until(whole)
        pieces = [n for n in range(1, 7) if f"piece {n}\n" in text]
        assert pieces == [1, 2, 3, 4, 5, 6]
        assert text.count("piece 3\n") == 1
        assert "id: 99" not in text


async def test_a_stream_that_can_t_go_on_looks_cut(fleet, endpoint):
    await fleet.put_config(
        config(2, route("s", "/s/", kind="stream", max_attempts=1))
    )
    endpoint.answer = lambda request: events(
        request, endpoint, 1, 3, break_after=True
    )
    await until(lambda: fleet_has(fleet, "/s/x", 200))
    async with fleet.request("/s/x") as response:
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.text()


async def test_shutdown_answers_what_it_has_and_refuses_what_comes(
    fleet, endpoint
):
    """A caller's kept connection would meet silence, then a cut.

    SIGTERM comes while a request runs. Readiness goes at once, the request
    ends whole, and a connection that is kept open is answered or closed,
    never left waiting.
    """
    release = asyncio.Event()
    begun = asyncio.Event()

    async def slow(request):
        begun.set()
        await release.wait()
        return web.Response(text="slow", headers=endpoint.signed(request))

    endpoint.answer = slow
    running = asyncio.create_task(whole_text(fleet))
    await begun.wait()
    child = fleet.children["gateway"]
    child.signal(signal.SIGTERM)

    async def not_ready():
        return not await fleet.is_ready()

    await until(not_ready)
    release.set()
    assert await running == "slow"
    endpoint.answer = None
    statuses = []
    while child.is_running:
        with contextlib.suppress(aiohttp.ClientError):
            async with asyncio.timeout(3.0):
                async with fleet.request() as response:
                    statuses.append(response.status)
                    await response.read()
    assert set(statuses) <= {200, 503}
    assert child.process.returncode in (0, None)


async def whole_text(fleet):
    async with fleet.request() as response:
        return await response.text()


async def test_idle_connections_do_not_use_up_the_descriptors(tmp_path):
    """A caller would wait for a second or more and then be cut off.

    Callers leave connections open after each retry. The gateway closes the
    oldest idle ones before the next one can't be taken any more.
    """
    async with gateway_fleet(tmp_path, max_descriptors=300) as fleet:
        host, port = fleet.listen.split(":")
        idle = [await asyncio.open_connection(host, port) for _ in range(80)]

        async def closed():
            return sum(reader.at_eof() for reader, _ in idle) >= 48

        await until(closed)
        assert await fleet_has(fleet, "/nowhere/x", 404)
        for _, writer in idle:
            writer.close()


async def test_settings_are_taken_in_on_sighup(fleet, endpoint):
    child = fleet.children["gateway"]
    child.signal(signal.SIGHUP)
    log = fleet.folder / "gateway.log"

    async def reloaded():
        return "settings_reloaded" in log.read_text()

    await until(reloaded)
    assert child.is_running
    assert await fleet.served()


async def test_a_wiped_host_is_replaced_without_an_operator(fleet, endpoint):
    """An acknowledged change would be lost with the next disk.

    One control host loses its disk and comes back empty. It becomes a voter
    again by itself; then a second one loses its disk, and what was
    acknowledged before is still read from every host.
    """
    for number in (0, 1):
        await fleet.put_config(config(10 + number), host=2)
        old = await voter_at(fleet, number)
        name = f"control-{number}"
        await fleet.children[name].kill()
        shutil.rmtree(fleet.folder / f"data-{number}")
        fleet.write_control(number, fleet.hosts[number], first_start=False)
        await fleet.start(name)

        async def is_replaced(number=number, old=old):
            new = await voter_at(fleet, number)
            return new not in (None, old)

        await until(is_replaced)

    async def all_hosts_agree():
        found = [await fleet.read_config(host) for host in range(3)]
        return all(
            status == 200 and text["version"] == 11 for status, text in found
        )

    await until(all_hosts_agree)


async def voter_at(fleet, number):
    """Returns the only voter of a host once there are three voters."""
    url = f"http://{fleet.hosts[2]}:{fleet.peer_port}/control/v1/status"
    async with fleet.session.post(url, data=b"{}") as response:
        membership = (await response.json())["membership"]
    voters = membership["voters"]
    at = [
        voter
        for voter in voters
        if membership["addresses"][voter].startswith(fleet.hosts[number] + ":")
    ]
    return at[0] if len(voters) == 3 and len(at) == 1 else None
