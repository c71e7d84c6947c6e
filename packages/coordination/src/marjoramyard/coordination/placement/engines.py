"""A broker's view of one engine, and the estimate of its prefill rate."""

import msgspec

from marjoramyard.coordination.placement.prefix_cache import PrefixCache
from marjoramyard.coordination.routing.config import EngineProfile

MAX_BACKLOG_MS = 60.0
"""Expected prefill time up to which an engine gets further requests. It covers
the delay between a first token and the arrival of the next request. Further
requests stay in the broker's queue, where they can still be reordered."""
USABLE_SLOT_FRACTION = 0.95
"""Fraction of an engine's slots to use; the rest covers reports in transit."""
USABLE_MEMORY_FRACTION = 0.85
"""Fraction of an engine's memory for running requests. An engine that runs
out of memory preempts its newest request and prefills it again."""
RATE_SMOOTHING = 0.2
"""Weight of a new sample in the moving average of the prefill rate."""
MIN_SAMPLE_MS = 120.0
"""Shorter samples are dominated by the latency of reports."""
MIN_SAMPLE_TOKENS = 500.0
"""Fewer tokens fit into a single step of the engine at any rate."""
RELATIVE_RATE_BOUNDS = (0.05, 3.0)
"""Plausible range of a sampled rate, relative to the configured rate."""
FIRST_TOKEN_LATENCY_MS = 25.0
"""From the end of a prefill to the first event at the caller, including the
network."""


class InFlightRequest(msgspec.Struct):
    """A request that was granted or sent to an engine and has not ended.

    Attributes:
        endpoint: The engine.
        prefill_tokens: Prompt tokens that the engine has to prefill.
        memory_tokens: The engine memory that the request occupies.
        granted_at: When the request was granted or reported, in ms.
        is_prefilling: Whether the prompt counts as not prefilled yet.
        router: The router that sends the request.
        prefill_due_at: When the first token is expected, in ms.
    """

    endpoint: str
    prefill_tokens: float
    memory_tokens: float
    granted_at: float
    is_prefilling: bool = True
    router: str = ""
    prefill_due_at: float = 0.0


class Engine:
    """A broker's view of one engine.

    Attributes:
        endpoint: The engine's endpoint.
        slots: How many requests it runs at the same time.
        memory_tokens: Its memory, in tokens; 0 if unlimited.
        configured_rate: The initial prefill rate, in tokens per ms.
        rate: The estimated prefill rate, in tokens per ms.
        prefix_cache: The prompt parts that it is expected to have cached.
        running: The number of its requests in flight.
        prefilling: Requests not prefilled yet, in order of their grants.
        prefill_tokens: Prompt tokens of all requests not prefilled yet.
        used_memory_tokens: Memory occupied by its requests in flight.
        sample_started_at: When the current sample of the rate began, in ms.
        sample_tokens: Tokens prefilled during the current sample.
        is_sample_valid: Whether the sample has no delayed request or report.
        is_usable: Whether it may get new requests.
    """

    def __init__(self, endpoint: str, profile: EngineProfile, rate: float):
        self.endpoint = endpoint
        self.slots = profile.slots
        self.memory_tokens = profile.memory_tokens
        self.configured_rate = rate
        self.rate = rate
        self.prefix_cache = PrefixCache(profile.memory_tokens)
        self.running = 0
        self.prefilling: dict[str, InFlightRequest] = {}
        self.prefill_tokens = 0.0
        self.used_memory_tokens = 0.0
        self.sample_started_at = 0.0
        self.sample_tokens = 0.0
        self.is_sample_valid = True
        self.is_usable = True

    @property
    def wait_ms(self) -> float:
        """The expected time until a new request's prefill would start."""
        return self.prefill_tokens / self.rate

    def accepts(self, memory_tokens: float) -> bool:
        """Returns whether a request may be sent to the engine now.

        Args:
            memory_tokens: The engine memory that the request needs.
        """
        return self.wait_ms <= MAX_BACKLOG_MS and self.has_capacity(
            memory_tokens
        )

    def has_capacity(self, memory_tokens: float) -> bool:
        """Returns whether a slot and enough memory are free.

        The prefill backlog is not considered.

        Args:
            memory_tokens: The engine memory that the request needs.
        """
        if not self.is_usable:
            return False
        if self.running >= max(1.0, self.slots * USABLE_SLOT_FRACTION):
            return False
        if not self.memory_tokens or not self.running:
            return True
        return (
            self.used_memory_tokens + memory_tokens
            <= self.memory_tokens * USABLE_MEMORY_FRACTION
        )

    def start_prefill(
        self, tokens: float, now: float, is_timely: bool = True
    ) -> None:
        """Adds the prompt of a request that is being sent.

        Args:
            tokens: Prompt tokens to prefill.
            now: When the request was granted or reported, in ms.
            is_timely: Whether the router sends the request without delay.
        """
        if self.prefill_tokens <= 0:
            self._start_sample(now + FIRST_TOKEN_LATENCY_MS)
        self.is_sample_valid = self.is_sample_valid and is_timely
        self.prefill_tokens += tokens

    def _start_sample(self, now: float) -> None:
        self.sample_started_at = now
        self.sample_tokens = 0.0
        self.is_sample_valid = True

    def finish_prefill(
        self, tokens: float, now: float, is_timely: bool = True
    ) -> None:
        """Removes a prompt that was prefilled, and updates the rate.

        A sample of the rate spans several prompts in a row, so that the
        latency of reports counts once and not for each prompt. Samples with
        a delayed request or a delayed report are discarded.

        Args:
            tokens: Prompt tokens that were prefilled.
            now: When the report arrived, in ms.
            is_timely: Whether the report arrived without delay.
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

    def _update_rate(self, sample: float) -> None:
        low, high = RELATIVE_RATE_BOUNDS
        sample = max(sample, low * self.configured_rate)
        sample = min(sample, high * self.configured_rate)
        self.rate += RATE_SMOOTHING * (sample - self.rate)
