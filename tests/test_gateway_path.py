"""A gateway and control hosts as separate processes, end to end."""

import asyncio
import contextlib
import json
import shutil
import signal

import aiohttp
import pytest
from aiohttp import web
from gateway_fleet import (
    API_KEY,
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

from marjoramyard.standin.raw_responses import (
    BreakOffError,
    ConnectionEnd,
    Framing,
    RawResponse,
)


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        yield running


@pytest.fixture
async def endpoint(fleet):
    async with FakeEndpoint("i-1").running() as one:
        await fleet.send_heartbeat(one)
        await wait_until(fleet.is_serving)
        one.requests.clear()
        yield one


async def test_forwarded_requests_have_the_fleet_s_headers(fleet, endpoint):
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    await wait_until(lambda: responds_with(fleet, "/k/x", 401))
    headers = {"Api-Key": API_KEY, "Workspace": "somebody-else", "X-Mine": "1"}
    async with fleet.request("/k/x?q=1", data=b"body", headers=headers) as got:
        assert got.status == 200
        assert await got.text() == "echo body"
        assert got.headers["Answer-Signature"] == "by i-1"
    _, seen, _ = endpoint.requests[-1]
    assert seen["Workspace"] == "shop"
    assert seen["Target-Endpoint"] == "i-1"
    assert seen["X-Mine"] == "1"
    assert "Api-Key" not in seen
    assert 0 < int(seen["Request-Deadline-Ms"]) <= 2000


async def responds_with(fleet, path, status):
    async with fleet.request(path) as response:
        return response.status == status


async def test_unknown_paths_and_missing_keys_have_distinct_statuses(
    fleet, endpoint
):
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    await wait_until(lambda: responds_with(fleet, "/k/x", 401))
    assert await responds_with(fleet, "/nowhere/x", 404)
    assert endpoint.requests == []


async def test_a_revoked_key_is_refused(fleet, endpoint):
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    headers = {"Api-Key": API_KEY}

    async def allowed():
        async with fleet.request("/k/x", headers=headers) as response:
            return response.status == 200

    await wait_until(allowed)
    keyless = config(3, route("k", "/k/", open_access=False), keys=())
    await fleet.put_config(keyless)

    async def refused():
        return not await allowed()

    await wait_until(refused, seconds=5.0)


async def test_a_cut_off_gateway_stops_taking_keys(fleet, endpoint):
    """A partitioned gateway must not accept a key that may be revoked.

    All control hosts are suspended. Within the revocation time the gateway
    refuses requests with a key, and still serves routes without one.
    """
    await fleet.put_config(config(2, route("k", "/k/", open_access=False)))
    headers = {"Api-Key": API_KEY}

    async def status():
        async with fleet.request("/k/x", headers=headers) as response:
            return response.status

    async def is_allowed():
        return await status() == 200

    async def is_refused():
        return await status() == 503

    await wait_until(is_allowed)
    controls = [c for n, c in fleet.children.items() if n != "gateway"]
    for child in controls:
        child.suspend()
    await wait_until(is_refused, seconds=6.0)
    assert await fleet.is_serving()
    assert not await fleet.is_ready()
    for child in controls:
        child.resume()
    await wait_until(is_allowed)


async def test_a_draining_endpoint_gets_no_new_requests(fleet, endpoint):
    async with FakeEndpoint("i-2").running() as other:
        await fleet.send_heartbeat(other, host=1)
        await fleet.send_heartbeat(endpoint, "draining", host=2)
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

        async def other_is_used():
            before = len(other.requests)
            await fleet.is_serving()
            return len(other.requests) > before

        await wait_until(gateway_knows)
        await wait_until(other_is_used)
        endpoint.requests.clear()
        for _ in range(10):
            assert await fleet.is_serving()
        assert endpoint.requests == []


async def test_a_failed_idempotent_request_is_retried(fleet, endpoint):
    async def abort(request):
        request.transport.abort()
        return web.Response()

    endpoint.respond = abort
    async with FakeEndpoint("i-2").running() as other:
        await fleet.send_heartbeat(other)

        async def served_after_retry():
            # Retries need the second endpoint, which may not be known yet.
            return (
                await fleet.is_serving()
                and endpoint.requests
                and other.requests
            )

        await wait_until(served_after_retry)
        for _ in range(10):
            assert await fleet.is_serving()


async def test_a_failed_non_idempotent_request_is_not_retried(fleet, endpoint):
    """A retry could run the request twice.

    The endpoint aborts the connection after it got the request, so the
    outcome is unknown: the caller gets 502 and no other endpoint is tried.
    """
    await fleet.put_config(config(2, route("b", "/b/", kind="non_idempotent")))

    async def abort(request):
        request.transport.abort()
        return web.Response()

    endpoint.respond = abort
    async with FakeEndpoint("i-2").running() as other:
        other.respond = abort
        await fleet.send_heartbeat(other)
        await wait_until(lambda: responds_with(fleet, "/b/x", 502))
        endpoint.requests.clear()
        other.requests.clear()
        async with fleet.request("/b/x", id="once") as response:
            assert response.status == 502
        assert len(endpoint.requests) + len(other.requests) == 1


async def test_a_response_of_another_request_is_discarded(fleet, endpoint):
    """A response with the id of another request must not be delivered.

    A late response on a keep-alive connection has such an id.
    """

    async def respond_with_other_id(request):
        headers = {
            **endpoint.response_headers(request),
            "Request-Id": "other-request",
        }
        return web.Response(text="other response", headers=headers)

    endpoint.respond = respond_with_other_id
    async with fleet.request() as response:
        assert response.status == 502
        assert "other response" not in await response.text()


async def test_a_route_s_timeout_limits_a_request(fleet, endpoint):
    async def wait_forever(_):
        await asyncio.Event().wait()

    endpoint.respond = wait_forever
    async with fleet.request(deadline_ms=30_000) as response:
        assert response.status == 504


async def test_a_disconnected_caller_cancels_the_request(fleet, endpoint):
    cancelled = asyncio.Event()
    started = asyncio.Event()

    async def wait_until_cancelled(_):
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()

    endpoint.respond = wait_until_cancelled
    task = asyncio.create_task(fleet.is_serving())
    await started.wait()
    task.cancel()
    async with asyncio.timeout(5.0):
        await cancelled.wait()


def stream_events(request, endpoint, first, last, abort_after=False):
    """Streams numbered events; may abort in the middle of the next one."""

    async def respond():
        response = web.StreamResponse(
            headers=endpoint.response_headers(request)
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(first, last + 1):
            text = f"id: {number}\ndata: event {number}\n\n"
            await response.write(text.encode())
        if abort_after:
            await response.write(b"id: 99\nda")
            await asyncio.sleep(0)
            request.transport.abort()
        return response

    return respond()


STREAM = {"kind": "stream", "resumable": True}


async def test_a_failed_stream_is_resumed_at_another_endpoint(fleet, endpoint):
    """A stream that fails within an event is resumed elsewhere.

    The caller receives each event once, in order, and the stream completes.
    """
    await fleet.put_config(config(2, route("s", "/s/", **STREAM)))
    async with FakeEndpoint("i-2").running() as other:
        await fleet.send_heartbeat(other)

        async def respond(request, which):
            last = request.headers.get("Last-Event-Id")
            if last is None:
                return await stream_events(
                    request, which, 1, 3, abort_after=True
                )
            return await stream_events(request, which, int(last) + 1, 6)

        endpoint.respond = lambda request: respond(request, endpoint)
        other.respond = lambda request: respond(request, other)

        async def completed():
            async with fleet.request("/s/x") as response:
                if response.status != 200:
                    return None
                return await response.text()

        text = await wait_until(completed)
        received = [n for n in range(1, 7) if f"event {n}\n" in text]
        assert received == [1, 2, 3, 4, 5, 6]
        assert text.count("event 3\n") == 1
        assert "id: 99" not in text


@pytest.mark.parametrize(
    ("part", "connection_end"),
    [
        (b"id: 4\nda", ConnectionEnd.FIN),
        (b"id: 4\nda", ConnectionEnd.RST),
        (b"", ConnectionEnd.RST),
    ],
    ids=["inside-fin", "inside-rst", "between-rst"],
)
async def test_a_stream_without_a_length_is_resumed_at_another_endpoint(
    fleet, endpoint, part, connection_end
):
    """Guards against a broken-off stream that is completed instead of resumed,
    and against a resumed one that ends with its connection.
    """
    await fleet.put_config(config(2, route("s", "/s/", **STREAM)))
    events = [b"id: %d\ndata: event\n\n" % number for number in range(1, 7)]

    async def pieces(last_id):
        if last_id is not None:
            yield b"".join(events[int(last_id) :])
            return
        yield b"".join(events[:3])
        yield part
        raise BreakOffError

    async with FakeEndpoint("i-2").running() as other:
        await fleet.send_heartbeat(other)

        async def respond(request, which):
            last_id = request.headers.get("Last-Event-Id")
            return RawResponse(
                pieces(last_id),
                Framing.CLOSE,
                ConnectionEnd.FIN if last_id else connection_end,
                headers=which.response_headers(request)
                | {"Content-Type": "text/event-stream"},
            )

        endpoint.respond = lambda request: respond(request, endpoint)
        other.respond = lambda request: respond(request, other)

        async def completed():
            async with fleet.request("/s/x") as response:
                if response.status != 200:
                    return None
                return await response.read()

        assert await wait_until(completed) == b"".join(events)


async def test_a_stream_that_cannot_resume_is_truncated_visibly(
    fleet, endpoint
):
    await fleet.put_config(
        config(2, route("s", "/s/", kind="stream", max_attempts=1))
    )
    endpoint.respond = lambda request: stream_events(
        request, endpoint, 1, 3, abort_after=True
    )
    await wait_until(lambda: responds_with(fleet, "/s/x", 200))
    async with fleet.request("/s/x") as response:
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.text()


async def test_shutdown_completes_running_requests_and_refuses_new_ones(
    fleet, endpoint
):
    """SIGTERM must not truncate responses or stall keep-alive connections.

    The gateway gets SIGTERM while a request runs: it stops being ready,
    completes the request, and answers or closes open connections.
    """
    release = asyncio.Event()
    started = asyncio.Event()

    async def respond_later(request):
        started.set()
        await release.wait()
        return web.Response(
            text="slow", headers=endpoint.response_headers(request)
        )

    endpoint.respond = respond_later
    running = asyncio.create_task(response_text(fleet))
    await started.wait()
    child = fleet.children["gateway"]
    child.signal(signal.SIGTERM)

    async def not_ready():
        return not await fleet.is_ready()

    await wait_until(not_ready)
    release.set()
    assert await running == "slow"
    endpoint.respond = None
    statuses = []
    while child.is_running:
        with contextlib.suppress(aiohttp.ClientError):
            async with asyncio.timeout(3.0):
                async with fleet.request() as response:
                    statuses.append(response.status)
                    await response.read()
    assert set(statuses) <= {200, 503}
    assert child.process.returncode in (0, None)


async def response_text(fleet):
    async with fleet.request() as response:
        return await response.text()


async def test_idle_connections_do_not_use_up_the_descriptors(tmp_path):
    """The gateway closes its oldest idle connections near the limit.

    Without free descriptors it could not accept new connections.
    """
    async with gateway_fleet(tmp_path, max_descriptors=300) as fleet:
        host, port = fleet.listen_address.split(":")
        idle = [await asyncio.open_connection(host, port) for _ in range(80)]

        async def closed():
            return sum(reader.at_eof() for reader, _ in idle) >= 48

        await wait_until(closed)
        assert await responds_with(fleet, "/nowhere/x", 404)
        for _, writer in idle:
            writer.close()


async def test_settings_are_reloaded_on_sighup(fleet, endpoint):
    child = fleet.children["gateway"]
    child.signal(signal.SIGHUP)
    log = fleet.folder / "gateway.log"

    async def reloaded():
        return "settings_reloaded" in log.read_text()

    await wait_until(reloaded)
    assert child.is_running
    assert await fleet.is_serving()


async def test_a_host_without_data_is_replaced_automatically(fleet, endpoint):
    """A host that lost its disk becomes a voter again by itself.

    Two hosts lose their disks, one after the other; the acknowledged
    configuration is still read from every host.
    """
    for number in (0, 1):
        await fleet.put_config(config(10 + number), host=2)
        old = await voter_of_host(fleet, number)
        name = f"control-{number}"
        await fleet.children[name].kill()
        shutil.rmtree(fleet.folder / f"data-{number}")
        fleet.write_control_settings(
            number, fleet.hosts[number], first_start=False
        )
        await fleet.start(name)

        async def is_replaced(number=number, old=old):
            new = await voter_of_host(fleet, number)
            return new not in (None, old)

        await wait_until(is_replaced)

    async def all_hosts_agree():
        found = [await fleet.read_config(host) for host in range(3)]
        return all(
            status == 200 and text["version"] == 11 for status, text in found
        )

    await wait_until(all_hosts_agree)


async def voter_of_host(fleet, number):
    """Returns the voter at a host, or None unless there are three voters."""
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
