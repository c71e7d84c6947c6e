"""Orders to engines, each with a fencing number from the log."""

import msgspec

from marjoramyard.kernel.errors import Failure, Kind, failure


class Order(msgspec.Struct, frozen=True):
    """One order; a larger number is newer, over all endpoints."""

    number: int
    endpoint: str
    action: str
    argument: str
    operator: str


class FencingGuard:
    """Stands before an endpoint and lets no older order pass.

    Some endpoints ignore the number. For them this guard is the only one:
    a leader that was frozen and sends its order late, or a restarted agent
    that is handed an old one, must not undo a newer order.
    """

    def __init__(self):
        self.newest = 0
        self.learned = False

    def learn(self, number: int) -> None:
        """Takes in the newest number from a confirmed leader."""
        self.newest = max(self.newest, number)
        self.learned = True

    def admit(self, number: int) -> Failure | None:
        """Returns why an order must not pass, or None."""
        if not self.learned:
            return failure(
                Kind.STALE_FENCING_NUMBER,
                "the newest number is not known yet after a restart; it is "
                "learned with the next lease",
            )
        if number < self.newest:
            return failure(
                Kind.STALE_FENCING_NUMBER,
                f"order {number} is older than {self.newest}; issue it again",
            )
        self.newest = number
        return None
