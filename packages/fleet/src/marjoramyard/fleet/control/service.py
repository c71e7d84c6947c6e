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
from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.sync_messages import (
    PutConfig,
    StoredConfig,
    SyncReply,
    SyncRequest,
)
from marjoramyard.kernel.errors import Failure, FailureKind, failure
from marjoramyard.kernel.ids import new_incarnation
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

COMMIT_TIMEOUT_SECONDS = 2.5
"""Longer than an election."""
CONFIRM_TIMEOUT_SECONDS = 1.0
LEADER_WAIT_SECONDS = 0.8
"""How long an operator's call waits for a leader. Operators try another host
after a second."""
MAX_MISSED_HEARTBEATS = 3.0
"""An endpoint that missed this many heartbeats is reported unresponsive."""
_LIVENESS_CHECK_SECONDS = 0.25
MAX_SYNC_WAIT_SECONDS = 2.0
_GATEWAY_TIMEOUT_SECONDS = 5.0
_BROKER_TIMEOUT_SECONDS = 2.5
"""Gateways without a sync request for this time are no broker candidates."""


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
    """

    def __init__(self, role):
        self.role = role
        self.settings = role.settings
        self.client = role.app.client
        self.metrics = role.app.metrics
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

    async def put_config(
        self, document: ConfigDocument
    ) -> Result[None, Failure]:
        """Replicates a valid configuration; returns once it is committed."""
        started_at = time.monotonic()
        result = await self._call_leader(
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
        return await self._call_leader(
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

    async def _call_leader(self, call_locally, path, message, reply) -> Result:
        """Runs a call on the leader, locally or on another control host.

        While the leader is unknown or has changed, the call is retried for
        up to `LEADER_WAIT_SECONDS`. All calls are idempotent.

        Args:
            call_locally: Executes the call if this host leads.
            path: The path of the call on another host.
            message: The request.
            reply: The type of the reply.
        """
        deadline = time.monotonic() + LEADER_WAIT_SECONDS
        while True:
            leader = self.role.leader_address()
            result: Result = Err(no_quorum())
            if leader == self.settings.advertised_address:
                result = await call_locally(message)
            elif leader:
                result = await self.client.call(
                    leader, path, message, reply, COMMIT_TIMEOUT_SECONDS + 0.2
                )
            if isinstance(result, Ok) or time.monotonic() > deadline:
                return result
            if leader and result.err_value.kind is not FailureKind.NOT_LEADER:
                return result
            await asyncio.sleep(0.05)

    async def on_put_config(self, message: PutConfig) -> Result[Empty, Failure]:
        """Replicates a configuration that another control host received."""
        if not self.role.is_leader():
            return Err(self._not_leader())
        return await self._put_config_locally(message)

    async def on_read_config(
        self, message: Empty
    ) -> Result[StoredConfig, Failure]:
        """Reads the configuration for another control host."""
        if not self.role.is_leader():
            return Err(self._not_leader())
        return await self._read_config_locally(message)

    def _not_leader(self) -> Failure:
        if self.role.running_node is not None:
            return self.role.running_node.not_leader()
        return failure(
            FailureKind.NOT_LEADER, "this control host holds no replica"
        )

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
            result = await self.role.running_node.confirm_leadership(
                CONFIRM_TIMEOUT_SECONDS
            )
            confirmed = isinstance(result, Ok)
        return self._reply(request, confirmed)

    def _has_changes(self, request: SyncRequest) -> bool:
        newest = self.newest_config()
        if newest is not None and newest.version > request.version:
            return True
        return request.epoch != self.epoch or request.cursor < self.cursor

    def _reply(self, request: SyncRequest, confirmed: bool) -> SyncReply:
        after = request.cursor if request.epoch == self.epoch else 0
        newest = self.newest_config()
        version = newest.version if newest is not None else 0
        return SyncReply(
            self.epoch,
            self.cursor,
            confirmed,
            version,
            newest if version > request.version else None,
            [
                registration
                for registration in self.registrations.all()
                if self.cursor_of_change.get(registration.endpoint, 0) > after
            ],
            sorted(self.unresponsive),
            self.role.cluster_manager.recent_addresses(),
            max(1, len(self.gateways)),
            self._choose_brokers() if confirmed else [],
        )

    def _choose_brokers(self) -> list[str]:
        """Returns the addresses of the chosen brokers, in a stable order."""
        now = time.monotonic()
        return self.broker_selector.choose(
            BrokerCandidate(request.name, request.address, request.capacity)
            for at, request in self.gateways.values()
            if request.capacity > 0 and now - at < _BROKER_TIMEOUT_SECONDS
        )
