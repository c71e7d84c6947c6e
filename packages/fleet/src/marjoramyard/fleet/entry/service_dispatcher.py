"""Queues the requests of one service and offers them to its agents."""

import asyncio
import random
import time

import msgspec
from result import Err

from marjoramyard.coordination.fairness.scheduler import OfferRow
from marjoramyard.coordination.fairness.totals import (
    Totals,
    TotalsDelta,
)
from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.coordination.serving.request_queues import (
    QueuedRequest,
    ServiceQueue,
)
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.entry.agent_views import AgentView, Placement
from marjoramyard.fleet.entry.paused_agents import (
    PausedAgents,
    WaitingRequests,
    pause_refusal,
)
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.messages import (
    FreeSlotsMessage,
    GrantMessage,
    GrantReply,
    OfferMessage,
    OfferReply,
)
from marjoramyard.fleet.paths import OFFER_PATH
from marjoramyard.kernel.errors import FailureKind, FleetError, failure
from marjoramyard.kernel.ids import ServiceId, WorkspaceId

_OFFER_TIMEOUT_SECONDS = 1.5
_COALESCE_SECONDS = 0.01
"""Backlogs that begin within this time are offered in one message."""
_MAX_DIRECT_ATTEMPTS = 2
_MAX_BUSY_AGENTS_OFFERED = 2
_OUTSIDE_AGENT_ENTRIES = 1000
"""Assumed number of entries of an agent outside the subset."""
_RATE_WEIGHT = 0.1
"""Weight of the newest sample in the average dequeue rate."""
_AGENT_BACKOFF_SECONDS = 2.0
_MAX_RETRY_AFTER_SECONDS = 60.0


class ServiceDispatcher:
    """Queues one service's requests and offers them to its agents.

    Attributes:
        agents: The agents that this entry uses, by incarnation.
        other_agents: The service's other agents that are ready.
        paused: The agents whose endpoints have asked for a pause.
        waiting: The requests in the queue.
        dequeue_rate: Granted requests per second, as a moving average.
    """

    def __init__(self, app: Application, service: ServiceId):
        self.app = app
        self.service = service
        self.queue = ServiceQueue()
        self.totals = Totals(app.settings.name, app.incarnation)
        self.agents: dict[str, AgentView] = {}
        self.other_agents: list[DirectoryRow] = []
        self.paused = PausedAgents()
        self.waiting = WaitingRequests()
        self.flush_scheduled = False
        self.dequeue_rate = 0.0
        self.last_dequeued_at = time.monotonic()

    # Agents.

    def set_agents(
        self, rows: list[DirectoryRow], others: list[DirectoryRow]
    ) -> None:
        """Replaces the known agents.

        Args:
            rows: The agents that this entry uses.
            others: The service's remaining agents.
        """
        self.other_agents = [row for row in others if row.state == "ready"]
        current = {row.incarnation: row for row in rows}
        for removed in self.agents.keys() - current.keys():
            del self.agents[removed]
        for incarnation, row in current.items():
            view = self.agents.get(incarnation)
            if view is None:
                self.agents[incarnation] = AgentView(row, self.totals)
            else:
                view.row = row
        if self.queue.workspaces:
            self._schedule_flush()

    def ready_agents(self) -> list[AgentView]:
        """Returns the agents that accept new work and are not backing off."""
        now = time.monotonic()
        return [
            view
            for view in self.agents.values()
            if view.row.state == "ready" and view.backoff_until <= now
        ]

    def agents_for_offers(self) -> list[AgentView]:
        """Returns the ready agents, or all if there are none.

        The others' replies say whether, and how long, they pause.
        """
        return self.ready_agents() or [
            view
            for view in self.agents.values()
            if view.backoff_until <= time.monotonic()
        ]

    def pause_end(self) -> float:
        """Returns when the first pause ends, if all endpoints pause; or 0.0."""
        if self.other_agents:
            return 0.0
        return self.paused.first_end(
            [view.row.address for view in self.agents.values()]
        )

    def record_pause(self, address: str, seconds: float) -> None:
        """Records a pause, and refuses those who can't wait for its end."""
        self.paused.record(address, seconds)
        end = self.pause_end()
        if end:
            self.waiting.refuse_until(end)

    def back_off(self, address: str) -> None:
        """Excludes an agent from `ready_agents` for the backoff time."""
        for view in self.agents.values():
            if view.row.address == address:
                view.backoff_until = time.monotonic() + _AGENT_BACKOFF_SECONDS

    def direct_candidates(self) -> list[Placement]:
        """Picks agents for a direct attempt, if the queue is empty.

        These are random agents, the one with the fewest attempts of this
        entry first. Reported load is stale; if all entries used it, they
        would choose the same agent.
        """
        if self.queue.workspaces:
            return []
        free = [v for v in self.ready_agents() if v.in_flight < v.row.slots]
        picked = random.sample(free, min(_MAX_DIRECT_ATTEMPTS, len(free)))
        picked.sort(key=lambda view: view.in_flight / view.row.slots)
        return [Placement(view.row.address) for view in picked]

    def adjust_in_flight(self, address: str, change: int) -> None:
        """Adds `change` to the number of attempts in flight at an agent."""
        for view in self.agents.values():
            if view.row.address == address:
                view.in_flight += change

    # Queue.

    async def wait(self, request: CallerRequest, first: bool) -> Placement:
        """Queues a request until an agent grants it a slot.

        Args:
            request: The request.
            first: Whether it goes to the head of its class.

        Raises:
            FleetError: The deadline passed, or the workspace's queue is full,
                or all endpoints pause for longer; the request was not run.
        """
        self._check_limits(request)
        end = self.pause_end()
        if end > time.monotonic() + request.seconds_left():
            raise FleetError(pause_refusal(end))
        item = QueuedRequest(
            request.workspace_id,
            request.request_class,
            time.monotonic(),
            len(request.body),
            request.prefix,
            asyncio.get_running_loop().create_future(),
        )
        self.queue.add(item, first)
        self.waiting.add(item.payload, request)
        self._schedule_flush()
        try:
            async with asyncio.timeout(max(0.0, request.seconds_left())):
                return await item.payload
        except TimeoutError:
            raise FleetError(
                failure(
                    FailureKind.DEADLINE,
                    "the deadline passed while the request was queued; it "
                    "was not run",
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
                    FailureKind.WORKSPACE_FULL,
                    "too many requests of this workspace are queued; retry "
                    "later or send fewer at once",
                    retry_after=self.retry_after(),
                )
            )

    def retry_after(self) -> float:
        """Returns the estimated wait of a new request, with jitter.

        It is in seconds, based on the length of the queue and the recent
        rate of grants.
        """
        waiting = self.queue.count()
        seconds = waiting / self.dequeue_rate if self.dequeue_rate > 0 else 2.0
        seconds = min(_MAX_RETRY_AFTER_SECONDS, max(1.0, seconds))
        return seconds * random.uniform(1.0, 1.3)

    def on_grant(self, message: GrantMessage) -> GrantReply:
        """Uses an agent's grant for a queued request of the workspace.

        The reply says whether a request uses the grant, and how many
        requests of the workspace remain.
        """
        now = time.monotonic()
        workspace = WorkspaceId(message.workspace)
        item = self.queue.pop(workspace, now)
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
        """Forgets the offers of a workspace whose queue is empty.

        Its next backlog is then offered again.
        """
        if workspace not in self.queue.workspaces:
            for view in self.agents.values():
                view.offered.discard(workspace)

    def on_free(self, message: FreeSlotsMessage) -> None:
        """Records an agent's free slots and offers it the backlog."""
        view = self.agents.get(message.agent)
        if view is None:
            return
        view.free = message.free
        if self.queue.workspaces:
            self._send_offer(view)

    def _update_dequeue_rate(self, now: float) -> None:
        gap = max(now - self.last_dequeued_at, 1e-4)
        self.last_dequeued_at = now
        self.dequeue_rate += _RATE_WEIGHT * (1.0 / gap - self.dequeue_rate)

    # Offers.

    def _schedule_flush(self) -> None:
        if not self.flush_scheduled:
            self.flush_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(_COALESCE_SECONDS, self._flush)

    def _flush(self) -> None:
        """Offers new backlogs to the free agents and to a few busy ones.

        The number of busy agents is limited to bound the control traffic.
        The others receive the backlog with the next refresh. The end of a
        backlog is reported by a refresh or in the reply to a grant.
        """
        self.flush_scheduled = False
        self.queue.changed.clear()
        waiting = set(self.queue.workspaces)
        outdated = [v for v in self.agents_for_offers() if waiting - v.offered]
        busy = [view for view in outdated if view.free == 0]
        picked = random.sample(busy, min(_MAX_BUSY_AGENTS_OFFERED, len(busy)))
        for view in outdated:
            if view.free > 0 or view in picked:
                self._send_offer(view)

    def refresh(self, older_than: float) -> None:
        """Repeats the complete offer to agents whose last one is too old.

        Args:
            older_than: Age in seconds at which a complete offer is repeated.
        """
        now = time.monotonic()
        for view in self.agents_for_offers():
            stale = view.last_full_offer_at + older_than <= now
            if stale and (self.queue.workspaces or view.offered):
                self._send_offer(view, full=True)
        self._offer_outside_subset()

    def _offer_outside_subset(self) -> None:
        """Offers the backlog to a random agent outside the subset.

        Without this an idle agent would receive no offer when only entries
        that do not use it have queued requests.
        """
        if self.queue.workspaces and self.other_agents:
            row = random.choice(self.other_agents)
            view = AgentView(row, self.totals)
            # It receives the totals from the entries that use it.
            view.totals_sync.peer = row.incarnation
            view.entries = _OUTSIDE_AGENT_ENTRIES
            self._send_offer(view, full=True)

    def _send_offer(self, view: AgentView, full: bool = False) -> None:
        view.needs_full_offer = view.needs_full_offer or full
        view.pending = True
        if not view.sending:
            view.sending = True
            self.app.tasks.spawn(self._send(view))

    def _rows(self, excluded: set[WorkspaceId]) -> list[OfferRow]:
        now = time.monotonic()
        rows = []
        for workspace, queue in self.queue.workspaces.items():
            if workspace in excluded:
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
        # The first offer to an agent carries the totals, which it lacks.
        full = view.needs_full_offer or not view.totals_sync.peer
        view.needs_full_offer = False
        rows = self._rows(set() if full else view.offered)
        if not rows and not full:
            return
        sent = {row.workspace for row in rows}
        view.offered = sent if full else view.offered | sent
        view.sequence += 1
        if full:
            view.last_full_offer_at = time.monotonic()
        message = OfferMessage(
            self.app.incarnation,
            self.app.settings.advertised_address,
            self.app.settings.zone,
            self.service,
            view.sequence,
            rows,
            self._totals_for(view) if full else None,
            whole=full,
        )
        reply = await self.app.client.call(
            view.row.address,
            OFFER_PATH,
            message,
            OfferReply,
            _OFFER_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Err):
            self.app.metrics.count("offers_failed")
            view.offered = set()
            self.back_off(view.row.address)
            return
        self._on_reply(view, reply.ok_value)

    def _totals_for(self, view: AgentView) -> TotalsDelta:
        """Returns the totals to send with a complete backlog.

        All entries hold nearly the same rows, so each sends them with a
        probability of one over the number of entries. The versions that
        this entry holds are always sent; the agent replies with the rows
        that are newer.
        """
        is_new = not view.totals_sync.peer
        if is_new or random.random() * view.entries < 1.0:
            return view.totals_sync.make_delta()
        return view.totals_sync.make_delta(limit=0)

    def _on_reply(self, view: AgentView, reply: OfferReply) -> None:
        view.free = reply.free
        view.entries = reply.entries
        if reply.totals is not None:
            view.totals_sync.apply_delta(reply.totals)
        if reply.leaving:
            view.row = msgspec.structs.replace(view.row, state="leaving")
        self.record_pause(view.row.address, reply.pause_seconds)
