"""Limits how many prompts a gateway serves at once, by its own lateness.

One workspace can send a gateway more than its processor handles. Taken in,
all of that waits in the event loop, and the answers of every caller there are
late. So the gateway learns how many prompts it can serve at once and refuses
more when they arrive, which costs little. While one workspace brings most of
them it also asks the balancer to send new connections to other gateways.
"""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from marjoramyard.fleet.util.jitter import jitter
from marjoramyard.kernel.errors import Failure, FleetError, Kind, failure

LATE_SECONDS = 0.2
"""The loop's lateness above which fewer prompts are served at once."""
MIN_LIMIT = 16.0
"""So many the smallest host serves; a single late moment, such as a new
configuration brings, is no flood."""
DECREASE_FACTOR = 0.7
INCREASE_STEP = 1.0
"""Added at each wake-up in time while the limit is in use."""
IN_USE_SHARE = 0.8
"""A limit of which less is in use says nothing of what could be served."""
DOMINANT_SHARE = 0.5
"""Of the prompts in service. Where all workspaces bring too much, other
gateways have no room either."""
UNREADY_SECONDS = 3.0
"""The balancer asks for readiness once a second and believes two misses."""
OVERLOAD_RETRY_SECONDS = 1.5
"""Floods last for seconds, and most callers' next connection reaches the same
gateway; back sooner, they would be refused again and have no further try."""


class ConcurrencyLimit:
    """How many prompts may be in service here, in all and by workspace."""

    def __init__(self):
        self.limit = float("inf")
        self.active: Counter[str] = Counter()
        self.total = 0
        self.overloaded_by_one_until = 0.0
        self.refused: Counter[str] = Counter()

    @property
    def is_overloaded_by_one(self) -> bool:
        """Whether one workspace has brought too much of late."""
        return time.monotonic() < self.overloaded_by_one_until

    def _has_dominant_workspace(self) -> bool:
        largest = max(self.active.values(), default=0)
        return self.total >= MIN_LIMIT and largest > self.total * DOMINANT_SHARE

    def on_wake_up(self, late_seconds: float) -> None:
        """Adapts the limit; called at each measured wake-up of the loop."""
        if late_seconds > LATE_SECONDS and self._has_dominant_workspace():
            self.overloaded_by_one_until = time.monotonic() + UNREADY_SECONDS
        if late_seconds > LATE_SECONDS:
            reached = min(self.limit, float(self.total))
            self.limit = max(MIN_LIMIT, reached * DECREASE_FACTOR)
        elif self.total >= self.limit * IN_USE_SHARE:
            self.limit += INCREASE_STEP

    @property
    def is_reached(self) -> bool:
        """Whether some are refused."""
        return self.total >= self.limit

    def admits(self, workspace: str) -> bool:
        """Whether another prompt of a workspace may be served now.

        One that has less than an even share of the limit always may: it is
        not the one that brings too much.
        """
        if not self.is_reached:
            return True
        others = len(self.active) + (workspace not in self.active)
        return self.active[workspace] < self.limit / others

    @contextmanager
    def admit(self, workspace: str) -> Iterator[None]:
        """Counts a prompt while it is in service.

        Raises:
            FleetError: There are too many; it has not run.
        """
        if not self.admits(workspace):
            raise FleetError(self.refuse(workspace))
        self.active[workspace] += 1
        self.total += 1
        try:
            yield
        finally:
            self.total -= 1
            self.active[workspace] -= 1
            if not self.active[workspace]:
                del self.active[workspace]

    def refuse(self, workspace: str) -> Failure:
        """Counts a refused request, and returns what its caller is told."""
        self.refused[workspace] += 1
        return failure(
            Kind.OVERLOADED,
            "this gateway has too many requests; come back later",
            retry_after=jitter(OVERLOAD_RETRY_SECONDS),
        )

    def pop_refused_counts(self) -> Counter[str]:
        """Returns how many were refused since the last call, by workspace."""
        refused, self.refused = self.refused, Counter()
        return refused
