"""Refuses requests that may outlast the gateway, before they are passed on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from marjoramyard.fleet.gateway.run_failures import outlasting_failure
from marjoramyard.kernel.errors import FleetError


class OutlastingRequests:
    """The requests that may outlast a gateway that is told to stop.

    Passed on, they could be cut off at the end of the grace period; refused at
    once, they run on another gateway.

    Attributes:
        stops_at: When requests in progress are ended, on the event loop clock
            in seconds.
        waiting: The time limits of requests that wait for their body or for an
            endpoint, with their deadlines.
    """

    def __init__(self):
        self.stops_at = float("inf")
        self.waiting: dict[asyncio.Timeout, float] = {}

    def stop(self, at: float) -> None:
        """Refuses those that wait now, and from now on."""
        self.stops_at = at
        now = asyncio.get_running_loop().time()
        for limit, deadline_at in self.waiting.items():
            if deadline_at > at:
                limit.reschedule(now)
        self.waiting.clear()

    def check(self, deadline_at: float) -> None:
        """Checks that a request ends before the gateway does.

        Raises:
            FleetError: It may not; it must not be passed on.
        """
        if deadline_at > self.stops_at:
            raise FleetError(outlasting_failure())

    @asynccontextmanager
    async def refusing(self, deadline_at: float) -> AsyncIterator[None]:
        """Refuses a request while it waits.

        Args:
            deadline_at: The deadline of the request.

        Raises:
            FleetError: The gateway stops before the deadline.
        """
        self.check(deadline_at)
        try:
            async with asyncio.timeout(None) as limit:
                self.waiting[limit] = deadline_at
                try:
                    yield
                finally:
                    self.waiting.pop(limit, None)
        except TimeoutError:
            if not limit.expired():
                raise
            raise FleetError(outlasting_failure()) from None
