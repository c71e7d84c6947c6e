"""Reports endpoints that send what is no part of a response."""

import time

from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

LOG_SECONDS = 10.0
"""The interval of log lines about one endpoint."""
_MAX_ADDRESSES = 1000


class ExcessReports:
    """Counts such endpoints, and names each in the log now and then.

    Attributes:
        logged_at: When each address was last logged, on the monotonic clock.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.logged_at: dict[str, float] = {}

    def report(self, excess: str, address: tuple | None) -> None:
        """Reports that a connection was closed.

        Args:
            excess: What the endpoint sent too much of.
            address: The host and port of the endpoint, if known.
        """
        self.metrics.count("endless_responses", excess=excess)
        name = ":".join(map(str, address[:2])) if address else ""
        now = time.monotonic()
        if now < self.logged_at.get(name, -LOG_SECONDS) + LOG_SECONDS:
            return
        if len(self.logged_at) >= _MAX_ADDRESSES:
            self.logged_at.clear()
        self.logged_at[name] = now
        logger.warning("endless_response", address=name, excess=excess)
