"""Operator orders to endpoints, fenced by numbers from the log."""

import msgspec

from marjoramyard.kernel.errors import Failure, FailureKind, failure


class Order(msgspec.Struct, frozen=True):
    """An order; numbers increase across all endpoints."""

    number: int
    endpoint: str
    action: str
    argument: str
    operator: str


class FencingGuard:
    """Rejects stale orders before they reach an endpoint.

    This protects endpoints that do not check fencing numbers themselves
    against late orders of a former leader and against outdated orders that
    a restarted agent receives.
    """

    def __init__(self):
        self.highest_seen = 0
        self.has_observed = False

    def observe(self, number: int) -> None:
        """Records the newest order number reported by a confirmed leader."""
        self.highest_seen = max(self.highest_seen, number)
        self.has_observed = True

    def admit(self, number: int) -> Failure | None:
        """Accepts an order and returns None, or returns why it is stale."""
        if not self.has_observed:
            return failure(
                FailureKind.STALE_FENCING_NUMBER,
                "the newest order number is not known yet after a restart; it "
                "arrives with the next lease renewal",
            )
        if number < self.highest_seen:
            return failure(
                FailureKind.STALE_FENCING_NUMBER,
                f"order {number} is older than {self.highest_seen}; issue it "
                "again",
            )
        self.highest_seen = number
        return None
