"""Refuses requests that may outlast the process, before they are passed on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from marjoramyard.kernel.errors import FailureKind, FleetError, failure


class OutlastingRequests:
    """The requests that may outlast a process that is told to stop.

    Passed on, they could be cut off at the end of the grace period; refused at
    once, they run elsewhere.

    Attributes:
        retry_seconds: `Retry-After` of a refused request.
        stops_at: When requests in progress are ended, on the event loop clock
            in seconds.
        waiting: The time limits of requests that wait for their body or for an
            endpoint, with their deadlines.
    """

    def __init__(self, retry_seconds: float):
        self.retry_seconds = retry_seconds
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
        """Checks that a request ends before the process does.

        Raises:
            FleetError: It may not; it must not be passed on.
        """
        if deadline_at > self.stops_at:
            raise self._refusal()

    @asynccontextmanager
    async def refusing(self, deadline_at: float) -> AsyncIterator[None]:
        """Refuses a request while it waits.

        Args:
            deadline_at: The deadline of the request.

        Raises:
            FleetError: The process stops before the deadline.
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
            raise self._refusal() from None

    def _refusal(self) -> FleetError:
        return FleetError(
            failure(
                FailureKind.LEAVING,
                "this process shuts down before the deadline; use another one",
                retry_after=self.retry_seconds,
            )
        )
