"""Connections to endpoints."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marjoramyard.fleet.util.endpoint_session import (
    MAX_INTERIM_RESPONSES,
    MAX_OVERHEAD_BYTES,
    READ_BYTES,
    Excess,
    ExcessError,
    StrictHandler,
    check_before_send,
    open_endpoint_session,
)
from marjoramyard.kernel.metrics import Metrics


class NotAllowedError(Exception):
    """The request must not be sent."""


def forbid():
    raise NotAllowedError


async def test_a_request_that_is_forbidden_while_connecting_is_not_sent():
    """Guards against requests to an endpoint that has asked for none while the
    connection was established, and against connections that leak.
    """
    requests, connections = [], set()

    async def respond(request):
        requests.append(request.path)
        connections.add(request.transport)
        return web.Response()

    app = web.Application()
    app.add_routes([web.get("/{path:.*}", respond)])
    async with TestServer(app) as server, open_endpoint_session() as session:
        with check_before_send(forbid), pytest.raises(NotAllowedError):
            await session.get(server.make_url("/forbidden"))
        for _ in range(2):
            with check_before_send(lambda: None):
                async with session.get(server.make_url("/allowed")) as found:
                    await found.read()
        await session.get(server.make_url("/unchecked"))
        assert not session.connector._acquired
    assert requests == ["/allowed", "/allowed", "/unchecked"]
    assert len(connections) == 1


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
WORD = b"4\r\nword\r\n"
TIMEOUT_SECONDS = 10.0
PIECE_COUNT = 200


@contextlib.asynccontextmanager
async def endpoint(head, unit, count=PIECE_COUNT):
    """Yields the URL of an endpoint, and what becomes of its connections.

    After a head it sends a unit repeatedly, 16 KiB at once, then reads until
    its peer closes the connection.
    """
    ends = []
    repeated = unit * max(1, (1 << 14) // max(1, len(unit)))

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        end = asyncio.get_running_loop().create_future()
        ends.append(end)
        writer.write(head)
        with contextlib.suppress(ConnectionError):
            for _ in range(count):
                writer.write(repeated)
                await writer.drain()
            while await reader.read(1 << 16):
                pass
        end.set_result(None)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with asyncio.timeout(TIMEOUT_SECONDS):
        yield f"http://{host}:{port}/", ends
    server.close()


@pytest.mark.parametrize(
    ("head", "unit", "excess"),
    [
        (b"", INTERIM, Excess.INTERIM),
        (b"", b"\r\n", Excess.OVERHEAD),
        (CHUNKS, b"1\r\nx\r\n", Excess.OVERHEAD),
        (CHUNKS, b"0" * 1024, Excess.OVERHEAD),
        (CHUNKS + b"1;a=", b"b" * 1024, Excess.OVERHEAD),
    ],
    ids=["interim", "empty-lines", "tiny-chunks", "chunk-size", "extension"],
)
async def test_an_endpoint_that_sends_no_answer_is_closed(head, unit, excess):
    """Guards against connections that are read until the deadline although
    nothing on them is part of a response.
    """
    metrics = Metrics("gateway", "g")
    async with (
        open_endpoint_session(metrics) as session,
        endpoint(head, unit) as (url, ends),
    ):
        with pytest.raises(ExcessError):
            async with session.get(url) as response:
                await response.read()
        await ends[0]
    key = (("excess", excess.value),)
    assert metrics.counts["endless_responses"] == {key: 1}


@pytest.mark.parametrize("is_late", [False, True])
async def test_an_extra_response_ends_its_connection_at_once(is_late):
    """Guards against a connection in the pool that collects responses which
    nobody asked for.
    """
    metrics = Metrics("gateway", "g")
    head = OK if is_late else b""
    async with (
        open_endpoint_session(metrics) as session,
        endpoint(head, OK, 1) as (url, ends),
    ):
        async with session.get(url) as response:
            assert await response.read() == b"ok"
        await ends[0]
        async with session.get(url) as response:
            assert await response.read() == b"ok"
    assert len(ends) == 2
    key = (("excess", Excess.RESPONSES.value),)
    assert metrics.counts["endless_responses"][key] >= 1


async def test_long_responses_in_small_pieces_are_read_to_their_end():
    """Guards against a bound on small chunks that cuts long streams of short
    events, or interim responses of an endpoint that takes its time.
    """
    head = INTERIM * MAX_INTERIM_RESPONSES + CHUNKS
    count = 4 * MAX_OVERHEAD_BYTES // len(WORD)
    words = WORD * count + b"0\r\n\r\n"
    async with (
        open_endpoint_session() as session,
        endpoint(head + words, b"", 0) as (url, _),
        session.get(url) as response,
    ):
        assert await response.read() == b"word" * count


async def test_connections_to_endpoints_are_read_in_small_turns():
    """Guards against one connection that keeps the event loop busy with what
    it has received at once.
    """
    sizes = []
    received = StrictHandler.data_received

    def record(handler, data):
        sizes.append(len(data))
        received(handler, data)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(StrictHandler, "data_received", record)
        async with (
            open_endpoint_session() as session,
            endpoint(CHUNKS, b"400\r\n" + b"x" * 1024 + b"\r\n") as (url, _),
            session.get(url) as response,
        ):
            await response.content.readexactly(1 << 20)
    assert max(sizes) <= READ_BYTES
