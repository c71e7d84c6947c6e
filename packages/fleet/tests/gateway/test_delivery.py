"""Relaying streams of endpoints to callers over real connections."""

import asyncio
import contextlib
import itertools

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from held import new_holding

from marjoramyard.coordination.serving.response_ends import ResponseEnd
from marjoramyard.fleet.gateway.attempts import SendFailedError, SendOutcome
from marjoramyard.fleet.gateway.delivery import (
    MAX_EVENT_BYTES,
    PASSED_ON_BYTES,
    SMALL_EVENT_BYTES,
    CallerGoneError,
    ResponseDelivery,
)
from marjoramyard.fleet.gateway.stream_relay import MAX_BUFFERED_BYTES
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session
from marjoramyard.fleet.util.held_bytes import HeldKind
from marjoramyard.fleet.util.request_body import HOLDING

CLOSE = b"HTTP/1.1 200 OK\r\nDate: x\r\n\r\n"
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_ROOM = 1000
"""A limit of held bytes that leaves no room for the responses here."""
BODY = bytes(range(256)) * 1024
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"
TIMEOUT_SECONDS = 30.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
OLD_REQUEST = b"GET / HTTP/1.0\r\nHost: h\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number, size=20):
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * size)


class Endpoint:
    """An endpoint that sends given bytes, with a pause after each piece.

    Attributes:
        pieces: The bytes to send after the head of the response.
        head: The head of the response.
        ends: Whether it closes the connection after the last piece.
        bytes_sent: Bytes that were passed to the kernel.
        is_closed: Set when the gateway has closed the connection.
    """

    def __init__(self, pieces, pause_seconds=0.005, head=HEAD, ends=None):
        self.pieces = pieces
        self.head = head
        self.ends = ends if ends is not None else pieces[-1] != END
        self.pause_seconds = pause_seconds
        self.bytes_sent = 0
        self.is_closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head)
        with contextlib.suppress(ConnectionError):
            for piece in self.pieces:
                writer.write(piece)
                await writer.drain()
                self.bytes_sent += len(piece)
                await asyncio.sleep(self.pause_seconds)
            if not self.ends:
                await reader.read()
        self.is_closed.set()
        writer.close()


class Gateway:
    """A gateway that relays every request to one endpoint.

    Attributes:
        failures: The errors of its deliveries.
        deliveries: Its deliveries.
        limit: The most bytes held for a request; None for that of a roomy
            process.
        check: Awaited before the end of a response is sent.
    """

    def __init__(self, session, address, limit=None):
        self.limit = limit
        self.session = session
        self.address = address
        self.failures = []
        self.deliveries = []
        self.check = None

    async def handle(self, request):
        request[HOLDING] = new_holding(self.limit)
        delivery = ResponseDelivery(request, lambda: False)
        self.deliveries.append(delivery)
        url = f"http://{self.address}/"
        upstream = await self.session.request(request.method, url)
        try:
            response = await delivery.relay(upstream, lambda: None)
            if self.check is not None:
                await self.check(response)
            return response
        except (SendFailedError, CallerGoneError) as error:
            self.failures.append(error)
            delivery.abort()
            return delivery.response
        finally:
            upstream.close()


@contextlib.asynccontextmanager
async def relayed(endpoint, limit=None, request=REQUEST):
    """Yields the gateway and an open connection to it with a request sent."""
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    app = web.Application()
    async with open_endpoint_session() as session:
        gateway = Gateway(session, f"127.0.0.1:{port}", limit)
        app.add_routes([web.route("*", "/", gateway.handle)])
        async with TestServer(app, handler_cancellation=True) as front:
            reader, writer = await asyncio.open_connection(
                front.host, front.port
            )
            writer.write(request)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                yield gateway, reader, writer
            writer.close()
    server.close()


async def read_body(reader):
    """Returns the body of a chunked response and whether it is complete."""
    await reader.readuntil(b"\r\n\r\n")
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return body, False
        size = int(line, 16)
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError:
            return body, False
        if not size:
            return body, True
        body += data[:-2]


@pytest.mark.parametrize("cut", [1, 7, 23, 1000])
async def test_a_stream_arrives_whole_however_it_is_split(cut):
    """Guards against missing or repeated bytes between direct and awaited
    writes.
    """
    events = [event(number) for number in range(40)]
    data = b"".join(chunk(e) for e in events) + END
    pieces = [data[i : i + cut] for i in range(0, len(data), cut)]
    endpoint = Endpoint(pieces, pause_seconds=0.0)
    async with relayed(endpoint) as (gateway, reader, _):
        assert await read_body(reader) == (b"".join(events), True)
    assert gateway.failures == []


async def test_a_stream_that_breaks_off_is_visibly_incomplete():
    """Guards against a cut-off stream that looks complete to its caller, and
    against forwarding part of an event.
    """
    pieces = [chunk(event(0)), chunk(event(1)), chunk(event(2)[:10])]
    async with relayed(Endpoint(pieces)) as (gateway, reader, _):
        assert await read_body(reader) == (event(0) + event(1), False)
    assert isinstance(gateway.failures[0], SendFailedError)


async def test_a_slow_caller_holds_up_its_endpoint():
    """Guards against buffering a stream in the memory of the gateway for a
    caller that does not read it.
    """
    size = 64 << 10
    pieces = [chunk(event(number, size)) for number in range(800)]
    endpoint = Endpoint(pieces, pause_seconds=0.0)
    async with relayed(endpoint):
        sent = -1
        while sent != endpoint.bytes_sent:
            sent = endpoint.bytes_sent
            await asyncio.sleep(0.3)
        in_kernel = 24 << 20
        assert endpoint.bytes_sent < in_kernel + 4 * MAX_BUFFERED_BYTES


async def test_the_endpoint_stops_when_its_caller_leaves():
    """Guards against endpoints that work for callers that have left."""
    pieces = [chunk(event(number)) for number in range(1000)]
    endpoint = Endpoint([*pieces, END], pause_seconds=0.02)
    async with relayed(endpoint) as (_, reader, writer):
        await reader.readuntil(b"id: 3")
        writer.transport.abort()
        await endpoint.is_closed.wait()
    assert endpoint.bytes_sent < sum(map(len, pieces)) / 2


async def read_until_close(reader):
    """Returns the body of a response without framing and whether it ended
    without a reset.
    """
    await reader.readuntil(b"\r\n\r\n")
    body = b""
    try:
        while data := await reader.read(1 << 16):
            body += data
    except ConnectionResetError:
        return body, False
    return body, True


def split(data, size=10_000):
    return [data[i : i + size] for i in range(0, len(data), size)]


def plain(framing, body=BODY):
    """Returns an endpoint that sends a plain response."""
    if framing == CHUNKS:
        pieces = [*map(chunk, split(body)), END]
        return Endpoint(pieces, 0.0, CHUNKS)
    if framing == LENGTH:
        return Endpoint(split(body), 0.0, LENGTH % len(BODY))
    return Endpoint(split(body), 0.0, CLOSE)


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CLOSE])
@pytest.mark.parametrize("request_bytes", [REQUEST, OLD_REQUEST])
async def test_a_response_without_room_is_passed_on_whole(
    framing, request_bytes
):
    """Guards against a request that has run and gets no response because the
    gateway holds too much for others.
    """
    is_old = request_bytes == OLD_REQUEST
    read = read_until_close if is_old else read_body
    async with relayed(plain(framing), NO_ROOM, request_bytes) as found:
        gateway, reader, _ = found
        assert await read(reader) == (BODY, True)
    delivery = gateway.deliveries[0]
    assert gateway.failures == []
    assert delivery.is_passed_on
    assert delivery.bytes_sent == len(BODY)
    assert 0 < delivery.first_at <= delivery.written_at
    assert delivery.holding.sizes[HeldKind.RESPONSE] == 0


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS])
@pytest.mark.parametrize("request_bytes", [REQUEST, OLD_REQUEST])
async def test_a_passed_on_response_that_breaks_off_is_visibly_incomplete(
    framing, request_bytes
):
    """Guards against a part of a response that looks whole to its caller."""
    is_old = request_bytes == OLD_REQUEST
    read = read_until_close if is_old else read_body
    endpoint = plain(framing, BODY[:50_000])
    if framing == CHUNKS:
        endpoint.pieces.pop()
    endpoint.ends = True
    async with relayed(endpoint, NO_ROOM, request_bytes) as found:
        gateway, reader, _ = found
        body, is_complete = await read(reader)
    assert not is_complete
    assert BODY.startswith(body)
    assert isinstance(gateway.failures[0], SendFailedError)
    assert gateway.deliveries[0].is_passed_on


@pytest.mark.parametrize("request_bytes", [REQUEST, OLD_REQUEST])
async def test_the_end_of_a_passed_on_response_waits_for_the_last_check(
    request_bytes,
):
    """Guards against a response of an endpoint that crashed which looks whole
    to its caller, as it ended with its connection.
    """

    async def fail(_):
        raise SendFailedError(SendOutcome.BROKEN, "the endpoint has ended")

    is_old = request_bytes == OLD_REQUEST
    read = read_until_close if is_old else read_body
    async with relayed(plain(CLOSE), NO_ROOM, request_bytes) as found:
        gateway, reader, _ = found
        gateway.check = fail
        _, is_complete = await read(reader)
    assert not is_complete
    assert gateway.deliveries[0].last_end is ResponseEnd.UNKNOWN


async def test_a_slow_caller_holds_up_a_response_that_is_passed_on():
    """Guards against a response that is kept for a caller that does not read
    it although there is no room.
    """
    size = 48 << 20
    pieces = itertools.repeat(b"x" * (1 << 16), size >> 16)
    endpoint = Endpoint([*pieces], 0.0, CLOSE)
    async with relayed(endpoint, NO_ROOM) as (gateway, _, _):
        sent = -1
        while sent != endpoint.bytes_sent:
            sent = endpoint.bytes_sent
            await asyncio.sleep(0.3)
        in_kernel = 24 << 20
        assert endpoint.bytes_sent < in_kernel
        held = gateway.deliveries[0].holding.total
        assert held == PASSED_ON_BYTES


async def test_what_was_read_before_there_was_no_room_stays_held():
    """Guards against a response that is counted as sent before its caller has
    read it.
    """
    limit = 40 << 20
    endpoint = Endpoint([b"x" * (1 << 16)] * 800, 0.0, CLOSE)
    async with relayed(endpoint, limit) as (gateway, _, _):
        sent = -1
        while sent != endpoint.bytes_sent:
            sent = endpoint.bytes_sent
            await asyncio.sleep(0.3)
        delivery = gateway.deliveries[0]
        assert delivery.is_passed_on
        in_kernel = 24 << 20
        sent_bytes = endpoint.bytes_sent
        assert sent_bytes - in_kernel < delivery.holding.total < limit
        assert delivery.holding.total > 2 * PASSED_ON_BYTES


async def test_the_endpoint_of_a_passed_on_response_stops_with_its_caller():
    """Guards against endpoints that work for callers that have left."""
    endpoint = Endpoint([b"x" * 1000] * 1000, 0.02, CLOSE, ends=False)
    async with relayed(endpoint, NO_ROOM) as (gateway, reader, writer):
        await reader.readuntil(b"x" * 900)
        writer.transport.abort()
        await endpoint.is_closed.wait()
    assert endpoint.bytes_sent < 500_000
    assert gateway.deliveries[0].holding.sizes[HeldKind.RESPONSE] == 0


@pytest.mark.parametrize(
    ("method", "status"),
    [(b"HEAD", b"200 OK"), (b"GET", b"204 No"), (b"GET", b"304 Not Modified")],
)
async def test_a_response_without_a_body_needs_no_room(method, status):
    """Guards against a wait for a body that a length announces in vain."""
    head = b"HTTP/1.1 %b\r\nContent-Length: 99999\r\n\r\n" % status
    if status.startswith(b"204"):
        head = b"HTTP/1.1 %b\r\n\r\n" % status
    endpoint = Endpoint([b""], 0.0, head)
    request = b"%b / HTTP/1.1\r\nHost: h\r\n\r\n" % method
    async with relayed(endpoint, NO_ROOM, request) as (gateway, reader, _):
        line = await reader.readline()
        assert line.split()[1] == status.split()[0]
        await reader.readuntil(b"\r\n\r\n")
    assert gateway.failures == []
    assert not gateway.deliveries[0].is_passed_on


@pytest.mark.parametrize("first", [[], [chunk(event(1))]])
@pytest.mark.parametrize(
    ("limit", "sent"),
    [(None, MAX_EVENT_BYTES), (SMALL_EVENT_BYTES, 2 * SMALL_EVENT_BYTES)],
)
async def test_an_event_without_its_end_breaks_its_stream_off(
    first, limit, sent
):
    """Guards against an endpoint that fills the memory of a gateway with one
    event, on direct writes too.
    """
    rest = [chunk(b"data: " + b"x" * (1 << 15))] * (2 * sent >> 15)
    endpoint = Endpoint([*first, *rest], 0.0)
    async with relayed(endpoint, limit) as (gateway, reader, _):
        await endpoint.is_closed.wait()
        while not gateway.failures:
            await asyncio.sleep(0)
        if first:
            assert await read_body(reader) == (event(1), False)
    delivery = gateway.deliveries[0]
    assert isinstance(gateway.failures[0], SendFailedError)
    assert delivery.is_event_too_large
    assert not delivery.events.buffer
    assert delivery.holding.sizes[HeldKind.EVENT] == 0


async def test_a_stream_of_small_events_needs_no_room():
    """Guards against sound streams that end because others fill a gateway."""
    events = [event(number, 5000) for number in range(20)]
    pieces = split(b"".join(events), 3000)
    endpoint = Endpoint([*map(chunk, pieces), END])
    async with relayed(endpoint, NO_ROOM) as (gateway, reader, _):
        assert await read_body(reader) == (b"".join(events), True)
    assert gateway.failures == []


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CLOSE])
@pytest.mark.parametrize("request_bytes", [REQUEST, OLD_REQUEST])
async def test_a_large_response_with_room_arrives_whole(framing, request_bytes):
    """Guards against large responses that lose a piece or their length."""
    async with relayed(plain(framing), None, request_bytes) as found:
        gateway, reader, _ = found
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"content-length: %d\r\n" % len(BODY) in head.lower()
        assert await reader.readexactly(len(BODY)) == BODY
    delivery = gateway.deliveries[0]
    assert gateway.failures == []
    assert not delivery.is_passed_on
    assert delivery.bytes_sent == len(BODY)
    assert delivery.holding.sizes[HeldKind.RESPONSE] == 0


async def test_a_large_response_is_released_as_its_caller_reads():
    """Guards against responses that are in memory twice until a slow caller
    has read them.
    """
    size = 32 << 20
    pieces = [b"x" * (1 << 20)] * (size >> 20)
    endpoint = Endpoint(pieces, 0.0, LENGTH % size, ends=False)
    async with relayed(endpoint) as (gateway, reader, _):
        await reader.readuntil(b"\r\n\r\n")
        sizes = gateway.deliveries[0].holding.sizes
        in_kernel = 24 << 20
        assert size - in_kernel < sizes[HeldKind.RESPONSE] < size
        await reader.readexactly(size)
        assert sizes[HeldKind.RESPONSE] == 0
