"""Holds requests while a gateway that has just started can't serve yet.

A gateway listens before it has a configuration and a lease. After a loss of
power it gets them as soon as the control hosts have a leader. Callers that are
refused meanwhile would return to gateways that are still starting.
"""

import asyncio

from marjoramyard.fleet.gateway.view import FleetView

MAX_WAIT_SHARE = 1 / 3
"""Share of the caller's time that a request is held at most. What is left is
enough for another attempt."""


class StartupWait:
    """Holds requests until a gateway is able to serve for the first time.

    Later, a gateway without a lease is cut off from the control hosts, and
    refuses at once.

    Attributes:
        seconds: How long after the start requests are held at most.
        started_at: When the gateway was started, on the event loop clock in
            seconds.
        is_able: Set once there is a configuration and a valid lease.
        held_count: The number of requests that were held.
    """

    def __init__(self, view: FleetView, seconds: float):
        self.view = view
        self.seconds = seconds
        self.started_at = asyncio.get_running_loop().time()
        self.is_able = asyncio.Event()
        self.held_count = 0
        view.on_lease.append(self._on_lease)

    def _on_lease(self) -> None:
        if self.view.table is not None and self.view.has_valid_lease():
            self.is_able.set()

    async def hold(self, caller_seconds: float) -> None:
        """Returns when the gateway can serve, or when the wait is over.

        Args:
            caller_seconds: How long the caller waits for its response.
        """
        if self.is_able.is_set():
            return
        now = asyncio.get_running_loop().time()
        until = min(
            self.started_at + self.seconds,
            now + caller_seconds * MAX_WAIT_SHARE,
        )
        if until <= now:
            return
        self.held_count += 1
        try:
            async with asyncio.timeout_at(until):
                await self.is_able.wait()
        except TimeoutError:
            # Admission refuses the request.
            return
