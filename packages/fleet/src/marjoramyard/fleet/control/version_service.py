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
    """

    def __init__(self, role, calls: LeaderCalls, endpoints: EndpointFeed):
        self.role = role
        self.calls = calls
        self.endpoints = endpoints

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
        registrations = self.endpoints.registrations
        since = time.monotonic() - DEPARTED_RETENTION_SECONDS
        return [
            ServiceVersion(service, version)
            for service in services
            for version in sorted(registrations.versions(service, since))
        ]
