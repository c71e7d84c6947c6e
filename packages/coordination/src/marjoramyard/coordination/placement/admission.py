"""Admission of one service's requests by the wait that they would have.

While engines are alike, that is the mean wait of all of them. If they differ
in speed, some have long waits while others are idle, and it is the wait of the
engine that a request would get.
"""

import math
from itertools import islice

from marjoramyard.coordination.placement.engines import (
    FIRST_TOKEN_LATENCY_MS,
    Engine,
)
from marjoramyard.coordination.placement.fair_queues import FairQueues
from marjoramyard.coordination.placement.plans import Plan, best_plan
from marjoramyard.coordination.placement.request_queue import QueuedRequest
from marjoramyard.coordination.placement.requests import (
    PlacementRefusal,
    PlacementRequest,
    refusal,
)
from marjoramyard.coordination.placement.size_shares import SizeShares
from marjoramyard.coordination.placement.wait_forecast import (
    WaitForecast,
    forecast_at,
    soonest,
)
from marjoramyard.coordination.routing.config import EngineProfile

MAX_WAIT_FRACTION = 0.8
"""Fraction of the time available for waiting that the predicted wait may
take. The rest covers errors of the prediction: under overload, waits are
close to the limit."""
LARGE_PROMPT_SLACK_MS = 300.0
"""Permitted wait of a prompt whose prefill alone exceeds its objective.
Without it, the largest prompts would always be refused."""
LARGE_PROMPT_SHARE = 0.25
"""Prompts whose prefill takes more than this share of their objective are
large."""
MAX_HOLDERS = 32
"""Of those that have a prefix, how many are compared in a large pool."""


class Admission(FairQueues):
    """Decides which requests of one service are queued.

    All times are in ms of one clock.

    Attributes:
        size_shares: How many large prompts, and how many of all, are served.
    """

    def __init__(
        self, profile: EngineProfile, rate: float, cold_limit: int = 0
    ):
        super().__init__(profile, rate, cold_limit)
        self.size_shares = SizeShares()

    def predicted_wait_ms(
        self, workspace: str, order: tuple[bool, float] = (True, math.inf)
    ) -> float:
        """Returns the predicted wait of a new request until its prefill.

        Ahead of it are requests of its own workspace that come no later in the
        order of service, and requests of other workspaces until their virtual
        time reaches the one at which the new request will be served.

        Args:
            workspace: The workspace of the request.
            order: The `QueuedRequest.order` of the request.

        Returns:
            The wait in ms; 0.0 if no engine is usable.
        """
        if not self.serving_count:
            return 0.0
        ahead = self._tokens_ahead(workspace, order)
        return self.mean_wait_ms + ahead / self.total_prefill_rate

    def _tokens_ahead(self, workspace: str, order: tuple[bool, float]) -> float:
        """Returns the tokens to prefill that are served before a request."""
        own = self.queues.get(workspace)
        start = self.virtual_time.get(workspace, 0.0)
        reached = start + (own.tokens_before(order) if own else 0.0)
        ahead = 0.0
        for name, queue in self.queues.items():
            if not queue.heap:
                continue
            if queue is own:
                ahead += reached - start
                continue
            gap = reached - self.virtual_time.get(name, 0.0)
            ahead += min(max(gap, 0.0), queue.tokens)
        return ahead

    def _prefill_ms(self, queued: QueuedRequest) -> float:
        count = self.serving_count or 1
        return queued.cost / (self.total_prefill_rate / count)

    def _is_large(self, queued: QueuedRequest) -> bool:
        request = queued.request
        allowed_ms = request.first_token_due_at - request.submitted_at
        return self._prefill_ms(queued) > LARGE_PROMPT_SHARE * allowed_ms

    def _due_at(self, queued: QueuedRequest) -> float:
        """Returns when the first token is due.

        A prompt whose prefill alone exceeds its objective gets the time that
        it needs at an average engine, and some slack. While too few large
        prompts are served, each of them may wait as long as a small one.
        """
        request = queued.request
        slack_ms = LARGE_PROMPT_SLACK_MS
        if queued.is_large and self.size_shares.is_large_behind():
            slack_ms = request.first_token_due_at - request.submitted_at
        prefill_ms = self._prefill_ms(queued)
        needed_ms = prefill_ms + FIRST_TOKEN_LATENCY_MS + slack_ms
        return max(request.first_token_due_at, request.submitted_at + needed_ms)

    def _refuse_if_late(
        self, queued: QueuedRequest, now: float
    ) -> PlacementRefusal | None:
        if not self.serving_count:
            return None
        forecast = self._forecast(queued)
        over_ms = self._over_ms(queued, forecast, now)
        if over_ms <= 0:
            return None
        return refusal(
            queued.request.key,
            forecast.wait_ms,
            forecast.first_token_ms,
            min(over_ms, forecast.level_ms),
        )

    def _over_ms(
        self, queued: QueuedRequest, forecast: WaitForecast, now: float
    ) -> float:
        """Returns by how much a forecast exceeds the permitted wait."""
        slack_ms = self._due_at(queued) - now - forecast.prefill_ms
        return (
            forecast.wait_ms
            + FIRST_TOKEN_LATENCY_MS
            - slack_ms * MAX_WAIT_FRACTION
        )

    def _forecast(self, queued: QueuedRequest) -> WaitForecast:
        """Returns the forecast of a new request.

        The mean over engines that differ in speed says little: some have long
        waits while others are idle.
        """
        request = queued.request
        if self.is_uneven:
            ahead = self._tokens_ahead(request.workspace, queued.order)
            level_ms = self.load.level_ms(ahead)
            plan = self._likely_plan(queued, level_ms)
            if plan is not None:
                return forecast_at(
                    plan.engine, plan.prefill_tokens, level_ms, plan.fetch_ms
                )
        wait_ms = self.predicted_wait_ms(request.workspace, queued.order)
        return WaitForecast(wait_ms, self._prefill_ms(queued))

    def _likely_plan(
        self, queued: QueuedRequest, level_ms: float
    ) -> Plan | None:
        """Returns the plan that a request will probably be granted.

        Its engine is one that has the longest cached prefix, or the one that
        is done first of all.

        Args:
            queued: The request.
            level_ms: The wait to which prompts ahead raise shorter ones.

        Returns:
            The plan, or None if no engine has capacity.
        """
        request = queued.request
        _, names = self.prefix_index.longest_prefix(request.parts[:-1])
        holders = [self.engines[name] for name in islice(names, MAX_HOLDERS)]
        lightest = self.load.current().lightest
        best = self._soonest(request, lightest, request.prompt_tokens, level_ms)
        if best is None:
            return None
        compared = [best]
        holder = self._soonest(request, holders, queued.cost, level_ms)
        if holder not in (None, best):
            compared.append(holder)
        sources = [
            engine
            for engine in holders
            if engine.is_usable and self._may_use(request, engine.endpoint)
        ]
        return best_plan(
            request,
            compared + sources[:1],
            compared,
            self.profile,
            lambda: [engine.endpoint for engine in compared],
            level_ms,
        )

    def _soonest(
        self,
        request: PlacementRequest,
        engines: list[Engine],
        prefill_tokens: float,
        level_ms: float,
    ) -> Engine | None:
        """Returns the engine with capacity that would be done first."""
        if not engines:
            return None
        best = soonest(engines, prefill_tokens, level_ms)
        if self._could_have(request, best):
            return best
        others = [
            engine for engine in engines if self._could_have(request, engine)
        ]
        return soonest(others, prefill_tokens, level_ms) if others else None

    def _could_have(self, request: PlacementRequest, engine: Engine) -> bool:
        """Returns whether an engine has capacity for a request."""
        return engine.has_capacity(request.own_memory_tokens) and self._may_use(
            request, engine.endpoint
        )

    def _is_late(self, queued: QueuedRequest, now: float) -> bool:
        """Returns whether even the best engine would be too late."""
        if self.is_uneven:
            first = forecast_at(self.load.current().lightest[0], queued.cost)
            if not self._misses(queued, first, now):
                return False
        return self._misses(queued, self._earliest_forecast(queued), now)

    def _misses(
        self, queued: QueuedRequest, forecast: WaitForecast, now: float
    ) -> bool:
        """Returns whether a request is late if a forecast comes true."""
        first_token_at = now + forecast.first_token_ms
        return first_token_at > self._due_at(queued)

    def _earliest_forecast(self, queued: QueuedRequest) -> WaitForecast:
        """Returns the forecast of the request that is served next."""
        if not self.is_uneven:
            return WaitForecast(self.least_wait_ms, self._prefill_ms(queued))
        lightest = self.load.current().lightest
        return forecast_at(soonest(lightest, queued.cost), queued.cost)

    def _may_use(self, request: PlacementRequest, endpoint: str) -> bool:
        return (
            endpoint not in request.excluded_endpoints
            and endpoint not in self.pauses.of(request.router)
        )
