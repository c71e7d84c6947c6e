"""Counts of grants by where their shared prompt parts came from."""

from collections import Counter
from enum import Enum

from marjoramyard.coordination.placement.plans import MIN_FETCH_TOKENS, Plan
from marjoramyard.coordination.placement.requests import PlacementRequest


class PartSource(Enum):
    """Where the shared parts of a granted prompt come from."""

    LOCAL = "local"
    """Its engine has cached them."""
    FETCHED = "fetched"
    """Another engine has, from which they are copied."""
    PREFILLED = "prefilled"
    """They are prefilled."""


class GrantOrder(Enum):
    """Whether a request was granted before others that come earlier."""

    IN_ORDER = "in_order"
    OVERTAKING = "overtaking"


def part_source(request: PlacementRequest, plan: Plan) -> PartSource:
    """Returns where a plan gets the shared parts of a request from."""
    if plan.fetch_from:
        return PartSource.FETCHED
    own = request.parts[-1].tokens if request.parts else 0
    if plan.prefill_tokens - own < MIN_FETCH_TOKENS:
        return PartSource.LOCAL
    return PartSource.PREFILLED


class GrantCounts:
    """Counts the grants of one broker.

    Attributes:
        counts: The number of grants by source and order.
    """

    def __init__(self):
        self.counts: Counter[tuple[PartSource, GrantOrder]] = Counter()

    def record(
        self, request: PlacementRequest, plan: Plan, order: GrantOrder
    ) -> None:
        """Counts a grant."""
        self.counts[part_source(request, plan), order] += 1

    def by_source(self) -> dict[str, int]:
        """Returns the number of grants by the name of their source."""
        return {
            source.value: sum(
                self.counts[source, order] for order in GrantOrder
            )
            for source in PartSource
        }

    def overtaking(self) -> int:
        """Returns the number of grants before requests that come earlier."""
        return sum(
            self.counts[source, GrantOrder.OVERTAKING] for source in PartSource
        )
