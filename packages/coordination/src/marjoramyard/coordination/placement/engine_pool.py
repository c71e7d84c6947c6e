"""The engines of one service and their requests in flight."""

import math
from collections.abc import Iterable

from marjoramyard.coordination.placement.backlog_limit import BacklogLimit
from marjoramyard.coordination.placement.engine_speeds import SpeedComparison
from marjoramyard.coordination.placement.engines import (
    FIRST_TOKEN_LATENCY_MS,
    Engine,
    InFlightRequest,
)
from marjoramyard.coordination.placement.pool_load import PoolLoad
from marjoramyard.coordination.placement.prefix_index import PrefixIndex
from marjoramyard.coordination.placement.router_pauses import RouterPauses
from marjoramyard.coordination.routing.config import EngineProfile
from marjoramyard.coordination.routing.table import PromptPart

ORDER_TOLERANCE_MS = 150.0
"""Prompts granted further apart than this are assumed to be prefilled in
order. Others may reach the engine in any order. A router that needs longer to
send a request is short of processor."""


class EnginePool:
    """The engines of one service and their requests in flight.

    All times are in ms of one clock.

    Attributes:
        profile: The properties shared by all engines.
        rate: The initial prefill rate of an engine, in tokens per ms.
        engines: The engines, by endpoint.
        in_flight: Requests that engines have, by key.
        lagging_routers: Routers that send requests and reports with delay.
        backlog_limit: The limit on the backlog of each engine.
        cold_limit: Requests per window that a cold engine may get; 0 for no
            limit.
        cold_grants_from: When cold engines may get requests.
        cold: Engines that may be cold.
        prefix_index: The engines of each cached prompt part.
        load: The load of all engines together.
        pauses: The pauses that engines have asked routers for.
        speeds: Compares the speeds of the engines.
        is_uneven: Whether the engines clearly differ in speed.
    """

    def __init__(
        self, profile: EngineProfile, rate: float, cold_limit: int = 0
    ):
        self.profile = profile
        self.rate = rate
        self.cold_limit = cold_limit
        self.cold_grants_from = -math.inf
        self.engines: dict[str, Engine] = {}
        self.in_flight: dict[str, InFlightRequest] = {}
        self.lagging_routers: set[str] = set()
        self.backlog_limit = BacklogLimit()
        self.prefix_index = PrefixIndex()
        self.cold: set[str] = set()
        self.pauses = RouterPauses()
        self.load = PoolLoad(self.engines, self.pauses)
        self.speeds = SpeedComparison(FIRST_TOKEN_LATENCY_MS)
        self.is_uneven = False

    def set_engines(self, usable: Iterable[str]) -> None:
        """Sets the endpoints that may get new requests.

        Others are removed once they have no request in flight.
        """
        names = dict.fromkeys(usable)
        for name in names:
            if name not in self.engines:
                self.engines[name] = Engine(
                    name,
                    self.profile,
                    self.rate,
                    self.cold_limit,
                    self.prefix_index,
                    self.backlog_limit,
                )
                self.engines[name].is_told_apart = self.is_uneven
        for name, engine in list(self.engines.items()):
            engine.is_usable = name in names
            if not engine.is_usable and not engine.running:
                engine.prefix_cache.clear()
                del self.engines[name]
        self.load.forget()

    def set_initial_rate(self, rate: float) -> None:
        """Sets the rate of engines that have not been measured.

        Args:
            rate: The prefill rate of an engine, in tokens per ms.
        """
        self.rate = rate
        for engine in self.engines.values():
            engine.set_initial_rate(rate)
        self.load.forget()

    def set_lifetime(self, endpoint: str, born: int) -> None:
        """Sets when an engine was started, in ms since the Unix epoch.

        A restart empties its cache, and what has been learnt of its speed and
        its streams no longer holds. It returns to the initial rate.
        """
        engine = self.engines.get(endpoint)
        if engine is None or engine.born == born:
            return
        if engine.born:
            engine.prefix_cache.clear()
            engine.forget_rate(self.rate)
            engine.forget_learnt()
            self.pauses.forget_endpoint(endpoint)
            self.load.forget()
        engine.born = born

    def set_cold_limit(self, limit: int) -> None:
        """Sets how many requests per window a cold engine may get.

        Args:
            limit: The limit; 0 for none.
        """
        if limit == self.cold_limit:
            return
        self.cold_limit = limit
        for engine in self.engines.values():
            engine.throttle.limit = limit
            engine.refresh(-math.inf, True)
            self.cold.add(engine.endpoint)
        self.load.forget()

    def set_cold_until(self, endpoint: str, until: float) -> None:
        """Sets when an engine is no longer cold."""
        engine = self.engines.get(endpoint)
        if engine is not None:
            engine.throttle.cold_until = until
            self.cold.add(endpoint)

    def set_router_count(self, count: int) -> None:
        """Sets how many routers send requests to the engines."""
        if count != self.load.router_count:
            self.load.router_count = max(1, count)
            self.load.forget()

    def pause(self, router: str, endpoint: str, until: float) -> None:
        """Excludes an engine from the choices for a router.

        Args:
            router: The router that the engine has asked for a pause.
            endpoint: The engine's endpoint.
            until: When the pause ends.
        """
        self.pauses.record(router, endpoint, until)
        self.load.forget()

    def forget_pauses(self, router: str) -> None:
        """Ends the pauses of a router that has disconnected."""
        if self.pauses.of(router):
            self.pauses.forget_router(router)
            self.load.forget()

    def end_pauses(self, now: float) -> None:
        """Ends the pauses whose time is over."""
        if self.pauses.by_endpoint and self.pauses.expire(now):
            self.load.forget()

    def refresh_cold(self, now: float) -> None:
        """Updates which engines are cold and what they may get now."""
        if not self.cold_limit:
            return
        grants_cold = now >= self.cold_grants_from
        for endpoint in list(self.cold):
            engine = self.engines.get(endpoint)
            if engine is None:
                self.cold.discard(endpoint)
                continue
            was_cold = engine.is_cold
            engine.refresh(now, grants_cold)
            if engine.is_cold != was_cold:
                self.load.forget()
            if not engine.is_cold:
                self.cold.discard(endpoint)

    @property
    def total_prefill_rate(self) -> float:
        """The prefill rate of all serving engines together, in tokens per ms.

        1.0 if there are none.
        """
        return self.load.current().total_rate or 1.0

    @property
    def mean_wait_ms(self) -> float:
        """The mean time until a serving engine could start a new prefill.

        0.0 if there are none.
        """
        return self.load.current().mean_wait_ms

    @property
    def least_wait_ms(self) -> float:
        """The wait of the least loaded engine; 0.0 if there are none."""
        lightest = self.load.current().lightest
        return min((engine.wait_ms for engine in lightest), default=0.0)

    @property
    def serving_count(self) -> float:
        """The number of serving engines.

        Fewer while engines have asked routers for a pause.
        """
        return self.load.current().count

    def record_first_token(
        self, key: str, now: float, is_timely: bool = True
    ) -> None:
        """Records that a request's first token arrived.

        Its prompt has been prefilled, and so have those granted clearly
        earlier at the same engine.

        Args:
            key: The request.
            now: When the report arrived.
            is_timely: Whether the router is not lagging, so that the report
                may be used to estimate the engine's rate.
        """
        request = self.in_flight.get(key)
        if request is None or not request.is_prefilling:
            return
        engine = self.engines.get(request.endpoint)
        if engine is None:
            request.is_prefilling = False
            return
        self._finish_earlier_prefills(engine, request, now)
        engine.prefilling.pop(key, None)
        request.is_prefilling = False
        engine.finish_prefill(request.prefill_tokens, now, is_timely)
        self._record_prefill(engine, request, now, is_timely)
        self.load.record_change()

    def _record_prefill(
        self,
        engine: Engine,
        request: InFlightRequest,
        now: float,
        is_timely: bool,
    ) -> None:
        if not is_timely or not request.is_timed:
            engine.reported_at = None
            return
        engine.record_prefill(request, now, self.speeds.latency.ms)
        self._compare_speeds(now)

    def _compare_speeds(self, now: float) -> None:
        usable = [e.speed for e in self.engines.values() if e.is_usable]
        if self.speeds.update(usable, now):
            self.set_uneven(self.speeds.is_uneven)

    def set_uneven(self, is_uneven: bool) -> None:
        """Sets whether the engines clearly differ in speed."""
        self.is_uneven = is_uneven
        for engine in self.engines.values():
            engine.is_told_apart = is_uneven

    def _finish_earlier_prefills(
        self, engine: Engine, latest: InFlightRequest, now: float
    ) -> None:
        """Marks prompts as prefilled that were granted before `latest`.

        Engines prefill in order of arrival, so a report still missing for an
        earlier prompt is only delayed at its router. Without this, the
        engine would get no new requests until the report arrives.
        """
        limit = latest.granted_at - ORDER_TOLERANCE_MS
        for key, request in list(engine.prefilling.items()):
            if request.granted_at >= limit:
                break
            self._mark_prefilled(engine, key, request, now)

    def _mark_prefilled(
        self, engine: Engine, key: str, request: InFlightRequest, now: float
    ) -> None:
        del engine.prefilling[key]
        request.is_prefilling = False
        engine.finish_prefill(request.prefill_tokens, now, False)
        engine.reported_at = None
        self.load.record_change()

    def finish(self, key: str) -> None:
        """Removes a request that is no longer at its engine.

        Unknown requests are ignored.
        """
        request = self.in_flight.pop(key, None)
        engine = self.engines.get(request.endpoint) if request else None
        if engine is None:
            return
        engine.prefilling.pop(key, None)
        self.load.record_change()
        engine.running -= 1
        engine.used_memory_tokens -= request.memory_tokens
        if request.is_prefilling:
            engine.reported_at = None
            engine.prefill_tokens = max(
                0.0, engine.prefill_tokens - request.prefill_tokens
            )

    def add_cached(self, endpoint: str, parts: Iterable[PromptPart]) -> None:
        """Adds prompt parts that a router has recently sent to an engine.

        Unknown engines are ignored.
        """
        engine = self.engines.get(endpoint)
        if engine is not None:
            engine.prefix_cache.add(parts)

    def record_longest_gap(self, key: str, ratio: float) -> None:
        """Records the longest gap of a stream that has ended.

        Args:
            key: The request; it must not have been removed yet.
            ratio: See `BacklogLimit.record_longest_gap`.
        """
        self.backlog_limit.record_longest_gap(ratio)
        request = self.in_flight.get(key)
        engine = self.engines.get(request.endpoint) if request else None
        if engine is not None:
            engine.pace.record(ratio, self.speeds.latency.ms)

    def backlog_limit_range(self) -> tuple[float, float]:
        """Returns the lowest and the highest limit of an engine, in ms."""
        if not self.is_uneven or not self.engines:
            return self.backlog_limit.limit_ms, self.backlog_limit.limit_ms
        limits = [e.pace.limit_ms for e in self.engines.values()]
        return min(limits), max(limits)

    def set_lagging(self, router: str, is_lagging: bool) -> None:
        """Sets whether a router is short of processor time.

        A lagging router sends granted requests and reports of first tokens
        with delay. Its prompts count as prefilled when they are expected to
        be, without a report, so that engines don't idle meanwhile.
        """
        if is_lagging:
            self.lagging_routers.add(router)
        else:
            self.lagging_routers.discard(router)

    def finish_expected_prefills(self, now: float) -> None:
        """Marks prompts of lagging routers as prefilled when expected."""
        for engine in self.engines.values():
            for key, request in list(engine.prefilling.items()):
                if (
                    request.router in self.lagging_routers
                    and now >= request.expected_first_token_at
                ):
                    self._mark_prefilled(engine, key, request, now)

    def finish_prefills_of(self, router: str, now: float) -> None:
        """Marks all prompts of a router as prefilled.

        For an unresponsive router, which may not have sent them at all.
        """
        for engine in self.engines.values():
            for key, request in list(engine.prefilling.items()):
                if request.router == router:
                    self._mark_prefilled(engine, key, request, now)

    def add_in_flight(
        self, engine: Engine, key: str, request: InFlightRequest
    ) -> None:
        """Adds a request that is being sent to an engine."""
        self.in_flight[key] = request
        self.load.record_change()
        if request.is_prefilling:
            engine.prefilling[key] = request
        engine.running += 1
        engine.throttle.record(request.granted_at)
        engine.allowance -= 1.0
        engine.used_memory_tokens += request.memory_tokens
        is_timely = request.router not in self.lagging_routers
        request.is_timed = request.is_timed and is_timely
        request.found_few_streams = engine.has_few_streams
        engine.add_prefill(
            request.prefill_tokens,
            request.granted_at,
            is_timely and not request.began_earlier,
        )
        request.expected_first_token_at = (
            request.granted_at + engine.wait_ms + FIRST_TOKEN_LATENCY_MS
        )
        engine.prefix_cache.evict_to(
            engine.memory_tokens - engine.used_memory_tokens
        )
