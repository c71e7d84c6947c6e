"""The state and the end of TCP connections."""

import asyncio
import select
import socket
import struct

from aiohttp import HttpVersion11, web

_DISCARD_AND_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of zero."""
_INPUT = select.POLLIN | select.POLLRDHUP
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_peer_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether the peer has closed a connection, or it was reset.

    Asks the kernel. A late event loop may not have read the end yet.
    """
    if transport is None or transport.is_closing():
        return True
    connection = transport.get_extra_info("socket")
    if connection is None:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return any(events & _CLOSED for _, events in poll.poll(0))


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Returns whether a connection was reset.

    Asks the kernel. That the peer has only closed its sending side is no reset.
    """
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), 0)
    return bool(poll.poll(0))


def has_caller_left(request: web.BaseRequest) -> bool:
    """Returns whether the client of a request has left, as far as is known."""
    connection = getattr(request.protocol, "connection", None)
    if connection is None or request.transport is None:
        return has_peer_closed(request.transport)
    return connection.has_left


def is_caller_in_doubt(request: web.BaseRequest) -> bool:
    """Returns whether a client has closed its sending side or has left."""
    connection = getattr(request.protocol, "connection", None)
    if connection is None or request.transport is None:
        return False
    return connection.is_in_doubt


def is_half_closed(request: web.BaseRequest) -> bool:
    """Returns whether the client of a request closed its sending side."""
    connection = getattr(request.protocol, "connection", None)
    return connection is not None and connection.half_closed is not None


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Returns whether something, or the end, can be read from a connection.

    Asks the kernel. A late event loop may not have read it yet.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return False
    if connection.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(connection.fileno(), _INPUT)
    return bool(poll.poll(0))


def reset(transport: asyncio.Transport) -> None:
    """Resets a connection, which its peer can't take for a regular end."""
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_AND_RESET
        )
    transport.abort()


def break_off_response(request: web.BaseRequest) -> None:
    """Ends a caller's connection in the middle of a response.

    In HTTP/1.1 the missing last chunk shows that the response is incomplete.
    In HTTP/1.0 it ends with its connection, so only a reset does.
    """
    transport = request.transport
    if transport is None:
        return
    if request.version < HttpVersion11:
        reset(transport)
    else:
        transport.close()
