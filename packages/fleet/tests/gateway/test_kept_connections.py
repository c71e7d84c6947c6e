"""Connections to peers that are used for several forwarded prompts."""

import asyncio
import contextlib
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.fleet.gateway.chunked_body import ChunkedBody
from marjoramyard.fleet.gateway.early_refusal import EarlyRefusal
from marjoramyard.fleet.gateway.peer_connections import (
    KEPT_SECONDS,
    MAX_KEPT,
    PeerConnections,
)
from marjoramyard.fleet.gateway.peer_forwarding import (
    ForwardedRequest,
    ForwardingFailures,
    ForwardingPlan,
    keeping_request,
)
from marjoramyard.fleet.listener import Listener, ListenerSite
from marjoramyard.kernel.metrics import Metrics

from aiohttp import web  # isort: skip

TIMEOUT_SECONDS = 10.0
FAILURES = ForwardingFailures(
    b"HTTP/1.1 503 not-sent\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 502 lost\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 504 timed-out\r\nContent-Length: 0\r\n\r\n",
    b"leaving",
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"b\r\nwhole0\r\n\r\nx\r\n0\r\n\r\n"
)
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
UNSENT_BODY_BYTES = 12 << 20
"""More than the kernel buffers for a connection."""


def closed(response):
    """Returns a response as callers get it, who are told of the close."""
    return response.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)


class Peer:
    """Another gateway, which answers as the test says.

    Attributes:
        responses: What it sends in response, by request; the last one again.
        requests: The requests of each connection.
        left: Set when a connection was closed by the forwarding gateway.
    """

    def __init__(self, *responses, closes=False, body_bytes=None):
        self.responses = responses
        self.closes = closes
        self.body_bytes = body_bytes
        self.requests = []
        self.writers = []
        self.left = asyncio.Event()

    @property
    def count(self):
        return sum(map(len, self.requests))

    async def serve(self, reader, writer):
        received = []
        self.requests.append(received)
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                received.append(await self.read(reader))
                number = min(self.count, len(self.responses)) - 1
                writer.write(self.responses[number])
                await writer.drain()
                if self.closes:
                    break
        self.left.set()
        writer.close()

    async def read(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        size = int(head.lower().partition(b"content-length: ")[2].split()[0])
        wanted = size if self.body_bytes is None else self.body_bytes
        return head + await reader.readexactly(wanted)


class Forwarding:
    """A gateway that forwards all prompts to one peer."""

    def __init__(self, peer):
        self.peer = peer
        self.connections = PeerConnections()
        self.outcomes = []

    @property
    def kept(self):
        return sum(map(len, self.connections.idle.values()))

    def start(self, head, data, caller):
        request = keeping_request(head, data)
        size = len(request) + head.size - len(data)
        plan = ForwardingPlan(self.peer, "id", 5.0, FAILURES, "", size)
        forwarded = ForwardedRequest(
            plan, caller, self.on_end, self.connections
        )
        forwarded.send(request)
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
async def forwarding(peer):
    """Yields a gateway that forwards to a peer, and its port."""
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    gateway = Forwarding(address)
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
    async with asyncio.timeout(TIMEOUT_SECONDS):
        yield gateway, site._server.sockets[0].getsockname()[1]
    gateway.connections.close()
    await runner.cleanup()
    server.close()


def request_bytes(body=b"prompt"):
    head = f"POST /chat HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\nConnection: close\r\n\r\n" + body


async def send(port, data=None):
    """Returns the response to a caller's prompt, until its connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data or request_bytes())
    response = await reader.read()
    writer.close()
    return response


@pytest.mark.parametrize("response", [PLAIN, CHUNKED])
async def test_prompts_of_several_callers_use_one_connection(response):
    """Guards against the cost of a connection for each forwarded prompt."""
    peer = Peer(response)
    async with forwarding(peer) as (gateway, port):
        for number in range(3):
            body = b"prompt" * number
            assert await send(port, request_bytes(body)) == closed(response)
            assert peer.requests[0][-1].endswith(b"\r\n\r\n" + body)
    assert len(peer.requests) == 1
    assert b"connection" not in peer.requests[0][0].lower()
    assert gateway.outcomes == ["forwarded"] * 3


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
IRREGULAR = {
    "interim": INTERIM + PLAIN,
    "interim with chunks": INTERIM + CHUNKED,
    "interim that has a length": b"HTTP/1.1 103 Early Hints\r\n"
    b"Content-Length: 0\r\n\r\n" + PLAIN,
    "several interim": INTERIM * 2000 + PLAIN,
    "closing": closed(PLAIN),
    "old": PLAIN.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "two lengths": PLAIN.replace(b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n"),
    "both framings": CHUNKED.replace(
        b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n", 1
    ),
    "more than the response": PLAIN + b"HTTP/1.1 200 OK\r\n",
    "more than the chunks": CHUNKED + b"HTTP/1.1 200 OK\r\n",
    "without body": b"HTTP/1.1 204 No Content\r\n\r\n",
    "not modified": b"HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n",
}


@pytest.mark.parametrize("response", IRREGULAR.values(), ids=IRREGULAR)
async def test_a_connection_with_an_irregular_response_is_not_used_again(
    response,
):
    """Guards against a response that reaches another caller."""
    peer = Peer(response, PLAIN)
    async with forwarding(peer) as (gateway, port):
        await send(port)
        assert not gateway.kept
        assert await send(port) == closed(PLAIN)
    assert [len(requests) for requests in peer.requests] == [1, 1]


@pytest.mark.parametrize("final", [PLAIN, CHUNKED])
async def test_an_interim_response_is_passed_on_with_the_final_one(final):
    """Guards against a caller that waits, or gets a part of the response."""
    peer = Peer(INTERIM + final, PLAIN)
    async with forwarding(peer) as (gateway, port):
        assert await send(port) == INTERIM + closed(final)
        assert not gateway.kept
        assert await send(port) == closed(PLAIN)
    assert gateway.outcomes == ["forwarded"] * 2
    assert len(peer.requests) == 2


async def test_a_connection_of_a_caller_who_left_is_not_used_again():
    """Guards against the rest of a response that reaches another caller."""
    peer = Peer(PLAIN[:-2], PLAIN)
    async with forwarding(peer) as (gateway, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes())
        await reader.readuntil(b"who")
        writer.transport.abort()
        await peer.left.wait()
        assert not gateway.kept
        assert await send(port) == closed(PLAIN)
    assert gateway.outcomes == ["caller-left", "forwarded"]
    assert len(peer.requests) == 2


async def test_a_connection_with_an_incomplete_request_is_not_used_again():
    """Guards against the rest of a body that is taken for a request."""
    peer = Peer(PLAIN, body_bytes=3)
    async with forwarding(peer) as (gateway, port):
        data = request_bytes(b"prompt")
        assert await send(port, data[:-3]) == closed(PLAIN)
        assert not gateway.kept


@pytest.mark.parametrize("response", [PLAIN, CHUNKED])
async def test_a_response_broken_off_on_a_kept_connection_is_incomplete(
    response,
):
    """Guards against a broken-off response that looks whole, and against a
    prompt that is sent twice.
    """
    for end in range(1, len(response)):
        peer = Peer(response, response[:end])
        async with forwarding(peer) as (gateway, port):
            await send(port)
            closing = asyncio.create_task(send(port))
            while peer.count < 2:
                await asyncio.sleep(0)
            peer.writers[0].close()
            received = await closing
            has_head = b"\r\n\r\n" in response[:end]
            expected = closed(response)[: len(received)]
            assert received == (expected if has_head else FAILURES.lost)
            assert len(received) < len(closed(response))
        assert gateway.outcomes == ["forwarded", "peer-lost"]
        assert peer.count == 2


async def test_a_connection_that_the_peer_closed_is_not_used_again():
    peer = Peer(PLAIN, closes=True)
    async with forwarding(peer) as (gateway, port):
        assert await send(port) == closed(PLAIN)
        connections = gateway.connections
        while any(c.is_usable for c in sum(connections.idle.values(), [])):
            await asyncio.sleep(0.01)
        assert await send(port) == closed(PLAIN)
    assert gateway.outcomes == ["forwarded"] * 2
    assert len(peer.requests) == 2


@pytest.fixture
async def unread():
    """A kept connection and the socket of its peer."""
    ours, theirs = socket.socketpair()
    transport, _ = await asyncio.get_running_loop().create_connection(
        asyncio.Protocol, sock=ours
    )
    connections = PeerConnections()
    connections.keep("p", transport)
    yield connections, transport, theirs
    theirs.close()
    connections.close()
    transport.abort()


async def test_a_kept_connection_without_input_is_used(unread):
    connections, transport, _ = unread
    assert connections.take("p") is transport


async def test_an_unread_close_is_seen_before_the_next_request(unread):
    """Guards against a prompt that is lost on a connection that was closed
    while the event loop was late.
    """
    connections, transport, peer = unread
    peer.close()
    assert connections.take("p") is None
    assert transport.is_closing()


async def test_unread_bytes_do_not_become_the_next_response(unread):
    """Guards against a response that reaches another caller."""
    connections, transport, peer = unread
    peer.sendall(PLAIN)
    assert connections.take("p") is None
    assert transport.is_closing()


class EarlyPeer(Peer):
    """A gateway that responds before it has read the body of the request.

    Attributes:
        may_respond: Set when it is to respond.
    """

    def __init__(self, *responses):
        super().__init__(*responses)
        self.may_respond = asyncio.Event()

    async def read(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        await self.may_respond.wait()
        return head


async def test_a_connection_with_an_unsent_request_is_not_used_again():
    """Guards against a prompt that waits behind the body of another one."""
    peer = EarlyPeer(PLAIN)
    async with forwarding(peer) as (gateway, port):
        started = []
        start = gateway.start

        def record(*arguments):
            started.append(start(*arguments))
            return started[-1]

        gateway.start = record
        data = request_bytes(b"x" * UNSENT_BODY_BYTES)
        sending = asyncio.create_task(send(port, data))
        while not started or not (
            started[0].is_sent and started[0].peer.get_write_buffer_size()
        ):
            await asyncio.sleep(0.01)
        peer.may_respond.set()
        assert await sending == closed(PLAIN)
        assert not gateway.kept
        assert await send(port) == closed(PLAIN)
    assert len(peer.requests) == 2


class FakeTransport:
    """A transport that notes that it is closed."""

    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted

    def set_protocol(self, protocol):
        self.protocol = protocol


async def test_unused_connections_are_closed(monkeypatch):
    """Guards against a prompt on a connection that the peer is closing."""
    connections = PeerConnections()
    transport = FakeTransport()
    connections.keep("p", transport)
    loop = asyncio.get_running_loop()
    now = loop.time()
    monkeypatch.setattr(loop, "time", lambda: now + KEPT_SECONDS)
    assert connections.take("p") is None
    assert transport.is_aborted


async def test_unexpected_bytes_close_a_connection():
    connections = PeerConnections()
    transport = FakeTransport()
    connections.keep("p", transport)
    transport.protocol.data_received(b"HTTP/1.1 200 OK\r\n")
    assert connections.take("p") is None


async def test_few_unused_connections_are_kept():
    """Guards against running out of file descriptors."""
    connections = PeerConnections()
    transports = [FakeTransport() for _ in range(MAX_KEPT + 5)]
    for number, transport in enumerate(transports):
        connections.keep(f"p{number}", transport)
    assert sum(t.is_aborted for t in transports) == 5
    connections.close()
    assert all(t.is_aborted for t in transports)


@given(st.lists(st.binary(min_size=1, max_size=20)), st.integers(1, 9))
def test_the_end_of_chunks_is_found_whatever_they_contain(chunks, step):
    """Guards against a chunk whose end looks like the end of the body."""
    chunks = [*chunks, b"0\r\n\r\n"]
    data = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)
    data += b"0\r\n\r\n"
    body = ChunkedBody()
    for start in range(0, len(data), step):
        assert not body.is_complete
        body.feed(data[start : start + step])
    assert body.is_complete
    assert not body.is_malformed


@pytest.mark.parametrize(
    "data",
    [b"x\r\n", b"\r\n", b"-1\r\n", b"+1\r\n", b"1_0\r\n", b" 1\r\n", b"0x1\r\n"]
    + [b"5\n", b"1" * 5000],
)
def test_malformed_chunks_are_never_complete(data):
    body = ChunkedBody()
    body.feed(data)
    assert body.is_malformed
    assert not body.is_complete
