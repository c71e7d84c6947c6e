"""A gateway's view of the fleet, as reported by the control hosts."""

import time
from collections.abc import Callable, Iterable

import msgspec
from result import Err

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.governance.lease import BundleLease
from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.membership.health import EndpointHealth
from marjoramyard.coordination.membership.pauses import EndpointPauses
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.coordination.serving.stream_versions import StreamVersions
from marjoramyard.fleet.gateway.dialect import GatewayDialect
from marjoramyard.fleet.gateway.known_suspects import KnownSuspects
from marjoramyard.fleet.gateway.recorded_versions import RecordedVersions
from marjoramyard.fleet.gateway.view_age import ViewAge
from marjoramyard.fleet.gateway.zones import EvacuatedZones
from marjoramyard.fleet.sync_messages import SyncReply
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.clocks import seconds_since_boot

logger = get_logger(__name__)

REPORT_VALID_SECONDS = 3.0
"""How long a control host's list of unresponsive endpoints is valid."""
RECENT_SUCCESS_SECONDS = 1.5
"""An endpoint that succeeded so recently counts as alive even if its heartbeats
are missing: it may be unable to reach the control hosts only."""


MAX_LEFT_OUT_SHARE = 0.25
"""How many of a service's endpoints may be left out because they fail some
requests, but at least one. Endpoints that serve nothing do not count."""
MAX_PENDING_RENEWALS = 16
USABLE_VALID_SECONDS = 0.05
"""How long the usable endpoints of a service are cached. Computing them takes
too long for each request, because it looks at every endpoint."""


class UsableEndpoints(msgspec.Struct, frozen=True):
    """The endpoints of a service that may receive requests.

    Attributes:
        ready: All endpoints that accept requests.
        healthy: Those that are neither unresponsive nor in backoff.
        change_counts: The state of the registrations, of the zones and of the
            recorded versions that they were computed of.
        valid_until: On the monotonic clock, in seconds.
    """

    ready: list[Registration]
    healthy: list[Registration]
    change_counts: tuple[int, int, int]
    valid_until: float

    def without(self, excluded: set[str]) -> list[Registration]:
        """Returns the healthy endpoints that are not excluded.

        Others are returned only if there are none, so that wrong suspicions
        can't stop a service.
        """
        if not excluded:
            return self.healthy or self.ready
        for candidates in (self.healthy, self.ready):
            found = [r for r in candidates if r.endpoint not in excluded]
            if found:
                return found
        return []


class FleetView:
    """The configuration, the lease, the endpoints and their health.

    Attributes:
        lease: The lease within which API keys may be accepted.
        table: The routes of the configuration in force; None before the first.
        versions: The recorded software versions of the services.
        streams: The software versions that began streams.
        age: Whether this view is younger than the last pause.
        zones: The evacuated zones.
        suspects: The requests that may crash endpoints.
        pending_renewals: By version, when the last confirmation of it was
            requested, for versions that are not in force yet.
        health: The health of each endpoint, as seen by this gateway.
        pauses: The pauses that endpoints have asked this gateway for.
        leaving: The start of the lifetime in which an endpoint has said that
            it is leaving, by endpoint.
        unresponsive_reports: By control host, when it last reported and the
            endpoints whose heartbeats it misses.
        gateway_count: The number of gateways in the fleet.
        gateway_counts: By control host, when it last reported and that number.
        usable_by_service: Cached results for `usable`.
        leader_address: The control host that last confirmed that it leads; ""
            before the first.
        on_config: Called after a new configuration has come into force.
        on_lease: Called after the lease has been renewed.
    """

    def __init__(self, dialect: GatewayDialect, lease_seconds: float):
        self.dialect = dialect
        self.lease = BundleLease(lease_seconds)
        self.table: RouteTable | None = None
        self.registrations = Registrations()
        self.versions = RecordedVersions(self.registrations)
        self.streams = StreamVersions()
        self.age = ViewAge()
        self.zones = EvacuatedZones()
        self.suspects = KnownSuspects()
        self.health: dict[str, EndpointHealth] = {}
        self.pauses = EndpointPauses()
        self.leaving: dict[str, int] = {}
        self.unresponsive_reports: dict[str, tuple[float, frozenset[str]]] = {}
        self.gateway_count = 1
        self.gateway_counts: dict[str, tuple[float, int]] = {}
        self.control_addresses: set[str] = set()
        self.broker_addresses: list[str] = []
        self.leader_address = ""
        self.usable_by_service: dict[str, UsableEndpoints] = {}
        self.pending_renewals: dict[int, float] = {}
        self.on_config: list[Callable[[], None]] = []
        self.on_lease: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 for none."""
        return self.table.version if self.table is not None else 0

    def brokers_of(self, service: str) -> list[str]:
        """Returns the addresses of a service's broker and of its successors.

        The services with engines are distributed over the candidates in turn.
        Other services whose streams may be resumed have the first one, which
        keeps the software versions of their streams.
        """
        if self.table is None or not self.broker_addresses:
            return []
        names = sorted(
            name
            for name, config in self.table.services.items()
            if config.engine
        )
        if service in self.table.resumable_services and service not in names:
            return self.broker_addresses
        if service not in names:
            return []
        position = names.index(service) % len(self.broker_addresses)
        addresses = self.broker_addresses
        return addresses[position:] + addresses[:position]

    def sole_version(
        self, service: str, registered: Iterable[ServiceVersion] = ()
    ) -> str | None:
        """Returns the only software version that this gateway has heard of.

        Within its lease, another one may have joined where this gateway does
        not hear of it: that must be confirmed before a stream goes on.

        Args:
            service: The service.
            registered: Versions that others know from registrations.

        Returns:
            The version; None if there is more than one, or without a lease.
        """
        if not self.has_valid_lease():
            return None
        return self.versions.sole(
            service,
            time.monotonic(),
            self.table.longest_stream_seconds,
            registered,
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether the configuration is as new as a quorum has confirmed.

        A control host that has just started knows only what is in its
        snapshot. In the lifetime of this process no version is older than the
        one that was confirmed first.
        """
        return self.lease.was_granted

    def has_valid_lease(self) -> bool:
        """Whether API keys may be accepted."""
        return self.lease.is_valid(seconds_since_boot())

    def apply(self, source: str, reply: SyncReply, sent_at: float) -> None:
        """Applies a control host's reply.

        Args:
            source: The internal address of the control host.
            reply: The reply.
            sent_at: When the request was sent, on the boot clock in seconds.
        """
        if reply.config is not None:
            self.install(reply.config)
        if reply.confirmed:
            self.leader_address = source
            self.broker_addresses = reply.brokers
            self._renew_lease(reply.version, sent_at)
        now = time.monotonic()
        self.zones.update(reply.zone_revision, reply.evacuated_zones, now)
        if reply.suspects is not None:
            self.suspects.update(reply.suspects_revision, reply.suspects, now)
        if reply.watched is not None:
            self.suspects.watch(reply.watched_revision, reply.watched)
        if reply.words and self.registrations.is_full:
            self._forget_departed(now)
        for registration in reply.words:
            self._merge(registration, now)
        self.registrations.merge_former_versions(reply.former_versions, now)
        if reply.versions is not None:
            self.versions.update(reply.versions_revision, reply.versions)
        self._record_unresponsive(source, reply, now)
        self.control_addresses = set(reply.addresses)
        self.gateway_count = max(1, reply.gateways)
        self.gateway_counts[source] = (now, self.gateway_count)

    def _record_unresponsive(
        self, source: str, reply: SyncReply, now: float
    ) -> None:
        if reply.silent is not None or not reply.unresponsive_revision:
            silent = frozenset(reply.silent or ())
        else:
            _, silent = self.unresponsive_reports.get(
                source, (0.0, frozenset())
            )
        self.unresponsive_reports[source] = (now, silent)

    def _renew_lease(self, version: int, sent_at: float) -> None:
        """Renews the lease, at once or when a version is in force.

        Without the latter, a gateway would lose its lease while changes come
        faster than it polls.
        """
        if self.version >= version:
            self._renew(sent_at)
        else:
            self.pending_renewals[version] = sent_at
            while len(self.pending_renewals) > MAX_PENDING_RENEWALS:
                del self.pending_renewals[min(self.pending_renewals)]

    def _renew_when_installed(self) -> None:
        for version, sent_at in list(self.pending_renewals.items()):
            if version <= self.version:
                self._renew(sent_at)
                del self.pending_renewals[version]

    def _renew(self, sent_at: float) -> None:
        self.lease.renew(sent_at, self.lease.seconds)
        for listener in self.on_lease:
            listener()

    def install(self, document: ConfigDocument) -> bool:
        """Puts a configuration in force; returns whether it could be decoded.

        One that is not newer than the one in force is ignored.
        """
        if document.version <= self.version:
            return True
        decoded = self.dialect.decode_config(document.text)
        if isinstance(decoded, Err):
            logger.error(
                "config_decode_failed",
                version=document.version,
                why=decoded.err_value,
            )
            return False
        before = self.version
        self.table = RouteTable(decoded.ok_value)
        logger.info("config_in_force", version=self.version, before=before)
        self._renew_when_installed()
        for listener in self.on_config:
            listener()
        return True

    def _merge(self, registration: Registration, now: float) -> None:
        held = self.registrations.by_endpoint.get(registration.endpoint)
        if not self.registrations.merge(registration, now):
            return
        if held is None or held.born != registration.born:
            self.health[registration.endpoint] = EndpointHealth()
            self.pauses.forget(registration.endpoint)
        if registration.state is EndpointState.DEPARTED:
            self.leaving.pop(registration.endpoint, None)
        logger.info(
            "endpoint",
            endpoint=registration.endpoint,
            service=registration.service,
            state=registration.state.value,
            address=registration.address,
            software_version=registration.software_version,
        )

    def _forget_departed(self, now: float) -> None:
        """Forgets endpoints that departed some time ago, to make room."""
        self.registrations.expire_departed(now)
        known = self.registrations.by_endpoint
        for endpoint in self.health.keys() - known.keys():
            del self.health[endpoint]
            self.pauses.forget(endpoint)
            self.leaving.pop(endpoint, None)

    def max_gateway_count(self, now: float) -> int:
        """Returns the highest recently reported number of gateways.

        A control host that has just started has heard of few of them.
        """
        return max(
            (
                count
                for at, count in self.gateway_counts.values()
                if now - at < REPORT_VALID_SECONDS
            ),
            default=self.gateway_count,
        )

    def health_of(self, endpoint: str) -> EndpointHealth:
        """Returns the health record of an endpoint."""
        return self.health.setdefault(endpoint, EndpointHealth())

    def unresponsive(self, now: float) -> frozenset[str]:
        """Returns the endpoints that all reachable control hosts miss."""
        recent = [
            silent
            for at, silent in self.unresponsive_reports.values()
            if now - at < REPORT_VALID_SECONDS
        ]
        return frozenset.intersection(*recent) if recent else frozenset()

    def record_leaving(self, endpoint: str, born: int) -> bool:
        """Records that an endpoint has said that it is leaving.

        Its heartbeats may say so later, or may not arrive.

        Args:
            endpoint: The endpoint.
            born: The start of its lifetime, as registered.

        Returns:
            Whether that is news; False if the endpoint is unknown, or has been
            restarted since.
        """
        held = self.registrations.by_endpoint.get(endpoint)
        if held is None or held.born != born or self.is_leaving(held):
            return False
        self.leaving[endpoint] = born
        self.usable_by_service.clear()
        logger.info("endpoint_leaving", endpoint=endpoint)
        return True

    def is_leaving(self, registration: Registration) -> bool:
        """Whether an endpoint has said in its lifetime that it is leaving."""
        return self.leaving.get(registration.endpoint) == registration.born

    def leaving_of(self, service: str) -> list[Registration]:
        """Returns a service's endpoints that have said that they leave."""
        known = self.registrations.by_endpoint
        return [
            known[endpoint]
            for endpoint in self.leaving
            if endpoint in known
            and known[endpoint].service == service
            and self.is_leaving(known[endpoint])
        ]

    def record_pause(self, endpoint: Registration, seconds: float) -> bool:
        """Records that an endpoint has asked this gateway for a pause.

        Args:
            endpoint: The endpoint, in the lifetime in which it has asked.
            seconds: How long it wants no requests.

        Returns:
            Whether the pause is in force; False if the endpoint has been
            restarted since.
        """
        held = self.registrations.by_endpoint.get(endpoint.endpoint)
        if held is None or held.born != endpoint.born:
            return False
        self.pauses.record(endpoint.endpoint, time.monotonic() + seconds)
        logger.info(
            "endpoint_pause", endpoint=endpoint.endpoint, seconds=seconds
        )
        return True

    def may_send_to(self, registration: Registration) -> bool:
        """Whether this gateway may send a request to an endpoint now."""
        return self.accepts_requests(
            registration
        ) and not self.pauses.is_paused(registration.endpoint, time.monotonic())

    def sendable(self, service: str, excluded: set[str]) -> list[Registration]:
        """Returns the endpoints that this gateway may send a request to now.

        These are the usable ones that have not asked it for a pause.

        Args:
            service: The service.
            excluded: Endpoints that must not be returned.
        """
        paused = self.pauses.current(time.monotonic())
        return self.usable(service, excluded | paused if paused else excluded)

    def pauses_of(self, service: str) -> dict[str, float]:
        """Returns the seconds left of the pauses of a service's endpoints."""
        now = time.monotonic()
        known = self.registrations.by_endpoint
        return {
            endpoint: self.pauses.seconds_left(endpoint, now)
            for endpoint in self.pauses.current(now)
            if endpoint in known and known[endpoint].service == service
        }

    def pause_seconds(self, service: str) -> float:
        """Returns the time until an endpoint of a service ends its pause.

        0.0 if one of them does not pause, or none accepts requests.
        """
        now = time.monotonic()
        return min(
            (
                self.pauses.seconds_left(registration.endpoint, now)
                for registration in self.registrations.usable(service)
                if self.accepts_requests(registration)
            ),
            default=0.0,
        )

    def usable(self, service: str, excluded: set[str]) -> list[Registration]:
        """Returns the endpoints that may receive a request now.

        They include those that have asked this gateway for a pause, but maybe
        no other one.

        Endpoints that are unresponsive or in backoff are returned only if there
        are no others, so that wrong suspicions can't stop a service. A change
        of a registration or a zone takes effect at once, one of an endpoint's
        health within `USABLE_VALID_SECONDS`.

        Args:
            service: The service.
            excluded: Endpoints that must not be returned.

        Returns:
            The endpoints. The same list until something has changed; it must
            not be modified.
        """
        now = time.monotonic()
        cached = self.usable_by_service.get(service)
        if (
            cached is None
            or now >= cached.valid_until
            or cached.change_counts != self._change_counts()
        ):
            cached = self._compute_usable(service, now, cached)
            self.usable_by_service[service] = cached
        return cached.without(excluded)

    def _change_counts(self) -> tuple[int, int, int]:
        return (
            self.registrations.change_count,
            self.zones.revision,
            self.versions.revision,
        )

    def _compute_usable(
        self, service: str, now: float, before: UsableEndpoints | None
    ) -> UsableEndpoints:
        ready = [
            registration
            for registration in self.registrations.usable(service)
            if self.accepts_requests(registration)
        ]
        unresponsive = self.unresponsive(now)
        healthy = [r for r in ready if self._is_healthy(r, unresponsive, now)]
        healthy += self._least_failing(ready, now)
        if before is not None:
            # An unchanged list is recognised by its identity.
            ready = before.ready if before.ready == ready else ready
            healthy = before.healthy if before.healthy == healthy else healthy
        return UsableEndpoints(
            ready, healthy, self._change_counts(), now + USABLE_VALID_SECONDS
        )

    def _least_failing(
        self, ready: list[Registration], now: float
    ) -> list[Registration]:
        """Returns endpoints to use although they are backing off.

        Of endpoints that fail some requests and serve others, only a part may
        be left out. If most of them fail so, those that remained would fail as
        many, and have no capacity for the rest.
        """
        failing = [
            r for r in ready if self.health_of(r.endpoint).is_failing_some(now)
        ]
        failing.sort(key=lambda r: self.health_of(r.endpoint).backoff_until)
        left_out = max(1, int(len(ready) * MAX_LEFT_OUT_SHARE))
        return failing[: max(0, len(failing) - left_out)]

    def accepts_requests(self, registration: Registration) -> bool:
        """Whether an endpoint is ready to be used.

        Its zone is not evacuated, and what streams that it begins must be
        resumed at is recorded.
        """
        return (
            registration.state is EndpointState.READY
            and registration.availability_zone not in self.zones.evacuated
            and not self.is_leaving(registration)
            and self._may_begin_streams(registration)
        )

    def _may_begin_streams(self, registration: Registration) -> bool:
        if (
            self.table is None
            or registration.service not in self.table.resumable_services
        ):
            return True
        return self.versions.may_begin_streams(registration, time.monotonic())

    def is_evacuated(self, service: str) -> bool:
        """Whether evacuations exclude all ready endpoints of a service."""
        ready = [
            registration
            for registration in self.registrations.usable(service)
            if not self.is_leaving(registration)
        ]
        return bool(ready) and not any(map(self.accepts_requests, ready))

    def _is_healthy(
        self,
        registration: Registration,
        unresponsive: frozenset[str],
        now: float,
    ) -> bool:
        health = self.health_of(registration.endpoint)
        if health.is_backing_off(now):
            return False
        if now - health.last_success_at < RECENT_SUCCESS_SECONDS:
            return True
        return registration.endpoint not in unresponsive
