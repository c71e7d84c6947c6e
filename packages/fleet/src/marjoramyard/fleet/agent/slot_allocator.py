"""The agent's slots: grants to waiting requests, and direct runs."""

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
from marjoramyard.coordination.fairness.totals import Totals, TotalsLink
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import Membership
from marjoramyard.fleet.messages import (
    Empty,
    FreeMessage,
    GrantMessage,
    GrantReply,
    OfferMessage,
    OfferReply,
)
from marjoramyard.fleet.paths import FREE_PATH, GRANT_PATH
from marjoramyard.kernel.errors import Failure, Kind, failure
from marjoramyard.kernel.ids import Incarnation, WorkspaceId, Zone
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_GRANT_SECONDS = 2.0
"""How long an entry may take to answer a grant."""
_USE_SECONDS = 1.5
"""How long it may then take to use it."""
_ENTRY_SILENCE_SECONDS = 3.0
_MAINTAIN_SECONDS = 0.5


class Grant(msgspec.Struct, eq=False):
    """A slot that is kept for one entry's request."""

    choice: Choice
    expires_at: float


class SlotAllocator:
    """Gives the endpoint's free slots to whom they are owed.

    A slot is running, granted or free. Grants go out one for each free
    slot; one that comes back unused frees its slot and the next workspace
    is chosen at once, so no slot is idle while a request it could run
    waits.
    """

    def __init__(
        self,
        app: Application,
        membership: Membership,
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
        self.links: dict[str, TotalsLink] = {}
        self.addresses: dict[str, str] = {}
        self.reported_busy_to: set[str] = set()
        self.grants: dict[str, Grant] = {}
        self.running = 0
        self.busy_seconds = 0.0
        self.idle_while_waiting = 0.0
        self.accounted_at = time.monotonic()
        membership.on_bundle.append(self._on_bundle)
        self._watch()

    def _share_of(self, workspace: WorkspaceId) -> float:
        known = self.membership.bundle.workspaces.get(workspace)
        return known.share if known is not None else 1.0

    def _on_bundle(self) -> None:
        policy = self.membership.bundle.policy
        self.scheduler.policy = policy.fairness()
        self.totals.step = policy.totals_step
        self.grant_free_slots()

    def _watch(self) -> None:
        metrics = self.app.metrics
        metrics.gauge("fairness_gap", lambda: [(self.scheduler.gap(), {})])
        metrics.gauge("slots", self._slot_numbers)
        metrics.gauge("utilisation", lambda: [(self.utilisation(), {})])

    def _slot_numbers(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (self.running, {"state": "running"}),
            (len(self.grants), {"state": "granted"}),
            (self.free, {"state": "free"}),
            (self.busy_seconds, {"state": "busy_seconds"}),
            (self.idle_while_waiting, {"state": "idle_while_waiting"}),
        ]

    # Accounts.

    @property
    def free(self) -> int:
        """How many more requests could run now."""
        limit = self.endpoint.slots.limit
        return max(0, limit - self.running - len(self.grants))

    def _account(self) -> None:
        now = time.monotonic()
        passed = now - self.accounted_at
        self.accounted_at = now
        self.busy_seconds += passed * self.running
        if self.scheduler.has_waiting() and self.endpoint.is_ready:
            # A granted slot is idle too until its run begins.
            idle = max(0, self.endpoint.slots.limit - self.running)
            waiting = self.scheduler.waiting_count() + len(self.grants)
            self.idle_while_waiting += passed * min(idle, waiting)

    def utilisation(self) -> float:
        """Returns busy time over the time that could have been busy."""
        self._account()
        possible = self.busy_seconds + self.idle_while_waiting
        return self.busy_seconds / possible if possible else 1.0

    def accepts_work(self) -> bool:
        """Returns whether new work may start here at all."""
        return (
            self.endpoint.is_ready
            and not self.is_leaving()
            and self.membership.holds_lease()
        )

    # Entries' word.

    def link(self, entry: str) -> TotalsLink:
        """Returns what an entry and we have of each other's totals."""
        if entry not in self.links:
            self.links[entry] = TotalsLink(self.totals)
        return self.links[entry]

    def on_offer(self, message: OfferMessage) -> OfferReply:
        """Takes in what waits at an entry."""
        entry = Incarnation(message.entry)
        link = self.link(entry)
        if message.totals is not None:
            # Totals first: a restarted agent must know everybody's
            # standing before it compares them.
            link.incoming(message.totals)
        self.addresses[entry] = message.address
        now = time.monotonic()
        self._account()
        if self.scheduler.hear(entry, message.zone, message.sequence, now):
            if message.whole:
                self.scheduler.replace_offers(entry, message.rows)
            else:
                self.scheduler.offer(entry, message.rows)
        if message.leaving:
            self.forget(entry)
        self.grant_free_slots()
        if self.free == 0:
            self.reported_busy_to.add(entry)
        totals = link.outgoing() if message.totals is not None else None
        return OfferReply(
            self.free, len(self.addresses), totals, self.is_leaving()
        )

    def forget(self, entry: str) -> None:
        """Forgets an entry that left or fell silent."""
        self.links.pop(entry, None)
        self.addresses.pop(entry, None)
        self.reported_busy_to.discard(entry)

    async def maintain(self) -> None:
        """Expires silent entries and lapsed grants until cancelled."""
        while True:
            await asyncio.sleep(_MAINTAIN_SECONDS)
            now = time.monotonic()
            self._account()
            for entry in self.scheduler.expire(now - _ENTRY_SILENCE_SECONDS):
                self.forget(entry)
                logger.info("entry_silent", entry=entry)
            for name, grant in list(self.grants.items()):
                if grant.expires_at < now:
                    del self.grants[name]
                    self.app.metrics.count("grants", outcome="lapsed")
            self.scheduler.write_off_credit()
            self.grant_free_slots()

    # Grants.

    def grant_free_slots(self) -> None:
        """Grants every free slot to the workspace that it is owed."""
        while self.free > 0 and self.accepts_work():
            choice = self.scheduler.next(self.endpoint.prefixes.is_warm)
            if choice is None:
                self._notify_free()
                return
            self.scheduler.taken(choice)
            name = secrets.token_hex(6)
            expires_at = time.monotonic() + 2 * _GRANT_SECONDS
            self.grants[name] = Grant(choice, expires_at)
            self.app.tasks.spawn(self._grant(name, choice))

    def _notify_free(self) -> None:
        """Corrects entries that believe us busy.

        They tell busy agents of a new backlog only with the next refresh;
        without this word a slot could be idle until then while work waits.
        """
        service = self.endpoint.announced.service
        message = FreeMessage(self.app.incarnation, service, self.free)
        for entry in self.reported_busy_to:
            address = self.addresses.get(entry, "")
            self.app.tasks.spawn(
                self.app.client.call(
                    address, FREE_PATH, message, Empty, _GRANT_SECONDS
                )
            )
        self.reported_busy_to.clear()

    async def _grant(self, name: str, choice: Choice) -> None:
        address = self.addresses.get(choice.entry)
        message = GrantMessage(
            self.app.incarnation,
            self.app.settings.advertised_address,
            self.endpoint.announced.service,
            choice.workspace,
            name,
        )
        reply = await self.app.client.call(
            address or "", GRANT_PATH, message, GrantReply, _GRANT_SECONDS
        )
        taken = not isinstance(reply, Err) and reply.ok_value.taken
        outcome = "taken" if taken else "unused"
        self.app.metrics.count("grants", outcome=outcome)
        if taken:
            self._on_taken(name, choice, reply.ok_value)
        if not taken:
            self._account()
            self.grants.pop(name, None)
            self.scheduler.unused(choice)
            self.grant_free_slots()

    def _on_taken(self, name: str, choice: Choice, reply: GrantReply) -> None:
        if name in self.grants:
            self.grants[name].expires_at = time.monotonic() + _USE_SECONDS
        if reply.left and choice.entry in self.scheduler.entries:
            # The offer may be older than what has come since; without this
            # the next slot would wait for a refresh beside a full queue.
            row = OfferRow(choice.workspace, reply.left, reply.prefix)
            self.scheduler.offer(choice.entry, [row])
            self.grant_free_slots()

    # Runs.

    def admit(self, workspace: WorkspaceId, grant: str) -> Failure | None:
        """Takes a slot for a run, or says why not; then nothing was run."""
        if self.is_leaving():
            return failure(Kind.LEAVING, "the agent is leaving; use another")
        refusal = self.membership.refusal()
        if refusal is not None:
            return refusal
        if not self.endpoint.is_ready:
            return failure(
                Kind.NO_ENDPOINT,
                "the endpoint is not ready; use another",
                retry_after=random.uniform(1.0, 3.0),
            )
        self._account()
        if grant:
            if self.grants.pop(grant, None) is None:
                return failure(Kind.BUSY, "the grant has lapsed; wait anew")
        elif self.free == 0 or not self.scheduler.may_go_first(workspace):
            return failure(Kind.BUSY, "no slot is free for a direct run")
        self.running += 1
        return None

    def release(self) -> None:
        """Gives a run's slot back."""
        self._account()
        self.running -= 1
        self.grant_free_slots()
