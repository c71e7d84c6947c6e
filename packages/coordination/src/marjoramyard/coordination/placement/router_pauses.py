"""Pauses that engines have asked routers for.

An engine that turns a request away may ask its router for no requests during a
pause. Other routers may still send to it.
"""

import heapq


class RouterPauses:
    """The pauses that have not ended, by engine and router.

    All times are in ms of one clock.

    Attributes:
        by_endpoint: When the pause of each router ends, by endpoint.
        by_router: The endpoints that a router must not send to.
        ends: A heap of (end, router, endpoint). Pauses that were prolonged or
            forgotten leave old entries.
    """

    def __init__(self):
        self.by_endpoint: dict[str, dict[str, float]] = {}
        self.by_router: dict[str, set[str]] = {}
        self.ends: list[tuple[float, str, str]] = []

    def record(self, router: str, endpoint: str, until: float) -> None:
        """Records a pause. One that ends earlier does not shorten another."""
        if until <= self.ends_at(router, endpoint):
            return
        self.by_endpoint.setdefault(endpoint, {})[router] = until
        self.by_router.setdefault(router, set()).add(endpoint)
        heapq.heappush(self.ends, (until, router, endpoint))

    def of(self, router: str) -> set[str]:
        """Returns the endpoints that a router must not send to."""
        return self.by_router.get(router, set())

    def ends_at(self, router: str, endpoint: str) -> float:
        """Returns when a router's pause ends; 0.0 if there is none."""
        return self.by_endpoint.get(endpoint, {}).get(router, 0.0)

    def expire(self, now: float) -> bool:
        """Removes pauses that have ended; returns whether there were any."""
        has_ended = False
        while self.ends and self.ends[0][0] <= now:
            until, router, endpoint = heapq.heappop(self.ends)
            if self.ends_at(router, endpoint) == until:
                self._remove(router, endpoint)
                has_ended = True
        return has_ended

    def forget_router(self, router: str) -> None:
        """Removes the pauses of a router that has disconnected."""
        for endpoint in list(self.of(router)):
            self._remove(router, endpoint)

    def forget_endpoint(self, endpoint: str) -> None:
        """Removes the pauses of an engine that has been restarted."""
        for router in list(self.by_endpoint.get(endpoint, {})):
            self._remove(router, endpoint)

    def _remove(self, router: str, endpoint: str) -> None:
        ends = self.by_endpoint[endpoint]
        del ends[router]
        if not ends:
            del self.by_endpoint[endpoint]
        endpoints = self.by_router[router]
        endpoints.discard(endpoint)
        if not endpoints:
            del self.by_router[router]
