"""Admission control and scheduling of one service's requests.

A broker receives the requests of all routers and learns when each of them
ends, so it knows the load of every engine, which routers on their own could
only estimate. Its state is not stored: if a broker is lost, routers place
requests by their own estimates, and report what is in flight to its
successor. A few of them hand it what the broker had learnt.

An engine serves its own queue first come, first served, so under overload
all of its responses would be late. The broker therefore queues requests
itself. Engines get only as much as keeps them busy, workspaces are served by
fair queueing, and requests that can't meet their objective are refused on
arrival.
"""

import math
from collections.abc import Iterable
from functools import partial
from itertools import islice

from marjoramyard.coordination.placement.admission import (
    MAX_HOLDERS,
    Admission,
)
from marjoramyard.coordination.placement.backlog_limit import (
    longest_for_queue,
)
from marjoramyard.coordination.placement.engines import Engine, InFlightRequest
from marjoramyard.coordination.placement.plans import best_plan
from marjoramyard.coordination.placement.request_queue import (
    QueuedRequest,
)
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
    UnbrokeredRequest,
    refusal,
    service_cost,
)
from marjoramyard.coordination.placement.wait_forecast import (
    forecast_at,
    soonest,
)
from marjoramyard.coordination.routing.config import EngineProfile

MAX_DEFERRED = 4
"""The maximum number of requests deferred in one round of dispatching. Each
of them costs an evaluation of all engines. Requests behind them wait for the
next end of a prefill, some ms later."""
REVIEW_MS = 100.0
"""Time between two reviews of the queue. Engines may come and go with each
request, and a review evaluates all queued ones."""


class Broker(Admission):
    """Queues, admits and places the requests of one service.

    All times are in ms of one clock.

    Attributes:
        has_lost_engines: Whether engines were lost since the queue was last
            reviewed.
        reviewed_at: When the queue was last reviewed.
        refused_after_loss: How many queued requests were refused because
            engines were lost.
    """

    def __init__(
        self, profile: EngineProfile, rate: float, cold_limit: int = 0
    ):
        super().__init__(profile, rate, cold_limit)
        self.has_lost_engines = False
        self.reviewed_at = -math.inf
        self.refused_after_loss = 0

    def set_engines(self, usable: Iterable[str]) -> None:
        """Sets the endpoints that may get new requests."""
        names = list(usable)
        kept = set(names)
        self.has_lost_engines |= any(
            engine.is_usable and engine.endpoint not in kept
            for engine in self.engines.values()
        )
        super().set_engines(names)

    def counts(self) -> dict[str, int]:
        """Returns the number of requests in each state.

        The states are `waiting` (queued), `reading` (sent, prompt not
        prefilled yet) and `running`.
        """
        prefilling = sum(1 for r in self.in_flight.values() if r.is_prefilling)
        return {
            "waiting": len(self.queued),
            "reading": prefilling,
            "running": len(self.in_flight) - prefilling,
        }

    # Requests.

    def submit(
        self, request: PlacementRequest, now: float
    ) -> PlacementRefusal | None:
        """Queues a request, or refuses it if it would miss its objective.

        Returns:
            The refusal, or None if the request was queued. The result of a
            queued request is returned by `dispatch` or `expire`.
        """
        self.refresh_cold(now)
        self.end_pauses(now)
        queued = QueuedRequest(request, self._cost(request))
        queued.is_large = self._is_large(queued)
        # An overdue request can't be on time any more, and must not make others
        # late. But a large prompt is refused first for its length, and gets as
        # good a second chance as the first one.
        queued.comes_last = request.is_overdue and not queued.is_large
        if not request.is_overdue:
            self.size_shares.record_arrival(queued.is_large, now)
        refused = self._refuse_if_late(queued, now)
        if refused is not None:
            return refused
        self.enqueue_new(queued)
        return None

    def _cost(self, request: PlacementRequest) -> float:
        """Returns the prompt tokens that are likely to be prefilled."""
        cached, _ = self.prefix_index.longest_prefix(request.parts)
        return max(1.0, request.prompt_tokens - cached)

    def add_unbrokered(self, sent: UnbrokeredRequest, now: float) -> None:
        """Adds a request that a router sent without a grant.

        Its workspace is charged as for a granted request, unless a predecessor
        has done so. A request that is known already or is at an unknown engine
        is ignored.
        """
        engine = self.engines.get(sent.endpoint)
        if engine is None or sent.key in self.in_flight:
            return
        is_prefilling = sent.prefill_tokens > 0
        in_flight = InFlightRequest(
            sent.endpoint,
            sent.prefill_tokens,
            sent.memory_tokens,
            now,
            is_prefilling,
            sent.router,
            began_earlier=sent.age_ms > 0,
            is_timed=False,
        )
        self.add_in_flight(engine, sent.key, in_flight)
        cost = service_cost(sent.prefill_tokens, sent.output_tokens)
        self.charge_reported(sent.workspace, cost, now - sent.age_ms)

    # Grants.

    def dispatch(self, now: float) -> list[PlacementGrant | PlacementRefusal]:
        """Grants queued requests to engines that accept more work.

        A request that can no longer meet its objective is refused if others
        are queued, and so is one whose deadline has passed.

        Returns:
            The grants and refusals, in order of service.
        """
        self.refresh_cold(now)
        self.end_pauses(now)
        if self.lagging_routers:
            self.finish_expected_prefills(now)
        max_backlog_ms = self._max_backlog_ms()
        results: list[PlacementGrant | PlacementRefusal] = []
        deferred: list[QueuedRequest] = []
        while len(deferred) < MAX_DEFERRED and any(
            e.accepts(0.0, max_backlog_ms) for e in self.load.current().lightest
        ):
            queued = self.pop_next()
            if queued is None:
                break
            request = queued.request
            others_queued = bool(self.queued)
            if now >= request.deadline_at or (
                others_queued and self._is_late(queued, now)
            ):
                wait_ms = self.predicted_wait_ms(request.workspace)
                results.append(
                    refusal(request.key, wait_ms, now - request.submitted_at)
                )
                continue
            decision = self._place(request, now, max_backlog_ms)
            if decision is None:
                deferred.append(queued)
                continue
            if isinstance(decision, PlacementGrant):
                self.size_shares.record_grant(queued.is_large, now)
            results.append(decision)
        for queued in deferred:
            self.enqueue(queued)
        return results

    def _max_backlog_ms(self) -> float:
        queued_tokens = sum(queue.tokens for queue in self.queues.values())
        queue_ms = queued_tokens / self.total_prefill_rate
        if self.is_uneven:
            # Each engine has its own limit in addition.
            return longest_for_queue(queue_ms)
        return self.backlog_limit.for_queue(queue_ms)

    def _place(
        self, request: PlacementRequest, now: float, max_backlog_ms: float
    ) -> PlacementGrant | PlacementRefusal | None:
        """Grants the engine with the lowest cost.

        Args:
            request: The request.
            now: The time.
            max_backlog_ms: The limit on the backlog of its engine.

        Returns:
            The grant, or None if no engine has capacity or if the cheapest
            one has reached its maximum backlog. Waiting for it then costs
            less than using another engine. A refusal if the router may send
            the request to no engine.
        """
        usable = self._candidates(request)
        if not usable and not self._usable_endpoints(request):
            return self._refuse_unplaceable(request, now)
        memory_tokens = request.own_memory_tokens
        available = [
            engine for engine in usable if engine.has_capacity(memory_tokens)
        ]
        if not available:
            return None
        plan = best_plan(
            request,
            usable,
            available,
            self.profile,
            partial(self._usable_endpoints, request),
        )
        engine = plan.engine
        if not engine.accepts(memory_tokens, max_backlog_ms):
            return None
        in_flight = InFlightRequest(
            engine.endpoint,
            plan.prefill_tokens,
            memory_tokens,
            now,
            router=request.router,
        )
        self.add_in_flight(engine, request.key, in_flight)
        engine.prefix_cache.add(request.parts)
        cost = service_cost(plan.prefill_tokens, request.output_tokens)
        self.charge(request.workspace, cost)
        return PlacementGrant(
            request.key,
            engine.endpoint,
            plan.fetch_from,
            plan.prefill_tokens,
            engine.is_cold,
        )

    def _refuse_unplaceable(
        self, request: PlacementRequest, now: float
    ) -> PlacementRefusal:
        router = request.router
        ends = [
            self.pauses.ends_at(router, endpoint)
            for endpoint in self.pauses.of(router)
        ]
        pause_ms = min(ends, default=now) - now
        return refusal(request.key, pause_ms, now - request.submitted_at)

    def _candidates(self, request: PlacementRequest) -> list[Engine]:
        """Returns the engines among which the cheapest one probably is.

        In a small pool these are all usable ones, in a large one the least
        loaded and those with the longest cached prefix.
        """
        lightest = self.load.current().lightest
        found = {e.endpoint: e for e in lightest}
        _, holders = self.prefix_index.longest_prefix(request.parts[:-1])
        found |= {
            name: self.engines[name] for name in islice(holders, MAX_HOLDERS)
        }
        return [
            engine
            for engine in found.values()
            if engine.is_usable and self._may_use(request, engine.endpoint)
        ]

    def _usable_endpoints(self, request: PlacementRequest) -> list[str]:
        return [
            engine.endpoint
            for engine in self.engines.values()
            if engine.is_usable and self._may_use(request, engine.endpoint)
        ]

    def expire(self, now: float) -> list[PlacementRefusal]:
        """Removes and refuses queued requests that waited in vain.

        Their deadline has passed, or engines were lost and they can't be on
        time any more.
        """
        expired = [
            queued.request
            for queued in (*self.queued.values(), *self.suspended.values())
            if now >= queued.request.deadline_at
        ]
        for request in expired:
            self.cancel(request.key)
        refusals = [
            PlacementRefusal(r.key, 0.0, now - r.submitted_at) for r in expired
        ]
        if self.has_lost_engines and now >= self.reviewed_at + REVIEW_MS:
            refusals += self._review_queue(now)
        return refusals

    def _review_queue(self, now: float) -> list[PlacementRefusal]:
        """Refuses the queued requests that can't be on time any more.

        A request is kept if no others are queued.
        """
        lightest = self.load.current().lightest
        if not lightest:
            return []
        self.has_lost_engines = False
        self.reviewed_at = now
        if not self.is_uneven:
            return []
        refusals = []
        ahead = 0.0
        best = lightest[0]
        for queued in self.service_order():
            level_ms = self.load.level_ms(ahead)
            forecast = forecast_at(best, queued.cost, level_ms)
            if self._misses(queued, forecast, now):
                best = soonest(lightest, queued.cost, level_ms)
                forecast = forecast_at(best, queued.cost, level_ms)
            if len(self.queued) == 1 or not self._misses(queued, forecast, now):
                ahead += queued.cost
                continue
            request = queued.request
            self.cancel(request.key)
            waited_ms = now - request.submitted_at
            refusals.append(refusal(request.key, forecast.wait_ms, waited_ms))
        self.refused_after_loss += len(refusals)
        return refusals
