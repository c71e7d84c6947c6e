"""Choice among the first queued requests, by the engines that accept work.

Under overload each engine that accepts work finds, among the requests that
come next in order of fair service, one whose shared parts it has cached. A
request whose best engine is busy is overtaken meanwhile, within limits.
"""

import functools
import heapq
import itertools
import math
from collections.abc import Callable, Iterator

import msgspec

from marjoramyard.coordination.placement.engine_loss import (
    BestEngine,
    best_engine,
)
from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.fair_order import in_fair_order
from marjoramyard.coordination.placement.fair_queues import FairQueues
from marjoramyard.coordination.placement.request_queue import QueuedRequest
from marjoramyard.coordination.placement.requests import PlacementRequest

MAX_ENGINES = 6
"""How many engines that accept work are compared. Those that have cached a
request's parts are compared too."""
MAX_HOLDERS = 4
"""How many of the latter."""
WINDOW_SIZE = 32
"""How many requests are compared for the engines that accept work."""
PARTIAL_WINDOW_SIZE = 6
"""The same while more engines accept work than are compared."""
MAX_UNPLACEABLE = 128
"""After how many requests that none of these engines may run the search
ends."""
MAX_LEAD_MS = 250.0
"""How far a workspace may get ahead of the one with the least service, as the
time that an engine takes to prefill as much."""
MAX_OVERTAKEN = 32
"""How many requests may be granted before one that comes earlier."""
MAX_HOLD_MS = 200.0
"""For how long a request may be passed over."""
MAX_HOLD_SHARE = 0.4
"""For what share of the time to its objective a request may be passed over."""
SMALL_LOSS_MS = 20.0
"""A request that loses no more at an engine does not wait for a better one."""
MAX_LOSS_MS = 40.0
"""A request that would lose more at an engine waits for a better one, unless
the engine has no request at all."""


class Choice(msgspec.Struct, frozen=True):
    """A request to grant now.

    Attributes:
        queued: The request.
        engines: The engines to choose from.
        passed: Requests that come earlier and have not been granted.
    """

    queued: QueuedRequest
    engines: list[Engine]
    passed: list[QueuedRequest]


class Waiting(msgspec.Struct, frozen=True):
    """A request that waits for a better engine.

    Attributes:
        queued: The request.
        best: Its best engine.
        place: How many requests were passed over before it.
    """

    queued: QueuedRequest
    best: BestEngine
    place: int


class DispatchWindow:
    """One round of dispatching.

    Attributes:
        pool: The queues and the engines.
        may_use: Whether a request may be sent to an endpoint.
        max_backlog_ms: The limit on the backlog of an engine.
        now: The time, in ms.
        accepting: The least loaded engines that accept work, by endpoint.
        is_partial: Whether more engines accept work.
        passed: The requests that were passed over, in order.
        waiting: Those of them that wait for better engines.
        best_rate: The highest prefill rate of an engine, in tokens per ms.
    """

    def __init__(
        self,
        pool: FairQueues,
        may_use: Callable[[PlacementRequest, str], bool],
        max_backlog_ms: float,
        now: float,
    ):
        self.pool = pool
        self.may_use = may_use
        self.max_backlog_ms = max_backlog_ms
        self.now = now
        lightest = pool.load.current().lightest
        accepting = [e for e in lightest if e.accepts(0.0, max_backlog_ms)]
        self.is_partial = len(accepting) > MAX_ENGINES
        if self.is_partial:
            accepting = heapq.nsmallest(
                MAX_ENGINES, accepting, key=lambda engine: engine.wait_ms
            )
        self.accepting = {engine.endpoint: engine for engine in accepting}
        self.passed: list[QueuedRequest] = []
        self.waiting: list[Waiting] = []
        self.best_rate = max((engine.rate for engine in lightest), default=1.0)

    @functools.cached_property
    def usable(self) -> tuple[str, ...]:
        """The endpoints of all usable engines."""
        engines = self.pool.engines.values()
        return tuple(e.endpoint for e in engines if e.is_usable)

    def choices(self) -> Iterator[Choice]:
        """Yields the requests to grant, in turn.

        The caller grants or refuses each before the next one is chosen.
        """
        if not self.accepting:
            return
        for queued, engines in self._in_window():
            choice = self._choose(queued, engines)
            if choice is not None:
                yield choice
            if not self.accepting:
                return
        while True:
            choice = self._choose_waiting()
            if choice is None:
                return
            yield choice

    def record_grant(self, choice: Choice, endpoint: str) -> None:
        """Records that a choice was granted.

        Args:
            choice: The choice.
            endpoint: The engine that gets it.
        """
        for queued in choice.passed:
            queued.overtaken += 1
        engine = self.accepting.get(endpoint)
        if engine and not engine.accepts(0.0, self.max_backlog_ms):
            del self.accepting[endpoint]

    def _in_window(self) -> Iterator[tuple[QueuedRequest, list[Engine]]]:
        """Yields the first requests with the engines that accept them."""
        found = 0
        unplaceable = 0
        limit = 0.0
        size = PARTIAL_WINDOW_SIZE if self.is_partial else WINDOW_SIZE
        order = in_fair_order(self.pool.queues, self.pool.virtual_time)
        for received, queued in order:
            if not self.accepting:
                return
            engines = self._engines_for(queued.request)
            if not engines:
                unplaceable += 1
                if unplaceable > MAX_UNPLACEABLE:
                    return
                self._keep_engine_for(queued)
                self._pass_over(queued)
                continue
            if not found:
                limit = received + self._max_lead()
            if received > limit or found == size:
                return
            found += 1
            yield queued, engines

    def _max_lead(self) -> float:
        """Returns the largest lead of a workspace, in prefill tokens."""
        count = self.pool.serving_count or 1
        return MAX_LEAD_MS * self.pool.total_prefill_rate / count

    def _engines_for(self, request: PlacementRequest) -> list[Engine]:
        memory_tokens = request.own_memory_tokens
        return [
            engine
            for engine in self.accepting.values()
            if engine.has_capacity(memory_tokens)
            and self.may_use(request, engine.endpoint)
        ]

    def _is_next(self, queued: QueuedRequest) -> bool:
        """Returns whether a request must not be overtaken any more."""
        return (
            queued.overtaken >= MAX_OVERTAKEN or self.now >= queued.held_until
        )

    def _keep_engine_for(self, queued: QueuedRequest) -> None:
        """Lets an engine drain for a request that was passed over for too long.

        Otherwise smaller requests would always take the memory that it needs.
        """
        if not self._is_next(queued):
            return
        usable = [
            engine
            for engine in self.pool.load.current().lightest
            if self.may_use(queued.request, engine.endpoint)
        ]
        if usable:
            emptiest = min(usable, key=lambda e: e.used_memory_tokens)
            self.accepting.pop(emptiest.endpoint, None)

    def _choose(
        self, queued: QueuedRequest, engines: list[Engine]
    ) -> Choice | None:
        """Returns a request, unless it waits for a better engine."""
        passed = self._passed_before(len(self.passed))
        if self._is_next(queued):
            return Choice(queued, engines, passed)
        best = best_engine(
            queued.request,
            self.pool.prefix_index,
            self.usable,
            self.best_rate,
        )
        holders = self._holders_for(queued.request, best.endpoints)
        good = [
            engine
            for engine in (*engines, *holders)
            if best.loss_ms(engine, self.pool.profile) <= SMALL_LOSS_MS
        ]
        # An overdue request must not make others late.
        if good and not (queued.comes_last and self.waiting):
            return Choice(queued, good, passed)
        self.waiting.append(Waiting(queued, best, len(self.passed)))
        self._pass_over(queued)
        return None

    def _holders_for(
        self, request: PlacementRequest, endpoints: set[str]
    ) -> list[Engine]:
        """Returns further engines that accept a request and have its parts."""
        if not self.is_partial:
            return []
        memory_tokens = request.own_memory_tokens
        others = (name for name in endpoints if name not in self.accepting)
        return [
            engine
            for name in itertools.islice(others, MAX_HOLDERS)
            if (engine := self.pool.engines[name]).accepts(
                memory_tokens, self.max_backlog_ms
            )
            and self.may_use(request, name)
        ]

    def _pass_over(self, queued: QueuedRequest) -> None:
        if math.isinf(queued.held_until):
            left_ms = max(0.0, queued.request.first_token_due_at - self.now)
            hold_ms = min(MAX_HOLD_MS, left_ms * MAX_HOLD_SHARE)
            queued.held_until = self.now + hold_ms
        self.passed.append(queued)

    def _passed_before(self, place: int) -> list[QueuedRequest]:
        return [q for q in self.passed[:place] if not q.is_removed]

    def _choose_waiting(self) -> Choice | None:
        """Returns the request that loses least, if an engine should run it."""
        options = [
            (
                waiting.queued.comes_last,
                loss_ms,
                waiting.place,
                engine.wait_ms,
                engine.endpoint,
            )
            for waiting in self.waiting
            for engine in self._engines_for(waiting.queued.request)
            if (loss_ms := waiting.best.loss_ms(engine, self.pool.profile))
            <= (MAX_LOSS_MS if engine.running else math.inf)
        ]
        if not options:
            return None
        _, _, place, _, endpoint = min(options)
        queued = self.passed[place]
        self.waiting = [w for w in self.waiting if w.queued is not queued]
        engine = self.accepting[endpoint]
        return Choice(queued, [engine], self._passed_before(place))
