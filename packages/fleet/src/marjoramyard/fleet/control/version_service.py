"""Tells gateways which software versions services have, as the leader."""

import time

from result import Err, Ok, Result

from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
)
from marjoramyard.fleet.control.endpoint_feed import EndpointFeed
from marjoramyard.fleet.control.leader_calls import (
    CONFIRM_TIMEOUT_SECONDS,
    LeaderCalls,
)
from marjoramyard.fleet.sync_messages import ConfirmedVersions, ConfirmVersions
from marjoramyard.kernel.errors import Failure


class VersionService:
    """Confirms the record of software versions with a quorum.

    A version is recorded before gateways use its endpoints, so what is read
    after the confirmation holds each version that can have begun a stream.

    Attributes:
        read_state: The state of the registrations of which `versions_read` is.
        versions_read: The versions of registrations, by service.
    """

    def __init__(self, role, calls: LeaderCalls, endpoints: EndpointFeed):
        self.role = role
        self.calls = calls
        self.endpoints = endpoints
        self.read_state: tuple = ()
        self.versions_read: dict[str, list[str]] = {}

    async def on_confirm(
        self, message: ConfirmVersions
    ) -> Result[ConfirmedVersions, Failure]:
        """Returns the versions of services for a gateway."""
        return await self.calls.run_for_peer(self._confirm_locally, message)

    async def _confirm_locally(
        self, message: ConfirmVersions
    ) -> Result[ConfirmedVersions, Failure]:
        node = self.role.running_node
        confirmed = await node.confirm_leadership(CONFIRM_TIMEOUT_SECONDS)
        if isinstance(confirmed, Err):
            return confirmed
        config, record = node.state.config, node.state.versions
        is_news = record.revision > message.versions_revision
        return Ok(
            ConfirmedVersions(
                config.version if config is not None else 0,
                record.revision,
                record.list_recorded() if is_news else None,
                self._registered(message.services),
            )
        )

    def _registered(self, services: list[str]) -> list[ServiceVersion]:
        """Returns the versions that endpoints have, or have had lately.

        Those that could not be recorded are known from here only.
        """
        return [
            ServiceVersion(service, version)
            for service in services
            for version in self._versions_of(service)
        ]

    def _versions_of(self, service: str) -> list[str]:
        """Returns the versions of a service's registrations.

        Many gateways may ask at once, so what was read is kept while no
        endpoint changes, and for a second at most, as versions are forgotten.
        """
        registrations = self.endpoints.registrations
        now = time.monotonic()
        former = tuple(registrations.former_versions.items())
        state = (self.endpoints.cursor, former, int(now))
        if state != self.read_state:
            self.read_state = state
            self.versions_read.clear()
        if service not in self.versions_read:
            since = now - DEPARTED_RETENTION_SECONDS
            found = registrations.versions(service, since)
            self.versions_read[service] = sorted(found)
        return self.versions_read[service]
