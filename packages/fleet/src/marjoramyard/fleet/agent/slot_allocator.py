"""Allocates the endpoint's slots to queued requests and direct attempts."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable

import msgspec
from result import Err

from marjoramyard.coordination.fairness.scheduler import (
    Choice,
    FairScheduler,
    OfferRow,
)
from marjoramyard.coordination.fairness.totals import Totals, TotalsSync
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import (
    Empty,
    FreeSlotsMessage,
    GrantMessage,
    GrantReply,
    OfferMessage,
    OfferReply,
)
from marjoramyard.fleet.paths import FREE_PATH, GRANT_PATH
from marjoramyard.kernel.errors import Failure, FailureKind, failure
from marjoramyard.kernel.ids import Incarnation, WorkspaceId, Zone
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_GRANT_TIMEOUT_SECONDS = 2.0
"""Timeout of an entry's response to a grant."""
_GRANT_USE_TIMEOUT_SECONDS = 1.5
"""Timeout of the attempt after the grant was accepted."""
_ENTRY_TIMEOUT_SECONDS = 3.0
_MAINTENANCE_INTERVAL_SECONDS = 0.5


class Grant(msgspec.Struct, eq=False):
    """A slot that is reserved for a request of one entry.

    Attributes:
        choice: The workspace and the entry.
        expires_at: Monotonic time, in seconds.
    """

    choice: Choice
    expires_at: float


class SlotAllocator:
    """Grants the endpoint's free slots in fair order.

    A slot is running, granted or free. Each free slot is granted to the
    workspace that the fair scheduler chooses; if the grant is not used, the
    next workspace is chosen at once.

    Attributes:
        totals_syncs: The exchange of totals with each entry.
        addresses: The entries' addresses.
        reported_busy_to: Entries that were last sent a count of 0 free slots.
        grants: The grants that are not used yet, by id.
        running: Number of attempts that occupy a slot.
        busy_seconds: Busy time of all slots.
        idle_while_waiting: Idle slot time, in seconds, while requests were
            queued.
    """

    def __init__(
        self,
        app: Application,
        membership: RouterMembership,
        endpoint: Endpoint,
        is_leaving: Callable[[], bool],
    ):
        self.app = app
        self.membership = membership
        self.endpoint = endpoint
        self.is_leaving = is_leaving
        self.totals = Totals(app.settings.name, app.incarnation)
        self.scheduler = FairScheduler(
            self.totals,
            Zone(app.settings.zone),
            self._share_of,
            membership.bundle.policy.fairness(),
        )
        self.totals_syncs: dict[str, TotalsSync] = {}
        self.addresses: dict[str, str] = {}
        self.reported_busy_to: set[str] = set()
        self.grants: dict[str, Grant] = {}
        self.running = 0
        self.busy_seconds = 0.0
        self.idle_while_waiting = 0.0
        self.accounted_until = time.monotonic()
        membership.bundle_listeners.append(self._on_bundle)
        self._register_gauges()

    def _share_of(self, workspace: WorkspaceId) -> float:
        row = self.membership.bundle.workspaces.get(workspace)
        return row.share if row is not None else 1.0

    def _on_bundle(self) -> None:
        policy = self.membership.bundle.policy
        self.scheduler.policy = policy.fairness()
        self.totals.publish_threshold = policy.totals_step
        self.grant_free_slots()

    def _register_gauges(self) -> None:
        metrics = self.app.metrics
        metrics.gauge(
            "fairness_gap", lambda: [(self.scheduler.virtual_time_gap(), {})]
        )
        metrics.gauge("slots", self._slot_samples)
        metrics.gauge("utilisation", lambda: [(self.utilisation(), {})])

    def _slot_samples(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (self.running, {"state": "running"}),
            (len(self.grants), {"state": "granted"}),
            (self.free, {"state": "free"}),
            (self.busy_seconds, {"state": "busy_seconds"}),
            (self.idle_while_waiting, {"state": "idle_while_waiting"}),
        ]

    # Usage.

    @property
    def free(self) -> int:
        """The number of slots that are neither running nor granted."""
        limit = self.endpoint.slot_limit.limit
        return max(0, limit - self.running - len(self.grants))

    def _update_usage(self) -> None:
        now = time.monotonic()
        elapsed = now - self.accounted_until
        self.accounted_until = now
        self.busy_seconds += elapsed * self.running
        if self.scheduler.has_waiting() and self.endpoint.is_ready:
            # A granted slot counts as idle until its attempt starts.
            idle = max(0, self.endpoint.slot_limit.limit - self.running)
            waiting = self.scheduler.waiting_count() + len(self.grants)
            self.idle_while_waiting += elapsed * min(idle, waiting)

    def utilisation(self) -> float:
        """Returns the busy fraction of the slot time with demand, 0 to 1."""
        self._update_usage()
        demand = self.busy_seconds + self.idle_while_waiting
        return self.busy_seconds / demand if demand else 1.0

    @property
    def is_evacuated(self) -> bool:
        """Whether an operator has evacuated the zone of the endpoint."""
        return self.app.settings.zone in self.membership.evacuated_zones

    def accepts_work(self) -> bool:
        """Returns whether new attempts may start at the endpoint."""
        return (
            self.endpoint.is_ready
            and not self.is_leaving()
            and not self.is_evacuated
            and self.membership.holds_lease()
        )

    # Messages from entries.

    def _totals_sync(self, entry: str) -> TotalsSync:
        """Returns the exchange with an entry; creates it if needed."""
        if entry not in self.totals_syncs:
            self.totals_syncs[entry] = TotalsSync(self.totals)
        return self.totals_syncs[entry]

    def on_offer(self, message: OfferMessage) -> OfferReply:
        """Applies an entry's offer of queued requests."""
        entry = Incarnation(message.entry)
        totals_sync = self._totals_sync(entry)
        if message.totals is not None:
            # A restarted agent needs the totals before it chooses among the
            # offers.
            totals_sync.apply_delta(message.totals)
        self.addresses[entry] = message.address
        now = time.monotonic()
        self._update_usage()
        if self.scheduler.record_message(
            entry, message.zone, message.sequence, now
        ):
            if message.whole:
                self.scheduler.replace_offers(entry, message.rows)
            else:
                self.scheduler.update_offers(entry, message.rows)
        if message.leaving:
            self.remove_entry(entry)
        self.grant_free_slots()
        if self.free == 0:
            self.reported_busy_to.add(entry)
        totals = (
            totals_sync.make_delta() if message.totals is not None else None
        )
        return OfferReply(
            self.free,
            len(self.addresses),
            totals,
            self.is_leaving(),
            round(self.endpoint.pause_seconds, 3),
        )

    def remove_entry(self, entry: str) -> None:
        """Removes the state of an entry that left or timed out."""
        self.totals_syncs.pop(entry, None)
        self.addresses.pop(entry, None)
        self.reported_busy_to.discard(entry)

    async def maintain(self) -> None:
        """Expires unresponsive entries and unused grants until cancelled."""
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            now = time.monotonic()
            self._update_usage()
            for entry in self.scheduler.expire(now - _ENTRY_TIMEOUT_SECONDS):
                self.remove_entry(entry)
                logger.info("entry_expired", entry=entry)
            for grant_id, grant in list(self.grants.items()):
                if grant.expires_at < now:
                    del self.grants[grant_id]
                    self.app.metrics.count("grants", outcome="lapsed")
            self.scheduler.write_off_credit()
            self.grant_free_slots()

    # Grants.

    def grant_free_slots(self) -> None:
        """Grants each free slot to the workspace that is next in order."""
        while self.free > 0 and self.accepts_work():
            choice = self.scheduler.choose(self.endpoint.prefixes.is_warm)
            if choice is None:
                self._notify_free()
                return
            self.scheduler.record_grant(choice)
            grant_id = secrets.token_hex(6)
            expires_at = time.monotonic() + 2 * _GRANT_TIMEOUT_SECONDS
            self.grants[grant_id] = Grant(choice, expires_at)
            self.app.tasks.spawn(self._grant(grant_id, choice))

    def _notify_free(self) -> None:
        """Notifies entries to which the agent was reported as busy.

        Entries send new backlogs to few busy agents; without this message a
        slot could be idle until the next refresh.
        """
        service = self.endpoint.announced.service
        message = FreeSlotsMessage(self.app.incarnation, service, self.free)
        for entry in self.reported_busy_to:
            address = self.addresses.get(entry, "")
            self.app.tasks.spawn(
                self.app.client.call(
                    address, FREE_PATH, message, Empty, _GRANT_TIMEOUT_SECONDS
                )
            )
        self.reported_busy_to.clear()

    async def _grant(self, grant_id: str, choice: Choice) -> None:
        address = self.addresses.get(choice.entry)
        message = GrantMessage(
            self.app.incarnation,
            self.app.settings.advertised_address,
            self.endpoint.announced.service,
            choice.workspace,
            grant_id,
        )
        reply = await self.app.client.call(
            address or "",
            GRANT_PATH,
            message,
            GrantReply,
            _GRANT_TIMEOUT_SECONDS,
        )
        accepted = not isinstance(reply, Err) and reply.ok_value.taken
        outcome = "taken" if accepted else "unused"
        self.app.metrics.count("grants", outcome=outcome)
        if accepted:
            self._on_grant_accepted(grant_id, choice, reply.ok_value)
        if not accepted:
            self._update_usage()
            self.grants.pop(grant_id, None)
            self.scheduler.withdraw_unused(choice)
            self.grant_free_slots()

    def _on_grant_accepted(
        self, grant_id: str, choice: Choice, reply: GrantReply
    ) -> None:
        if grant_id in self.grants:
            self.grants[grant_id].expires_at = (
                time.monotonic() + _GRANT_USE_TIMEOUT_SECONDS
            )
        if reply.left and choice.entry in self.scheduler.entries:
            # The reply is newer than the offer, so the next slot can be
            # granted without waiting for a refresh.
            row = OfferRow(choice.workspace, reply.left, reply.prefix)
            self.scheduler.update_offers(choice.entry, [row])
            self.grant_free_slots()

    # Attempts.

    def admit(self, workspace: WorkspaceId, grant: str) -> Failure | None:
        """Occupies a slot for an attempt.

        Args:
            workspace: The workspace of the request.
            grant: The grant to use, or "" for a direct attempt.

        Returns:
            None if the attempt may run, else the refusal.
        """
        if self.is_leaving():
            return failure(
                FailureKind.LEAVING, "the agent is leaving; use another"
            )
        if self.is_evacuated:
            return failure(
                FailureKind.NO_ENDPOINT,
                "the availability zone is evacuated; use another agent",
                retry_after=random.uniform(1.0, 3.0),
            )
        refusal = self.membership.refusal()
        if refusal is not None:
            return refusal
        if not self.endpoint.is_ready:
            return self.endpoint.refusal()
        self._update_usage()
        if grant:
            if self.grants.pop(grant, None) is None:
                return failure(
                    FailureKind.BUSY,
                    "the grant has expired; queue the request again",
                )
        elif self.free == 0 or not self.scheduler.may_bypass_queue(workspace):
            return failure(
                FailureKind.BUSY, "no slot is free for a direct attempt"
            )
        self.running += 1
        return None

    def release(self) -> None:
        """Frees an attempt's slot."""
        self._update_usage()
        self.running -= 1
        self.grant_free_slots()
