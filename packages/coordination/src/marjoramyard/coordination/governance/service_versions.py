"""The record of the software versions that services have.

A stream is resumed only at the version that began it. Who doesn't know that
version must know that a service had no other one, also after all processes were
lost. So a version is recorded before its endpoints begin streams, and is
forgotten long after the last of them has left.
"""

from collections.abc import Iterable

import msgspec

VERSION_RETENTION_SECONDS = 600.0
"""How long a version is remembered after its last endpoint has left. Callers
take streams up again within their deadlines."""
MAX_VERSIONS = 10_000
"""More are not recorded. Each takes some 100 bytes of a snapshot."""


class ServiceVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A software version of a service's endpoints.

    Attributes:
        service: The service.
        version: The software version; "" if its endpoints don't tell it.
    """

    service: str
    version: str


class ServiceVersions:
    """The recorded versions of all services.

    Attributes:
        recorded: The versions.
        revision: The number of changes.
    """

    def __init__(self, recorded: Iterable[ServiceVersion], revision: int):
        self.recorded = set(recorded)
        self.revision = revision

    def change(
        self,
        added: Iterable[ServiceVersion],
        removed: Iterable[ServiceVersion],
    ) -> None:
        """Records some versions and forgets others."""
        changed = (self.recorded - set(removed)) | set(added)
        if changed != self.recorded and len(changed) <= MAX_VERSIONS:
            self.recorded = changed
            self.revision += 1

    def list_recorded(self) -> list[ServiceVersion]:
        """Returns the versions in a fixed order."""
        return sorted(self.recorded)
