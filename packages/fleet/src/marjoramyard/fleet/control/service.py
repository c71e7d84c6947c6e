"""The service of self-forming control hosts.

Endpoints register here, operators change the configuration, and gateways
synchronise with both.
"""

import asyncio
import time

from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import (
    AcceptConfig,
    ConfigDocument,
)
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.coordination.placement.broker_selection import (
    BrokerCandidate,
    BrokerSelector,
)
from marjoramyard.fleet import paths
from marjoramyard.fleet.config_transfer import ConfigHistory, FetchConfig
from marjoramyard.fleet.control.leader_calls import (
    COMMIT_TIMEOUT_SECONDS,
    CONFIRM_TIMEOUT_SECONDS,
    LeaderCalls,
)
from marjoramyard.fleet.control.leadership_checks import LeadershipChecks
from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.fleet.control.zone_service import ZoneService
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.sync_messages import (
    PutConfig,
    StoredConfig,
    SyncReply,
    SyncRequest,
)
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.ids import new_incarnation
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

MAX_MISSED_HEARTBEATS = 3.0
"""An endpoint that missed this many heartbeats is reported unresponsive."""
_LIVENESS_CHECK_SECONDS = 0.25
MAX_SYNC_WAIT_SECONDS = 2.0
_GATEWAY_TIMEOUT_SECONDS = 5.0
_BROKER_TIMEOUT_SECONDS = 2.5
"""Gateways without a sync request for this time are no broker candidates. They
have missed two polls."""


class FleetService:
    """Replicates the configuration and exchanges endpoint registrations.

    The configuration is stored by consensus. Registrations are soft state that
    each control host keeps in memory.

    Attributes:
        epoch: Names the registration table of this process; cursors of
            another epoch are void.
        cursor: The number of changes of the registration table.
        cursor_of_change: The cursor of each endpoint's last change.
        unresponsive: Endpoints without a recent heartbeat.
        change_count: How often waiting gateways were notified.
        changed: Set, and then replaced, at each notification.
        gateways: The last sync request and when it came (monotonic), by
            gateway incarnation.
        pending_updates: Registrations to announce, by control host and
            endpoint.
        zones: The operators' orders on availability zones.
        leadership_checks: The checks of leadership for gateways' polls.
        config_history: Recent configurations, to send differences.
    """

    def __init__(self, role):
        self.role = role
        self.settings = role.settings
        self.metrics = role.app.metrics
        self.calls = LeaderCalls(role)
        self.zones = ZoneService(role, self.calls)
        self.epoch = new_incarnation(self.settings.name)
        self.registrations = Registrations()
        self.cursor = 0
        self.cursor_of_change: dict[str, int] = {}
        self.unresponsive: set[str] = set()
        self.change_count = 0
        self.changed = asyncio.Event()
        self.gateways: dict[str, tuple[float, SyncRequest]] = {}
        self.pending_updates: dict[str, dict[str, Registration]] = {}
        self.broker_selector = BrokerSelector()
        self.config_history = ConfigHistory()
        self.leadership_checks = LeadershipChecks(self._confirm_leadership)

    # Registrations.

    def register(self, registration: Registration) -> None:
        """Applies a registration received from its endpoint."""
        self._merge(registration)
        for queue in self.pending_updates.values():
            queue[registration.endpoint] = registration

    def mark_departed(self, endpoint: str) -> None:
        """Marks an endpoint as departed, at its own request."""
        departed = self.registrations.mark_departed(endpoint, time.monotonic())
        if departed is not None:
            self._record_change(departed)
            for queue in self.pending_updates.values():
                queue[endpoint] = departed

    def merge_updates(self, updates: list[Registration]) -> None:
        """Merges registrations received by another control host."""
        for registration in updates:
            self._merge(registration)

    def _merge(self, registration: Registration) -> None:
        changed = self.registrations.merge(registration, time.monotonic())
        if registration.endpoint in self.unresponsive:
            self.unresponsive.discard(registration.endpoint)
            self._notify_waiters()
        if changed:
            self._record_change(registration)

    def _record_change(self, registration: Registration) -> None:
        self.cursor += 1
        self.cursor_of_change[registration.endpoint] = self.cursor
        logger.info(
            "registration",
            endpoint=registration.endpoint,
            service=registration.service,
            address=registration.address,
            state=registration.state.value,
            sequence=registration.sequence,
        )
        self._notify_waiters()

    def take_pending_updates(self, peer: str) -> list[Registration]:
        """Returns registrations to announce to a control host and clears them.

        For the first announcement to the host and after a failed one, these
        are all registrations.
        """
        queue = self.pending_updates.get(peer)
        self.pending_updates[peer] = {}
        if queue is None:
            return list(self.registrations.all())
        return list(queue.values())

    def resend_all(self, peer: str) -> None:
        """Includes all registrations in the next announcement to a host.

        Called after an announcement that failed.
        """
        self.pending_updates.pop(peer, None)

    async def watch_endpoints(self) -> None:
        """Detects unresponsive endpoints and gateways until cancelled."""
        limit = MAX_MISSED_HEARTBEATS * self.settings.heartbeat_ms / 1000
        while True:
            await asyncio.sleep(_LIVENESS_CHECK_SECONDS)
            now = time.monotonic()
            self.registrations.expire_departed(now)
            unresponsive = {
                registration.endpoint
                for registration in self.registrations.all()
                if registration.state is not EndpointState.DEPARTED
                and self.registrations.seconds_since_received(
                    registration.endpoint, now
                )
                > limit
            }
            if unresponsive != self.unresponsive:
                logger.info("endpoints_silent", endpoints=sorted(unresponsive))
                self.unresponsive = unresponsive
                self._notify_waiters()
            for gateway, (at, _) in list(self.gateways.items()):
                if now - at > _GATEWAY_TIMEOUT_SECONDS:
                    del self.gateways[gateway]

    def _notify_waiters(self) -> None:
        self.change_count += 1
        self.changed.set()
        self.changed = asyncio.Event()

    # Configuration.

    def on_applied(self) -> None:
        """Notifies waiting gateways that the replicated state changed."""
        self._notify_waiters()

    def newest_config(self) -> ConfigDocument | None:
        """Returns the newest locally applied configuration, unconfirmed."""
        node = self.role.running_node
        return node.state.config if node is not None else None

    def encoded_config_update(self, request: FetchConfig) -> bytes:
        """Returns the newest configuration for a gateway, in JSON."""
        self.config_history.add(self.newest_config())
        return self.config_history.encoded_update(request)

    async def put_config(
        self, document: ConfigDocument
    ) -> Result[None, Failure]:
        """Replicates a valid configuration; returns once it is committed."""
        started_at = time.monotonic()
        result = await self.calls.call(
            self._put_config_locally,
            paths.PUT_CONFIG_PATH,
            PutConfig(document),
            Empty,
        )
        logger.info(
            "config_order",
            version=document.version,
            outcome="accepted"
            if isinstance(result, Ok)
            else result.err_value.code,
            seconds=round(time.monotonic() - started_at, 3),
        )
        return result

    async def _put_config_locally(
        self, message: PutConfig
    ) -> Result[Empty, Failure]:
        node = self.role.running_node
        result = await node.execute(
            AcceptConfig(message.document, time.time()), COMMIT_TIMEOUT_SECONDS
        )
        return result if isinstance(result, Err) else Ok(Empty())

    async def read_config(self) -> Result[StoredConfig, Failure]:
        """Returns the newest configuration, confirmed by a quorum."""
        return await self.calls.call(
            self._read_config_locally,
            paths.READ_CONFIG_PATH,
            Empty(),
            StoredConfig,
        )

    async def _read_config_locally(
        self, _: Empty
    ) -> Result[StoredConfig, Failure]:
        node = self.role.running_node
        confirmed = await node.confirm_leadership(CONFIRM_TIMEOUT_SECONDS)
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(StoredConfig(node.state.config))

    async def on_put_config(self, message: PutConfig) -> Result[Empty, Failure]:
        """Replicates a configuration that another control host received."""
        return await self.calls.run_for_peer(self._put_config_locally, message)

    async def on_read_config(
        self, message: Empty
    ) -> Result[StoredConfig, Failure]:
        """Reads the configuration for another control host."""
        return await self.calls.run_for_peer(self._read_config_locally, message)

    # Gateways.

    async def sync(self, request: SyncRequest) -> SyncReply:
        """Returns changes to a gateway; waits for some if there are none."""
        self.gateways[request.gateway] = (time.monotonic(), request)
        loop = asyncio.get_running_loop()
        wait = min(request.wait_seconds, MAX_SYNC_WAIT_SECONDS)
        deadline = loop.time() + wait
        seen = self.change_count
        while not self._has_changes(request) and seen == self.change_count:
            remaining = deadline - loop.time()
            if remaining <= 0:
                break
            try:
                async with asyncio.timeout(remaining):
                    await self.changed.wait()
            except TimeoutError:
                break
        confirmed = False
        if self.role.is_leader():
            confirmed = await self.leadership_checks.is_confirmed(
                is_urgent=self._has_changes(request)
            )
        return self._reply(request, confirmed)

    async def _confirm_leadership(self) -> Result[int, Failure]:
        if not self.role.is_leader():
            return Err(no_quorum())
        return await self.role.running_node.confirm_leadership(
            CONFIRM_TIMEOUT_SECONDS
        )

    def _has_changes(self, request: SyncRequest) -> bool:
        newest = self.newest_config()
        if newest is not None and newest.version > request.version:
            return True
        if self._zone_revision() > request.zone_revision:
            return True
        return request.epoch != self.epoch or request.cursor < self.cursor

    def _zone_revision(self) -> int:
        node = self.role.running_node
        return node.state.evacuations.revision if node is not None else 0

    def _evacuated_zones(self) -> list[str]:
        node = self.role.running_node
        if node is None:
            return []
        return node.state.evacuations.evacuated_zones()

    def _reply(self, request: SyncRequest, confirmed: bool) -> SyncReply:
        after = request.cursor if request.epoch == self.epoch else 0
        newest = self.newest_config()
        version = newest.version if newest is not None else 0
        sends_config = version > request.version and not request.fetches_config
        return SyncReply(
            self.epoch,
            self.cursor,
            confirmed,
            version,
            newest if sends_config else None,
            [
                registration
                for registration in self.registrations.all()
                if self.cursor_of_change.get(registration.endpoint, 0) > after
            ],
            sorted(self.unresponsive),
            self.role.cluster_manager.recent_addresses(),
            max(1, len(self.gateways)),
            self._choose_brokers() if confirmed else [],
            self._zone_revision(),
            self._evacuated_zones(),
            self.settings.zone,
        )

    def _choose_brokers(self) -> list[str]:
        """Returns the addresses of the chosen brokers, in a stable order."""
        now = time.monotonic()
        return self.broker_selector.choose(
            BrokerCandidate(request.name, request.address, request.capacity)
            for at, request in self.gateways.values()
            if request.capacity > 0 and now - at < _BROKER_TIMEOUT_SECONDS
        )
