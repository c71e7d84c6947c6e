"""The software versions that a gateway has heard of."""

from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
    Registrations,
)
from marjoramyard.coordination.serving.stream_versions import RETENTION_SECONDS

REPORT_VALID_SECONDS = 3.0
"""How long a control host's report is valid."""


class ObservedVersions:
    """Tells whether a service has had one software version only.

    Times are in seconds on the monotonic clock.

    Attributes:
        registrations: The registrations that this gateway has.
        reports: By control host, when it last reported and for how long it
            knew of all endpoints.
    """

    def __init__(self, registrations: Registrations):
        self.registrations = registrations
        self.reports: dict[str, tuple[float, float]] = {}

    def record(self, source: str, seconds: float, now: float) -> None:
        """Records a report of a control host.

        Args:
            source: The control host.
            seconds: For how long it knows of all endpoints; 0.0 if it doesn't,
                or hasn't told this gateway of all of them.
            now: The current time.
        """
        if seconds > 0:
            self.reports[source] = (now, seconds)

    def sole(
        self, service: str, now: float, longest_seconds: float
    ) -> str | None:
        """Returns the only version that can have begun a recent stream.

        Args:
            service: The service.
            now: The current time.
            longest_seconds: The longest time limit of a stream.

        Returns:
            The version; None if there are several, or if they are not known
                for as long as a stream can be resumed.
        """
        needed = RETENTION_SECONDS + longest_seconds
        if needed > DEPARTED_RETENTION_SECONDS:
            return None
        observed = max(
            (
                seconds
                for at, seconds in self.reports.values()
                if now - at < REPORT_VALID_SECONDS
            ),
            default=0.0,
        )
        if observed < needed:
            return None
        versions = self.registrations.versions(service, now - needed)
        return versions.pop() if len(versions) == 1 else None
