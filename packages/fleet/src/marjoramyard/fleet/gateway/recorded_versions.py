"""The recorded software versions of services, at a gateway."""

from collections import defaultdict
from collections.abc import Iterable

from marjoramyard.coordination.governance.service_versions import (
    VERSION_RETENTION_SECONDS,
    ServiceVersion,
)
from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.coordination.serving.stream_versions import RETENTION_SECONDS

RECORD_WAIT_SECONDS = 5.0
"""How long an endpoint waits for its version to be recorded. After that it is
used all the same: its service must not stop because no disk has room."""
_NO_RECORD = -1


class RecordedVersions:
    """Tells which endpoints may begin streams, and if they have one version.

    Times are in seconds on the monotonic clock.

    Attributes:
        registrations: The registrations that this gateway has.
        revision: The revision of the record; -1 for none.
        by_service: The recorded versions.
        waiting_since: Since when versions have waited to be recorded.
    """

    def __init__(self, registrations: Registrations):
        self.registrations = registrations
        self.revision = _NO_RECORD
        self.by_service: dict[str, set[str]] = {}
        self.waiting_since: dict[ServiceVersion, float] = {}

    def update(self, revision: int, versions: Iterable[ServiceVersion]) -> None:
        """Applies a control host's record, unless it is outdated."""
        if revision <= self.revision:
            return
        self.revision = revision
        by_service = defaultdict(set)
        for each in versions:
            by_service[each.service].add(each.version)
            self.waiting_since.pop(each, None)
        self.by_service = dict(by_service)

    def may_begin_streams(self, endpoint: Registration, now: float) -> bool:
        """Whether the version of an endpoint is recorded, or has waited."""
        version = endpoint.software_version
        if version in self.by_service.get(endpoint.service, ()):
            return True
        waiting = ServiceVersion(endpoint.service, version)
        since = self.waiting_since.setdefault(waiting, now)
        return now - since > RECORD_WAIT_SECONDS

    def list_awaited(self) -> list[ServiceVersion]:
        """Returns the versions of endpoints that wait to be recorded."""
        if not self.waiting_since:
            return []
        registered = {
            ServiceVersion(each.service, each.software_version)
            for each in self.registrations.all()
            if each.state is not EndpointState.DEPARTED
        }
        return sorted(registered & self.waiting_since.keys())

    def sole(
        self,
        service: str,
        now: float,
        longest_seconds: float,
        registered: Iterable[ServiceVersion] = (),
    ) -> str | None:
        """Returns the only version that can have begun a stream.

        Args:
            service: The service.
            now: The current time.
            longest_seconds: The longest time limit of a stream.
            registered: Versions that others know from registrations.

        Returns:
            The version; None if there are several, or if the record doesn't
                reach back as far as a stream can be resumed.
        """
        if longest_seconds + RETENTION_SECONDS > VERSION_RETENTION_SECONDS:
            return None
        recorded = self.by_service.get(service, set())
        # Versions that could not be recorded are known from registrations only.
        versions = recorded | self.registrations.versions(
            service, now - DEPARTED_RETENTION_SECONDS
        )
        versions |= {r.version for r in registered if r.service == service}
        return min(recorded) if len(versions) == len(recorded) == 1 else None
