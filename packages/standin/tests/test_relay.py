"""Network faults that a relay injects."""

import asyncio

import pytest

from marjoramyard.standin.relay import relay_to


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.fixture
async def relay():
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, relay_to(f"127.0.0.1:{port}") as link:
        yield link


async def reply_to(link, data):
    """Returns the reply over a new connection; None if it is reset."""
    host, port = link.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await reader.read(100) or None
    except ConnectionError:
        return None
    finally:
        writer.close()


async def test_connections_that_carry_given_bytes_are_reset(relay):
    relay.resets_on, relay.resets_left = b"POST /init", 1
    assert await reply_to(relay, b"POST /raft") == b"POST /raft"
    assert await reply_to(relay, b"POST /init") is None
    assert await reply_to(relay, b"POST /init") == b"POST /init"
