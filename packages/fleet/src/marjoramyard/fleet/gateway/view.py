"""What a gateway believes of the fleet, and until when."""

import time
from collections.abc import Callable

from result import Err

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.governance.lease import BundleLease
from marjoramyard.coordination.membership.health import EndpointHealth
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.dialect import GatewayDialect
from marjoramyard.fleet.syncing import SyncReply
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.clocks import seconds_since_boot

logger = get_logger(__name__)

SILENCE_VALID_SECONDS = 3.0
"""How long a control host's list of silent endpoints counts."""
RECENT_SUCCESS_SECONDS = 1.5
"""An endpoint that answered so lately is alive, whatever its heartbeats
say: it may be cut off from the control hosts only."""


class FleetView:
    """Configuration, lease, endpoints and their health."""

    def __init__(self, dialect: GatewayDialect, lease_seconds: float):
        self.dialect = dialect
        self.lease = BundleLease(lease_seconds)
        self.table: RouteTable | None = None
        self.registrations = Registrations()
        self.health: dict[str, EndpointHealth] = {}
        self.silent_at: dict[str, tuple[float, frozenset[str]]] = {}
        self.gateways = 1
        self.control_addresses: set[str] = set()
        self.broker_addresses: list[str] = []
        self.on_config: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version of the configuration in force here; 0 for none."""
        return self.table.version if self.table is not None else 0

    def broker_of(self, service: str) -> str:
        """Returns the address of a service's broker; "" for none.

        Services with engines take turns over the candidates, so that no
        gateway brokers them all.
        """
        if self.table is None or not self.broker_addresses:
            return ""
        names = sorted(
            name for name, known in self.table.services.items() if known.engine
        )
        if service not in names:
            return ""
        place = names.index(service) % len(self.broker_addresses)
        return self.broker_addresses[place]

    def lease_holds(self) -> bool:
        """Whether keys may still be taken for good."""
        return self.lease.holds(seconds_since_boot())

    def take(self, source: str, reply: SyncReply, sent_at: float) -> None:
        """Takes in a control host's answer.

        Args:
            source: The control host's internal address.
            reply: What it said.
            sent_at: Boot clock when we asked.
        """
        if reply.config is not None:
            self._install(reply.config)
        if reply.confirmed:
            self.broker_addresses = reply.brokers
        if reply.confirmed and self.version >= reply.version:
            self.lease.renewed(sent_at, self.lease.seconds)
        now = time.monotonic()
        for word in reply.words:
            self._merge(word, now)
        self.silent_at[source] = (now, frozenset(reply.silent))
        self.control_addresses = set(reply.addresses)
        self.gateways = max(1, reply.gateways)

    def _install(self, document: ConfigDocument) -> None:
        if document.version <= self.version:
            return
        decoded = self.dialect.decode_config(document.text)
        if isinstance(decoded, Err):
            logger.error(
                "config_unreadable",
                version=document.version,
                why=decoded.err_value,
            )
            return
        before = self.version
        self.table = RouteTable(decoded.ok_value)
        logger.info("config_in_force", version=self.version, before=before)
        for listener in self.on_config:
            listener()

    def _merge(self, word: Registration, now: float) -> None:
        held = self.registrations.by_endpoint.get(word.endpoint)
        if not self.registrations.merge(word, now):
            return
        if held is None or held.born != word.born:
            self.health[word.endpoint] = EndpointHealth()
        logger.info(
            "endpoint",
            endpoint=word.endpoint,
            service=word.service,
            state=word.state.value,
            address=word.address,
        )

    def health_of(self, endpoint: str) -> EndpointHealth:
        """Returns the record of an endpoint's outcomes."""
        return self.health.setdefault(endpoint, EndpointHealth())

    def is_silent(self, endpoint: str, now: float) -> bool:
        """Whether all control hosts in touch miss its heartbeats."""
        recent = [
            silent
            for at, silent in self.silent_at.values()
            if now - at < SILENCE_VALID_SECONDS
        ]
        return bool(recent) and all(endpoint in silent for silent in recent)

    def usable(self, service: str, without: set[str]) -> list[Registration]:
        """Returns the endpoints that may get a request now.

        Paused and silent ones are used only where there are no others: a
        wrong suspicion of all must not stop the service.
        """
        now = time.monotonic()
        ready = [
            word
            for word in self.registrations.usable(service)
            if word.endpoint not in without
        ]
        sound = [word for word in ready if self._is_sound(word, now)]
        return sound or ready

    def _is_sound(self, word: Registration, now: float) -> bool:
        health = self.health_of(word.endpoint)
        if health.is_backing_off(now):
            return False
        if now - health.last_success_at < RECENT_SUCCESS_SECONDS:
            return True
        return not self.is_silent(word.endpoint, now)

    def still_ready(self, word: Registration) -> bool:
        """Whether a chosen endpoint may still get new work."""
        held = self.registrations.by_endpoint.get(word.endpoint)
        return (
            held is not None
            and held.state is EndpointState.READY
            and held.born == word.born
        )
