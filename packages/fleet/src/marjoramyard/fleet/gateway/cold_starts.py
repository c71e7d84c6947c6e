"""What a gateway may send to endpoints that have just started.

Cold engines only get requests that a broker has granted. The cold endpoints of
services without engines are shared out: each gateway may send an equal part of
what an endpoint tolerates.
"""

import time

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.cold_start import (
    ColdStartThrottle,
    window_limit,
)
from marjoramyard.coordination.routing.config import Service
from marjoramyard.fleet.gateway.view import FleetView


class ColdStarts:
    """Which endpoints are cold, and what this gateway may send to them.

    Attributes:
        overrun: What a cold endpoint must not get in any second is this
            multiple of what it tolerates, plus `slack`.
        throttles: Limits this gateway's own requests, by endpoint.
    """

    def __init__(self, view: FleetView, overrun: float, slack: float):
        self.view = view
        self.overrun = overrun
        self.slack = slack
        self.throttles: dict[str, ColdStartThrottle] = {}

    def limit_of(self, service: Service) -> int:
        """Returns the fleet's requests per window to a cold endpoint.

        0 for no limit.
        """
        hard_limit = service.cold_per_s * self.overrun + self.slack
        return window_limit(service.cold_per_s, hard_limit)

    def cold_until(self, service: Service, registration: Registration) -> float:
        """Returns when an endpoint is no longer cold, on the monotonic clock.

        The endpoints of a zone that was evacuated may be cold when it is
        restored, before they have reported it.
        """
        received_at = self.view.registrations.received_at.get(
            registration.endpoint, 0.0
        )
        reported = received_at + registration.cold_left_ms / 1000
        restored_at = self.view.zones.restored_at.get(
            registration.availability_zone
        )
        if restored_at is None:
            return reported
        return max(reported, restored_at + service.cold_start_s)

    def placeable(
        self, service: Service, candidates: list[Registration]
    ) -> list[Registration]:
        """Returns the endpoints that this gateway may choose by itself."""
        limit = self.limit_of(service)
        if not limit:
            return candidates
        now = time.monotonic()
        warm = [r for r in candidates if self.cold_until(service, r) <= now]
        if warm or service.engine is not None:
            return warm
        share = limit // self.view.max_gateway_count(now)
        return [r for r in candidates if self._has_share(r, share, now)]

    def _has_share(
        self, endpoint: Registration, share: int, now: float
    ) -> bool:
        if share < 1:
            return False
        throttle = self.throttles.setdefault(
            endpoint.endpoint, ColdStartThrottle(share)
        )
        throttle.limit = share
        throttle.cold_until = float("inf")
        return throttle.remaining(now * 1000) >= 1.0

    def record(self, service: Service, endpoint: str) -> None:
        """Records a request that this gateway has placed by itself."""
        if self.limit_of(service) and endpoint in self.throttles:
            self.throttles[endpoint].record(time.monotonic() * 1000)
