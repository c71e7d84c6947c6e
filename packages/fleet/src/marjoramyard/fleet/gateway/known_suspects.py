"""The requests that control hosts suspect to crash endpoints."""

from marjoramyard.coordination.governance.suspects import Standing
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)


class KnownSuspects:
    """The newest report on suspects that a gateway has.

    Attributes:
        revision: The revision of the report.
        quarantined_until: The end of the quarantine on the monotonic clock, in
            seconds, by fingerprint; 0.0 for a suspect that may run with a
            hold.
    """

    def __init__(self):
        self.revision = 0
        self.quarantined_until: dict[str, float] = {}

    def update(
        self, revision: int, suspects: dict[str, float] | None, now: float
    ) -> None:
        """Applies a control host's report, unless it is outdated.

        Args:
            revision: The revision of the report.
            suspects: The rest of each quarantine in seconds; None if nothing
                is new.
            now: The time on the monotonic clock, in seconds.
        """
        if suspects is None or revision <= self.revision:
            return
        self.revision = revision
        self.quarantined_until = {
            fingerprint: now + seconds if seconds else 0.0
            for fingerprint, seconds in suspects.items()
        }
        logger.info(
            "suspects_reported",
            revision=revision,
            suspects=len(suspects),
            quarantined=sum(seconds > 0 for seconds in suspects.values()),
        )

    def standing(self, fingerprint: Fingerprint, now: float) -> Standing:
        """Returns the status of a request."""
        until = self.quarantined_until.get(fingerprint)
        if until is None:
            return Standing.CLEAR
        return Standing.CONVICTED if until > now else Standing.SUSPECT

    def seconds_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns the rest of a request's quarantine in seconds."""
        return max(0.0, self.quarantined_until.get(fingerprint, 0.0) - now)
