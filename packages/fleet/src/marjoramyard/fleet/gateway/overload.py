"""Limits the number of prompts in service by the latency of the event loop.

Requests beyond the CPU capacity of a gateway would queue in its event loop and
delay the responses of all callers. The limit adapts to the measured latency;
prompts above it are refused on arrival. While one workspace causes most of the
load, the gateway also reports that it is not ready, so that the load balancer
directs new connections to other gateways.
"""

import time
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType

import msgspec

from marjoramyard.fleet.util.jitter import jitter
from marjoramyard.kernel.errors import Failure, FailureKind, FleetError, failure

LATE_SECONDS = 0.2
"""Event loop latency above which the limit is decreased."""
MIN_LIMIT = 16.0
"""Lower bound of the limit, which the smallest hosts can serve. A single late
moment, such as a new configuration causes, is no overload."""
IN_USE_SHARE = 0.8
"""Share of the limit that must be in use for it to increase. If less is in use,
nothing shows that more could be served."""
DOMINANT_SHARE = 0.5
"""Share of the prompts in service above which a workspace is dominant. If the
load is spread over all workspaces, other gateways are overloaded too."""
UNREADY_SECONDS = 3.0
"""Long enough for the load balancer, which checks once a second, to miss two
readiness checks."""
OVERLOAD_RETRY_SECONDS = 1.5
"""Mean `Retry-After` of refused prompts. Sooner retries would mostly reach the
same overloaded gateway."""


NONE_EXPECTED: Mapping[str, int] = MappingProxyType({})


class LimitSteps(msgspec.Struct, frozen=True):
    """How a limit adapts.

    Attributes:
        minimum: The lower bound of the limit.
        decrease_factor: Applied when the event loop is late.
        increase_step: Added at each punctual wake-up while the limit is in use.
    """

    minimum: float
    decrease_factor: float
    increase_step: float


SERVING = LimitSteps(MIN_LIMIT, decrease_factor=0.7, increase_step=1.0)
FORWARDING = LimitSteps(192.0, decrease_factor=0.85, increase_step=8.0)
"""A forwarded prompt takes a fraction of the processor time of a served one, so
an overloaded gateway rather serves fewer prompts than it forwards."""


class ConcurrencyLimit:
    """Adaptive limit on prompts in service, in total and by workspace.

    Attributes:
        steps: How the limit adapts.
        limit: The maximum number of prompts in service.
        active: Prompts in service by workspace.
        total: Prompts in service.
        started: Prompts that started since the last report.
        overloaded_by_one_until: When the gateway becomes ready again, on the
            monotonic clock in seconds.
        refused: Refused prompts by workspace since the last report.
    """

    def __init__(self, steps: LimitSteps = SERVING):
        self.steps = steps
        self.limit = float("inf")
        self.active: Counter[str] = Counter()
        self.total = 0
        self.started = 0
        self.overloaded_by_one_until = 0.0
        self.refused: Counter[str] = Counter()

    @property
    def is_overloaded_by_one(self) -> bool:
        """Whether one workspace has recently overloaded this gateway."""
        return time.monotonic() < self.overloaded_by_one_until

    def is_dominant(self, workspace: str, elsewhere: Counter[str]) -> bool:
        """Whether a workspace has most of this gateway's prompts.

        Args:
            workspace: The workspace.
            elsewhere: Prompts that are being forwarded, by workspace.
        """
        total = self.total + elsewhere.total()
        count = self.active[workspace] + elsewhere[workspace]
        return total >= MIN_LIMIT and count > total * DOMINANT_SHARE

    def _has_dominant_workspace(self) -> bool:
        largest = max(self.active.values(), default=0)
        return self.total >= MIN_LIMIT and largest > self.total * DOMINANT_SHARE

    def on_wake_up(self, late_seconds: float) -> None:
        """Adapts the limit to the latency of the event loop.

        Args:
            late_seconds: How late a scheduled wake-up of the loop was.
        """
        if late_seconds > LATE_SECONDS and self._has_dominant_workspace():
            self.overloaded_by_one_until = time.monotonic() + UNREADY_SECONDS
        if late_seconds > LATE_SECONDS:
            served = min(self.limit, float(self.total))
            self.limit = max(
                self.steps.minimum, served * self.steps.decrease_factor
            )
        elif self.total >= self.limit * IN_USE_SHARE:
            self.limit += self.steps.increase_step

    @property
    def is_reached(self) -> bool:
        """Whether prompts may be refused."""
        return self.total >= self.limit

    def admits(
        self, workspace: str, expected: Mapping[str, int] = NONE_EXPECTED
    ) -> bool:
        """Whether another prompt of a workspace may be served now.

        A workspace below an even share of the limit is always admitted.

        Args:
            workspace: The workspace.
            expected: Prompts that are about to be in service, by workspace.
        """
        if self.total + sum(expected.values()) < self.limit:
            return True
        workspace_count = len(self.active) + (workspace not in self.active)
        active = self.active[workspace] + expected.get(workspace, 0)
        return active < self.limit / workspace_count

    @contextmanager
    def admit(self, workspace: str) -> Iterator[None]:
        """Counts a prompt while it is in service.

        Raises:
            FleetError: The limit is reached; the prompt has not run.
        """
        if not self.admits(workspace):
            raise FleetError(self.refuse(workspace))
        self.enter(workspace)
        try:
            yield
        finally:
            self.leave(workspace)

    def enter(self, workspace: str) -> None:
        """Counts a prompt that starts."""
        self.active[workspace] += 1
        self.total += 1
        self.started += 1

    def leave(self, workspace: str) -> None:
        """Discounts a prompt that has ended."""
        self.total -= 1
        self.active[workspace] -= 1
        if not self.active[workspace]:
            del self.active[workspace]

    def refuse(self, workspace: str) -> Failure:
        """Counts a refused prompt and returns the failure for its caller."""
        self.refused[workspace] += 1
        return failure(
            FailureKind.OVERLOADED,
            "this gateway is overloaded; retry later",
            retry_after=jitter(OVERLOAD_RETRY_SECONDS),
        )

    def pop_started_count(self) -> int:
        """Returns the prompts that started since the last call."""
        started, self.started = self.started, 0
        return started

    def pop_refused_counts(self) -> Counter[str]:
        """Returns the refused prompts since the last call, by workspace."""
        refused, self.refused = self.refused, Counter()
        return refused
