"""Chooses the routers that may broker, and stays with its choice."""

from collections.abc import Iterable

import msgspec

MAX_BROKERS = 4
"""One for each service with model engines is needed, and a successor."""
BETTER_CAPACITY = 1.5
"""A broker gives way only to one with so much more processor. Its successor
knows nothing of what engines keep, and routers place by their own estimates
until it answers."""


class BrokerCandidate(msgspec.Struct, frozen=True):
    """A router that could broker.

    Attributes:
        name: Its host.
        address: Where other routers reach it.
        capacity: The processor it has to spare, in cores.
    """

    name: str
    address: str
    capacity: float


class BrokerSelector:
    """The brokers named last, in an order that stays while they are able.

    After a restart of the whole fleet routers come in one by one. Ordered
    by name alone, each newcomer would take the first place from the one
    before it, and all routers would change their broker each time.
    """

    def __init__(self):
        self.named: list[BrokerCandidate] = []

    def choose(self, able: Iterable[BrokerCandidate]) -> list[str]:
        """Returns addresses, the one that should broker first."""
        by_address = {
            candidate.address: candidate
            for candidate in sorted(able, key=lambda c: (-c.capacity, c.name))
        }
        kept = [
            by_address[held.address]
            for held in self.named
            if held.address in by_address
        ]
        rest = [c for c in by_address.values() if c not in kept]
        self.named = self._with_better(kept, rest)[:MAX_BROKERS]
        return [candidate.address for candidate in self.named]

    @staticmethod
    def _with_better(
        kept: list[BrokerCandidate], rest: list[BrokerCandidate]
    ) -> list[BrokerCandidate]:
        """Puts much better candidates before the kept ones, others behind."""
        least = min((c.capacity for c in kept), default=0.0)
        better = [c for c in rest if c.capacity >= BETTER_CAPACITY * least > 0]
        others = [c for c in rest if c not in better]
        return [*better, *kept, *others]
