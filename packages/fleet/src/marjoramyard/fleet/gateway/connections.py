"""Limits the callers' connections to the available file descriptors.

In an overload callers open a connection for each retry. Without a limit the
gateway would run out of descriptors and could accept no new connections.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from marjoramyard.fleet.listener import Listener
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

RESERVED_DESCRIPTORS = 260
"""Descriptors for files, listeners and connections within the fleet."""
CALLER_SHARE = 0.6
"""Share of the other descriptors for callers. The rest is for endpoints, which
need one per running request."""
CROWDED_SHARE = 0.5
"""Share of the limit above which connections are closed after the response
instead of being kept alive."""
FORWARDED_SHARE = 0.5
"""Share of the limit for callers whose request is forwarded to another gateway,
which takes a second connection."""
FORWARDED_OUTGOING_SHARE = 0.8
"""Share of the outgoing connections for forwarded requests at the most."""
CHECK_SECONDS = 0.1
"""Some hundred connections may arrive in this time at the most."""


class CallerConnections:
    """Tracks the connections in use and closes idle ones.

    Attributes:
        limit: The maximum number of connections.
        max_outgoing: The maximum number of connections to endpoints and to
            other gateways.
        max_forwarded: The maximum number of forwarded requests.
        forwarded_count: Returns the number of forwarded requests. Their
            connections are not among the listener's.
        listener: The listener of the callers' address, once it is open.
        busy: The connections on which a request is being handled.
    """

    def __init__(self, max_descriptors: int):
        self.limit = max(
            32, int((max_descriptors - RESERVED_DESCRIPTORS) * CALLER_SHARE)
        )
        available = max(0, max_descriptors - RESERVED_DESCRIPTORS)
        self.max_outgoing = max(self.limit // 2, available - self.limit)
        self.max_forwarded = int(
            min(
                self.limit * FORWARDED_SHARE,
                self.max_outgoing * FORWARDED_OUTGOING_SHARE,
            )
        )
        self.forwarded_count: Callable[[], int] = lambda: 0
        self.listener: Listener | None = None
        self.busy: set[web.RequestHandler] = set()

    @property
    def open_count(self) -> int:
        """The number of open connections; 0 before the listener is open."""
        if self.listener is None:
            return 0
        return self.listener.open_connections + self.forwarded_count()

    @property
    def is_crowded(self) -> bool:
        """Whether connections are closed after the response."""
        return self.open_count > self.limit * CROWDED_SHARE

    @property
    def is_full(self) -> bool:
        """Whether new requests are refused."""
        return self.free_count < 0

    @property
    def free_count(self) -> int:
        """How many more requests can be handled or forwarded."""
        return self.limit - len(self.busy) - self.forwarded_count()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        self.listener.close_idle()

    async def keep_within_limit(self) -> None:
        """Closes the oldest idle connections above the limit."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            over = self.open_count - self.limit
            if over > 0:
                closed = self.listener.close_idle(over)
                logger.info(
                    "idle_connections_closed",
                    closed=closed,
                    open=self.open_count,
                    limit=self.limit,
                )
