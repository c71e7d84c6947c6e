"""Selection of the routers that act as brokers."""

from collections.abc import Iterable

import msgspec

MAX_BROKERS = 4
"""The maximum number of routers to select, successors included. One for each
service with engines is needed, and a successor."""
MIN_CAPACITY_RATIO = 1.5
"""How much more capacity a candidate needs to replace a selected broker. A
new broker starts without knowledge of the engines' caches, and until it
responds, routers place requests by their own estimates."""


class BrokerCandidate(msgspec.Struct, frozen=True):
    """A router that can act as a broker.

    Attributes:
        name: The router's host.
        address: Where other routers reach it.
        capacity: Its spare processor capacity, in cores.
    """

    name: str
    address: str
    capacity: float


class BrokerSelector:
    """Selects brokers, and keeps their order as long as they are candidates.

    A candidate moves ahead only of those with much less capacity. Sorting by
    capacity and name alone would change the first broker several times
    while routers join after a restart.

    Attributes:
        selected: The last selection, first broker first.
    """

    def __init__(self):
        self.selected: list[BrokerCandidate] = []

    def choose(self, candidates: Iterable[BrokerCandidate]) -> list[str]:
        """Returns the addresses of the selected brokers, first broker first.

        Previously selected routers that are no longer candidates are
        dropped.
        """
        by_address = {
            candidate.address: candidate
            for candidate in sorted(
                candidates, key=lambda c: (-c.capacity, c.name)
            )
        }
        kept = [
            by_address[previous.address]
            for previous in self.selected
            if previous.address in by_address
        ]
        rest = [c for c in by_address.values() if c not in kept]
        self.selected = self._merge(kept, rest)[:MAX_BROKERS]
        return [candidate.address for candidate in self.selected]

    @staticmethod
    def _merge(
        kept: list[BrokerCandidate], rest: list[BrokerCandidate]
    ) -> list[BrokerCandidate]:
        """Puts each of the rest before the first that is much smaller.

        Those that are much larger than no kept one come last.
        """
        merged = list(kept)
        for candidate in rest:
            position = next(
                (
                    i
                    for i, other in enumerate(merged)
                    if candidate.capacity >= MIN_CAPACITY_RATIO * other.capacity
                ),
                len(merged),
            )
            merged.insert(position, candidate)
        return merged
