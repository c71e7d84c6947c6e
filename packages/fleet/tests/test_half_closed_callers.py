"""Callers that close their sending side, and callers that close."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest
from aiohttp import web
from structlog.testing import capture_logs

import marjoramyard.fleet.settings  # noqa: F401  (registers the roles)
from marjoramyard.fleet import half_closed
from marjoramyard.fleet.application import Application
from marjoramyard.kernel.settings import ROLE_SETTINGS
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import free_address

CALLERS = 16
NOTICED_SECONDS = 0.4
TIMEOUT_SECONDS = 10.0
LARGE_BYTES = 8 << 20
EVENT = b"data: event\n\n"
RESET = struct.pack("ii", 1, 0)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def request(path, body=b"?", version="1.1"):
    head = f"POST {path} HTTP/{version}\r\nHost: h\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """A served address whose handlers wait until the test releases them.

    Attributes:
        started: How many handlers have started.
        running: How many of them wait.
        ended_at: When handlers were cancelled, on the monotonic clock.
        events_first: How many events a stream has before it waits.
    """

    def __init__(self, **options):
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
        self.options = {"internal": False, "answers_half_closed": True}
        self.options |= options
        self.is_released = asyncio.Event()
        self.started = 0
        self.running = 0
        self.ended_at = []
        self.events_first = 1
        self.stack = contextlib.AsyncExitStack()

    async def wait(self):
        self.started += 1
        self.running += 1
        try:
            await self.is_released.wait()
        except asyncio.CancelledError:
            self.ended_at.append(time.monotonic())
            raise
        finally:
            self.running -= 1

    async def plain(self, received):
        body = await received.read()
        await self.wait()
        return web.Response(body=b"whole " + body)

    async def late(self, received):
        await self.wait()
        return web.Response(body=b"%d" % len(await received.read()))

    async def large(self, received):
        await self.wait()
        return web.Response(body=bytes(LARGE_BYTES))

    async def stream(self, received):
        response = web.StreamResponse()
        await response.prepare(received)
        for _ in range(self.events_first):
            await response.write(EVENT)
        await self.wait()
        await response.write(EVENT)
        await response.write_eof()
        return response

    async def start(self):
        routes = [
            web.post("/plain", self.plain),
            web.post("/large", self.large),
            web.post("/late", self.late),
            web.post("/stream", self.stream),
        ]
        serving = self.app.serve(self.address, routes, **self.options)
        self.listener = await self.stack.enter_async_context(serving)

    def close(self):
        """Starts to close the address as a process that stops does."""
        self.app.stop()
        return asyncio.create_task(self.stack.aclose())

    def connect(self, data):
        """Connects and sends without a turn of the event loop."""
        host, _, port = self.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        caller.sendall(data)
        caller.setblocking(False)
        return caller

    async def wait_until_started(self, count):
        async def have_started():
            return self.started == count

        await wait_until(have_started, f"{count} handlers", TIMEOUT_SECONDS)

    async def wait_until_ended(self):
        async def have_ended():
            return not self.listener.connections and not self.running

        await wait_until(have_ended, "the end of all", TIMEOUT_SECONDS)

    def count(self, outcome):
        counts = self.app.metrics.counts.get("half_closed_callers", {})
        return counts.get((("outcome", outcome),), 0)


@pytest.fixture
async def server():
    instance = Server()
    await instance.start()
    yield instance
    instance.is_released.set()
    await instance.stack.aclose()


async def half_close(server, data, count=CALLERS):
    """Returns callers that have closed their sending side after a request."""
    callers = [server.connect(data) for _ in range(count)]
    for caller in callers:
        caller.shutdown(socket.SHUT_WR)
    await server.wait_until_started(count)
    return callers


async def receive(caller):
    """Returns all that is received until the end."""
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while data := await loop.sock_recv(caller, 1 << 16):
            received += data
    caller.close()
    return received


async def receive_all(callers):
    return await asyncio.gather(*map(receive, callers))


def final_response(received):
    """Returns the response after at most three interim ones."""
    interim = 0
    while received.startswith(CONTINUE):
        received = received[len(CONTINUE) :]
        interim += 1
    assert interim <= 3
    return received


def decode_chunks(body):
    """Returns the content of a complete body in chunks."""
    content = b""
    while True:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            assert body == b"\r\n"
            return content
        content += body[:length]
        assert body[length : length + 2] == b"\r\n"
        body = body[length + 2 :]


def count_chunks(body):
    """Returns how many events a complete body has, each in a chunk."""
    position = 0
    events = 0
    while True:
        end = body.index(b"\r\n", position)
        length = int(body[position:end], 16)
        if not length:
            assert body[end:] == b"\r\n\r\n"
            return events
        position = end + 2 + length + 2
        events += 1


async def test_half_closed_callers_are_answered(server):
    """Guards against taking a caller that has closed its sending side for one
    that has left: its request ended without a response.
    """
    callers = await half_close(server, request("/plain"))
    server.is_released.set()
    for received in await receive_all(callers):
        response = final_response(received)
        assert response.startswith(b"HTTP/1.1 200")
        assert response.endswith(b"\r\n\r\nwhole ?")
        assert b"connection: close" in response.lower()
    await server.wait_until_ended()
    assert server.ended_at == []
    assert server.count("answered") == CALLERS
    assert server.count("left") == 0


async def test_probes_are_few(server, monkeypatch):
    """Guards against more interim responses than clients accept."""
    monkeypatch.setattr(half_closed, "PROBE_SECONDS", (0.0, 0.01, 0.02))
    (caller,) = await half_close(server, request("/plain"), count=1)
    loop = asyncio.get_running_loop()
    received = b""
    while len(received) < 3 * len(CONTINUE):
        data = await loop.sock_recv(caller, 1 << 16)
        assert data
        received += data
    await asyncio.sleep(5 * half_closed.CHECK_SECONDS)
    server.is_released.set()
    received += await receive(caller)
    assert received.count(CONTINUE) == 3
    assert final_response(received).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("events", [0, 1])
async def test_half_closed_callers_get_their_stream_unchanged(server, events):
    """Guards against breaking off a stream to a caller that has closed its
    sending side, and against bytes in it that the handler didn't write.
    """
    server.events_first = events
    callers = await half_close(server, request("/stream"))
    await asyncio.sleep(half_closed.PROBE_SECONDS[-1] + 0.1)
    server.is_released.set()
    for received in await receive_all(callers):
        head, _, body = final_response(received).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert decode_chunks(body) == EVENT * (events + 1)
    assert server.ended_at == []


async def test_half_closed_callers_get_large_responses_whole(server):
    """Guards against a response that ends with what was in the buffer when
    its caller closed its sending side.
    """
    callers = await half_close(server, request("/large"), count=4)
    server.is_released.set()

    async def is_blocked():
        return any(
            connection.transport.get_write_buffer_size()
            for connection in server.listener.connections.values()
        )

    await wait_until(is_blocked, "a full buffer")
    for received in await receive_all(callers):
        _, _, body = final_response(received).partition(b"\r\n\r\n")
        assert len(body) == LARGE_BYTES


async def test_a_caller_that_half_closes_within_its_response_gets_it_whole(
    server,
):
    """Guards against the end of a response that is being written."""
    server.is_released.set()
    caller = server.connect(request("/large"))
    loop = asyncio.get_running_loop()
    received = await loop.sock_recv(caller, 1 << 16)
    caller.shutdown(socket.SHUT_WR)
    received += await receive(caller)
    assert len(received.partition(b"\r\n\r\n")[2]) == LARGE_BYTES


async def test_pipelined_requests_of_half_closed_callers_are_answered(server):
    """Guards against dropping requests that wait behind another one."""
    data = b"".join(request("/plain", body) for body in (b"1", b"2", b"3"))
    callers = await half_close(server, data)
    server.is_released.set()
    for received in await receive_all(callers):
        bodies = received.split(b"whole ")
        assert [body[:1] for body in bodies[1:]] == [b"1", b"2", b"3"]
        assert received.lower().count(b"connection: close") == 1


@pytest.mark.parametrize("part", [b"POST /pl", request("/plain", b"xyz")[:-2]])
async def test_a_request_read_in_part_is_dropped_at_the_end(server, part):
    """Guards against a connection that stays open for the rest of a request
    after the caller has closed its sending side.
    """
    callers = await half_close(server, request("/plain") + part)
    alone = [server.connect(part) for _ in range(CALLERS)]
    for caller in alone:
        caller.shutdown(socket.SHUT_WR)
    assert [r for r in await receive_all(alone) if r] == []
    server.is_released.set()
    for received in await receive_all(callers):
        assert received.endswith(b"whole ?")
        assert received.count(b"HTTP/1.1 200") == 1
    await server.wait_until_ended()


async def test_a_body_that_is_read_late_is_read_whole(server):
    """Guards against a body that ends with what was read of it when its
    caller closed its sending side.
    """
    caller = server.connect(b"")
    loop = asyncio.get_running_loop()
    data = request("/late", bytes(900_000))
    sending = asyncio.create_task(loop.sock_sendall(caller, data))
    await server.wait_until_started(1)
    server.is_released.set()
    await sending
    caller.shutdown(socket.SHUT_WR)
    response = final_response(await receive(caller))
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"\r\n\r\n900000")


async def test_a_request_before_a_malformed_one_is_answered(server):
    """Guards against dropping a request as the end of the sending side
    follows bytes that are no request.
    """
    callers = [server.connect(request("/plain")) for _ in range(CALLERS)]
    await server.wait_until_started(CALLERS)
    for caller in callers:
        caller.sendall(b"no request\r\n\r\n")
        caller.shutdown(socket.SHUT_WR)

    async def are_read():
        return all(
            connection.half_closed or connection.is_closed_by_peer
            for connection in server.listener.connections.values()
        )

    await wait_until(are_read, "the ends of the sending sides")
    server.is_released.set()
    for received in await receive_all(callers):
        assert b"whole ?" in received
        assert received.count(b"HTTP/1.") - received.count(CONTINUE) == 2


@pytest.mark.parametrize("turns", range(8))
async def test_nothing_follows_a_stream_that_was_held_up(server, turns):
    """Guards against a probe behind the end of a stream whose last bytes
    waited for the caller to read.
    """
    server.events_first = LARGE_BYTES // len(EVENT) // 8
    server.is_released.set()
    (caller,) = await half_close(server, request("/stream"), count=1)
    for _ in range(turns):
        await asyncio.sleep(0)
    head, _, body = final_response(await receive(caller)).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert count_chunks(body) == server.events_first + 1


async def test_an_idle_connection_is_closed_at_its_end(server):
    """Guards against idle connections of callers that have left."""
    server.is_released.set()
    caller = server.connect(request("/plain"))
    loop = asyncio.get_running_loop()
    await loop.sock_recv(caller, 1 << 16)
    caller.shutdown(socket.SHUT_WR)
    assert await receive(caller) == b""
    await server.wait_until_ended()
    assert server.count("answered") == server.count("left") == 0


async def leave(server, path, how, count=CALLERS):
    """Has callers leave; returns how long each handler went on."""
    callers = [server.connect(request(path)) for _ in range(count)]
    await server.wait_until_started(count)
    left_at = time.monotonic()
    for caller in callers:
        how(caller)
    await server.wait_until_ended()
    return [ended_at - left_at for ended_at in server.ended_at]


def read_and_close(caller):
    with contextlib.suppress(BlockingIOError):
        while caller.recv(1 << 16):
            continue
    caller.close()


def shut_down_and_close(caller):
    caller.shutdown(socket.SHUT_WR)
    caller.close()


def reset(caller):
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    caller.close()


@pytest.mark.parametrize("how", [read_and_close, shut_down_and_close, reset])
@pytest.mark.parametrize(
    ("path", "events"), [("/plain", 0), ("/stream", 0), ("/stream", 3)]
)
async def test_callers_that_leave_end_their_requests(server, path, events, how):
    """Guards against endpoints that work on for a caller that has closed its
    connection, as its end looks like that of a sending side.
    """
    server.events_first = events
    seconds = await leave(server, path, how)
    print(f"noticed within {max(seconds):.3f} s")
    assert len(seconds) == CALLERS
    assert max(seconds) < NOTICED_SECONDS


async def test_a_caller_that_leaves_after_its_sending_side_is_noticed(server):
    """Guards against working for a caller that has closed its sending side
    and leaves a little later, before the last probe.
    """
    callers = await half_close(server, request("/plain"))
    for caller in callers:
        read_and_close(caller)
    await server.wait_until_ended()
    assert len(server.ended_at) == CALLERS
    assert server.count("left") == CALLERS


async def test_http_1_0_callers_that_close_end_their_requests(server):
    """Guards against working for an HTTP/1.0 caller that may have left, to
    which no interim response can be sent.
    """
    callers = [
        server.connect(request("/plain", version="1.0")) for _ in range(4)
    ]
    await server.wait_until_started(4)
    for caller in callers:
        caller.shutdown(socket.SHUT_WR)
    await server.wait_until_ended()
    assert len(server.ended_at) == 4


async def test_internal_calls_end_with_their_client_s_sending_side():
    """Guards against polls that go on for a process that has ended."""
    server = Server(answers_half_closed=False)
    await server.start()
    await half_close(server, request("/plain"))
    await server.wait_until_ended()
    assert len(server.ended_at) == CALLERS
    await server.stack.aclose()


async def test_half_closed_callers_are_answered_during_a_stop(server):
    """Guards against dropping half-closed callers as their address closes."""
    callers = await half_close(server, request("/plain"))
    closing = server.close()
    late = [server.connect(request("/plain")) for _ in range(CALLERS)]
    for caller in late:
        caller.shutdown(socket.SHUT_WR)
    await server.wait_until_started(2 * CALLERS)
    server.is_released.set()
    for received in await receive_all(callers + late):
        assert final_response(received).endswith(b"whole ?")
    await closing


async def test_half_closed_callers_are_answered_at_the_end_of_a_stop(server):
    """Guards against a process that ends half-closed callers without a
    response when its time is over, or that they hold up.
    """
    server.app.settings.drain_seconds = 1.0
    callers = await half_close(server, request("/plain"))
    await server.close()
    assert server.app.stopping_seconds() < 1.5
    for received in await receive_all(callers):
        assert final_response(received).startswith(b"HTTP/1.1 502")


async def test_a_half_closed_caller_that_never_reads_is_dropped(
    server, monkeypatch
):
    """Guards against connections that stay for ever, as their callers don't
    read and no other limit ends them.
    """
    monkeypatch.setattr(half_closed, "STALL_SECONDS", 0.3)
    server.is_released.set()
    callers = await half_close(server, request("/large"), count=2)
    await server.wait_until_ended()
    assert server.count("stalled") == 2
    for caller in callers:
        caller.close()


async def test_half_closed_callers_that_are_answered_are_not_logged_as_lost(
    server,
):
    """Guards against lines that report an answered request as unanswered."""
    with capture_logs() as lines:
        callers = await half_close(server, request("/plain") + b"POST /pl")
        server.is_released.set()
        await receive_all(callers)
        await server.wait_until_ended()
    assert lines == []


async def test_a_reset_is_noticed_though_nothing_is_written_any_more(server):
    """Guards against missing the reset of a half-closed connection, which the
    event loop no longer reads.
    """
    callers = await half_close(server, request("/plain"))
    await asyncio.sleep(half_closed.PROBE_SECONDS[-1] + 0.1)
    for caller in callers:
        reset(caller)
    reset_at = time.monotonic()
    await server.wait_until_ended()
    assert len(server.ended_at) == CALLERS
    assert max(server.ended_at) - reset_at < NOTICED_SECONDS


class CheckedTransport(asyncio.Transport):
    """A connection of a caller that has left."""

    def __init__(self, connection):
        super().__init__({"socket": connection})
        self.connection = connection

    def write(self, data):
        self.connection.send(data)

    def get_write_buffer_size(self):
        return 0


async def test_a_caller_that_has_left_is_noticed_in_the_next_turn():
    """Guards against endpoints that a late event loop keeps at work for callers
    that have left, as it needs several turns to notice them.
    """
    with socket.create_server(("127.0.0.1", 0)) as listening:
        caller = socket.create_connection(listening.getsockname())
        connection, _ = listening.accept()
    caller.close()
    ends = []
    half_closed.HalfClosedCaller(
        CheckedTransport(connection), lambda: CONTINUE, ends.append
    )
    await asyncio.sleep(0)
    connection.close()
    assert ends == [half_closed.CallerEnd.LEFT]
