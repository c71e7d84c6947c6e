"""What a gateway holds for the successor of its broker."""

import time

from marjoramyard.coordination.placement.handover import MAX_AGE_MS
from marjoramyard.coordination.placement.snapshots import (
    EMPTY_SNAPSHOT,
    BrokerSnapshot,
    merged,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    SnapshotAnnouncement,
    SnapshotHandover,
)


class HeldSnapshot:
    """The newest snapshot that a gateway's brokers have announced to it.

    Attributes:
        snapshot: What was announced.
        received_at: When the last announcement arrived, on the monotonic clock
            in seconds; None if there was none.
    """

    def __init__(self):
        self.snapshot: BrokerSnapshot = EMPTY_SNAPSHOT
        self.received_at: float | None = None

    def record(self, announcement: SnapshotAnnouncement) -> None:
        """Records an announcement of the broker to which there is a connection.

        The first one on each connection is full.
        """
        known = EMPTY_SNAPSHOT if announcement.is_full else self.snapshot
        self.snapshot = merged(known, announcement.snapshot)
        self.received_at = time.monotonic()

    def handover(self, service: str) -> list[SnapshotHandover]:
        """Returns what to send to a new broker; nothing if it is too old."""
        if self.received_at is None:
            return []
        age_ms = (time.monotonic() - self.received_at) * 1000
        if age_ms > MAX_AGE_MS:
            return []
        return [SnapshotHandover(service, self.snapshot, age_ms)]
