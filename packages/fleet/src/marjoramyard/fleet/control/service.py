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
    PackedConfig,
)
from marjoramyard.coordination.governance.suspects import Suspects
from marjoramyard.coordination.membership.registrations import (
    MAX_ENDPOINTS,
    Registration,
)
from marjoramyard.coordination.placement.broker_selection import (
    BrokerCandidate,
    BrokerSelector,
)
from marjoramyard.fleet import paths
from marjoramyard.fleet.config_transfer import ConfigHistory, FetchConfig
from marjoramyard.fleet.control.change_signal import ChangeSignal
from marjoramyard.fleet.control.departures import Departures
from marjoramyard.fleet.control.endpoint_feed import (
    MAX_REGISTRATIONS,
    EndpointFeed,
)
from marjoramyard.fleet.control.leader_calls import (
    COMMIT_TIMEOUT_SECONDS,
    CONFIRM_TIMEOUT_SECONDS,
    LeaderCalls,
)
from marjoramyard.fleet.control.leadership_checks import LeadershipChecks
from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.fleet.control.observation import Observation
from marjoramyard.fleet.control.plausibility import PlausibilityCheck
from marjoramyard.fleet.control.version_recorder import VersionRecorder
from marjoramyard.fleet.control.version_service import VersionService
from marjoramyard.fleet.control.zone_service import ZoneService
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.sync_messages import (
    PutConfig,
    StoredConfig,
    SyncReply,
    SyncRequest,
)
from marjoramyard.fleet.util.tasks import log_failure
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    failure,
    raise_failure,
)
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.decoding import shorten

logger = get_logger(__name__)

MAX_MISSED_HEARTBEATS = 3.0
"""An endpoint that missed this many heartbeats is reported unresponsive."""
SETTLING_HEARTBEATS = 2.0
"""After this many heartbeats a control host has heard of all endpoints, itself
or from the others."""
_LIVENESS_CHECK_SECONDS = 0.25
MIN_GAP_SECONDS = 0.02
"""The shortest time between two publications of changes of endpoints."""
GAP_SECONDS_PER_GATEWAY = 0.001
"""Is added to it for each gateway: a reply takes some 0.3 ms of processor, and
endpoints of a lost zone come back one by one."""
MAX_SYNC_WAIT_SECONDS = 2.0
_GATEWAY_TIMEOUT_SECONDS = 5.0
MIN_FIRST_VERSION = 1
"""Gateways take a lower version for no configuration."""
_NO_SUSPECTS = Suspects({}, [])
_BROKER_TIMEOUT_SECONDS = 2.5
"""Gateways without a sync request for this time are no broker candidates. They
have missed two polls."""


class FleetService:
    """Replicates the configuration and exchanges endpoint registrations.

    The configuration is stored by consensus. Registrations are soft state that
    each control host keeps in memory.

    Attributes:
        endpoints: The registered endpoints.
        departures: Tells other hosts of leaving endpoints.
        plausibility: Says which heartbeats are refused.
        changes: Wakes waiting polls.
        published_cursors: The last change of `endpoints` when changes were
            last published, by whether only urgent ones count.
        published_revision: Its revision of unresponsive endpoints then.
        gateways: The last sync request and when it came (monotonic), by
            gateway incarnation.
        zones: The operators' orders on availability zones.
        version_recorder: Records the software versions of endpoints.
        versions: Tells gateways the versions that there are.
        leadership_checks: The checks of leadership for gateways' polls.
        config_history: Recent configurations, to send differences.
        observation: Says for how long this host knows of all endpoints.
    """

    def __init__(self, role):
        self.role = role
        self.settings = role.settings
        self.metrics = role.app.metrics
        self.calls = LeaderCalls(role)
        self.zones = ZoneService(role, self.calls)
        self.endpoints = EndpointFeed(
            self.settings.name, self._on_endpoints_changed
        )
        self.departures = Departures(role)
        self.plausibility = PlausibilityCheck(self.endpoints.registrations)
        self.version_recorder = VersionRecorder(role)
        self.versions = VersionService(role, self.calls, self.endpoints)
        self.changes = ChangeSignal(self._on_publish)
        self.published_cursors = self._last_changes()
        self.started_at = time.monotonic()
        self.observation = Observation(
            role.is_first_start, self._settling_seconds()
        )
        self.published_revision = 1
        self.gateways: dict[str, tuple[float, SyncRequest]] = {}
        self.broker_selector = BrokerSelector()
        self.config_history = ConfigHistory()
        self.leadership_checks = LeadershipChecks(self._confirm_leadership)

    async def watch_endpoints(self) -> None:
        """Detects unresponsive endpoints and gateways until cancelled."""
        limit = MAX_MISSED_HEARTBEATS * self.settings.heartbeat_ms / 1000
        while True:
            await asyncio.sleep(_LIVENESS_CHECK_SECONDS)
            with log_failure("detect unresponsive endpoints"):
                self.endpoints.detect_unresponsive(limit)
            now = time.monotonic()
            for gateway, (at, _) in list(self.gateways.items()):
                if now - at > _GATEWAY_TIMEOUT_SECONDS:
                    del self.gateways[gateway]

    def _on_endpoints_changed(self) -> None:
        self.changes.publish_after_gap(
            MIN_GAP_SECONDS + GAP_SECONDS_PER_GATEWAY * len(self.gateways)
        )

    def _last_changes(self) -> dict[bool, int]:
        return {
            urgent_only: self.endpoints.last_change(urgent_only)
            for urgent_only in (False, True)
        }

    def _on_publish(self) -> None:
        self.published_cursors = self._last_changes()
        self.published_revision = self.endpoints.unresponsive_revision

    # Endpoints.

    async def register(self, registration: Registration) -> None:
        """Applies a heartbeat; returns once it may be acknowledged.

        Raises:
            FleetError: It is refused; or it says that the endpoint is leaving,
                and must be sent again.
        """
        endpoint = registration.endpoint
        registrations = self.endpoints.registrations
        known = registrations.by_endpoint.get(endpoint)
        problem = self.plausibility.problem_of(registration, known)
        if problem is not None:
            self.on_refused_heartbeat(endpoint, problem)
            raise_failure(FailureKind.BAD_REQUEST, problem)
        if known is None and registrations.is_full:
            self.on_refused_heartbeat(endpoint, "too many endpoints")
            raise_failure(
                FailureKind.BUSY,
                f"there are {MAX_ENDPOINTS} endpoints already; retry later",
            )
        self.endpoints.register(registration)
        await self.departures.on_heartbeat(registration.endpoint)

    def on_refused_heartbeat(self, endpoint: str, why: str) -> None:
        """Counts and logs a heartbeat that can't be used."""
        self.metrics.count("heartbeats_refused")
        logger.warning(
            "heartbeat_refused", endpoint=shorten(endpoint), why=shorten(why)
        )

    async def deregister(self, endpoint: str) -> None:
        """Applies a departure; returns once it may be acknowledged.

        Raises:
            FleetError: It must be sent again.
        """
        await self.departures.on_departure(endpoint)

    # Configuration.

    def on_applied(self) -> None:
        """Notifies waiting gateways that the replicated state changed."""
        self.changes.publish()

    def newest_config(self) -> ConfigDocument | None:
        """Returns the newest locally applied configuration, unconfirmed."""
        node = self.role.running_node
        return node.state.config if node is not None else None

    def has_accepted(self, text: bytes) -> bool:
        """Returns whether the newest configuration has exactly this text.

        One that is sent again must not be refused, though an earlier release
        may have accepted more.
        """
        stored = self.newest_config()
        return stored is not None and stored.text == text

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
        refusal = node.refusal_of(len(message.document.text))
        if refusal is not None:
            return Err(refusal)
        if message.document.version < MIN_FIRST_VERSION:
            stored = await self._read_config_locally(Empty())
            if isinstance(stored, Err):
                return stored
            if stored.ok_value.document is None:
                return Err(_first_version_refusal())
        config = PackedConfig.of(message.document)
        result = await node.execute(
            AcceptConfig(at=time.time(), config=config), COMMIT_TIMEOUT_SECONDS
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
        self.version_recorder.on_awaited(request.awaited_versions)
        loop = asyncio.get_running_loop()
        wait = min(request.wait_seconds, MAX_SYNC_WAIT_SECONDS)
        deadline = loop.time() + wait
        while not self._has_changes(request):
            if not await self.changes.wait(deadline - loop.time()):
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
        if self._has_new_suspects(request) or self._has_new_watched(request):
            return True
        if self._has_new_versions(request):
            return True
        return (
            request.epoch != self.endpoints.epoch
            or request.cursor < self.published_cursors[request.urgent_only]
            or 0 < request.unresponsive_revision < self.published_revision
        )

    def _zone_revision(self) -> int:
        node = self.role.running_node
        return node.state.evacuations.revision if node is not None else 0

    def _suspects(self) -> Suspects:
        node = self.role.running_node
        return node.state.suspects if node is not None else _NO_SUSPECTS

    def _has_new_suspects(self, request: SyncRequest) -> bool:
        return self._suspects().revision > request.suspects_revision

    def _has_new_watched(self, request: SyncRequest) -> bool:
        """Whether there are new watched requests, which are many at times."""
        newest = self._suspects().watched_revision
        return not request.urgent_only and newest > request.watched_revision

    def _has_new_versions(self, request: SyncRequest) -> bool:
        node = self.role.running_node
        known = request.versions_revision
        if node is None or known is None:
            return False
        return node.state.versions.revision > known

    def _add_versions(self, request: SyncRequest, reply: SyncReply) -> None:
        """Adds the record of versions to a reply, unless the gateway has it."""
        if self._has_new_versions(request):
            versions = self.role.running_node.state.versions
            reply.versions_revision = versions.revision
            reply.versions = versions.list_recorded()

    def _add_suspects(self, request: SyncRequest, reply: SyncReply) -> None:
        """Adds the suspects to a reply, unless the gateway has them."""
        suspects = self._suspects()
        if self._has_new_suspects(request):
            reply.suspects_revision = suspects.revision
            reply.suspects = suspects.published(time.time())
        if self._has_new_watched(request):
            reply.watched_revision = suspects.watched_revision
            reply.watched = suspects.watched(time.time())

    def _evacuated_zones(self) -> list[str]:
        node = self.role.running_node
        if node is None:
            return []
        return node.state.evacuations.evacuated_zones()

    def _reply(self, request: SyncRequest, confirmed: bool) -> SyncReply:
        changed, cursor = self.endpoints.changes_since(
            request.epoch, request.cursor, request.urgent_only
        )
        newest = self.newest_config()
        version = newest.version if newest is not None else 0
        sends_config = version > request.version and not request.fetches_config
        reply = SyncReply(
            self.endpoints.epoch,
            cursor,
            confirmed,
            version,
            newest if sends_config else None,
            changed,
            self._unresponsive_for(request),
            self.role.cluster_manager.recent_addresses(),
            max(1, len(self.gateways)),
            self._choose_brokers() if confirmed else [],
            self._zone_revision(),
            self._evacuated_zones(),
            self.settings.zone,
            self.endpoints.unresponsive_revision,
            self._is_settled(),
            self._is_settled() and self.role.cluster_manager.is_isolated(),
        )
        self._add_suspects(request, reply)
        self._add_versions(request, reply)
        is_complete = len(changed) < MAX_REGISTRATIONS
        if is_complete and not request.urgent_only:
            reply.former_versions = self.endpoints.list_former_versions()
        return reply

    def observed_seconds(self) -> float:
        """Returns for how long this host knows of all endpoints."""
        is_isolated = self.role.cluster_manager.is_isolated()
        return round(self.observation.seconds(is_isolated), 1)

    def _is_settled(self) -> bool:
        """Returns whether all endpoints have been heard of since the start."""
        return time.monotonic() - self.started_at > self._settling_seconds()

    def _settling_seconds(self) -> float:
        return SETTLING_HEARTBEATS * self.settings.heartbeat_ms / 1000

    def _unresponsive_for(self, request: SyncRequest) -> list[str] | None:
        """Returns the unresponsive endpoints, or None if they are known."""
        if (
            request.epoch == self.endpoints.epoch
            and request.unresponsive_revision
            == self.endpoints.unresponsive_revision
        ):
            return None
        return sorted(self.endpoints.unresponsive)

    def _choose_brokers(self) -> list[str]:
        """Returns the addresses of the chosen brokers, in a stable order."""
        now = time.monotonic()
        return self.broker_selector.choose(
            BrokerCandidate(request.name, request.address, request.capacity)
            for at, request in self.gateways.values()
            if request.capacity > 0 and now - at < _BROKER_TIMEOUT_SECONDS
        )


def _first_version_refusal() -> Failure:
    return failure(
        FailureKind.INVALID_BUNDLE,
        "version: the first configuration needs a version of at least "
        f"{MIN_FIRST_VERSION}",
    )
