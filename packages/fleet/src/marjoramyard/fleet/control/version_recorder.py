"""Records the software versions of endpoints, on the leader."""

import asyncio
import time
from collections.abc import Iterable

from result import Err

from marjoramyard.coordination.governance.commands import ChangeVersions
from marjoramyard.coordination.governance.service_versions import (
    MAX_VERSIONS,
    VERSION_RETENTION_SECONDS,
    ServiceVersion,
    ServiceVersions,
)
from marjoramyard.coordination.membership.registrations import EndpointState
from marjoramyard.fleet.control.leader_calls import COMMIT_TIMEOUT_SECONDS
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

CHECK_SECONDS = 0.1
RETRY_SECONDS = 1.0
AWAITED_SECONDS = 3.0
"""How long a version counts that a gateway waits for. It says so with each
poll."""


class VersionRecorder:
    """Keeps the replicated record of versions complete.

    Attributes:
        absent_since: Since when recorded versions have no endpoint, on the
            monotonic clock in seconds, as far as this host has seen as the
            leader.
        registered: The versions of the registered endpoints.
        awaited_at: When a gateway last said that it waits for a version, on the
            monotonic clock. It may know of endpoints that this host does not.
        cursor: The last change of the endpoints that is in `registered`.
    """

    def __init__(self, role):
        self.role = role
        self.absent_since: dict[ServiceVersion, float] = {}
        self.registered: set[ServiceVersion] = set()
        self.awaited_at: dict[ServiceVersion, float] = {}
        self.cursor = -1

    def on_awaited(self, versions: Iterable[ServiceVersion]) -> None:
        """Notes the versions that a gateway waits for."""
        now = time.monotonic()
        self.awaited_at.update({version: now for version in versions})

    async def run(self) -> None:
        """Records versions until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not self.role.is_leader():
                self.absent_since.clear()
                continue
            command = self.next_change(time.monotonic())
            if command is not None and self._members_understand():
                await self._execute(command)

    def next_change(self, now: float) -> ChangeVersions | None:
        """Returns the change that the record needs; None for none."""
        record: ServiceVersions = self.role.running_node.state.versions
        self._read_endpoints()
        self.awaited_at = {
            version: at
            for version, at in self.awaited_at.items()
            if now - at < AWAITED_SECONDS
        }
        present = self.registered | self.awaited_at.keys()
        absent = record.recorded - present
        self.absent_since = {
            version: self.absent_since.get(version, now) for version in absent
        }
        room = MAX_VERSIONS - len(record.recorded)
        added = sorted(present - record.recorded)[:room]
        removed = {
            version
            for version, since in self.absent_since.items()
            if now - since > VERSION_RETENTION_SECONDS
        }
        if not added and not removed:
            return None
        return ChangeVersions(added, sorted(removed), time.time())

    def _read_endpoints(self) -> None:
        """Updates the registered versions if endpoints have changed."""
        endpoints = self.role.service.endpoints
        if self.cursor == endpoints.cursor:
            return
        self.cursor = endpoints.cursor
        found = {
            (registration.service, registration.software_version)
            for registration in endpoints.registrations.all()
            if registration.state is not EndpointState.DEPARTED
        }
        self.registered = {ServiceVersion(*each) for each in found}

    def _members_understand(self) -> bool:
        """Whether no known member is of a release without the record."""
        hosts = self.role.cluster_manager.hosts
        members = self.role.running_node.core.membership.addresses.values()
        return all(
            hosts[address].records_versions
            for address in members
            if address in hosts
        )

    async def _execute(self, command: ChangeVersions) -> None:
        node = self.role.running_node
        result = await node.execute(command, COMMIT_TIMEOUT_SECONDS)
        logger.info(
            "versions_recorded",
            added=command.added,
            removed=command.removed,
            failed=result.err_value.code if isinstance(result, Err) else None,
        )
        if isinstance(result, Err):
            await asyncio.sleep(RETRY_SECONDS)
