"""Waiting requests of each service, and the agents that may run them."""

import asyncio
import random
import time

import msgspec
from result import Err

from marjoramyard.coordination.fairness.scheduler import OfferRow
from marjoramyard.coordination.fairness.totals import (
    Totals,
    TotalsDelta,
    TotalsLink,
)
from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.coordination.serving.waiting import ServiceQueue, Waiting
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.messages import (
    FreeMessage,
    GrantMessage,
    GrantReply,
    OfferMessage,
    OfferReply,
)
from marjoramyard.fleet.paths import OFFER_PATH
from marjoramyard.kernel.errors import FleetError, Kind, failure
from marjoramyard.kernel.ids import ServiceId, WorkspaceId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_OFFER_SECONDS = 1.5
_COALESCE_SECONDS = 0.01
"""Backlogs that begin together are told together."""
_DIRECT_TRIES = 2
_BUSY_TOLD = 2
_OUTSIDE_AGENT_ENTRIES = 1000
_RATE_MEMORY = 0.1
_PASS_OVER_SECONDS = 2.0
_MAX_RETRY_AFTER = 60.0


class Placement(msgspec.Struct, frozen=True):
    """Where a request may run: a direct try, or a grant."""

    address: str
    grant: str = ""


class AgentView:
    """What a dispatcher knows of one agent."""

    def __init__(self, row: DirectoryRow, totals: Totals):
        self.row = row
        self.link = TotalsLink(totals)
        self.in_flight = 0
        self.sequence = 0
        self.offered: set[WorkspaceId] = set()
        self.free = row.slots
        self.entries = 1
        self.sending = False
        self.pending = False
        self.needs_full_offer = False
        self.last_full_offer_at = 0.0
        self.backoff_until = 0.0


class ServiceDispatcher:
    """One service at one entry."""

    def __init__(self, app: Application, service: ServiceId):
        self.app = app
        self.service = service
        self.queue = ServiceQueue()
        self.totals = Totals(app.settings.name, app.incarnation)
        self.agents: dict[str, AgentView] = {}
        self.other_agents: list[DirectoryRow] = []
        self.flush_scheduled = False
        self.dequeue_rate = 0.0
        self.last_dequeued_at = time.monotonic()

    # Agents.

    def set_agents(
        self, rows: list[DirectoryRow], outside: list[DirectoryRow]
    ) -> None:
        """Takes in the agents that this entry uses, and all others."""
        self.other_agents = [row for row in outside if row.state == "ready"]
        wanted = {row.incarnation: row for row in rows}
        for gone in self.agents.keys() - wanted.keys():
            del self.agents[gone]
        for incarnation, row in wanted.items():
            view = self.agents.get(incarnation)
            if view is None:
                self.agents[incarnation] = AgentView(row, self.totals)
            else:
                view.row = row
        if self.queue.workspaces:
            self._schedule_flush()

    def ready_agents(self) -> list[AgentView]:
        """Returns the agents that may take new work."""
        now = time.monotonic()
        return [
            view
            for view in self.agents.values()
            if view.row.state == "ready" and view.backoff_until <= now
        ]

    def back_off(self, address: str) -> None:
        """Leaves an agent alone for a while after it gave no answer."""
        for view in self.agents.values():
            if view.row.address == address:
                view.backoff_until = time.monotonic() + _PASS_OVER_SECONDS

    def direct_candidates(self) -> list[Placement]:
        """Picks agents for a direct run, while nothing waits here.

        Two random ones, the less busy by our own count first: reports of
        load lag, and everyone following them would go to the same one.
        """
        if self.queue.workspaces:
            return []
        free = [v for v in self.ready_agents() if v.in_flight < v.row.slots]
        picked = random.sample(free, min(_DIRECT_TRIES, len(free)))
        picked.sort(key=lambda view: view.in_flight / view.row.slots)
        return [Placement(view.row.address) for view in picked]

    def count_run(self, address: str, change: int) -> None:
        """Counts what runs at an agent from here."""
        for view in self.agents.values():
            if view.row.address == address:
                view.in_flight += change

    # Waiting.

    async def wait(self, request: CallerRequest, first: bool) -> Placement:
        """Waits for a grant.

        Raises:
            FleetError: The deadline passed, or too much waits already; the
                request was not run.
        """
        self._check_limits(request)
        item = Waiting(
            request.workspace_id,
            request.request_class,
            time.monotonic(),
            len(request.body),
            request.prefix,
            asyncio.get_running_loop().create_future(),
        )
        self.queue.add(item, first)
        self._schedule_flush()
        try:
            async with asyncio.timeout(max(0.0, request.seconds_left())):
                return await item.payload
        except TimeoutError:
            raise FleetError(
                failure(
                    Kind.DEADLINE,
                    "the deadline passed while the request waited; it was "
                    "not run",
                    retry_after=self.retry_after(),
                )
            ) from None
        finally:
            self.queue.remove(item)
            self._clear_offered_if_empty(item.workspace)

    def _check_limits(self, request: CallerRequest) -> None:
        queue = self.queue.workspaces.get(request.workspace_id)
        if queue is None:
            return
        limits = request.workspace
        size = queue.bytes + len(request.body)
        if queue.count >= limits.max_waiting or size > limits.max_waiting_bytes:
            raise FleetError(
                failure(
                    Kind.WORKSPACE_FULL,
                    "too many requests of this workspace wait; come back "
                    "later or send fewer at once",
                    retry_after=self.retry_after(),
                )
            )

    def retry_after(self) -> float:
        """Estimates when a new request would get its turn, with jitter."""
        waiting = self.queue.count()
        seconds = waiting / self.dequeue_rate if self.dequeue_rate > 0 else 2.0
        seconds = min(_MAX_RETRY_AFTER, max(1.0, seconds))
        return seconds * random.uniform(1.0, 1.3)

    def on_grant(self, message: GrantMessage) -> GrantReply:
        """Gives an agent's free slot to the workspace that it names."""
        now = time.monotonic()
        workspace = WorkspaceId(message.workspace)
        item = self.queue.take(workspace, now)
        if item is None or item.payload.done():
            self._clear_offered_if_empty(workspace)
            return GrantReply(False)
        self._update_dequeue_rate(now)
        item.payload.set_result(Placement(message.address, message.grant))
        self._clear_offered_if_empty(workspace)
        queue = self.queue.workspaces.get(workspace)
        head = queue.head(now) if queue is not None else None
        if head is None:
            return GrantReply(True)
        return GrantReply(True, queue.count, head.prefix)

    def _clear_offered_if_empty(self, workspace: WorkspaceId) -> None:
        """Has a backlog that begins again told again."""
        if workspace not in self.queue.workspaces:
            for view in self.agents.values():
                view.offered.discard(workspace)

    def on_free(self, message: FreeMessage) -> None:
        """Notes that an agent is busy no more, and tells it what waits."""
        view = self.agents.get(message.agent)
        if view is None:
            return
        view.free = message.free
        if self.queue.workspaces:
            self._send_offer(view)

    def _update_dequeue_rate(self, now: float) -> None:
        gap = max(now - self.last_dequeued_at, 1e-4)
        self.last_dequeued_at = now
        self.dequeue_rate += _RATE_MEMORY * (1.0 / gap - self.dequeue_rate)

    # Offers.

    def _schedule_flush(self) -> None:
        if not self.flush_scheduled:
            self.flush_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_COALESCE_SECONDS, self._flush)

    def _flush(self) -> None:
        """Tells agents of backlogs that began.

        All that are free are told, and two of the busy ones: enough slots
        that one of them is free soon. Telling all of them each time made
        the offers most of the control traffic. The others learn it with
        the next refresh, and that a backlog ended likewise, or by a grant
        that comes back.
        """
        self.flush_scheduled = False
        self.queue.changed.clear()
        waiting = set(self.queue.workspaces)
        lacking = [v for v in self.ready_agents() if waiting - v.offered]
        busy = [view for view in lacking if view.free == 0]
        picked = random.sample(busy, min(_BUSY_TOLD, len(busy)))
        for view in lacking:
            if view.free > 0 or view in picked:
                self._send_offer(view)

    def refresh(self, older_than: float) -> None:
        """Repeats the whole backlog to agents not told for a while."""
        now = time.monotonic()
        for view in self.ready_agents():
            stale = view.last_full_offer_at + older_than <= now
            if stale and (self.queue.workspaces or view.offered):
                self._send_offer(view, whole=True)
        self._offer_outside_subset()

    def _offer_outside_subset(self) -> None:
        """Tells one agent outside our subset, while requests wait.

        Without it an idle agent whose own entries have nothing would never
        hear of work elsewhere; with it, it has a grant to give within a few
        refreshes, whatever the subsets are.
        """
        if self.queue.workspaces and self.other_agents:
            row = random.choice(self.other_agents)
            view = AgentView(row, self.totals)
            # It has its totals from the entries that work with it.
            view.link.peer = row.incarnation
            view.entries = _OUTSIDE_AGENT_ENTRIES
            self._send_offer(view, whole=True)

    def _send_offer(self, view: AgentView, whole: bool = False) -> None:
        view.needs_full_offer = view.needs_full_offer or whole
        view.pending = True
        if not view.sending:
            view.sending = True
            self.app.tasks.spawn(self._send(view))

    def _rows(self, known: set[WorkspaceId]) -> list[OfferRow]:
        now = time.monotonic()
        rows = []
        for workspace, queue in self.queue.workspaces.items():
            if workspace in known:
                continue
            head = queue.head(now)
            prefix = head.prefix if head is not None else ""
            rows.append(OfferRow(workspace, queue.count, prefix))
        return rows

    async def _send(self, view: AgentView) -> None:
        try:
            while view.pending:
                view.pending = False
                await self._send_once(view)
        finally:
            view.sending = False

    async def _send_once(self, view: AgentView) -> None:
        # A new agent has no memory: it gets everybody's totals first.
        whole = view.needs_full_offer or not view.link.peer
        view.needs_full_offer = False
        rows = self._rows(set() if whole else view.offered)
        if not rows and not whole:
            return
        told = {row.workspace for row in rows}
        view.offered = told if whole else view.offered | told
        view.sequence += 1
        if whole:
            view.last_full_offer_at = time.monotonic()
        message = OfferMessage(
            self.app.incarnation,
            self.app.settings.advertised_address,
            self.app.settings.zone,
            self.service,
            view.sequence,
            rows,
            self._totals_for(view) if whole else None,
            whole=whole,
        )
        reply = await self.app.client.call(
            view.row.address, OFFER_PATH, message, OfferReply, _OFFER_SECONDS
        )
        if isinstance(reply, Err):
            self.app.metrics.count("offers_failed")
            view.offered = set()
            self.back_off(view.row.address)
            return
        self._on_reply(view, reply.ok_value)

    def _totals_for(self, view: AgentView) -> TotalsDelta:
        """Returns the totals that go with a whole backlog.

        Every entry knows the same rows within a refresh. If all of them
        sent these to an agent, each row would come once from each; so the
        entries take turns by chance. What we hold always goes along, so
        that the agent's own rows come back each time.
        """
        is_new = not view.link.peer
        if is_new or random.random() * view.entries < 1.0:
            return view.link.outgoing()
        return view.link.outgoing(limit=0)

    def _on_reply(self, view: AgentView, reply: OfferReply) -> None:
        view.free = reply.free
        view.entries = reply.entries
        if reply.totals is not None:
            view.link.incoming(reply.totals)
        if reply.leaving:
            view.row = msgspec.structs.replace(view.row, state="leaving")


class Dispatchers:
    """All services' dispatchers of one entry."""

    def __init__(self, app: Application):
        self.app = app
        self.dispatchers: dict[ServiceId, ServiceDispatcher] = {}
        app.metrics.gauge("waiting_requests", self._waiting)
        app.metrics.gauge("known_agents", self._known)

    def _waiting(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (dispatcher.queue.count(), {"service": name})
            for name, dispatcher in self.dispatchers.items()
        ]

    def _known(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (
                1.0,
                {
                    "service": name,
                    "endpoint": view.row.endpoint,
                    "state": view.row.state,
                },
            )
            for name, dispatcher in self.dispatchers.items()
            for view in dispatcher.agents.values()
        ]

    def get(self, service: ServiceId) -> ServiceDispatcher:
        """Returns a service's dispatcher."""
        if service not in self.dispatchers:
            self.dispatchers[service] = ServiceDispatcher(self.app, service)
        return self.dispatchers[service]

    def set_agents(self, rows: list[DirectoryRow]) -> None:
        """Sorts the directory's agents by service."""
        by_service: dict[ServiceId, list[DirectoryRow]] = {
            name: [] for name in self.dispatchers
        }
        for row in rows:
            by_service.setdefault(ServiceId(row.service), []).append(row)
        for service, found in by_service.items():
            if service:
                used = self._subset(found)
                others = [row for row in found if row not in used]
                self.get(service).set_agents(used, others)

    def _subset(self, rows: list[DirectoryRow]) -> list[DirectoryRow]:
        """Picks the agents that this entry works with.

        All entries with all agents does not scale. Rendezvous hashing
        spreads the entries evenly over the agents and moves few of the
        pairs when one comes or goes; our own zone's agents come first.
        """
        limit = self.app.settings.agents_per_service
        if not limit or len(rows) <= limit:
            return rows
        me, zone = self.app.settings.name, self.app.settings.zone

        def rank(row: DirectoryRow) -> float:
            return random.Random(f"{me} {row.incarnation}").random()

        near = sorted((r for r in rows if r.zone == zone), key=rank)
        near = near[: limit // 2]
        rest = sorted((r for r in rows if r not in near), key=rank)
        return near + rest[: limit - len(near)]

    async def refresh_forever(self) -> None:
        """Keeps agents told while requests wait, until cancelled."""
        period = self.app.settings.offer_seconds
        while True:
            await asyncio.sleep(period / 4)
            for dispatcher in self.dispatchers.values():
                dispatcher.refresh(period)
