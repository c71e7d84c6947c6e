"""What connections send that no handler reads is bounded."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from held import new_account

from marjoramyard.fleet.application import READ_BUFFER_BYTES
from marjoramyard.fleet.input_limits import (
    MAX_DISCARDED_BYTES,
    READ_BYTES,
)
from marjoramyard.fleet.listener import Listener, ListenerSite
from marjoramyard.fleet.util import rpc
from marjoramyard.fleet.util.held_bytes import HeldKind
from marjoramyard.fleet.util.request_body import read_body
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import free_address

MAX_BODY_BYTES = 4_000_000
ACCOUNT_BYTES = 20_000_000
HEAD = b"Host: shop.example\r\n"
GET = b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n"
POST = b"POST / HTTP/1.1\r\n" + HEAD
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_BYTES = 1 << 16
TEST_SECONDS = 10.0


class Server:
    """A listener whose handler reads bodies when the test says.

    Attributes:
        may_read: Set unless handlers are to wait before they read.
        bodies: The bodies that were read.
    """

    def __init__(self, address):
        self.metrics = Metrics("gateway", "g")
        self.account = new_account(ACCOUNT_BYTES)
        self.listener = Listener(
            address,
            self.metrics,
            answers_half_closed=True,
            held_bytes=self.account,
        )
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.may_read = asyncio.Event()
        self.may_read.set()
        self.bodies = []

    async def respond(self, request):
        """Reads the body of a request."""
        await self.may_read.wait()
        self.bodies.append(await read_body(request))
        return web.Response(text="whole")

    def held(self, kind):
        """Returns the bytes of a kind in the account."""
        return self.account.by_kind[kind]

    @property
    def refused_count(self):
        """How often input was refused."""
        return sum(self.metrics.counts.get("refused_input", {}).values())


@pytest.fixture
async def server():
    served = Server(free_address())
    app = web.Application(
        middlewares=[served.listener.track_request, rpc.render_failures],
        client_max_size=MAX_BODY_BYTES,
        handler_args={
            "max_line_size": rpc.MAX_HEAD_BYTES,
            "max_field_size": rpc.MAX_HEAD_BYTES,
            "read_bufsize": READ_BUFFER_BYTES,
        },
    )
    app.add_routes([web.route("*", "/", served.respond)])
    app.on_response_prepare.append(served.listener.prepare_response)
    runner = web.AppRunner(app)
    await runner.setup()
    site = ListenerSite(runner, served.listener, served.host, served.port)
    await site.start()
    async with asyncio.timeout(TEST_SECONDS):
        yield served
    await runner.cleanup()


async def send_endlessly(writer, block):
    """Sends a block until the connection ends; returns the bytes."""
    sent = 0
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            sent += len(block)
    return sent


async def endless(server, head, block):
    """Returns the response to a request without end, and what was sent."""
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(head)
    sending = asyncio.create_task(send_endlessly(writer, block))
    response = b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(BLOCK_BYTES):
            response += data
    sent = await sending
    writer.close()
    return response, sent


@pytest.mark.parametrize(
    ("head", "block"),
    [
        (b"GET / HTTP/1.1\r\n" + HEAD, b"X-A: " + b"x" * 200_000 + b"\r\n"),
        (b"GET / HTTP/1.1\r\n" + HEAD + b"X-A: ", b"x" * 4096),
        (b"GET /", b"x" * 4096),
        (b"", b"\r\n" * 4096),
    ],
    ids=["fields", "value", "request-line", "empty-lines"],
)
async def test_a_head_without_end_is_refused(server, head, block):
    """Guards against heads that are kept however large they are."""
    response, sent = await endless(server, head, block)
    assert response.startswith((b"HTTP/1.1 431", b"HTTP/1.0 400"))
    assert sent < 2 * MAX_DISCARDED_BYTES
    assert server.account.highest <= rpc.MAX_HEAD_BYTES + READ_BYTES


async def test_parts_of_heads_are_in_the_account(server):
    """Guards against many incomplete heads that nothing counts."""
    _, writer = await asyncio.open_connection(server.host, server.port)
    part = b"GET / HTTP/1.1\r\nX-A: " + b"x" * 10_000

    async def is_held():
        return server.held(HeldKind.HEAD) == len(part)

    writer.write(part)
    await wait_until(is_held, "the part in the account")
    writer.close()

    async def is_released():
        return not server.account.total

    await wait_until(is_released, "an empty account")


async def test_a_part_of_a_head_without_room_is_refused(server):
    """Guards against heads that arrive in parts and fill the memory."""
    reader, writer = await asyncio.open_connection(server.host, server.port)
    with server.account.holding() as holding:
        holding.force(HeldKind.REQUEST, ACCOUNT_BYTES)
        writer.write(b"GET / HTTP/1.1\r\nX-A: ")
        head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in head
    writer.close()


@pytest.mark.parametrize(
    "block",
    [
        b"1\r\nx\r\n" * 1000,
        b"1;e=abcdefgh\r\nx\r\n" * 500,
        b"0\r\n" + b"a: b\r\n" * 1000,
    ],
    ids=["one-byte-chunks", "extensions", "trailers"],
)
async def test_framing_without_end_is_refused(server, block):
    """Guards against bodies that keep the event loop busy with chunk sizes,
    extensions and trailers.
    """
    response, sent = await endless(server, CHUNKED, block)
    assert response.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400"))
    assert sent < 2 * MAX_DISCARDED_BYTES
    assert server.refused_count == 1


async def test_a_body_of_small_chunks_is_read_whole(server):
    """Guards against refusing the bodies of sound clients that send in small
    chunks.
    """
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(CHUNKED + b"8\r\ncontents\r\n" * 40_000 + b"0\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert server.bodies == [b"contents" * 40_000]
    writer.close()


@pytest.mark.parametrize(
    ("head", "block"),
    [
        (POST + b"Content-Length: 9000000000000\r\n\r\n", b"x" * BLOCK_BYTES),
        (CHUNKED, b"10000\r\n" + b"x" * BLOCK_BYTES + b"\r\n"),
        (CHUNKED + b"80000000000\r\n", b"x" * BLOCK_BYTES),
    ],
    ids=["length", "chunks", "one-chunk"],
)
async def test_a_body_without_end_is_refused(server, head, block):
    """Guards against reading a refused body for as long as it is sent."""
    response, sent = await endless(server, head, block)
    assert response.startswith(b"HTTP/1.1 413")
    assert server.refused_count == 1
    assert sent < 2 * MAX_DISCARDED_BYTES
    assert server.account.highest < 2 * MAX_BODY_BYTES


async def test_a_refusal_is_readable_after_the_whole_body(server):
    """Guards against a reset in place of the response for clients that read
    only once they have sent the whole request.
    """
    reader, writer = await asyncio.open_connection(server.host, server.port)
    body = b"x" * MAX_BODY_BYTES
    with server.account.holding() as holding:
        holding.force(HeldKind.REQUEST, ACCOUNT_BYTES - MAX_BODY_BYTES)
        writer.write(POST + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503")
    assert b"Retry-After" in head
    await reader.readuntil(b"}")
    writer.write(GET)
    assert b" 200 " in await reader.readline()
    writer.close()


async def test_what_follows_a_malformed_request_is_dropped(server):
    """Guards against an error that is kept for each further read behind a
    request in progress, and against cutting that request.
    """
    server.may_read.clear()
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(GET)
    await wait_until(_in_progress(server), "the request")
    writer.write(b"\x00 malformed\r\n\r\n")
    sending = asyncio.create_task(send_endlessly(writer, b"x" * BLOCK_BYTES))

    async def is_paused():
        return any(
            not connection.transport.is_reading()
            for connection in server.listener.connections.values()
        )

    await wait_until(is_paused, "a connection that isn't read")
    (connection,) = server.listener.connections.values()
    assert len(connection.http._messages) == 1
    server.may_read.set()
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    sending.cancel()
    writer.close()


async def test_requests_behind_the_current_one_are_left_to_the_kernel(server):
    """Guards against many requests with bodies that are kept for a connection
    whose first request is slow.
    """
    server.may_read.clear()
    reader, writer = await asyncio.open_connection(server.host, server.port)
    body = b"x" * 30_000
    request = POST + b"Content-Length: %d\r\n\r\n" % len(body) + body
    writer.write(request * 100)

    async def is_paused():
        return any(
            not connection.transport.is_reading()
            for connection in server.listener.connections.values()
        )

    await wait_until(is_paused, "a connection that isn't read")
    assert 0 < server.held(HeldKind.UNREAD) < 5 * READ_BUFFER_BYTES
    server.may_read.set()
    for _ in range(100):
        assert b" 200 " in await reader.readline()
        await reader.readuntil(b"whole")
    assert server.bodies == [body] * 100

    async def is_released():
        return not server.account.total

    await wait_until(is_released, "an empty account")
    writer.close()


async def test_one_connection_doesn_t_hold_up_the_others(server):
    """Guards against turns of the event loop that parse much of one
    connection.
    """
    _, writer = await asyncio.open_connection(server.host, server.port)
    await wait_until(_connected(server), "the connection")
    (connection,) = server.listener.connections.values()
    sizes = []
    receive = connection.data_received

    def record(data):
        sizes.append(len(data))
        receive(data)

    connection.data_received = record
    writer.write(CHUNKED + b"1000\r\n" + b"x" * 1_000_000)
    while sum(sizes) < READ_BYTES:
        await asyncio.sleep(0.01)
    assert max(sizes) <= READ_BYTES
    writer.close()


async def test_a_malformed_end_of_a_body_is_answered_at_once(server):
    """Guards against requests that wait for the rest of a body of which
    nothing more can be read.
    """
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(CHUNKED + b"4\r\nbody\r\n")
    await wait_until(_in_progress(server), "the request")
    writer.write(b"malformed\r\n")
    assert b" 400 " in await reader.readline()
    await reader.read()
    writer.close()


def _in_progress(server):
    async def is_in_progress():
        return any(
            connection.handler_task is not None
            for connection in server.listener.connections.values()
        )

    return is_in_progress


def _connected(server):
    async def is_connected():
        return bool(server.listener.connections)

    return is_connected


async def test_whole_requests_before_a_refused_head_are_answered(server):
    """Guards against requests that were read whole and get no answer because
    of what follows them.
    """
    server.may_read.clear()
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(GET * 3)
    await wait_until(_in_progress(server), "the request")
    writer.write(b"GET / HTTP/1.1\r\n" + HEAD)
    for _ in range(4):
        writer.write(b"X-A: " + b"x" * 100_000 + b"\r\n")
    while not server.refused_count:
        await asyncio.sleep(0.01)
    server.may_read.set()
    response = b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(BLOCK_BYTES):
            response += data
    writer.close()
    assert response.count(b"HTTP/1.1 200") == 3


async def test_bodies_that_never_come_leave_room_for_sound_requests(server):
    """Guards against a few silent clients, which state a length and send
    nothing, that have all requests of everybody else refused.
    """
    writers = []
    for _ in range(4):
        _, writer = await asyncio.open_connection(server.host, server.port)
        writer.write(POST + b"Content-Length: %d\r\n\r\n" % 3_999_900)
        writers.append(writer)
    await asyncio.sleep(1.0)
    lines = []
    for _ in range(5):
        reader, writer = await asyncio.open_connection(server.host, server.port)
        writer.write(POST + b"Content-Length: 1000\r\n\r\n" + b"x" * 1000)
        lines.append(await reader.readline())
        writer.close()
        await asyncio.sleep(0.2)
    for each in writers:
        each.close()
    assert [line[9:12] for line in lines] == [b"200"] * 5


async def test_requests_behind_a_lost_one_are_released(server):
    """Guards against bytes that stay in the account for ever once a client
    leaves with requests behind the current one.
    """
    server.may_read.clear()
    _, writer = await asyncio.open_connection(server.host, server.port)
    body = b"x" * 30_000
    writer.write(GET + POST + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    async def is_held():
        return server.held(HeldKind.UNREAD) >= len(body)

    await wait_until(is_held, "the request in the account")
    writer.transport.abort()

    async def is_gone():
        return not server.listener.connections

    await wait_until(is_gone, "the end of the connection")
    server.may_read.set()
    await asyncio.sleep(0.5)
    assert server.account.by_kind[HeldKind.UNREAD] == 0
    assert server.account.total == 0
