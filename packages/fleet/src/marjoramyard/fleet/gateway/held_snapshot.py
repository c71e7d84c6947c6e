"""What a gateway holds for the successor of its broker."""

import math
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

MAX_DRIFT_MS = 1.0
"""How far two clocks may move apart from one announcement to the next."""


class HeldSnapshot:
    """The newest snapshot that a gateway's brokers have announced to it.

    Announcements may wait in the socket while this process is suspended. Their
    age is therefore counted from when they were sent, by the difference of the
    clocks that the least delayed one on the connection shows.

    Attributes:
        snapshot: What was announced.
        made_at: When it was sent, on the monotonic clock in ms; None if there
            was none.
        clock_offset: How far the own clock is ahead of the broker's, in ms.
    """

    def __init__(self):
        self.snapshot: BrokerSnapshot = EMPTY_SNAPSHOT
        self.made_at: float | None = None
        self.clock_offset = math.inf

    def start_connection(self) -> None:
        """Prepares for the announcements of another broker, on its clock."""
        self.clock_offset = math.inf

    def record(self, announcement: SnapshotAnnouncement) -> None:
        """Records an announcement of the broker to which there is a connection.

        The first one on each connection is full.
        """
        offset = _now_ms() - announcement.sent_ms
        self.clock_offset = min(self.clock_offset + MAX_DRIFT_MS, offset)
        known = EMPTY_SNAPSHOT if announcement.is_full else self.snapshot
        self.snapshot = merged(known, announcement.snapshot)
        self.made_at = announcement.sent_ms + self.clock_offset

    def handover(self, service: str) -> list[SnapshotHandover]:
        """Returns what to send to a new broker; nothing if it is too old."""
        if self.made_at is None:
            return []
        age_ms = _now_ms() - self.made_at
        if age_ms > MAX_AGE_MS:
            return []
        return [SnapshotHandover(service, self.snapshot, age_ms)]


def _now_ms() -> float:
    return time.monotonic() * 1000
