"""A router's place in the fleet: announcement, lease, bundle, directory."""

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
from marjoramyard.kernel.errors import Failure, Kind, failure
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

POLL_SECONDS = 2.5
_ANSWER_SECONDS = POLL_SECONDS + 2.0
_MIN_BACKOFF = 0.1
_MAX_BACKOFF = 0.6
_BUNDLE_LOST = -1


class Membership:
    """Keeps a router renewed; the rest of the router only looks things up.

    Attributes:
        bundle: The bundle in force.
        agents: The announced agents, by incarnation (entries only).
        suspects: Fingerprints of requests that may crash endpoints.
    """

    def __init__(
        self,
        control: ControlClient,
        metrics: Metrics,
        row: Callable[[], DirectoryRow],
        keeps_keys: bool = True,
    ):
        self.control = control
        self.metrics = metrics
        self.row = row
        self.bundle = BundleView(keeps_rows=False, keeps_keys=keeps_keys)
        self.lease = BundleLease()
        self.agents: dict[str, DirectoryRow] = {}
        self.directory_epoch = ""
        self.directory_version = 0
        self.pending_epoch: set[str] | None = None
        self.suspects: set[Fingerprint] = set()
        self.convicted: dict[Fingerprint, float] = {}
        self.suspects_revision = "-"
        self.order: Order | None = None
        self.newest_order = _BUNDLE_LOST
        self.had_lease = False
        self.changed = asyncio.Event()
        self.on_bundle: list[Callable[[], None]] = []
        self.on_agents: list[Callable[[], None]] = []
        self.on_order: list[Callable[[Order | None, int], None]] = []
        metrics.gauge("bundle_version", lambda: [(self.bundle.version, {})])
        metrics.gauge("lease_held", lambda: [(float(self.holds_lease()), {})])

    # What others look up.

    def holds_lease(self) -> bool:
        """Returns whether new work may be taken now."""
        return self.lease.is_valid(time.monotonic()) and self.bundle.version > 0

    def refusal(self) -> Failure | None:
        """Returns why no new work is taken, or None."""
        if self.holds_lease():
            return None
        return failure(
            Kind.NO_LEASE,
            "this router has no confirmed configuration; try another one, "
            "or this one again when the control hosts answer",
            retry_after=random.uniform(1.0, 3.0),
        )

    def is_convicted(self, fingerprint: Fingerprint) -> float | None:
        """Returns the seconds for which a request is refused, if it is."""
        until = self.convicted.get(fingerprint, 0.0)
        left = until - time.monotonic()
        return left if left > 0 else None

    def announce_soon(self) -> None:
        """Has the next announcement sent without waiting for the poll."""
        self.changed.set()

    # The poll.

    async def run(self) -> None:
        """Renews until cancelled."""
        backoff = _MIN_BACKOFF
        while True:
            if await self._renew_once():
                backoff = _MIN_BACKOFF
                continue
            self._note_lease()
            # Jitter keeps routers that lost the same leader from coming
            # back to the next one all at once.
            await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
            backoff = min(_MAX_BACKOFF, backoff * 2)

    async def _renew_once(self) -> bool:
        request = RenewRequest(
            self.row(),
            self.bundle.version,
            self.bundle.chain,
            POLL_SECONDS,
            self.directory_epoch,
            self.directory_version,
            self.suspects_revision,
            self.newest_order,
        )
        self.changed.clear()
        sent_at = time.monotonic()
        address = self.control.leader
        poll = asyncio.ensure_future(
            self.control.client.call(
                address, RENEW_PATH, request, RenewReply, _ANSWER_SECONDS
            )
        )
        woken = asyncio.ensure_future(self.changed.wait())
        try:
            await asyncio.wait(
                {poll, woken}, return_when=asyncio.FIRST_COMPLETED
            )
            if not poll.done():
                return True
            answer = poll.result()
        finally:
            poll.cancel()
            woken.cancel()
        if isinstance(answer, Err):
            reason = answer.err_value
            if reason.leader and reason.leader != address:
                self.control.leader = reason.leader
            else:
                self.control.select_another_host(address)
            return False
        return self._take(answer.ok_value, sent_at)

    def _take(self, reply: RenewReply, sent_at: float) -> bool:
        """Installs what a confirmed leader says.

        A version below ours can't come from a confirmed leader unless the
        control state itself was set back; the router then keeps what it
        has, takes no renewal, and so stops by itself instead of reverting.
        """
        if reply.version < self.bundle.version:
            self.metrics.count("older_bundles_refused")
            logger.error("older_bundle_refused", offered=reply.version)
            return False
        if not self._install(reply):
            return False
        self.lease.renew(sent_at, reply.lease_seconds)
        if reply.directory is not None:
            self._take_directory(reply.directory)
        if reply.suspects is not None:
            self._take_suspects(reply)
        self.suspects_revision = reply.suspects_revision
        self._take_order(reply)
        self._note_lease()
        return True

    def _install(self, reply: RenewReply) -> bool:
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
            # The deltas did not lead where they should. A snapshot will.
            self.bundle.chain = ""
            self.metrics.count("bundle_deltas_broken")
            return False
        if self.bundle.version != before:
            self.metrics.count("bundles_installed")
            logger.info("bundle_in_force", version=self.bundle.version)
            for listener in self.on_bundle:
                listener()
        return True

    def _take_directory(self, update: DirectoryUpdate) -> None:
        if update.epoch != self.directory_epoch:
            # A new leader hears of everybody only bit by bit. What it does
            # not know yet stays until it says that it is complete.
            self.pending_epoch = set(self.agents)
            self.directory_epoch = update.epoch
        self.directory_version = update.version
        changed = bool(update.rows)
        for row in update.rows:
            if row.state == "gone":
                self.agents.pop(row.incarnation, None)
            else:
                self.agents[row.incarnation] = row
            if self.pending_epoch is not None:
                self.pending_epoch.discard(row.incarnation)
        if update.complete and self.pending_epoch is not None:
            for incarnation in self.pending_epoch:
                self.agents.pop(incarnation, None)
                changed = True
            self.pending_epoch = None
        if changed:
            for listener in self.on_agents:
                listener()

    def _take_suspects(self, reply: RenewReply) -> None:
        now = time.monotonic()
        self.suspects = {Fingerprint(name) for name in reply.suspects or []}
        self.convicted = {
            Fingerprint(name): now + left
            for name, left in (reply.convicted or {}).items()
        }

    def _take_order(self, reply: RenewReply) -> None:
        is_news = reply.newest_order > self.newest_order
        self.newest_order = reply.newest_order
        self.order = reply.order
        if is_news:
            for listener in self.on_order:
                listener(reply.order, reply.newest_order)

    def _note_lease(self) -> None:
        holds = self.holds_lease()
        if holds != self.had_lease:
            self.had_lease = holds
            logger.info("lease", held=holds, version=self.bundle.version)
            self.metrics.count("lease_changes", held=str(holds).lower())
