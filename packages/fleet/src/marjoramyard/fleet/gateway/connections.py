"""Keeps the callers' connections within the process's descriptors.

Callers open a connection for each retry and keep it open afterwards. In a
rush a gateway runs out of descriptors within seconds; then it can't take the
next connection, whose caller waits for a second or more without a word.
"""

import asyncio

from aiohttp import web

from marjoramyard.fleet.application import Listener
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

RESERVED_DESCRIPTORS = 260
"""Descriptors for files, listening sockets and connections within the
fleet."""
CALLER_SHARE = 0.6
"""Of the rest, the part that callers may have; the others are for the
endpoints' side, which needs one for each request that runs."""
CROWDED_SHARE = 0.5
"""From this part of the callers' connections on, each is closed after its
answer instead of being kept."""
CHECK_SECONDS = 0.1
"""In this time some hundred connections may come at the most."""


class CallerConnections:
    """Knows which connections are in use, and closes some of the others."""

    def __init__(self, max_descriptors: int):
        self.limit = max(
            32, int((max_descriptors - RESERVED_DESCRIPTORS) * CALLER_SHARE)
        )
        self.listener: Listener | None = None
        self.busy: set[web.RequestHandler] = set()

    @property
    def is_crowded(self) -> bool:
        """Whether connections should not be kept after their answer."""
        if self.listener is None:
            return False
        return self.listener.open_connections > self.limit * CROWDED_SHARE

    @property
    def is_full(self) -> bool:
        """Whether no more requests should be taken."""
        return len(self.busy) > self.limit

    def close_idle(self) -> None:
        """Closes all connections on which nothing is being answered."""
        self.listener.close_idle(self.busy)

    async def keep_within_limit(self) -> None:
        """Closes the oldest idle connections while there are too many."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            over = self.listener.open_connections - self.limit
            if over > 0:
                closed = self.listener.close_idle(self.busy, over)
                logger.info(
                    "idle_connections_closed",
                    closed=closed,
                    open=self.listener.open_connections,
                    limit=self.limit,
                )
