"""Connections to other gateways that are kept for the next request."""

import asyncio
from collections import defaultdict

from marjoramyard.fleet.util.connections import has_input

KEPT_SECONDS = 2.0
"""How long an unused connection is kept. Much less than the other gateway keeps
it: a request must not be sent on a connection that is being closed."""
MAX_KEPT = 48
"""How many unused connections are kept, within the reserved descriptors."""


class IdleConnection(asyncio.Protocol):
    """A connection that waits for its next request.

    Attributes:
        transport: The connection.
        kept_until: When it is closed, on the event loop clock in seconds.
        timer: Closes it then.
    """

    def __init__(self, transport: asyncio.Transport):
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.kept_until = loop.time() + KEPT_SECONDS
        self.timer = loop.call_later(KEPT_SECONDS, transport.abort)

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        now = asyncio.get_running_loop().time()
        return now < self.kept_until and not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Closes the connection: nothing was requested."""
        self.transport.abort()

    def eof_received(self) -> None:
        """Called when the other gateway closes the connection."""
        self.transport.abort()


class PeerConnections:
    """The unused connections to other gateways.

    Attributes:
        idle: The connections by address, the last used one last.
    """

    def __init__(self):
        self.idle: defaultdict[str, list[IdleConnection]] = defaultdict(list)

    def take(self, peer: str) -> asyncio.Transport | None:
        """Returns a connection to a peer; None if there is none to be used."""
        connections = self.idle.get(peer, [])
        while connections:
            connection = connections.pop()
            connection.timer.cancel()
            transport = connection.transport
            if connection.is_usable and not has_input(transport):
                return transport
            transport.abort()
        self.idle.pop(peer, None)
        return None

    def keep(self, peer: str, transport: asyncio.Transport) -> None:
        """Keeps a connection after a complete response.

        Closes it instead if too many are kept.
        """
        self._forget_closed()
        if sum(map(len, self.idle.values())) >= MAX_KEPT:
            transport.abort()
            return
        connection = IdleConnection(transport)
        transport.set_protocol(connection)
        self.idle[peer].append(connection)

    def close(self) -> None:
        """Closes all unused connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.timer.cancel()
                connection.transport.abort()
        self.idle.clear()

    def _forget_closed(self) -> None:
        for peer, connections in list(self.idle.items()):
            connections[:] = [c for c in connections if c.is_usable]
            if not connections:
                del self.idle[peer]
