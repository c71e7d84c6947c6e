"""The requests that control hosts suspect to crash endpoints."""

from collections.abc import Callable, Sequence

from marjoramyard.coordination.governance.suspects import Standing
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

OBJECTION_SECONDS = 0.15
"""How long gateways that have answered a suspect take to clear it at all
others."""


class KnownSuspects:
    """The newest report on suspects that a gateway has.

    Attributes:
        revision: The revision of the report.
        quarantined_until: The end of the quarantine on the monotonic clock, in
            seconds, by fingerprint; 0.0 for a suspect that may run with a
            hold.
        enforced_from: When suspects that have just been announced are refused,
            on the same clock. Gateways that have answered one clear it first.
        watched_revision: The revision of the report on watched suspects.
        watched: Suspects that run as other requests do. A response to one must
            be told.
        on_update: Called after a new report has been applied.
    """

    def __init__(self):
        self.revision = 0
        self.quarantined_until: dict[str, float] = {}
        self.enforced_from: dict[str, float] = {}
        self.watched_revision = 0
        self.watched: set[str] = set()
        self.on_update: Callable[[], None] = lambda: None

    @property
    def is_empty(self) -> bool:
        """Whether there is no suspect."""
        return not (self.quarantined_until or self.watched)

    def update(
        self,
        revision: int,
        suspects: dict[str, float],
        now: float,
    ) -> None:
        """Applies a control host's report, unless it is outdated.

        Args:
            revision: The revision of the report.
            suspects: The rest of each quarantine in seconds.
            now: The time on the monotonic clock, in seconds.
        """
        if revision <= self.revision:
            return
        before = self.quarantined_until
        if self.revision:
            for fingerprint in suspects.keys() - before.keys():
                self.enforced_from[fingerprint] = now + OBJECTION_SECONDS
        self.revision = revision
        self.enforced_from = {
            fingerprint: at
            for fingerprint, at in self.enforced_from.items()
            if fingerprint in suspects
        }
        self.quarantined_until = {
            fingerprint: now + seconds if seconds else 0.0
            for fingerprint, seconds in suspects.items()
        }
        if before.keys() != suspects.keys():
            logger.info(
                "suspects_reported", revision=revision, suspects=len(suspects)
            )
        self.on_update()

    def watch(self, revision: int, watched: Sequence[str]) -> None:
        """Applies a report on watched suspects, unless it is outdated."""
        if revision > self.watched_revision:
            self.watched_revision = revision
            self.watched = set(watched)
            self.on_update()

    def fingerprints(self) -> list[Fingerprint]:
        """Returns all suspects."""
        return [*self.quarantined_until, *self.watched]

    def forget(self, fingerprint: Fingerprint) -> bool:
        """Removes a suspect that was answered; returns whether it was one."""
        was_watched = fingerprint in self.watched
        self.watched.discard(fingerprint)
        until = self.quarantined_until.pop(fingerprint, None)
        return was_watched or until is not None

    def standing(self, fingerprint: Fingerprint, now: float) -> Standing:
        """Returns the status of a request."""
        until = self.quarantined_until.get(fingerprint)
        if until is None or now < self.enforced_from.get(fingerprint, now):
            return Standing.CLEAR
        return Standing.CONVICTED if until > now else Standing.SUSPECT

    def seconds_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns the rest of a request's quarantine in seconds."""
        return max(0.0, self.quarantined_until.get(fingerprint, 0.0) - now)
