"""Decides for a whole service who runs next, where, and who is refused.

Routers that choose by themselves all run to the engine that looked idle in
news that is a moment old, and each gives a workspace its own idea of a fair
share. One broker for a service sees every request and every end of one, so
its picture is exact. It is soft state: if it is lost, routers go on with
their own estimates, and its successor rebuilds the picture from them.

The pattern that it answers: more prompts arrive than engines read. Then an
engine's own queue, which is first come first served, makes every answer
late; late answers are worth a third and the engine is busy with them while
fresh requests grow late too. So work waits here, where it can be chosen:
engines hold just enough to stay busy, workspaces get turns by what they have
been served, and a request that can't be on time is refused when it arrives.
"""

import math

from marjoramyard.coordination.placement.engine_pool import EnginePool
from marjoramyard.coordination.placement.engines import (
    FIRST_TOKEN_MS,
    InFlightRequest,
)
from marjoramyard.coordination.placement.plans import best_plan
from marjoramyard.coordination.placement.request_queue import (
    QueuedRequest,
    RequestQueue,
)
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
    UnbrokeredRequest,
    refusal,
    service_cost,
)
from marjoramyard.coordination.routing.config import EngineProfile

UNFIT_MARGIN = 0.8
"""A request is refused if its predicted wait takes more than this part of
the time that reading leaves of its objective. In a rush the lines stand just
at this mark, so an error of the prediction makes everything late."""
LARGE_SLACK_MS = 300.0
"""A prompt that takes longer than its objective to read can't be on time
anywhere. It may wait this long instead, or the largest would never run."""
MAX_DEFERRED = 4
"""How many requests a round may leave waiting for their engine before it
ends; each costs a look at all engines. Others behind them wait for the next
end of a prompt, some ms later."""


class Broker(EnginePool):
    """The queue of one service. Times are milliseconds of one clock."""

    def __init__(self, profile: EngineProfile, rate: float):
        super().__init__(profile, rate)
        self.lines: dict[str, RequestQueue] = {}
        self.level: dict[str, float] = {}
        self.waiting: dict[str, QueuedRequest] = {}
        # What silent routers have asked for, by key.
        self.suspended: dict[str, QueuedRequest] = {}
        self.counter = 0

    def counts(self) -> dict[str, int]:
        """Returns how many requests wait, are being read, and run."""
        reading = sum(1 for f in self.flights.values() if f.is_reading)
        return {
            "waiting": len(self.waiting),
            "reading": reading,
            "running": len(self.flights) - reading,
        }

    # Requests.

    def ask(self, ask: PlacementRequest, now: float) -> PlacementRefusal | None:
        """Takes in a request; it is refused at once if it would be late."""
        waiting = QueuedRequest(ask, self._cost(ask))
        late = self._predict_late(waiting, now)
        if late is not None:
            return late
        self._enter_line(waiting)
        return None

    def _enter_line(self, waiting: QueuedRequest) -> None:
        workspace = waiting.ask.workspace
        line = self.lines.setdefault(workspace, RequestQueue())
        if not line.heap:
            self._level_up(workspace)
        self._queue(waiting)

    def _queue(self, waiting: QueuedRequest) -> None:
        self._leave(waiting.ask.key)
        waiting.is_gone = False
        self.counter += 1
        self.lines[waiting.ask.workspace].push(waiting, self.counter)
        self.waiting[waiting.ask.key] = waiting

    def _cost(self, ask: PlacementRequest) -> float:
        """Returns the tokens that a request is likely to have read."""
        best = 0
        for engine in self.engines.values():
            best = max(best, engine.kept.leading_tokens(ask.parts))
        return max(1.0, ask.tokens - best)

    def _level_up(self, workspace: str) -> None:
        """Lets a workspace that was idle start at the least served one.

        It keeps no claim on what it did not use: it could take every slot
        from the others until it had caught up.
        """
        active = [
            self.level.get(name, 0.0)
            for name, line in self.lines.items()
            if line.heap
        ]
        floor = min(active, default=max(self.level.values(), default=0.0))
        self.level[workspace] = max(self.level.get(workspace, 0.0), floor)

    def predicted_wait_ms(
        self, workspace: str, aim_at: float = math.inf
    ) -> float:
        """Returns how long a request of a workspace would wait here.

        Lines are served by level, so another workspace goes first just as
        far as its level stays below the one that ours would have reached.
        Within a line the most urgent goes first, so only what is due before
        ours is ahead of it; a chat that is due in 400 ms would be refused
        for the sake of long prompts that it passes.
        """
        own = self.lines.get(workspace)
        level = self.level.get(workspace, 0.0)
        reached = level + (own.tokens_before(aim_at) if own else 0.0)
        ahead = 0.0
        for name, line in self.lines.items():
            if not line.heap:
                continue
            if line is own:
                ahead += reached - level
                continue
            gap = reached - self.level.get(name, 0.0)
            ahead += min(max(gap, 0.0), line.tokens)
        if not any(e.is_usable for e in self.engines.values()):
            return 0.0
        return self.mean_wait_ms + ahead / self.total_rate

    def _read_ms(self, waiting: QueuedRequest) -> float:
        count = sum(1 for e in self.engines.values() if e.is_usable) or 1
        return waiting.cost / (self.total_rate / count)

    def _due_at(self, waiting: QueuedRequest) -> float:
        """Returns when the first token is due.

        A prompt that takes longer to read than its objective allows gets
        the time that it needs.
        """
        ask = waiting.ask
        needs = self._read_ms(waiting) + FIRST_TOKEN_MS + LARGE_SLACK_MS
        return max(ask.aim_at, ask.asked_at + needs)

    def _predict_late(
        self, waiting: QueuedRequest, now: float
    ) -> PlacementRefusal | None:
        if not any(e.is_usable for e in self.engines.values()):
            return None
        ask = waiting.ask
        wait_ms = self.predicted_wait_ms(ask.workspace, ask.aim_at)
        first_ms = wait_ms + self._read_ms(waiting) + FIRST_TOKEN_MS
        slack_ms = self._due_at(waiting) - now - self._read_ms(waiting)
        over_ms = wait_ms + FIRST_TOKEN_MS - slack_ms * UNFIT_MARGIN
        if over_ms <= 0:
            return None
        return refusal(ask.key, wait_ms, first_ms, over_ms)

    def _is_late(self, waiting: QueuedRequest, now: float) -> bool:
        least = min(e.wait_ms for e in self.engines.values() if e.is_usable)
        first_at = now + least + self._read_ms(waiting) + FIRST_TOKEN_MS
        return first_at > self._due_at(waiting)

    def cancel(self, key: str) -> None:
        """The caller of a waiting request has left."""
        self.suspended.pop(key, None)
        self._leave(key)

    def suspend(self, router: str, now: float) -> None:
        """A router has been silent for some time.

        What it was granted may not have been sent, and what it is granted
        now would not be sent soon. Engines that are kept for it stand idle,
        and others are refused for the sake of prompts that nobody reads. So
        its prompts don't count as being read, and its requests wait outside
        of the lines until it is heard again.
        """
        self.end_unsent(router, now)
        for key, waiting in list(self.waiting.items()):
            if waiting.ask.router == router:
                self._leave(key)
                self.suspended[key] = waiting

    def resume(self, router: str) -> None:
        """A router is heard again."""
        for key, waiting in list(self.suspended.items()):
            if waiting.ask.router == router:
                del self.suspended[key]
                # Its old entry may still be in the line's heap, as gone.
                self._enter_line(QueuedRequest(waiting.ask, waiting.cost))

    def _leave(self, key: str) -> None:
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            self.lines[waiting.ask.workspace].leave(waiting)

    def adopt(self, sent: UnbrokeredRequest, now: float) -> None:
        """Counts a request that a router sent without a grant.

        It takes of its workspace's share like any other, or a workspace
        would be ahead of the others by what went past the line.
        """
        engine = self.engines.get(sent.endpoint)
        if engine is None or sent.key in self.flights:
            return
        is_reading = sent.tokens > 0
        flight = InFlightRequest(
            sent.endpoint,
            sent.tokens,
            sent.memory,
            now,
            is_reading,
            sent.router,
        )
        self.add_flight(engine, sent.key, flight)
        cost = service_cost(sent.tokens, sent.output_tokens)
        self._charge(sent.workspace, cost)

    def _charge(self, workspace: str, cost: float) -> None:
        self.level[workspace] = self.level.get(workspace, 0.0) + cost

    # Grants.

    def pump(self, now: float) -> list[PlacementGrant | PlacementRefusal]:
        """Grants as many requests as engines should get now.

        A request that waited until it can't be on time any more, though it
        was predicted to be, gives way: while others wait it is refused.
        """
        if self.late:
            self.end_expected(now)
        told: list[PlacementGrant | PlacementRefusal] = []
        deferred: list[QueuedRequest] = []
        while len(deferred) < MAX_DEFERRED and any(
            e.takes(0.0) for e in self.engines.values()
        ):
            waiting = self._next()
            if waiting is None:
                break
            ask = waiting.ask
            crowded = bool(self.waiting)
            if now >= ask.give_up_at or (
                crowded and self._is_late(waiting, now)
            ):
                wait_ms = self.predicted_wait_ms(ask.workspace)
                told.append(refusal(ask.key, wait_ms, now - ask.asked_at))
                continue
            granted = self._place(ask, now)
            if granted is None:
                deferred.append(waiting)
            else:
                told.append(granted)
        for waiting in deferred:
            self._queue(waiting)
        return told

    def _next(self) -> QueuedRequest | None:
        """Takes the most urgent request of the least served workspace."""
        names = [name for name, line in self.lines.items() if line.heap]
        if not names:
            return None
        name = min(names, key=lambda n: self.level.get(n, 0.0))
        waiting = self.lines[name].pop()
        del self.waiting[waiting.ask.key]
        return waiting

    def _place(
        self, ask: PlacementRequest, now: float
    ) -> PlacementGrant | None:
        """Grants the engine where the request costs least.

        None if that engine has enough to read for now: the request waits
        for it, at most as long as a copy of its parts elsewhere would cost,
        and others go to the engines that are free.
        """
        usable = [
            engine
            for engine in self.engines.values()
            if engine.is_usable and engine.endpoint not in ask.without
        ]
        memory = ask.own_memory
        roomy = [engine for engine in usable if engine.has_room(memory)]
        if not roomy:
            return None
        plan = best_plan(ask, usable, roomy, self.profile)
        engine = plan.engine
        if not engine.takes(memory):
            return None
        flight = InFlightRequest(
            engine.endpoint, plan.tokens, memory, now, router=ask.router
        )
        self.add_flight(engine, ask.key, flight)
        engine.kept.read(ask.parts)
        cost = service_cost(plan.tokens, ask.output_tokens)
        self._charge(ask.workspace, cost)
        return PlacementGrant(
            ask.key, engine.endpoint, plan.fetch_from, plan.tokens
        )

    def overdue(self, now: float) -> list[PlacementRefusal]:
        """Refuses what waits although its caller's time is over."""
        found = [
            waiting.ask
            for waiting in (*self.waiting.values(), *self.suspended.values())
            if now >= waiting.ask.give_up_at
        ]
        for ask in found:
            self.cancel(ask.key)
        return [PlacementRefusal(a.key, 0.0, now - a.asked_at) for a in found]
