"""Requests that a served address or a drain still gives up."""

import asyncio
import contextlib
import socket
import time
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from structlog.testing import capture_logs

import marjoramyard.fleet.settings  # noqa: F401  (registers the roles)
from marjoramyard.fleet import served_connection
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway import role as role_module
from marjoramyard.fleet.gateway.early_refusal import EarlyRefusal
from marjoramyard.fleet.gateway.peer_connections import PeerConnections
from marjoramyard.fleet.gateway.peer_forwarding import (
    ForwardedRequest,
    ForwardingFailures,
    ForwardingPlan,
    keeping_request,
)
from marjoramyard.fleet.gateway.role import GatewayRole
from marjoramyard.fleet.served_connection import ConnectionState
from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests
from marjoramyard.fleet.util.raw_responses import response_bytes
from marjoramyard.kernel.settings import ROLE_SETTINGS
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import free_address

KEEPALIVE_SECONDS = 0.2
BYTES_SENT = 40
"""Sent in several times the time for a request."""
HEAD_OF_MANY = (
    f"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: {BYTES_SENT}\r\n\r\n"
).encode()
LATE_SECONDS = 0.3
TIMEOUT_SECONDS = 10.0
REQUEST = b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n?"


class Server:
    """A served address of a process that can be told to stop."""

    def __init__(self, drain_seconds=8.0):
        self.address = free_address()
        self.app = Application(
            ROLE_SETTINGS.get("entry")(
                role="entry",
                name="entry-1",
                zone="a",
                internal=free_address(),
                listen=self.address,
                drain_seconds=drain_seconds,
            )
        )
        self.is_released = asyncio.Event()
        self.stream_count = 0
        self.socket_count = 0
        self.stack = contextlib.AsyncExitStack()
        self.listener = None

    async def echo(self, received):
        return web.Response(body=b"whole " + await received.read())

    async def stream(self, received):
        response = web.StreamResponse()
        await response.prepare(received)
        await response.write(b"a part")
        self.stream_count += 1
        await self.is_released.wait()
        return response

    async def web_socket(self, received):
        response = web.WebSocketResponse()
        await response.prepare(received)
        self.socket_count += 1
        await response.receive()
        return response

    async def start(self, **options):
        routes = [
            web.post("/echo", self.echo),
            web.get("/stream", self.stream),
            web.get("/socket", self.web_socket),
        ]
        serving = self.app.serve(
            self.address, routes, internal=False, **options
        )
        self.listener = await self.stack.enter_async_context(serving)

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def only_connection(self):
        """Waits until the only connection waits for a request; returns it."""

        async def is_waiting():
            (connection,) = self.listener.connections.values()
            return connection.is_waiting and connection

        return await wait_until(is_waiting, "a waiting connection")


@contextlib.asynccontextmanager
async def serving(drain_seconds=8.0, **options):
    server = Server(drain_seconds)
    await server.start(**options)
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            yield server
    finally:
        server.is_released.set()
        await server.stack.aclose()


async def read_to_end(reader):
    """Returns what is received, and whether the connection ended by FIN."""
    received = b""
    try:
        while data := await reader.read(1 << 16):
            received += data
    except ConnectionError:
        return received, False
    return received, True


async def test_a_stream_that_the_process_ends_is_not_whole_to_http_1_0():
    """Guards against a response without a length that a stop breaks off and
    that ends like a whole one.
    """
    async with serving(drain_seconds=1.0) as server:
        reader, writer = await server.connect()
        writer.write(b"GET /stream HTTP/1.0\r\n\r\n")

        async def is_streaming():
            return server.stream_count

        await wait_until(is_streaming, "a part of the stream")
        server.app.stop()
        await server.stack.aclose()
        received, is_regular = await read_to_end(reader)
        writer.close()
    assert not (received.endswith(b"a part") and is_regular)


class Guard:
    """Forwarded prompts that wait for another gateway's response."""

    def __init__(self):
        self.are_ended = False

    def forwarded_count(self):
        return 0 if self.are_ended else 1

    def refuse_outlasting(self, stops_at):
        pass

    def end_forwarded(self):
        self.are_ended = True


async def test_forwarded_requests_are_ended_though_the_loop_is_late(
    monkeypatch,
):
    """Guards against forwarded requests without a response when the event loop
    sleeps through the end of the drain, whose own timeout then cancels it.
    """
    monkeypatch.setattr(role_module, "BALANCER_NOTICE_SECONDS", 0.0)
    app = Application(
        ROLE_SETTINGS.get("gateway")(
            role="gateway",
            name="gateway-1",
            zone="a",
            internal=free_address(),
            listen=free_address(),
            ready_listen=free_address(),
            grace_seconds=1.5,
        )
    )
    guard = Guard()
    lag = SimpleNamespace(up_to_date_until=time.monotonic)
    handler = SimpleNamespace(
        active_count=1,
        started_count=1,
        guard=guard,
        context=SimpleNamespace(brokers=SimpleNamespace(lag=lag)),
        outlasting=OutlastingRequests(1.0),
    )
    role = GatewayRole(app, None, handler)
    role.connections = SimpleNamespace(close_idle=lambda: None)
    app.stop()
    loop = asyncio.get_running_loop()
    # The process is suspended.
    loop.call_at(app.ends_at - 0.01, time.sleep, LATE_SECONDS)
    await app._drain(role.drain())
    assert guard.are_ended


@pytest.mark.parametrize("is_refused", [False, True])
async def test_a_request_read_in_part_is_answered_when_keep_alive_ends(
    is_refused,
):
    """Guards against dropping what was read of a request because its
    connection has long been kept.
    """
    refused = response_bytes(web.Response(status=503, text="refused"))

    def wrap(inner, is_idle):
        return EarlyRefusal(
            inner, is_idle, lambda: is_refused, lambda _: refused
        )

    async with serving(keepalive=KEEPALIVE_SECONDS, wrapper=wrap) as server:
        reader, writer = await server.connect()
        # A request is refused by its head, before its body has been read.
        writer.write(REQUEST[:-1] if is_refused else REQUEST[:10])
        received, _ = await read_to_end(reader)
        writer.close()
    assert received.startswith(b"HTTP/1.1 ")


async def test_a_refused_request_has_time_for_its_rest():
    """Guards against a reset while a client is still sending its request, as
    the rest of a request that is refused early does not count as read.
    """
    refused = response_bytes(web.Response(status=503, text="refused"))

    def wrap(inner, is_idle):
        return EarlyRefusal(inner, is_idle, lambda: True, lambda _: refused)

    async with serving(keepalive=KEEPALIVE_SECONDS, wrapper=wrap) as server:
        reader, writer = await server.connect()
        writer.write(HEAD_OF_MANY)
        received = asyncio.create_task(reader.read(1))
        sent = 0
        while sent < BYTES_SENT and not received.done():
            writer.write(b"x")
            sent += 1
            await asyncio.wait({received}, timeout=KEEPALIVE_SECONDS / 8)
        assert await received + await reader.read(len(refused)) == refused
        writer.close()
    assert sent == BYTES_SENT


async def test_a_head_that_is_sent_without_end_is_given_up(monkeypatch):
    """Guards against clients that hold connections for ever by sending a
    request byte by byte, which can't be closed as idle ones either.
    """
    monkeypatch.setattr(served_connection, "PART_SECONDS", KEEPALIVE_SECONDS)
    async with serving(keepalive=KEEPALIVE_SECONDS) as server:
        reader, writer = await server.connect()
        writer.write(REQUEST[:10])
        received = asyncio.create_task(read_to_end(reader))
        for _ in range(BYTES_SENT):
            writer.write(b"x")
            await asyncio.wait({received}, timeout=KEEPALIVE_SECONDS / 4)
            if received.done():
                break
        is_given_up = received.done()
        received.cancel()
        writer.close()
    assert is_given_up


async def test_a_connection_in_use_is_kept_though_its_requests_are_refused():
    """Guards against a keep-alive timeout that does not count requests that
    are rejected before they are parsed.
    """
    refused = response_bytes(web.Response(status=503, text="refused"))

    def wrap(inner, is_idle):
        return EarlyRefusal(inner, is_idle, lambda: True, lambda _: refused)

    async with serving(keepalive=KEEPALIVE_SECONDS, wrapper=wrap) as server:
        reader, writer = await server.connect()
        began_at = time.monotonic()
        answered = 0
        while time.monotonic() - began_at < 3 * KEEPALIVE_SECONDS:
            try:
                writer.write(REQUEST)
                await reader.readexactly(len(refused))
            except (ConnectionError, asyncio.IncompleteReadError):
                break
            answered += 1
        lasted = time.monotonic() - began_at
        writer.close()
    assert answered
    assert lasted >= 3 * KEEPALIVE_SECONDS


@pytest.mark.parametrize("cut", [10, len(REQUEST) - 3])
async def test_a_part_of_a_second_request_counts_as_read(cut):
    """Guards against closing a connection as an idle one when the first part
    of a request was read together with the end of the one before.
    """
    async with serving() as server:
        reader, writer = await server.connect()
        writer.write(REQUEST + REQUEST[:cut])
        await reader.readuntil(b"whole ?")
        connection = await server.only_connection()
        assert connection.state is ConnectionState.READING
        assert server.listener.close_idle() == 0
        writer.write(REQUEST[cut:])
        await reader.readuntil(b"whole ?")
        writer.close()


async def test_an_empty_line_after_a_request_is_no_request():
    """Guards against a connection that never counts as idle, and that gets a
    response without a request, since its client ends bodies with a line.
    """
    async with serving(drain_seconds=1.5) as server:
        reader, writer = await server.connect()
        writer.write(REQUEST)
        await reader.readuntil(b"whole ?")
        connection = await server.only_connection()
        read_at = connection.read_at
        writer.write(b"\r\n")

        async def is_read():
            return connection.read_at != read_at

        await wait_until(is_read, "the empty line")
        server.app.stop()
        await server.stack.aclose()
        received, _ = await read_to_end(reader)
        writer.close()
    assert received == b""


async def test_a_web_socket_that_is_closed_is_not_logged_as_unanswered():
    """Guards against a warning at each stop, which hides lost requests."""
    async with serving() as server:
        async with aiohttp.ClientSession() as session:
            socket = await session.ws_connect(f"ws://{server.address}/socket")

            async def is_upgraded():
                return server.socket_count

            await wait_until(is_upgraded, "the WebSocket")
            with capture_logs() as lines:
                server.app.stop()
                await server.stack.aclose()
            await socket.close()
    assert "connection_unanswered" not in [line["event"] for line in lines]


async def test_the_log_tells_whether_something_was_unread():
    """Guards against a line that can't tell a close by FIN from a reset."""
    async with serving() as server:
        _, writer = await server.connect()
        writer.write(REQUEST[:10])

        async def is_partial():
            (connection,) = server.listener.connections.values()
            return connection.has_partial_head and connection

        connection = await wait_until(is_partial, "a part of a request")
        with capture_logs() as lines:
            # The rest waits in the socket until the next turn.
            writer.write(REQUEST[10:])
            connection.close()

            async def is_lost():
                return not server.listener.connections

            await wait_until(is_lost, "the end of the connection")
        writer.close()
    (line,) = [x for x in lines if x["event"] == "connection_unanswered"]
    assert line["has_unread"]


async def test_a_listener_closes_once_forwarded_responses_have_been_sent():
    """Guards against exiting with the end of a response unsent, as the
    connections of forwarded requests are not among the listener's.
    """
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"
    response += b"x" * 60_000
    callers, outcomes = [], []

    async def respond(reader, writer):
        await reader.readexactly(len(REQUEST))
        writer.write(response)
        await writer.drain()
        writer.close()

    peer = await asyncio.start_server(respond, "127.0.0.1", 0)
    address = f"127.0.0.1:{peer.sockets[0].getsockname()[1]}"

    def start(head, data, caller):
        small_buffer(caller.get_extra_info("socket"), socket.SO_SNDBUF)
        callers.append(caller)
        failures = ForwardingFailures(b"", b"", b"", b"")
        plan = ForwardingPlan(
            address, "id", TIMEOUT_SECONDS, failures, "", len(REQUEST)
        )
        forwarded = ForwardedRequest(
            plan,
            caller,
            lambda _, outcome: outcomes.append(outcome),
            PeerConnections(),
        )
        forwarded.send(keeping_request(head, data))
        return forwarded

    def wrap(inner, is_idle):
        return EarlyRefusal(
            inner, is_idle, lambda: True, lambda _: None, start_forwarding=start
        )

    async def has_ended():
        return outcomes

    async with serving(wrapper=wrap) as server:
        client = socket.socket()
        small_buffer(client, socket.SO_RCVBUF)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, REQUEST)
        await wait_until(has_ended, "the end of the forwarded request")
        assert server.listener.open_connections == 0
        assert len(server.listener.connections) == 1
        reading = []
        loop.call_later(
            0.3, lambda: reading.append(loop.create_task(receive(client)))
        )
        server.app.stop()
        await server.stack.aclose()
        unsent = callers[0].get_write_buffer_size()
        client.close()
        for task in reading:
            task.cancel()
    peer.close()
    assert outcomes == ["forwarded"]
    assert unsent == 0
    assert server.listener.open_connections == 0


def small_buffer(connection, option):
    connection.setsockopt(socket.SOL_SOCKET, option, 4096)


async def receive(client):
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(client, 1 << 16):
        pass
