"""The evacuated availability zones that a gateway knows of."""

from collections.abc import Sequence

from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)


class EvacuatedZones:
    """The zones whose endpoints must not get new requests.

    Attributes:
        revision: The revision of the newest report that was applied.
        evacuated: The zones.
        restored_at: When this gateway learnt that a zone is no longer
            evacuated, on the monotonic clock in seconds.
    """

    def __init__(self):
        self.revision = 0
        self.evacuated: frozenset[str] = frozenset()
        self.restored_at: dict[str, float] = {}

    def update(self, revision: int, zones: Sequence[str], now: float) -> None:
        """Applies a control host's report, unless it is outdated.

        Args:
            revision: The revision of the report.
            zones: All evacuated zones.
            now: The time on the monotonic clock, in seconds.
        """
        if revision <= self.revision:
            return
        self.revision = revision
        before, self.evacuated = self.evacuated, frozenset(zones)
        for zone in before - self.evacuated:
            self.restored_at[zone] = now
        for zone in self.evacuated:
            self.restored_at.pop(zone, None)
        logger.info(
            "zones_evacuated", zones=sorted(self.evacuated), revision=revision
        )
