"""Holdings for tests of parts that a listener would give one."""

from marjoramyard.fleet.util.held_bytes import HeldBytes, Holding, limit_for
from marjoramyard.kernel.metrics import Metrics


def new_account(limit: int | None = None) -> HeldBytes:
    """Returns an empty account; without a limit that of a roomy process."""
    size = limit_for(None) if limit is None else limit
    return HeldBytes(size, Metrics("gateway", "g"))


def new_holding(limit: int | None = None) -> Holding:
    """Returns an empty holding of an account of its own."""
    return Holding(new_account(limit))
