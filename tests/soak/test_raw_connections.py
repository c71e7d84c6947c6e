"""How a connection that brings no response has ended is told correctly."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest

from marjoramyard.standin.raw_responses import ConnectionEnd, end_connection
from soak.raw_connections import RawConnection, RawConnections, http_request
from soak.record import ConnectionOutcome, Record

REQUEST = b"".join(http_request("GET", "/", {"Host": "a"}, b""))
SECONDS = 5.0


@asynccontextmanager
async def server(serve):
    """Runs a TCP server and yields its address."""
    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        listening.close()


async def exchange_with(serve, parts=(REQUEST,)):
    """Returns what is recorded of one request to a server."""
    record = Record()
    async with server(serve) as address:
        connections = RawConnections(record, "gateway", [address])
        await connections.send(0, "a", parts, SECONDS)
        connections.close()
    (exchange,) = record.exchanges
    return exchange


@pytest.mark.parametrize("end", ConnectionEnd)
async def test_the_end_of_a_connection_whose_request_was_read(end):
    """Guards against a FIN that is taken for a reset, and the other way."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        end_connection(writer.transport, end)

    exchange = await exchange_with(serve)
    assert exchange.outcome is ConnectionOutcome(end.value)
    assert exchange.sent_at
    assert not exchange.has_response


async def test_an_unread_request_is_seen_as_reset():
    async def serve(reader, writer):
        writer.transport.pause_reading()
        await asyncio.to_thread(_wait_for_input, writer)
        writer.close()

    exchange = await exchange_with(serve)
    assert exchange.outcome is ConnectionOutcome.RST


def _wait_for_input(writer):
    connection = writer.get_extra_info("socket")
    with socket.fromfd(
        connection.fileno(), socket.AF_INET, socket.SOCK_STREAM
    ) as copy:
        copy.settimeout(SECONDS)
        copy.recv(1, socket.MSG_PEEK)


async def test_a_request_after_a_fin_is_seen_as_reset():
    """Guards against a crossed request that counts as read and lost.

    A read returns the FIN, though the kernel has reset the connection.
    """
    record = Record()
    listening = socket.create_server(("127.0.0.1", 0))
    with listening:
        address = "{}:{}".format(*listening.getsockname())
        connections = RawConnections(record, "gateway", [address])
        client = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
        accepted.close()
        client.setblocking(False)
        connection = RawConnection(1, client)
        assert not connection.is_open()
        connection.is_open = lambda: True
        connections.idle[0].append(connection)
        await connections.send(0, "a", [REQUEST], SECONDS)
        connections.close()
    (exchange,) = record.exchanges
    assert exchange.sent_at
    assert exchange.outcome is ConnectionOutcome.RST


RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("framing", RESPONSES)
async def test_a_connection_that_stands_carries_the_next_request(framing):
    async def serve(reader, writer):
        for _ in range(3):
            await reader.readuntil(b"\r\n\r\n")
            for byte in RESPONSES[framing]:
                writer.write(bytes([byte]))
                await writer.drain()
        writer.close()

    record = Record()
    async with server(serve) as address:
        connections = RawConnections(record, "gateway", [address])
        for _ in range(3):
            response = await connections.send(0, "a", [REQUEST], SECONDS)
            assert response.status == 200
        connections.close()
    assert [one.carried for one in record.exchanges] == [0, 1, 2]
    assert len({one.connection for one in record.exchanges}) == 1


async def test_a_response_that_ends_with_its_connection():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nok")
        writer.close()

    exchange = await exchange_with(serve)
    assert exchange.status == 200
    assert exchange.has_response


async def test_a_connection_that_the_response_closes_carries_no_more():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 503 Busy\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    record = Record()
    async with server(serve) as address:
        connections = RawConnections(record, "gateway", [address])
        for _ in range(2):
            response = await connections.send(0, "a", [REQUEST], SECONDS)
            assert response.status == 503
        connections.close()
    assert [one.carried for one in record.exchanges] == [0, 0]


async def test_a_request_may_arrive_in_parts():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)
        writer.close()

    parts = http_request("POST", "/", {"Host": "a"}, b"ab")
    exchange = await exchange_with(serve, parts)
    assert exchange.outcome is ConnectionOutcome.FIN
