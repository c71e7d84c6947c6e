"""Estimates how long callers have waited before their present attempt."""

import time

WINDOW_SECONDS = 20.0
"""Routes and callers change, so older attempts are forgotten."""
RETURNING_SHARE = 0.8
"""Callers that state less than this share of what others state have waited.
Small differences are those between callers."""


class CallerPatience:
    """Learns how long the callers of each route wait in all.

    A caller that was refused states less time on its next attempt. The most
    that was recently stated on a route is taken for what new callers state.

    Attributes:
        started_at: When the present window began, on the monotonic clock.
        present: The most time that was stated in it, in ms, by route.
        previous: The same for the window before.
    """

    def __init__(self):
        self.started_at = time.monotonic()
        self.present: dict[str, float] = {}
        self.previous: dict[str, float] = {}

    def waited_ms(self, route: str, stated_ms: float) -> float:
        """Returns how long a caller has probably waited already.

        Args:
            route: The route of the request.
            stated_ms: How long the caller waits for the response, at most the
                timeout of the route.
        """
        now = time.monotonic()
        if now - self.started_at > WINDOW_SECONDS:
            self.started_at = now
            self.previous, self.present = self.present, {}
        most = max(stated_ms, self.present.get(route, 0.0))
        self.present[route] = most
        most = max(most, self.previous.get(route, 0.0))
        return most - stated_ms if stated_ms < RETURNING_SHARE * most else 0.0
