"""How large the replicated log of a control host may become."""

import msgspec

from marjoramyard.fleet.settings import ControlSettings

SHARE_OF_DISK = 0.5
"""The part of the disk for the log, the snapshot and their copies."""
SHARE_OF_MEMORY = 0.25
"""The part of the memory for the log and what is sent of it."""
MAX_LOG_BYTES = 64 << 20
"""The limit on a host whose disk and memory are not limited."""
_PARTS = 12
"""A log that is due for compaction has up to six times `log_bytes`: as much
since the last compaction, as much again in the last batch of two appends, and
what is not committed yet, here and on its way. Its compacted copy has up to
three, and there are two snapshots for a moment."""


class LogLimits(msgspec.Struct, frozen=True):
    """Limits of the replicated log.

    Attributes:
        entries: The log is compacted after this many applied entries, or
        log_bytes: after as many bytes. Also the largest entry, and the
            largest size of all uncommitted entries of a leader.
    """

    entries: int
    log_bytes: int

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> "LogLimits":
        """Derives the limits from the disk and the memory."""
        shares = (
            (settings.disk_mb, SHARE_OF_DISK),
            (settings.memory_mb, SHARE_OF_MEMORY),
        )
        limits = [
            int(size * 1e6 * share / _PARTS)
            for size, share in shares
            if size
        ]
        return cls(settings.snapshot_every, min([MAX_LOG_BYTES, *limits]))
