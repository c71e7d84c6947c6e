"""The clients tell a request that was read from one that was not."""

import asyncio
import contextlib
import socket

import pytest
from raw_clients import End, RawClient, http_request

from marjoramyard.standin.processes import free_address

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.contextmanager
def listening():
    """Yields a listening socket and its address."""
    address = free_address()
    host, port = address.split(":")
    with socket.socket() as listener:
        listener.bind((host, int(port)))
        listener.listen()
        yield listener, address


async def exchange(serve):
    """Sends a request to a server that is controlled step by step."""
    with listening() as (listener, address):
        client = RawClient("c", address, lambda _: http_request("GET", "/"))
        await client.connect()
        accepted, _ = listener.accept()
        with accepted:
            await serve(client, accepted)
            result = await client.receive()
        client.disconnect()
    return result


async def respond(client, accepted):
    await client.send()
    accepted.recv(1 << 16)
    accepted.sendall(RESPONSE)


async def read_and_close(client, accepted):
    await client.send()
    accepted.recv(1 << 16)
    accepted.close()


async def close_unread(client, accepted):
    await client.send()
    accepted.close()


async def close_before_it_arrives(client, accepted):
    await client.send_part(share=0)
    accepted.close()
    await client.send_rest()


async def break_off(client, accepted):
    await client.send()
    accepted.recv(1 << 16)
    accepted.sendall(RESPONSE[:-1])
    accepted.close()


@pytest.mark.parametrize(
    ("serve", "end", "is_lost"),
    [
        (respond, End.RESPONSE, False),
        (read_and_close, End.FIN, True),
        (close_unread, End.RST, False),
        (close_before_it_arrives, End.RST, False),
        (break_off, End.TRUNCATED, False),
    ],
)
async def test_an_end_is_told_by_what_the_server_has_read(serve, end, is_lost):
    async with asyncio.timeout(5.0):
        result = await exchange(serve)
    assert (result.end, result.is_lost) == (end, is_lost)
