"""Closing idle connections while requests arrive."""

import asyncio

import pytest
from aiohttp import web

from marjoramyard.fleet.application import Listener
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
    site = web.TCPSite(runner, host, int(port))
    await site.start()
    yield Listener(runner, site), host, int(port)
    await runner.cleanup()


async def connect(listener, host, port):
    """Opens a connection; returns the server's and the client's end."""
    reader, writer = await asyncio.open_connection(host, port)

    async def is_idle():
        (connection,) = listener.runner.server.connections
        return connection if connection._waiter is not None else None

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
        served.close_idle(set())
        await asyncio.sleep(0)
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert await reader.readexactly(5) == b"whole"
    writer.close()


async def test_an_idle_connection_is_closed(listener):
    served, host, port = listener
    _, reader, writer = await connect(served, host, port)
    assert served.close_idle(set()) == 1
    assert await reader.read() == b""
    writer.close()
