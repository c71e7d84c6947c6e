"""Requests that a gateway forwards to another one."""

import asyncio
import contextlib

import pytest

from marjoramyard.fleet.gateway.chunked_body import ChunkedBody
from marjoramyard.fleet.gateway.early_refusal import EarlyRefusal, parse_head
from marjoramyard.fleet.gateway.peer_connections import PeerConnections
from marjoramyard.fleet.gateway.peer_forwarding import (
    DEADLINE_MARGIN_SECONDS,
    ForwardedRequest,
    ForwardingFailures,
    ForwardingPlan,
    PeerSelector,
    can_forward,
    closing_request,
)
from marjoramyard.fleet.half_closed import CONTINUE
from marjoramyard.fleet.listener import Listener, ListenerSite
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until

from aiohttp import web  # isort: skip

TIMEOUT_SECONDS = 10.0
FAILURES = ForwardingFailures(
    b"HTTP/1.1 503 not-sent\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 502 lost\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 504 timed-out\r\nContent-Length: 0\r\n\r\n",
    b"leaving",
)


def request_bytes(body=b"", *headers):
    lines = ["POST /chat HTTP/1.1", "Host: h", *headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Peer:
    """Another gateway, which answers as the test says.

    Attributes:
        received: All bytes of the request.
        respond: Called with the reader and the writer once the request is in.
        is_closed: Set when the connection has been closed.
    """

    def __init__(self, respond):
        self.received = b""
        self.respond = respond
        self.is_closed = asyncio.Event()

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length: ")[2].split()[0])
        self.received = head + await reader.readexactly(size)
        with contextlib.suppress(ConnectionError):
            await self.respond(reader, writer)
        writer.close()
        self.is_closed.set()


class ForwardingGateway:
    """An overloaded gateway that forwards each request to one peer."""

    def __init__(self, peer, seconds_left=5.0):
        self.peer = peer
        self.seconds_left = seconds_left
        self.outcomes = []
        self.has_started = False

    def start(self, head, data, caller):
        self.has_started = True
        plan = ForwardingPlan(self.peer, "id", self.seconds_left, FAILURES)
        forwarded = ForwardedRequest(plan, caller, self.on_end)
        forwarded.send(closing_request(head, data))
        self.forwarded = forwarded
        return forwarded

    def on_end(self, _request, outcome):
        self.outcomes.append(outcome)

    def wrap(self, inner, is_idle):
        return EarlyRefusal(
            inner,
            is_idle,
            lambda: True,
            lambda head: None,
            start_forwarding=self.start,
        )


@contextlib.asynccontextmanager
async def gateway_of(peer_address, **options):
    """Yields a forwarding gateway and a connection of a caller to it."""
    gateway = ForwardingGateway(peer_address, **options)
    runner = web.AppRunner(web.Application())
    await runner.setup()
    site = ListenerSite(
        runner,
        Listener("", Metrics("gateway", "g")),
        "127.0.0.1",
        0,
        gateway.wrap,
    )
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        yield gateway, reader, writer
    writer.close()
    await runner.cleanup()


@contextlib.asynccontextmanager
async def forwarding(respond, **options):
    """Yields a peer, a gateway that forwards to it, and a caller."""
    peer = Peer(respond)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with gateway_of(address, **options) as (gateway, reader, writer):
        yield peer, gateway, reader, writer
    server.close()


RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
LARGE_BODY_BYTES = 12 << 20
"""More than the kernel buffers for a connection."""
MAX_BUFFERED_BYTES = 1 << 18


async def respond_whole(reader, writer):
    """Responds, unless bytes follow the request."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.readexactly(1)
            return
    writer.write(RESPONSE[:20])
    await writer.drain()
    writer.write(RESPONSE[20:])


@pytest.mark.parametrize("cut", [80, 100, 2000])
async def test_a_forwarded_request_and_its_response_arrive_whole(cut):
    """Guards against bytes that are lost, repeated or sent to another caller.

    Bytes after the request are discarded: they may be part of an attempt to
    smuggle a request past the gateway.
    """
    data = request_bytes(b"x" * 3000, "Connection: keep-alive")
    async with forwarding(respond_whole) as (peer, gateway, reader, writer):
        writer.write(data[:cut])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(data[cut:] + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
        assert await reader.read() == RESPONSE
    head, _, body = peer.received.partition(b"\r\n\r\n")
    assert body == b"x" * 3000
    assert head.lower().count(b"\r\nconnection:") == 1
    assert b"\r\nConnection: close" in head
    assert gateway.outcomes == ["forwarded"]


async def test_an_unreachable_peer_did_not_run_the_request():
    """Guards against a request that is lost because its peer is gone."""
    async with gateway_of("127.0.0.1:1") as (gateway, reader, writer):
        writer.write(request_bytes())
        assert await reader.read() == FAILURES.not_sent
    assert gateway.outcomes == ["not-sent"]


@pytest.mark.parametrize("peer", ["", "[::1", "127.0.0.1:70000", "host:80"])
async def test_a_peer_that_can_t_be_called_did_not_run_the_request(peer):
    """Guards against callers that wait for a peer with an odd address."""
    async with gateway_of(peer) as (gateway, reader, writer):
        writer.write(request_bytes())
        async with asyncio.timeout(5.0):
            assert await reader.read() == FAILURES.not_sent
    assert gateway.outcomes == ["not-sent"]


async def test_the_outcome_of_a_request_of_a_lost_peer_is_unknown():
    """Guards against "not run" of a request that may have run."""

    async def close(_reader, _writer):
        pass

    async with forwarding(close) as (_, gateway, reader, writer):
        writer.write(request_bytes())
        assert await reader.read() == FAILURES.lost
    assert gateway.outcomes == ["peer-lost"]


async def test_a_response_cut_off_by_a_lost_peer_is_visibly_incomplete():
    """Guards against a partial response followed by a second one."""

    async def cut_off(_reader, writer):
        writer.write(RESPONSE[:-3])

    async with forwarding(cut_off) as (_, gateway, reader, writer):
        writer.write(request_bytes())
        assert await reader.read() == RESPONSE[:-3]
    assert gateway.outcomes == ["peer-lost"]


async def test_a_suspended_peer_does_not_hold_up_a_caller():
    """Guards against callers that wait for a suspended peer after their
    deadline.
    """

    async def wait(reader, _writer):
        await reader.read()

    async with forwarding(wait, seconds_left=0.1) as (peer, _, reader, writer):
        started_at = asyncio.get_running_loop().time()
        writer.write(request_bytes())
        assert await reader.read() == FAILURES.timed_out
        waited = asyncio.get_running_loop().time() - started_at
        assert waited >= 0.1 + DEADLINE_MARGIN_SECONDS
        await peer.is_closed.wait()


async def test_the_peer_stops_when_the_caller_leaves():
    """Guards against engines that work for callers that have left."""

    async def wait(reader, _writer):
        await reader.read()

    async with forwarding(wait) as (peer, gateway, _, writer):
        writer.write(request_bytes())
        while not peer.received:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        await peer.is_closed.wait()
    assert gateway.outcomes == ["caller-left"]


def head_of(*headers):
    return parse_head(request_bytes(b"", *headers))


async def test_a_forwarded_request_gets_a_response_when_the_gateway_stops():
    """Guards against closing a caller's connection without a response, as
    connections of forwarded requests are not among the listener's.
    """
    never = asyncio.Event()

    async def respond(_reader, _writer):
        await never.wait()

    async with forwarding(respond) as (peer, gateway, reader, writer):
        writer.write(request_bytes(b"x" * 10))

        async def is_sent():
            return peer.received.endswith(b"x" * 10)

        await wait_until(is_sent, "the request")
        gateway.forwarded.stop()
        assert (await reader.read()).startswith(b"HTTP/1.1 502 lost")
        assert gateway.outcomes == ["stopped"]
        never.set()


def test_requests_with_further_hop_by_hop_headers_are_not_forwarded():
    """Guards against passing on a header that was meant for this hop only."""
    assert can_forward(head_of())
    assert can_forward(head_of("Connection: Keep-Alive"))
    assert not can_forward(head_of("Connection: keep-alive, X-Secret"))
    assert not can_forward(head_of("Connection: close", "Connection: X-Secret"))


def test_requests_of_http_1_0_are_not_forwarded():
    """Guards against a response that ends with the connection of a lost peer
    and looks whole.
    """
    old = request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0")
    assert not can_forward(parse_head(old))


def test_the_peer_with_the_fewest_requests_is_chosen():
    selector = PeerSelector()
    selector.on_started("a")
    assert selector.choose(["a", "b"], 0.0) == "b"
    selector.avoid("b", 0.0)
    assert selector.choose(["a", "b"], 0.0) == "a"
    assert selector.choose([], 0.0) == ""
    selector.on_ended("a")
    assert not selector.active


async def test_a_lagging_gateway_does_not_give_up_an_established_connection():
    """Guards against "unknown" outcomes of requests whose peer responds in
    time, but whose gateway notices late that it is connected.
    """
    async with forwarding(respond_whole) as (_, gateway, reader, writer):
        writer.write(request_bytes())
        while not gateway.has_started:
            await asyncio.sleep(0)
        end = asyncio.get_running_loop().time() + 1.0
        while asyncio.get_running_loop().time() < end:
            pass
        assert await reader.read() == RESPONSE
    assert gateway.outcomes == ["forwarded"]


def test_peers_are_chosen_by_what_they_got_for_their_processor():
    """Guards against small gateways that get as much as large ones."""
    selector = PeerSelector()
    cores = {"small": 0.25, "large": 1.0}
    for _ in range(50):
        selector.on_started(selector.choose(cores, 0.0, cores))
    assert 9 <= selector.active["small"] <= 11


def test_peers_with_many_cores_get_what_one_core_serves():
    """Guards against a flood at a gateway whose event loop uses one core."""
    selector = PeerSelector()
    cores = {"one": 1.0, "large": 4.0}
    for _ in range(50):
        selector.on_started(selector.choose(cores, 0.0, cores))
    assert selector.active == {"one": 25, "large": 25}


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n1;x=y\r\n!\r\n0\r\n\r\n"
)


class CallerStub:
    """A caller's connection that keeps what is written."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def is_closing(self):
        return False

    def close(self):
        """Does nothing."""


@pytest.mark.parametrize("received", range(len(CHUNKED)))
async def test_probes_do_not_change_a_forwarded_response(received):
    """Guards against probes of a half-closed caller that get into the body
    of a response in chunks, whose bytes are passed on as they arrive.
    """
    caller = CallerStub()
    forwarded = ForwardedRequest(
        ForwardingPlan("127.0.0.1:9", "id", 5.0, FAILURES),
        caller,
        lambda *_: None,
        PeerConnections(),
    )
    forwarded.connecting.cancel()
    for data in (CHUNKED[:received], CHUNKED[received:]):
        if data:
            forwarded.data_received(data)
        probes = [forwarded.next_probe() for _ in range(3)]
        if not forwarded.has_ended:
            caller.written += b"".join(probes)
    head, _, body = caller.written.replace(CONTINUE, b"").partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert body.replace(b"000", b"") == CHUNKED.partition(b"\r\n\r\n")[2]
    sizes = ChunkedBody()
    sizes.feed(body)
    assert sizes.is_complete
    assert not sizes.is_malformed
    assert forwarded.is_answered


async def test_a_request_is_read_no_faster_than_its_peer_takes_it():
    """Guards against gateways that keep whole requests for a slow peer."""
    may_read = asyncio.Event()
    received = bytearray()

    async def serve(reader, writer):
        await may_read.wait()
        await reader.readuntil(b"\r\n\r\n")
        received.extend(await reader.readexactly(LARGE_BODY_BYTES))
        writer.write(RESPONSE)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    body = b"x" * LARGE_BODY_BYTES
    async with gateway_of(f"127.0.0.1:{port}") as (gateway, reader, writer):
        writer.write(request_bytes(body))
        while not gateway.has_started or not gateway.forwarded.is_sent:
            await asyncio.sleep(0.01)
        while gateway.forwarded.caller.is_reading():
            await asyncio.sleep(0.01)
        peer = gateway.forwarded.peer
        assert gateway.forwarded.sent_size < LARGE_BODY_BYTES
        assert peer.get_write_buffer_size() < MAX_BUFFERED_BYTES
        may_read.set()
        assert await reader.read() == RESPONSE
    server.close()
    assert received == body
