"""Callers that close their sending side, at gateways and entries."""

import asyncio
import contextlib
import json
import socket
import time

import pytest
from aiohttp import web
from gateway_fleet import FakeEndpoint, config, gateway_fleet, route, wait_until
from raw_clients import http_request, wait_until_draining
from raw_connections import request_bytes
from test_forwarding import engine_that_holds_prompts, events, overload
from test_forwarding import fleet as forwarding_fleet  # noqa: F401

from marjoramyard.standin.local_fleet import (
    api_key,
    local_fleet,
    start_small_fleet,
)

CALLERS = 8
NOTICED_SECONDS = 0.5
TIMEOUT_SECONDS = 15.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


def send(address, data):
    host, _, port = address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.sendall(data)
    caller.setblocking(False)
    return caller


def send_and_half_close(address, requests):
    callers = [send(address, data) for data in requests]
    for caller in callers:
        caller.shutdown(socket.SHUT_WR)
    return callers


async def receive(caller):
    """Returns the response without interim ones, up to the end."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while data := await loop.sock_recv(caller, 1 << 16):
            received += data
    caller.close()
    return received.replace(CONTINUE, b"")


async def receive_all(callers):
    return await asyncio.gather(*map(receive, callers))


def read_and_close(caller):
    """Closes a connection of which nothing is unread, so by a FIN."""
    with contextlib.suppress(BlockingIOError):
        while caller.recv(1 << 16):
            continue
    caller.close()


class HoldingEndpoint(FakeEndpoint):
    """An endpoint that holds requests until the test releases them.

    Attributes:
        release: Set by the test.
        stopped_at: When it stopped requests whose connection was closed.
        events_first: How many events a stream has before it is held.
    """

    def __init__(self, name):
        super().__init__(name)
        self.release = asyncio.Event()
        self.release.set()
        self.stopped_at = []
        self.events_first = 0
        self.respond = self.hold

    async def hold(self, request):
        headers = self.response_headers(request)
        if not request.path.startswith("/s/"):
            await self.wait()
            return web.Response(text="whole", headers=headers)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        if self.events_first:
            await response.prepare(request)
        for _ in range(self.events_first):
            await response.write(EVENT)
        await self.wait()
        if not self.events_first:
            await response.prepare(request)
        await response.write(EVENT)
        await response.write_eof()
        return response

    async def wait(self):
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.stopped_at.append(time.monotonic())
            raise


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        routes = [
            route("once", "/once/", "non_idempotent", timeout_ms=9000),
            route("s", "/s/", "stream", timeout_ms=9000),
            route("n", "/n/", timeout_ms=9000),
        ]
        await running.put_config(config(2, *routes))
        yield running


@pytest.fixture
async def endpoint(fleet):
    async with HoldingEndpoint("i-1").running() as one:
        await fleet.send_heartbeat(one)
        for path in ("/n/x", "/s/x", "/once/x"):

            async def is_served(path=path):
                return await fleet.is_serving(path)

            await wait_until(is_served)
        one.requests.clear()
        one.release.clear()
        yield one
        one.release.set()


async def wait_until_run(endpoint, count):
    async def have_arrived():
        return len(endpoint.requests) >= count

    await wait_until(have_arrived)


def requests_to(path, count=CALLERS):
    return [
        request_bytes(f"{path}-{n}", path, deadline_ms=9000)
        for n in range(count)
    ]


async def request_lines(fleet, count, **fields):
    """Waits for lines `request` with these fields."""

    async def are_written():
        found = [
            line
            for line in events(fleet, "gateway", "request")
            if fields.items() <= line.items()
        ]
        return len(found) >= count

    return await wait_until(are_written)


@pytest.mark.parametrize("path", ["/n/x", "/once/x", "/s/x"])
@pytest.mark.parametrize("events_first", [0, 2])
async def test_a_gateway_answers_half_closed_callers(
    fleet, endpoint, path, events_first
):
    """Guards against connections that end without a response, some after an
    endpoint has run the request, as a closed sending side is taken for a
    caller that has left.
    """
    endpoint.events_first = events_first
    callers = send_and_half_close(fleet.listen_address, requests_to(path))
    await wait_until_run(endpoint, CALLERS)
    endpoint.release.set()
    for response in await receive_all(callers):
        assert response.startswith(b"HTTP/1.1 200")
        body = response.partition(b"\r\n\r\n")[2]
        if path == "/s/x":
            assert body.count(EVENT) == events_first + 1
            assert body.endswith(b"0\r\n\r\n")
        else:
            assert body == b"whole"
    assert endpoint.stopped_at == []
    assert len(endpoint.requests) == CALLERS
    await request_lines(fleet, CALLERS, half_closed=True, outcome="complete")


@pytest.mark.parametrize("path", ["/n/x", "/s/x"])
@pytest.mark.parametrize("events_first", [0, 2])
async def test_endpoints_stop_work_for_callers_that_close(
    fleet, endpoint, path, events_first
):
    """Guards against endpoints that work on for callers that have closed
    their connections, though these look like half-closed ones at first.
    """
    endpoint.events_first = events_first
    callers = [send(fleet.listen_address, r) for r in requests_to(path)]
    await wait_until_run(endpoint, CALLERS)
    if path == "/s/x" and events_first:
        loop = asyncio.get_running_loop()
        for caller in callers:
            received = b""
            while received.count(EVENT) < events_first:
                data = await loop.sock_recv(caller, 1 << 16)
                assert data
                received += data
    closed_at = time.monotonic()
    for caller in callers:
        read_and_close(caller)

    async def are_stopped():
        return len(endpoint.stopped_at) >= CALLERS

    await wait_until(are_stopped)
    seconds = max(endpoint.stopped_at) - closed_at
    print(f"stopped within {seconds:.3f} s")
    assert seconds < NOTICED_SECONDS
    await request_lines(fleet, CALLERS, half_closed=True, outcome="caller-left")


async def test_a_gateway_that_stops_answers_half_closed_callers(
    fleet, endpoint
):
    """Guards against half-closed callers that a stop drops, or that hold it
    up.
    """
    callers = send_and_half_close(fleet.listen_address, requests_to("/n/x"))
    await wait_until_run(endpoint, CALLERS)
    gateway = fleet.children["gateway"]
    stopping = asyncio.create_task(gateway.terminate(TIMEOUT_SECONDS))
    await wait_until_draining(gateway)
    endpoint.release.set()
    for response in await receive_all(callers):
        assert response.endswith(b"\r\n\r\nwhole")
    assert await stopping == 0


def prompts_to(path, count=CALLERS):
    lines = b"Prompt-Parts: aa:100,bb:50\r\nToken-Counts: 150,10\r\nHost:"
    return [
        request_bytes(f"{path}-{n}", path, deadline_ms=15_000).replace(
            b"Host:", lines, 1
        )
        for n in range(count)
    ]


async def test_forwarded_requests_of_half_closed_callers_are_answered(
    forwarding_fleet,  # noqa: F811
):
    """Guards against losing a request that a gateway has forwarded when its
    caller closes its sending side, and against work at the peer for callers
    that have closed.
    """
    fleet = forwarding_fleet
    async with engine_that_holds_prompts(fleet) as endpoint:
        held = await overload(fleet, endpoint)
        before = len(endpoint.requests)
        prompts = prompts_to("/chat/hold", 2 * CALLERS)
        address = fleet.listen_address
        callers = send_and_half_close(address, prompts[:CALLERS])
        leaving = [send(address, prompt) for prompt in prompts[CALLERS:]]
        await wait_until_run(endpoint, before + 2 * CALLERS)
        for caller in leaving:
            read_and_close(caller)

        async def are_noticed():
            lines = events(fleet, "gateway", "request_forwarded")
            left = [x for x in lines if x["outcome"] == "caller-left"]
            return len(left) == CALLERS

        await wait_until(are_noticed)
        endpoint.release.set()
        for response in await receive_all(callers):
            assert response.startswith(b"HTTP/1.1 200")
            assert response.endswith(b"\r\n\r\ndone")
        await asyncio.gather(*held)
    forwarded = {
        line["id"]: line["outcome"]
        for line in events(fleet, "gateway", "request_forwarded")
        if line["half_closed"]
    }
    answered = [o for o in forwarded.values() if o == "forwarded"]
    assert len(answered) == CALLERS


async def test_half_closed_callers_wait_for_the_broker(forwarding_fleet):  # noqa: F811
    """Guards against dropping a request that waits for a grant."""
    fleet = forwarding_fleet
    chat = route("chat", "/chat/", "stream", service="chat")
    chat |= {"timeout_ms": 20_000, "objective_ms": 9000}
    document = config(3, chat)
    engine = {"slots": 1, "memory_tokens": 10_000_000}
    document["services"].append({"name": "chat", "engine": engine})
    document["limits"] = {"tokens_per_s": 1_000_000}
    await fleet.put_config(document)
    async with engine_that_holds_prompts(fleet) as endpoint:
        paths = iter(range(1000))

        async def engine_is_known():
            (caller,) = [
                send(fleet.listen_address, prompt)
                for prompt in prompts_to(f"/chat/{next(paths)}", 1)
            ]
            caller.shutdown(socket.SHUT_WR)
            return (await receive(caller)).startswith(b"HTTP/1.1 200")

        await wait_until(engine_is_known)
        prompts = prompts_to("/chat/hold")
        callers = send_and_half_close(fleet.listen_address, prompts)
        await asyncio.sleep(1.0)
        endpoint.release.set()
        for response in await receive_all(callers):
            assert response.startswith(b"HTTP/1.1 200")
            assert response.endswith(b"\r\n\r\ndone")


def chat_request(tokens, stream):
    message = {"role": "user", "content": "Which boots?"}
    body = {"model": "chat", "messages": [message], "max_tokens": tokens}
    return http_request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body | {"stream": stream}).encode(),
        Authorization=f"Bearer {api_key('counter')}",
    )


@pytest.fixture
async def entry_fleet(tmp_path, bundle):
    async with local_fleet(tmp_path / "fleet") as fleet:
        await start_small_fleet(fleet, bundle, control=1, entries=0)
        await fleet.start_entry("entry-1", drain_seconds=10.0)
        await fleet.start_agent("chat-1", drain_seconds=10.0)
        await fleet.start_endpoint("chat-1", "engine", "chat")
        await fleet.wait_until_serving("chat-1")
        yield fleet


@pytest.mark.parametrize("stream", [False, True])
async def test_an_entry_answers_half_closed_callers(entry_fleet, stream):
    """Guards against an entry that drops half-closed callers."""
    address = entry_fleet.entries["entry-1"]
    requests = [chat_request(40, stream)] * CALLERS
    callers = send_and_half_close(address, requests)
    for response in await receive_all(callers):
        assert response.startswith(b"HTTP/1.1 200")
        if stream:
            assert b"data: [DONE]\n\n" in response
            assert response.endswith(b"0\r\n\r\n")
    counters = await entry_fleet.counters("chat-1")
    assert counters["cancelled"] == 0


@pytest.mark.parametrize("stream", [False, True])
async def test_an_entry_stops_work_for_callers_that_close(entry_fleet, stream):
    """Guards against endpoints that work on for callers that have closed
    their connections to an entry.
    """
    address = entry_fleet.entries["entry-1"]
    count = 4
    callers = [send(address, chat_request(2000, stream)) for _ in range(count)]

    async def are_running():
        return (await entry_fleet.counters("chat-1"))["running"] == count

    await wait_until(are_running)
    closed_at = time.monotonic()
    for caller in callers:
        read_and_close(caller)

    async def are_stopped():
        return (await entry_fleet.counters("chat-1"))["cancelled"] == count

    await wait_until(are_stopped)
    seconds = time.monotonic() - closed_at
    print(f"stopped within {seconds:.3f} s")
    assert seconds < NOTICED_SECONDS
