"""How large the replicated log of a control host may become."""

import msgspec

from marjoramyard.coordination.consensus.core import RaftCore
from marjoramyard.fleet.settings import LOG_SHARE_OF_MEMORY, ControlSettings
from marjoramyard.kernel.errors import Failure, FailureKind, failure

SHARE_OF_DISK = 0.5
"""The part of the disk for the log, the snapshot and their copies."""
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
            (settings.memory_mb, LOG_SHARE_OF_MEMORY),
        )
        limits = [
            int(size * 1e6 * share / _PARTS) for size, share in shares if size
        ]
        return cls(settings.snapshot_every, min([MAX_LOG_BYTES, *limits]))

    def refusal(
        self, core: RaftCore, size: int, retry_after: float
    ) -> Failure | None:
        """Returns why the log has no room for a command.

        Args:
            core: The replica that leads.
            size: The size of the command.
            retry_after: When to try again if changes wait, in seconds.

        Returns:
            The failure; None if there is room.
        """
        if size > self.log_bytes:
            return failure(
                FailureKind.TOO_LARGE,
                f"the change takes {size} bytes of the log, and "
                f"{self.log_bytes} are allowed by disk_mb and memory_mb; "
                "send a smaller one",
            )
        waiting = core.log.size_between(core.commit_index, core.log.last_index)
        if waiting + size > self.log_bytes:
            return failure(
                FailureKind.NO_QUORUM,
                f"changes of {waiting} bytes wait for a quorum already; look "
                "at `marjoramctl status`, then send it again",
                retry_after=retry_after,
            )
        return None
