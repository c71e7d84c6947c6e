"""A broker's model of one engine, and the estimate of its prefill rate."""

import math

import msgspec

from marjoramyard.coordination.placement.backlog_limit import BacklogLimit
from marjoramyard.coordination.placement.cold_start import ColdStartThrottle
from marjoramyard.coordination.placement.engine_speeds import (
    EngineSpeed,
    PrefillSample,
)
from marjoramyard.coordination.placement.prefix_cache import PrefixCache
from marjoramyard.coordination.placement.prefix_index import PrefixIndex
from marjoramyard.coordination.placement.stream_pace import StreamPace
from marjoramyard.coordination.routing.config import EngineProfile

USABLE_SLOT_FRACTION = 0.95
"""Fraction of an engine's slots to use. The rest is left for requests sent
without a grant that have not been reported to the broker yet."""
USABLE_MEMORY_FRACTION = 0.85
"""Fraction of an engine's memory for requests in flight. An engine that runs
out of memory preempts its newest request and prefills it again."""
RATE_SAMPLE_WEIGHT = 0.2
"""Weight of a new sample in the moving average of the prefill rate."""
MIN_SAMPLE_MS = 120.0
"""Shorter samples are continued, as the latency of reports dominates them."""
MIN_SAMPLE_TOKENS = 500.0
"""Smaller samples are continued. An engine prefills so few tokens in a single
step, so their duration does not depend on its rate."""
LOW_LOAD_FRACTION = 0.5
"""Fraction of an engine's slots up to which its streams hardly slow down the
prefill."""
RELATIVE_RATE_BOUNDS = (0.05, 3.0)
"""Range to which samples and adopted rates are clamped, relative to the initial
rate. What is beyond is an error of the reports."""
FIRST_TOKEN_LATENCY_MS = 25.0
"""Time from the end of a prefill until the first event reaches the caller. A
sample that starts with an idle engine starts that much later, as its end is
also reported with this latency."""


class InFlightRequest(msgspec.Struct):
    """A request that was granted or sent to an engine and has not ended.

    Attributes:
        endpoint: The engine's endpoint.
        prefill_tokens: Prompt tokens that the engine has to prefill.
        memory_tokens: The engine memory that the request occupies, in tokens.
        granted_at: When the request was granted, or reported by its router if
            it was sent without a grant, in ms.
        is_prefilling: Whether the prompt is in the engine's backlog. A prompt
            may be removed from it before its first token is reported.
        router: The router that sends the request (a gateway).
        began_earlier: Whether it was sent before `granted_at`, so that a part
            of the prompt may have been prefilled by then.
        expected_first_token_at: When the first token is expected, in ms.
        is_timed: Whether `granted_at` is when the router was told to send the
            request, and it did so without delay.
        found_few_streams: Whether the engine ran few requests.
    """

    endpoint: str
    prefill_tokens: float
    memory_tokens: float
    granted_at: float
    is_prefilling: bool = True
    router: str = ""
    began_earlier: bool = False
    expected_first_token_at: float = 0.0
    is_timed: bool = True
    found_few_streams: bool = False


class EngineEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What a broker has learnt of an engine, for its successor.

    Attributes:
        endpoint: The engine's endpoint.
        born: When it was started, in ms since the Unix epoch; 0 if unknown.
        rate: Its prefill rate, in tokens per ms.
        ms_per_token: Its time per prefilled token without the latency of
            messages; 0.0 if unknown.
        backlog_ms: Its own limit on the backlog; 0.0 if unknown.
    """

    endpoint: str
    born: int
    rate: float
    ms_per_token: float = 0.0
    backlog_ms: float = 0.0


class Engine:
    """A broker's model of one engine.

    `EnginePool` maintains `running`, `prefilling`, `used_memory_tokens` and
    `is_usable`, and removes the prompts of requests that end before their
    prefill from `prefill_tokens`.

    Attributes:
        endpoint: The engine's endpoint.
        slots: How many requests it runs at the same time.
        memory_tokens: Its memory, in tokens; 0 if unlimited.
        initial_rate: The initial prefill rate, in tokens per ms.
        rate: The estimated prefill rate, in tokens per ms.
        rate_known_at: When the rate was last measured, by this broker or by the
            one from which it was adopted, in ms; -inf if it was not.
        prefix_cache: The prompt parts that it is expected to have cached.
        running: The number of its requests in flight, including those that
            were granted but have not arrived.
        prefilling: Requests with a prompt in the backlog, by key, in order of
            their grants.
        prefill_tokens: The backlog: prompt tokens still to be prefilled.
        used_memory_tokens: Memory occupied by its requests in flight, in
            tokens.
        sample_started_at: When the current sample of the rate began, in ms.
        sample_tokens: Tokens prefilled during the current sample.
        is_sample_valid: Whether the sample has no delayed request or report.
        is_usable: Whether it may get new requests.
        born: When it was started, in ms since the Unix epoch; 0 if unknown.
        throttle: Limits its requests while it is cold.
        is_cold: Whether it was cold at the last `refresh`.
        allowance: How many further requests it may get until then.
        common_limit: The limit on the backlog that all engines share.
        latency_ms: The last known latency; see `record_prefill`.
        speed: How fast it prefills, for comparison with the others.
        reported_at: When its last prefill was reported, in ms; None if it is
            not known how long it has been busy.
        pace: How its long streams do.
        is_told_apart: Whether the engines of the pool clearly differ, so that
            it has its own limit on the backlog.
    """

    def __init__(
        self,
        endpoint: str,
        profile: EngineProfile,
        rate: float,
        cold_limit: int = 0,
        prefix_index: PrefixIndex | None = None,
        backlog_limit: BacklogLimit | None = None,
    ):
        self.endpoint = endpoint
        self.slots = profile.slots
        self.memory_tokens = profile.memory_tokens
        self.initial_rate = rate
        self.rate = rate
        self.rate_known_at = -math.inf
        self.prefix_cache = PrefixCache(
            profile.memory_tokens, endpoint, prefix_index
        )
        self.running = 0
        self.prefilling: dict[str, InFlightRequest] = {}
        self.prefill_tokens = 0.0
        self.used_memory_tokens = 0.0
        self.sample_started_at = 0.0
        self.sample_tokens = 0.0
        self.is_sample_valid = True
        self.is_usable = True
        self.born = 0
        self.throttle = ColdStartThrottle(cold_limit)
        self.is_cold = False
        self.allowance = math.inf
        self.common_limit = backlog_limit or BacklogLimit()
        self.latency_ms = FIRST_TOKEN_LATENCY_MS
        self.is_told_apart = False
        self.forget_learnt()

    def forget_learnt(self) -> None:
        """Forgets what sets the engine apart, as it has restarted."""
        self.speed = EngineSpeed(self.initial_rate)
        self.reported_at: float | None = None
        self.pace = StreamPace(self.common_limit)

    def estimate(self) -> EngineEstimate:
        """Returns what has been learnt of the engine."""
        return EngineEstimate(
            self.endpoint,
            self.born,
            self.rate,
            self.speed.ms_per_token(self.latency_ms),
            self.pace.own_limit_ms,
        )

    def set_initial_rate(self, rate: float) -> None:
        """Sets the initial prefill rate of an engine that was not measured.

        The rate of a measured engine and its bounds stay.

        Args:
            rate: The rate in tokens per ms.
        """
        if self.rate_known_at == -math.inf:
            self.initial_rate = rate
            self.rate = rate

    def forget_rate(self, rate: float) -> None:
        """Returns to the initial rate, as the engine was restarted.

        Args:
            rate: The initial rate in tokens per ms.
        """
        self.rate_known_at = -math.inf
        self.is_sample_valid = False
        self.set_initial_rate(rate)

    def adopt(self, estimate: EngineEstimate) -> None:
        """Takes over what another broker has learnt of the engine."""
        self.rate = self._within_bounds(estimate.rate)
        self.speed.adopted_ms_per_token = estimate.ms_per_token
        self.pace.adopt(estimate.backlog_ms)

    def refresh(self, now: float, grants_cold: bool) -> None:
        """Updates whether the engine is cold and what it may get.

        Args:
            now: The time, in ms.
            grants_cold: Whether cold engines may get requests at all.
        """
        self.is_cold = self.throttle.is_cold(now)
        self.allowance = self.throttle.remaining(now)
        if self.is_cold and not grants_cold:
            self.allowance = 0.0

    @property
    def has_few_streams(self) -> bool:
        """Whether it runs few requests."""
        return self.running <= self.slots * LOW_LOAD_FRACTION

    @property
    def wait_ms(self) -> float:
        """The expected time to prefill the backlog, in ms."""
        return self.prefill_tokens / self.rate

    def accepts(self, memory_tokens: float, max_backlog_ms: float) -> bool:
        """Returns whether a request may be sent to the engine now.

        The engine must have capacity.

        Args:
            memory_tokens: The engine memory that the request needs, in tokens.
            max_backlog_ms: The longest time that its backlog may take; less
                if its own limit is lower.
        """
        if self.is_told_apart:
            max_backlog_ms = min(max_backlog_ms, self.pace.limit_ms)
        return self.wait_ms <= max_backlog_ms and self.has_capacity(
            memory_tokens
        )

    def has_capacity(self, memory_tokens: float) -> bool:
        """Returns whether the engine is usable and has a slot and memory free.

        A cold engine must also have an allowance left.

        The backlog is not considered. An engine without requests in flight has
        capacity for any request, so that a request larger than the usable
        memory can run.

        Args:
            memory_tokens: The engine memory that the request needs, in tokens.
        """
        if not self.is_usable or self.allowance < 1.0:
            return False
        if self.running >= max(1.0, self.slots * USABLE_SLOT_FRACTION):
            return False
        if not self.memory_tokens or not self.running:
            return True
        return (
            self.used_memory_tokens + memory_tokens
            <= self.memory_tokens * USABLE_MEMORY_FRACTION
        )

    def add_prefill(
        self, tokens: float, now: float, is_timely: bool = True
    ) -> None:
        """Adds a prompt to the backlog.

        Args:
            tokens: Prompt tokens to prefill.
            now: When the request was granted or reported, in ms.
            is_timely: Whether the router sends the request at this time; False
                if it is lagging, or has sent it before.
        """
        if self.prefill_tokens <= 0:
            self._start_sample(now + FIRST_TOKEN_LATENCY_MS)
        self.is_sample_valid = self.is_sample_valid and is_timely
        self.prefill_tokens += tokens

    def _start_sample(self, started_at: float) -> None:
        self.sample_started_at = started_at
        self.sample_tokens = 0.0
        self.is_sample_valid = True

    def finish_prefill(
        self, tokens: float, now: float, is_timely: bool = True
    ) -> None:
        """Removes a prompt from the backlog, and updates the rate.

        A sample of the rate spans several prompts in a row, so that the latency
        of reports counts once and not for each prompt. Samples with a delayed
        request or report are discarded.

        Args:
            tokens: Prompt tokens that were prefilled.
            now: When the report arrived, in ms.
            is_timely: Whether the report arrived without delay; False if the
                router is lagging, or if there was no report.
        """
        self.prefill_tokens = max(0.0, self.prefill_tokens - tokens)
        self.sample_tokens += tokens
        if not is_timely:
            self.is_sample_valid = False
            return
        elapsed_ms = now - self.sample_started_at
        if elapsed_ms < MIN_SAMPLE_MS or self.sample_tokens < MIN_SAMPLE_TOKENS:
            return
        is_valid = self.is_sample_valid
        rate = self.sample_tokens / elapsed_ms
        self._start_sample(now)
        if is_valid:
            self._update_rate(rate)
            self.rate_known_at = now

    def record_prefill(
        self, request: InFlightRequest, now: float, latency_ms: float
    ) -> None:
        """Records the time of a prefill, for comparison of the engines.

        Args:
            request: The request.
            now: When the report arrived, in ms.
            latency_ms: Time from the end of a prefill until its report, and
                from a grant until its prefill can begin, together.
        """
        self.latency_ms = latency_ms
        tokens = request.prefill_tokens
        can_start_at = request.granted_at + latency_ms
        previous, self.reported_at = self.reported_at, now
        if request.found_few_streams and previous is not None:
            found_idle = previous <= can_start_at
            began_at = request.granted_at if found_idle else previous
            self.speed.record(
                PrefillSample(now, tokens, now - began_at, found_idle)
            )

    def _update_rate(self, sample: float) -> None:
        sample = self._within_bounds(sample)
        self.rate += RATE_SAMPLE_WEIGHT * (sample - self.rate)

    def _within_bounds(self, rate: float) -> float:
        low, high = RELATIVE_RATE_BOUNDS
        rate = max(rate, low * self.initial_rate)
        return min(rate, high * self.initial_rate)
