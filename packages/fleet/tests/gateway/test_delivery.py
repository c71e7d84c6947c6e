"""Relaying streams of endpoints to callers over real connections."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from held import new_holding

from marjoramyard.fleet.gateway.attempts import SendFailedError
from marjoramyard.fleet.gateway.delivery import (
    CallerGoneError,
    ResponseDelivery,
)
from marjoramyard.fleet.gateway.stream_relay import MAX_BUFFERED_BYTES
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session
from marjoramyard.fleet.util.request_body import HOLDING

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"
TIMEOUT_SECONDS = 30.0


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number, size=20):
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * size)


class Endpoint:
    """An endpoint that sends given bytes, with a pause after each piece.

    Attributes:
        pieces: The bytes to send after the head of the response.
        bytes_sent: Bytes that were passed to the kernel.
        is_closed: Set when the gateway has closed the connection.
    """

    def __init__(self, pieces, pause_seconds=0.005):
        self.pieces = pieces
        self.pause_seconds = pause_seconds
        self.bytes_sent = 0
        self.is_closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        with contextlib.suppress(ConnectionError):
            for piece in self.pieces:
                writer.write(piece)
                await writer.drain()
                self.bytes_sent += len(piece)
                await asyncio.sleep(self.pause_seconds)
            if self.pieces[-1] == END:
                await reader.read()
        self.is_closed.set()
        writer.close()


class Gateway:
    """A gateway that relays every request to one endpoint.

    Attributes:
        failures: The errors of its deliveries.
        limit: The most bytes held for a request; None for that of a roomy
            process.
    """

    def __init__(self, session, address, limit=None):
        self.limit = limit
        self.session = session
        self.address = address
        self.failures = []

    async def handle(self, request):
        request[HOLDING] = new_holding(self.limit)
        delivery = ResponseDelivery(request, lambda: False)
        upstream = await self.session.get(f"http://{self.address}/")
        try:
            return await delivery.relay(upstream, lambda: None)
        except (SendFailedError, CallerGoneError) as error:
            self.failures.append(error)
            delivery.abort()
            return delivery.response
        finally:
            upstream.close()


@contextlib.asynccontextmanager
async def relayed(endpoint):
    """Yields the gateway and an open connection to it with a request sent."""
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    app = web.Application()
    async with open_endpoint_session() as session:
        gateway = Gateway(session, f"127.0.0.1:{port}")
        app.add_routes([web.get("/", gateway.handle)])
        async with TestServer(app, handler_cancellation=True) as front:
            reader, writer = await asyncio.open_connection(
                front.host, front.port
            )
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
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
