"""Limits the requests to an endpoint that has just started.

A cold endpoint tolerates few requests per second, and may crash if it gets
more. The limit holds for the whole fleet, so one broker grants all requests to
a cold engine, and a grant must be used soon.
"""

import math
from collections import deque

WINDOW_MS = 1000.0
"""The span in which requests to a cold endpoint are counted."""
GRANT_VALID_MS = 1000.0
"""A grant for a cold endpoint expires this long after it was requested.
Otherwise a router that was suspended would send all of its grants at once."""
HANDOVER_MS = WINDOW_MS + GRANT_VALID_MS
"""A broker that takes over grants no cold engine for this time, in which the
grants of the previous one may still be used and count."""


def window_limit(per_s: float, hard_limit: float) -> int:
    """Returns how many grants per window respect the limits of an endpoint.

    Requests that arrive in one window were granted in the window or up to
    `GRANT_VALID_MS` before it, so twice the returned number may arrive.

    Args:
        per_s: Requests per second that the endpoint tolerates; 0 for no limit.
        hard_limit: Requests that must not be exceeded in any second.

    Returns:
        The limit; 0 for none.
    """
    if per_s <= 0:
        return 0
    return max(1, math.floor(min(per_s, hard_limit / 2)))


class ColdStartThrottle:
    """Counts the requests to one endpoint while it is cold.

    Times are in ms of one clock.

    Attributes:
        limit: Requests per window while it is cold; 0 for no limit.
        cold_until: When it is no longer cold.
        sent_at: When requests of the last window were sent or granted.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.cold_until = -math.inf
        self.sent_at: deque[float] = deque()

    def is_cold(self, now: float) -> bool:
        """Returns whether the limit applies."""
        return self.limit > 0 and now < self.cold_until

    def remaining(self, now: float) -> float:
        """Returns how many further requests may be sent now."""
        if not self.is_cold(now):
            return math.inf
        while self.sent_at and self.sent_at[0] <= now - WINDOW_MS:
            self.sent_at.popleft()
        return float(max(0, self.limit - len(self.sent_at)))

    def record(self, now: float) -> None:
        """Records a request; also while the endpoint is not known to be cold.

        It may turn cold later, and the request counts then.
        """
        if self.limit <= 0:
            return
        self.sent_at.append(now)
        while self.sent_at[0] <= now - WINDOW_MS:
            self.sent_at.popleft()
