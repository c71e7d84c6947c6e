"""The state of TCP connections."""

import asyncio
import select

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
