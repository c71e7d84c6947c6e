"""Closing idle connections while requests arrive."""

import asyncio

import pytest
from aiohttp import web
from structlog.testing import capture_logs

from marjoramyard.fleet.listener import (
    FIRST_REQUEST_SECONDS,
    Listener,
    ListenerSite,
)
from marjoramyard.fleet.served_connection import ConnectionState
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import free_address

REQUEST = b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n"


async def respond(_):
    return web.Response(text="whole")


@pytest.fixture
async def listener():
    app = web.Application()
    app.add_routes([web.get("/", respond)])
    runner = web.AppRunner(app)
    await runner.setup()
    host, _, port = free_address().rpartition(":")
    served = Listener(f"{host}:{port}", Metrics("gateway", "g"))
    site = ListenerSite(runner, served, host, int(port))
    await site.start()
    yield served, host, int(port)
    await runner.cleanup()


async def connect(listener, host, port):
    """Opens a connection; returns the server's and the client's end."""
    reader, writer = await asyncio.open_connection(host, port)

    async def is_idle():
        (connection,) = listener.connections.values()
        return connection if connection.is_waiting else None

    return await wait_until(is_idle, "the server's end"), reader, writer


async def test_a_request_that_has_just_been_read_is_answered(listener):
    """Guards against closing a connection before its handler has started.

    Idle connections are closed in each loop iteration from the time at which
    the request has been read until its handler runs.
    """
    served, host, port = listener
    connection, reader, writer = await connect(served, host, port)
    connection.data_received(REQUEST)
    for _ in range(4):
        served.close_idle()
        await asyncio.sleep(0)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert await reader.readexactly(5) == b"whole"
    writer.close()


async def test_an_idle_connection_is_closed(listener):
    served, host, port = listener
    _, reader, writer = await connect(served, host, port)
    writer.write(REQUEST)
    await reader.readuntil(b"whole")
    assert served.close_idle() == 1
    assert await reader.read() == b""
    writer.close()


async def test_a_new_connection_may_send_its_first_request(listener):
    """Guards against closing a connection on which a request is on its way."""
    served, host, port = listener
    connection, reader, writer = await connect(served, host, port)
    assert served.close_idle() == 0
    connection.made_at -= FIRST_REQUEST_SECONDS
    writer.write(REQUEST)
    # The request waits in the socket until the next turn of the event loop.
    assert served.close_idle() == 0
    await reader.readuntil(b"whole")
    assert served.close_idle() == 1
    writer.close()


async def test_a_connection_without_requests_is_closed(listener):
    """Guards against connections that stay open without being used."""
    served, host, port = listener
    connection, reader, writer = await connect(served, host, port)
    connection.made_at -= FIRST_REQUEST_SECONDS
    assert served.close_idle() == 1
    assert await reader.read() == b""
    writer.close()


@pytest.fixture
def lines():
    with capture_logs() as captured:
        yield captured


async def unanswered(lines):
    async def is_logged():
        return [
            line["state"]
            for line in lines
            if line["event"] == "connection_unanswered"
        ]

    return await wait_until(is_logged, "a line in the log")


async def test_a_request_that_is_read_in_part_and_given_up_is_logged(
    listener, lines
):
    """Guards against losing a request without a trace in the log."""
    served, host, port = listener
    connection, _, writer = await connect(served, host, port)
    writer.write(REQUEST[:-4])

    async def is_read():
        return connection.state is ConnectionState.READING

    await wait_until(is_read, "a part of the request")
    connection.close()
    assert await unanswered(lines) == ["reading"]
    writer.close()


async def test_closing_an_answered_connection_is_not_logged(listener, lines):
    """Guards against lines that don't show a lost request."""
    served, host, port = listener
    connection, reader, writer = await connect(served, host, port)
    for _ in range(2):
        writer.write(REQUEST)
        await reader.readuntil(b"whole")
    connection.close()
    assert await reader.read() == b""
    writer.close()

    async def is_forgotten():
        return not served.connections

    await wait_until(is_forgotten, "the end of the connection")
    assert lines == []
