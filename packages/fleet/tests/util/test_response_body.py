"""Reading responses of endpoints to their end."""

import asyncio
import contextlib

import pytest
from held import new_holding

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.response_ends import (
    ResponseEnd,
    Termination,
)
from marjoramyard.fleet.util.connections import reset
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session
from marjoramyard.fleet.util.response_body import BrokenOffError, ResponseBody

CLOSE = b"HTTP/1.1 200 OK\r\n\r\n"
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NO_BODY = b"HTTP/1.1 204 No Content\r\n\r\n"


@contextlib.asynccontextmanager
async def response_of(data, is_reset=False):
    """Yields the response of an endpoint that sends bytes and ends."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await asyncio.sleep(0.05)
        if is_reset:
            reset(writer.transport)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with (
        open_endpoint_session() as session,
        session.get(f"http://{host}:{port}/") as response,
    ):
        yield response
    server.close()


@pytest.mark.parametrize(
    ("data", "is_reset", "termination"),
    [
        (LENGTH + b"body", False, Termination.FRAMING),
        (LENGTH + b"body", True, Termination.FRAMING),
        (LENGTH + b"bo", False, Termination.FAILURE),
        (CHUNKS + b"4\r\nbody\r\n0\r\n\r\n", False, Termination.FRAMING),
        (CHUNKS + b"4\r\nbody\r\n", False, Termination.FAILURE),
        (NO_BODY, False, Termination.FRAMING),
        (CLOSE + b"body", False, Termination.CLOSE),
        (CLOSE + b"body", True, Termination.FAILURE),
    ],
)
async def test_the_end_of_a_connection_is_not_that_of_a_response(
    data, is_reset, termination
):
    """Guards against a response that counts as complete because its
    connection has ended.
    """
    async with response_of(data, is_reset) as response:
        body = ResponseBody(response)
        assert await body.read_within(new_holding())
        received = body.take()
        assert body.termination is termination
        if termination is Termination.FAILURE:
            with pytest.raises(BrokenOffError) as caught:
                body.check_end()
            assert caught.value.is_connection_lost
        else:
            is_known = termination is Termination.FRAMING
            assert (body.check_end() is ResponseEnd.COMPLETE) == is_known
            assert received == (b"" if data == NO_BODY else b"body")


async def test_a_stream_that_its_endpoint_ends_inside_an_event_is_broken_off():
    """Guards against part of an event that counts as the end of a stream, and
    against examining an endpoint that has not lost its connection.
    """
    async with response_of(CHUNKS + b"4\r\ndata\r\n0\r\n\r\n") as response:
        body = ResponseBody(response, EventSplitter())
        assert await body.read_within(new_holding())
        body.events.feed(body.take())
        with pytest.raises(BrokenOffError) as caught:
            body.check_end()
        assert not caught.value.is_connection_lost
