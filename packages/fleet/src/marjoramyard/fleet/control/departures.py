"""Departures of endpoints, which must outlive the host that acknowledges them.

A departure is told once, to one control host, and registrations are soft state.
So it is acknowledged only once another control host has it too.
"""

import asyncio
import time

from result import Ok, Result

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.fleet import paths
from marjoramyard.fleet.sync_messages import (
    FindEndpoint,
    FoundEndpoint,
    HostAnnouncement,
    HostAnnouncementReply,
)
from marjoramyard.kernel.errors import Failure, FailureKind, raise_failure
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

HOLDERS_ASKED = 2
"""Hosts that are told at once; the others follow if none of them replies."""
REPLY_SECONDS = 0.35
"""How long their replies are waited for. Endpoints ask another host after a
second."""
RETRY_SECONDS = 0.2


class Departures:
    """Tells other control hosts of departures before they are acknowledged.

    Attributes:
        held: The registrations of leaving endpoints that another host has.
    """

    def __init__(self, role):
        self.role = role
        self.metrics = role.app.metrics
        self.held: dict[str, Registration] = {}

    async def on_heartbeat(self, endpoint: str) -> None:
        """Returns once a heartbeat may be acknowledged.

        Raises:
            FleetError: It says that the endpoint is leaving, and no other host
                has heard of it.
        """
        found = self._registration(endpoint)
        if found is not None and found.state is not EndpointState.READY:
            await self._share(found)

    async def on_departure(self, endpoint: str) -> None:
        """Applies a departure; returns once it may be acknowledged.

        Raises:
            FleetError: No other host has heard of it, or this one may not know
                the endpoint yet.
        """
        if self._registration(endpoint) is None:
            await self._find(endpoint)
        self.role.service.endpoints.mark_departed(endpoint)
        found = self._registration(endpoint)
        if found is not None:
            await self._share(found)
        elif not self.role.service.observed_seconds():
            _refuse("this control host has just started")

    async def _find(self, endpoint: str) -> None:
        """Learns of an endpoint that has registered with another host.

        Raises:
            FleetError: A host that was heard of lately did not reply.
        """
        asked = self.role.cluster_manager.recent_peers()
        replies = await asyncio.gather(
            *(self._ask(endpoint, peer) for peer in asked)
        )
        found = [
            reply.ok_value.registration
            for reply in replies
            if isinstance(reply, Ok)
        ]
        known = [registration for registration in found if registration]
        self.role.service.endpoints.merge_updates(known, {})
        if not known and len(found) < len(asked):
            _refuse("another control host may know the endpoint")

    async def _ask(
        self, endpoint: str, peer: str
    ) -> Result[FoundEndpoint, Failure]:
        return await self.role.cluster_manager.client.call(
            peer,
            paths.FIND_ENDPOINT_PATH,
            FindEndpoint(endpoint),
            FoundEndpoint,
            REPLY_SECONDS,
        )

    def _registration(self, endpoint: str) -> Registration | None:
        table = self.role.service.endpoints.registrations.by_endpoint
        return table.get(endpoint)

    async def _share(self, registration: Registration) -> None:
        endpoint = registration.endpoint
        known = self.held.get(endpoint)
        if known is not None and _is_same_departure(known, registration):
            return
        started_at = time.monotonic()
        peers = self._peers()
        has_holder = not peers or await self._tell_some(registration, peers)
        logger.info(
            "departure_shared",
            endpoint=endpoint,
            state=registration.state.value,
            is_acknowledged=has_holder,
            seconds=round(time.monotonic() - started_at, 3),
        )
        self.metrics.count(
            "departures", acknowledged="yes" if has_holder else "no"
        )
        if not has_holder:
            _refuse("no other control host has heard of it yet")
        self._forget_expired()
        self.held[endpoint] = registration

    def _peers(self) -> list[str]:
        """Returns the other control hosts, those last heard of first."""
        manager = self.role.cluster_manager
        heard = manager.last_received_at
        return sorted(
            manager.peer_addresses(), key=lambda a: -heard.get(a, 0.0)
        )

    async def _tell_some(
        self, registration: Registration, peers: list[str]
    ) -> bool:
        """Tells hosts until one has replied; returns whether one has."""
        for asked in (peers[:HOLDERS_ASKED], peers[HOLDERS_ASKED:]):
            calls = [
                asyncio.create_task(self._tell(registration, peer))
                for peer in asked
            ]
            for call in asyncio.as_completed(calls):
                if await call:
                    return True
        return False

    async def _tell(self, registration: Registration, peer: str) -> bool:
        manager = self.role.cluster_manager
        reply = await manager.client.call(
            peer,
            paths.ANNOUNCE_PATH,
            HostAnnouncement(manager.describe(), [registration]),
            HostAnnouncementReply,
            REPLY_SECONDS,
        )
        return isinstance(reply, Ok)

    def _forget_expired(self) -> None:
        table = self.role.service.endpoints.registrations.by_endpoint
        for endpoint in self.held.keys() - table.keys():
            del self.held[endpoint]


def _is_same_departure(known: Registration, new: Registration) -> bool:
    return (known.state, known.born) == (new.state, new.born)


def _refuse(why: str) -> None:
    raise_failure(
        FailureKind.NO_QUORUM,
        f"the departure is not acknowledged yet: {why}; send it again, to "
        "another control host if there is one",
        retry_after=RETRY_SECONDS,
    )
