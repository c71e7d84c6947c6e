"""A router's membership in the fleet: announcements, lease and bundle."""

import asyncio
import random
import time
from collections.abc import Callable

from result import Err

from marjoramyard.coordination.governance.bundle import BundleView
from marjoramyard.coordination.governance.directory import (
    DirectoryRow,
    DirectoryUpdate,
)
from marjoramyard.coordination.governance.lease import BundleLease
from marjoramyard.coordination.governance.orders import Order
from marjoramyard.fleet.messages import RenewReply, RenewRequest
from marjoramyard.fleet.paths import RENEW_PATH
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.kernel.errors import Failure, FailureKind, failure
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

RENEWAL_WAIT_SECONDS = 2.5
_RENEWAL_TIMEOUT_SECONDS = RENEWAL_WAIT_SECONDS + 2.0
_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.6
_NO_ORDER_KNOWN = -1


class RouterMembership:
    """Renews a router's lease by a long poll and keeps what it brings.

    Attributes:
        row: Returns the router's current row in the directory.
        bundle: The bundle in force.
        agents: The announced agents, by incarnation (entries only).
        unconfirmed_agents: Agents known from a former leader that the
            current one has not reported yet; None once its directory is
            complete.
        suspects: Fingerprints of requests that may crash endpoints.
        quarantined_until: When each quarantine ends (monotonic).
        held_parts: Prompt parts that are refused, or need a hold to run.
        evacuated_zones: Zones whose endpoints must not get new requests.
        zone_revision: The revision of `evacuated_zones`.
        order: The newest order to the agent's endpoint, if any.
        newest_order: The endpoint's newest fencing number; -1 if unknown.
        reported_lease: Whether the lease was held when it was last logged.
        bundle_listeners: Called after the bundle has changed.
        agents_listeners: Called after `agents` has changed.
        order_listeners: Called with the new order and its fencing number.
    """

    def __init__(
        self,
        control: ControlClient,
        metrics: Metrics,
        row: Callable[[], DirectoryRow],
        keeps_api_keys: bool = True,
    ):
        self.control = control
        self.metrics = metrics
        self.row = row
        self.bundle = BundleView(
            keeps_rows=False, keeps_api_keys=keeps_api_keys
        )
        self.lease = BundleLease()
        self.agents: dict[str, DirectoryRow] = {}
        self.directory_epoch = ""
        self.directory_version = 0
        self.unconfirmed_agents: set[str] | None = None
        self.suspects: set[Fingerprint] = set()
        self.quarantined_until: dict[Fingerprint, float] = {}
        self.held_parts: set[Fingerprint] = set()
        self.suspects_revision = "-"
        self.evacuated_zones: frozenset[str] = frozenset()
        self.zone_revision = 0
        self.order: Order | None = None
        self.newest_order = _NO_ORDER_KNOWN
        self.reported_lease = False
        self.announce_requested = asyncio.Event()
        self.bundle_listeners: list[Callable[[], None]] = []
        self.agents_listeners: list[Callable[[], None]] = []
        self.order_listeners: list[Callable[[Order | None, int], None]] = []
        metrics.gauge("bundle_version", lambda: [(self.bundle.version, {})])
        metrics.gauge("lease_held", lambda: [(float(self.holds_lease()), {})])

    # State for the rest of the router.

    def holds_lease(self) -> bool:
        """Returns whether the router may accept requests now."""
        return self.lease.is_valid(time.monotonic()) and self.bundle.version > 0

    def refusal(self) -> Failure | None:
        """Returns the failure of new requests, or None if they are accepted."""
        if self.holds_lease():
            return None
        return failure(
            FailureKind.NO_LEASE,
            "this router has no valid configuration lease; try another "
            "router, or this one again later",
            retry_after=random.uniform(1.0, 3.0),
        )

    def quarantine_seconds_left(self, *identities: Fingerprint) -> float | None:
        """Returns the rest of a request's quarantine in seconds, if any.

        Args:
            identities: The fingerprints under which it may be suspected.
        """
        quarantined_until = max(
            self.quarantined_until.get(identity, 0.0) for identity in identities
        )
        remaining = quarantined_until - time.monotonic()
        return remaining if remaining > 0 else None

    def announce_now(self) -> None:
        """Ends the current poll, so that the next announcement is sent."""
        self.announce_requested.set()

    # Renewal.

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        backoff = _MIN_BACKOFF_SECONDS
        while True:
            if await self._renew_once():
                backoff = _MIN_BACKOFF_SECONDS
                continue
            self._report_lease_change()
            # Jitter spreads the retries of routers that lost the same leader.
            await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
            backoff = min(_MAX_BACKOFF_SECONDS, backoff * 2)

    async def _renew_once(self) -> bool:
        request = RenewRequest(
            self.row(),
            self.bundle.version,
            self.bundle.chain,
            RENEWAL_WAIT_SECONDS,
            self.directory_epoch,
            self.directory_version,
            self.suspects_revision,
            self.newest_order,
            self.zone_revision,
        )
        self.announce_requested.clear()
        sent_at = time.monotonic()
        address = self.control.leader
        poll = asyncio.ensure_future(
            self.control.client.call(
                address,
                RENEW_PATH,
                request,
                RenewReply,
                _RENEWAL_TIMEOUT_SECONDS,
            )
        )
        announce_wait = asyncio.ensure_future(self.announce_requested.wait())
        try:
            await asyncio.wait(
                {poll, announce_wait}, return_when=asyncio.FIRST_COMPLETED
            )
            if not poll.done():
                return True
            result = poll.result()
        finally:
            poll.cancel()
            announce_wait.cancel()
        if isinstance(result, Err):
            reason = result.err_value
            if reason.leader and reason.leader != address:
                self.control.leader = reason.leader
            else:
                self.control.select_another_host(address)
            return False
        return self._apply(result.ok_value, sent_at)

    def _apply(self, reply: RenewReply, sent_at: float) -> bool:
        """Applies the reply of a confirmed leader.

        A version older than the bundle in force means that the control state
        was restored from an older one. The reply is then refused, and the
        router stops accepting requests when its lease ends.

        Args:
            reply: The reply.
            sent_at: When the request was sent (monotonic).

        Returns:
            Whether the lease was renewed.
        """
        if reply.version < self.bundle.version:
            self.metrics.count("older_bundles_refused")
            logger.error("older_bundle_refused", offered=reply.version)
            return False
        if not self._install_bundle(reply):
            return False
        self.lease.renew(sent_at, reply.lease_seconds)
        if reply.directory is not None:
            self._apply_directory(reply.directory)
        if reply.suspects is not None:
            self._apply_suspects(reply)
        self.suspects_revision = reply.suspects_revision
        self._apply_order(reply)
        self._apply_zones(reply)
        self._report_lease_change()
        return True

    def _install_bundle(self, reply: RenewReply) -> bool:
        before = self.bundle.version
        if reply.rows is not None:
            self.bundle.install(reply.version, reply.chain, reply.rows)
        for delta in reply.deltas:
            self.bundle.apply(delta.put, delta.remove)
            self.bundle.version = delta.version
            self.bundle.chain = delta.chain
        if (self.bundle.version, self.bundle.chain) != (
            reply.version,
            reply.chain,
        ):
            # The deltas do not match the version: request a snapshot.
            self.bundle.chain = ""
            self.metrics.count("bundle_deltas_broken")
            return False
        if self.bundle.version != before:
            self.metrics.count("bundles_installed")
            logger.info("bundle_in_force", version=self.bundle.version)
            for listener in self.bundle_listeners:
                listener()
        return True

    def _apply_directory(self, update: DirectoryUpdate) -> None:
        if update.epoch != self.directory_epoch:
            # A new leader's directory is incomplete at first. Known agents
            # are kept until it is reported complete.
            self.unconfirmed_agents = set(self.agents)
            self.directory_epoch = update.epoch
        self.directory_version = update.version
        changed = bool(update.rows)
        for row in update.rows:
            if row.state == "gone":
                self.agents.pop(row.incarnation, None)
            else:
                self.agents[row.incarnation] = row
            if self.unconfirmed_agents is not None:
                self.unconfirmed_agents.discard(row.incarnation)
        if update.complete and self.unconfirmed_agents is not None:
            for incarnation in self.unconfirmed_agents:
                self.agents.pop(incarnation, None)
                changed = True
            self.unconfirmed_agents = None
        if changed:
            for listener in self.agents_listeners:
                listener()

    def _apply_suspects(self, reply: RenewReply) -> None:
        now = time.monotonic()
        self.suspects = {Fingerprint(name) for name in reply.suspects or []}
        self.quarantined_until = {
            Fingerprint(name): now + remaining
            for name, remaining in (reply.convicted or {}).items()
        }
        self.held_parts = {Fingerprint(name) for name in reply.held_parts}

    def _apply_order(self, reply: RenewReply) -> None:
        is_newer = reply.newest_order > self.newest_order
        self.newest_order = reply.newest_order
        self.order = reply.order
        if is_newer:
            for listener in self.order_listeners:
                listener(reply.order, reply.newest_order)

    def _apply_zones(self, reply: RenewReply) -> None:
        if reply.zone_revision <= self.zone_revision:
            return
        self.zone_revision = reply.zone_revision
        self.evacuated_zones = frozenset(reply.evacuated_zones)
        logger.info(
            "zones_evacuated",
            zones=sorted(self.evacuated_zones),
            revision=self.zone_revision,
        )

    def _report_lease_change(self) -> None:
        holds = self.holds_lease()
        if holds != self.reported_lease:
            self.reported_lease = holds
            logger.info("lease", held=holds, version=self.bundle.version)
            self.metrics.count("lease_changes", held=str(holds).lower())
