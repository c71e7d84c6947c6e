"""What callers have not taken of responses stays in the account."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from endless_replies import RESPONSES, EndlessServer
from held import new_account

from marjoramyard.fleet.gateway.attempts import SendFailedError
from marjoramyard.fleet.gateway.delivery import (
    PASSED_ON_BYTES,
    CallerGoneError,
    ResponseDelivery,
)
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session
from marjoramyard.fleet.util.held_bytes import Holding
from marjoramyard.fleet.util.request_body import HOLDING

LIMIT = 20_000_000
CALLERS = 6
EVENT = b"data: " + b"x" * 3_000_000 + b"\n\n"
EVENTS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"%x\r\n%b\r\n" % (len(EVENT), EVENT),
)


@pytest.mark.parametrize(
    "response", [RESPONSES["chunks"], EVENTS], ids=["passed-on", "events"]
)
async def test_what_callers_have_not_read_is_in_the_account(response):
    """Guards against callers who don't read and fill the memory with
    responses that the account no longer has.
    """
    account = new_account(LIMIT)
    transports = []
    async with (
        asyncio.timeout(40.0),
        EndlessServer(*response).running() as server,
        open_endpoint_session() as session,
    ):

        async def handle(request):
            request[HOLDING] = holding = Holding(account)
            transports.append(request.transport)
            delivery = ResponseDelivery(request, lambda: False)
            upstream = await session.get(f"http://{server.address}/")
            try:
                return await delivery.relay(upstream, lambda: None)
            except (SendFailedError, CallerGoneError):
                delivery.abort()
                return delivery.response
            finally:
                upstream.close()
                holding.release()

        app = web.Application()
        app.add_routes([web.get("/", handle)])
        async with TestServer(app, handler_cancellation=True) as front:
            writers = []
            for _ in range(CALLERS):
                _, writer = await asyncio.open_connection(
                    front.host, front.port, limit=1 << 10
                )
                writers.append(writer)
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await asyncio.sleep(1.5)
            buffered = sum(t.get_write_buffer_size() for t in transports)
            for writer in writers:
                writer.transport.abort()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(5.0):
                    while account.total:
                        await asyncio.sleep(0.05)
    assert buffered <= LIMIT
    assert buffered <= account.highest + CALLERS * PASSED_ON_BYTES
