"""The state of TCP connections."""

import asyncio
import socket

import pytest

from marjoramyard.fleet.util.connections import has_input, has_peer_closed


@pytest.fixture
async def connection():
    """A transport and the socket of its peer."""
    ours, theirs = socket.socketpair()
    transport, _ = await asyncio.get_running_loop().create_connection(
        asyncio.Protocol, sock=ours
    )
    yield transport, theirs
    theirs.close()
    transport.close()


async def test_a_close_is_seen_before_the_event_loop_reads_it(connection):
    transport, peer = connection
    assert not has_peer_closed(transport)
    peer.sendall(b"x")
    peer.close()
    assert has_peer_closed(transport)


async def test_input_is_seen_before_the_event_loop_reads_it(connection):
    transport, peer = connection
    assert not has_input(transport)
    peer.sendall(b"x")
    assert has_input(transport)


async def test_an_end_is_input(connection):
    transport, peer = connection
    peer.close()
    assert has_input(transport)


async def test_an_open_connection_with_unread_data_is_not_closed(connection):
    transport, peer = connection
    peer.sendall(b"x")
    assert not has_peer_closed(transport)
    assert has_peer_closed(None)
