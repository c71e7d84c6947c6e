"""Closing a served address while clients press on."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest
from aiohttp import web
from structlog.testing import capture_logs

import marjoramyard.fleet.settings  # noqa: F401  (registers the roles)
from marjoramyard.fleet import served_connection
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.early_refusal import EarlyRefusal
from marjoramyard.fleet.listener import (
    FIRST_REQUEST_SECONDS,
    Listener,
    ListenerSite,
)
from marjoramyard.fleet.served_connection import ConnectionState
from marjoramyard.fleet.util.raw_responses import response_bytes
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.settings import ROLE_SETTINGS
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import free_address

CLIENTS = 12
TURNS = range(10)
"""Turns of the event loop after which the listener is closed."""
TIMEOUT_SECONDS = 10.0


def request(path, body=b"?"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


class Server:
    """A served address with a fast and a slow route."""

    def __init__(self):
        self.address = free_address()
        self.app = Application(
            ROLE_SETTINGS.get("entry")(
                role="entry",
                name="entry-1",
                zone="a",
                internal=free_address(),
                listen=self.address,
                drain_seconds=8.0,
            )
        )
        self.is_released = asyncio.Event()
        self.slow_count = 0
        self.stack = contextlib.AsyncExitStack()

    async def fast(self, received):
        return web.Response(body=b"whole " + await received.read())

    async def slow(self, received):
        self.slow_count += 1
        await self.is_released.wait()
        return await self.fast(received)

    async def start(self, **options):
        routes = [web.post("/fast", self.fast), web.post("/slow", self.slow)]
        serving = self.app.serve(
            self.address, routes, internal=False, **options
        )
        self.listener = await self.stack.enter_async_context(serving)

    def close(self):
        """Starts to close the address as a process that stops does."""
        self.app.stop()
        return asyncio.create_task(self.stack.aclose())

    def connect(self):
        """Connects without a turn of the event loop."""
        host, _, port = self.address.rpartition(":")
        client = socket.create_connection((host, int(port)))
        client.setblocking(False)
        return client


@pytest.fixture
async def server():
    instance = Server()
    await instance.start()
    yield instance
    instance.is_released.set()
    await instance.stack.aclose()


async def receive(client):
    """Returns what is received until the end, and whether it was reset."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        try:
            while data := await loop.sock_recv(client, 65536):
                received += data
        except ConnectionError:
            return received, True
    # A request that crossed the close is answered by a reset.
    await asyncio.sleep(0)
    return received, client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def is_whole(received):
    return received.startswith(b"HTTP/1.1 ") and received.endswith(b"whole ?")


async def start_slow_request(server):
    client = server.connect()
    client.sendall(request("/slow"))

    async def is_running():
        return server.slow_count

    await wait_until(is_running, "a slow request")
    return client


@pytest.mark.parametrize("turns", TURNS)
async def test_a_request_on_a_new_connection_is_answered_or_not_read(
    server, turns
):
    """Guards against reading and dropping what arrives on a connection that
    is accepted while its listener closes.
    """
    slow = await start_slow_request(server)
    clients = [server.connect() for _ in range(CLIENTS)]
    for _ in range(turns):
        await asyncio.sleep(0)
    closing = server.close()
    for client in clients:
        with contextlib.suppress(ConnectionError):
            client.sendall(request("/fast"))
    ends = await asyncio.gather(*map(receive, clients))
    server.is_released.set()
    assert [end for end in ends if not end[1] and not end[0]] == []
    assert is_whole((await receive(slow))[0])
    await closing


async def test_requests_that_wait_as_the_address_closes_are_answered(server):
    """Guards against resetting connections at which an event loop that was
    suspended has not looked yet.
    """
    clients = [server.connect() for _ in range(CLIENTS)]
    for client in clients:
        client.sendall(request("/fast"))
    closing = server.close()
    ends = await asyncio.gather(*map(receive, clients))
    assert [end for end in ends if not end[0].startswith(b"HTTP/1.1 ")] == []
    await closing


@pytest.mark.parametrize("turns", TURNS)
async def test_a_request_on_a_kept_connection_is_answered_or_not_read(
    server, turns
):
    """Guards against reading and dropping what arrives on a connection that
    was idle when its listener began to close.
    """
    slow = await start_slow_request(server)
    clients = [server.connect() for _ in range(CLIENTS)]
    loop = asyncio.get_running_loop()
    for client in clients:
        client.sendall(request("/fast"))
        assert is_whole(await loop.sock_recv(client, 65536))
    closing = server.close()
    for _ in range(turns):
        await asyncio.sleep(0)
    for client in clients:
        with contextlib.suppress(ConnectionError):
            client.sendall(request("/fast"))
    ends = await asyncio.gather(*map(receive, clients))
    server.is_released.set()
    assert [end for end in ends if not end[1] and not end[0]] == []
    assert is_whole((await receive(slow))[0])
    await closing


async def test_a_slow_request_is_completed_while_the_listener_closes(server):
    """Guards against cutting a request in progress after a fixed time though
    the process has time left.
    """
    slow = await start_slow_request(server)
    closing = server.close()

    async def is_refused():
        try:
            server.connect().close()
        except ConnectionRefusedError:
            return True
        return False

    await wait_until(is_refused, "the address to be closed")
    asyncio.get_running_loop().call_later(1.0, server.is_released.set)
    received, _ = await receive(slow)
    assert is_whole(received)
    assert b"connection: close" in received.lower()
    await closing


async def test_a_request_read_in_part_is_answered(server):
    """Guards against dropping what was read of a request whose rest arrives
    while the listener closes.
    """
    client = server.connect()
    data = request("/fast", b"x" * 40_000)
    client.sendall(data[:30])
    loop = asyncio.get_running_loop()
    for _ in TURNS:
        await asyncio.sleep(0)
    closing = server.close()
    for _ in TURNS:
        await asyncio.sleep(0)
    await loop.sock_sendall(client, data[30:])
    received, _ = await receive(client)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"whole " + b"x" * 40_000)
    await closing


async def test_requests_that_do_not_end_are_answered_in_time(server):
    """Guards against a process that is killed, or that closes connections
    without a response, since a request does not end.
    """
    server.app.settings.drain_seconds = 1.0
    slow = await start_slow_request(server)
    partial = server.connect()
    partial.sendall(request("/fast")[:30])
    for _ in TURNS:
        await asyncio.sleep(0)
    await server.close()
    assert server.app.stopping_seconds() < 1.0
    # 503 promises that a request has not run.
    for client, status in ((slow, b"502"), (partial, b"503")):
        received, _ = await receive(client)
        assert received.startswith(b"HTTP/1.1 " + status)
        assert b"connection: close" in received.lower()


async def test_the_time_to_stop_counts_from_the_signal(server):
    """Guards against a process that is killed, since its event loop was late
    when the signal came and each step counts from then.
    """
    signalled_at = time.monotonic() - 100.0
    server.app.signalled_before = lambda: signalled_at
    server.app.stop()
    assert server.app.stopped_at == signalled_at
    server.app.signalled_before = time.monotonic
    server.app.stop()
    assert server.app.stopped_at == signalled_at
    slow = await start_slow_request(server)
    await server.stack.aclose()
    received, _ = await receive(slow)
    assert received.startswith(b"HTTP/1.1 502")


async def test_a_rejected_request_is_answered_though_its_connection_waits():
    """Guards against closing a connection as an idle one while the rest of a
    request that is rejected early is still being read.
    """
    refused = response_bytes(web.Response(status=503, text="whole ?"))
    listener = Listener("", Metrics("gateway", "g"))
    runner = web.AppRunner(web.Application())
    await runner.setup()

    def wrap(inner, is_idle):
        return EarlyRefusal(inner, is_idle, lambda: True, lambda _: refused)

    host, _, port = free_address().rpartition(":")
    site = ListenerSite(runner, listener, host, int(port), wrap)
    await site.start()
    clients = [socket.create_connection((host, int(port))) for _ in range(2)]
    data = request("/", b"x" * 100)
    for client in clients:
        client.sendall(data[:-50])
        client.setblocking(False)

    async def are_read():
        return (
            [
                connection
                for connection in listener.connections.values()
                if connection.state is ConnectionState.READING
            ]
            == list(listener.connections.values())
            != []
        )

    await wait_until(are_read, "the first parts")
    for connection in listener.connections.values():
        connection.made_at -= FIRST_REQUEST_SECONDS
    assert listener.close_idle() == 0
    clients[0].sendall(data[-50:])
    await listener.close(site, time.monotonic())
    for client in clients:
        assert is_whole((await receive(client))[0])
    await runner.cleanup()


async def test_a_request_read_in_part_is_answered_when_its_time_is_over(
    monkeypatch,
):
    """Guards against closing a connection as an idle one, without a response,
    when a part of a request has been read.
    """
    monkeypatch.setattr(served_connection, "PART_SECONDS", 0.1)
    server = Server()
    await server.start(keepalive=0.1)
    silent, partial = server.connect(), server.connect()
    partial.sendall(request("/fast")[:-10])
    assert (await receive(silent))[0] == b""
    received, is_reset = await receive(partial)
    assert received.startswith(b"HTTP/1.1 408")
    assert not is_reset
    await server.stack.aclose()


async def test_a_request_that_comes_at_the_keep_alive_time_is_answered(server):
    """Guards against a reset of a request that has arrived, unread, when the
    timer of the connection fires late.
    """
    await server.stack.aclose()
    await server.start(keepalive=0.2)
    client = server.connect()
    client.sendall(request("/fast"))
    assert is_whole(await asyncio.get_running_loop().sock_recv(client, 65536))
    end = time.monotonic() + 0.3
    client.sendall(request("/fast"))
    while time.monotonic() < end:
        continue
    assert is_whole(await asyncio.get_running_loop().sock_recv(client, 65536))


@pytest.mark.parametrize(
    "data",
    [b"nonsense\r\n\r\n", b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"],
)
async def test_a_malformed_request_is_answered(server, data):
    """Guards against closing a connection without a response to a request
    that the HTTP parser rejects.
    """
    client = server.connect()
    client.sendall(data)
    received, _ = await receive(client)
    assert received.startswith(b"HTTP/1.1 400") or received.startswith(
        b"HTTP/1.0 400"
    )


async def test_a_request_that_its_client_resets_is_not_logged_as_unanswered(
    server,
):
    """Guards against lines that blame this process for a client's reset."""
    slow = await start_slow_request(server)
    with capture_logs() as lines:
        linger = struct.pack("ii", 1, 0)
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        slow.close()

        async def is_lost():
            return not server.listener.connections

        await wait_until(is_lost, "the end of the connection")
        for _ in TURNS:
            await asyncio.sleep(0)
    assert lines == []
