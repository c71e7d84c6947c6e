"""Tracks this gateway's requests in flight at each engine."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from marjoramyard.coordination.placement.local_placement import EngineView
from marjoramyard.coordination.routing.config import FleetConfig

PREFILL_RATE_FACTOR = 1.8
"""Ratio of the prefill rate to the configured token rate, which includes output
tokens."""
DEFAULT_PREFILL_RATE = 50.0
"""Tokens per millisecond if the configuration sets no rate."""


def estimate_prefill_rate(config: FleetConfig, engines: int) -> float:
    """Estimates the prefill rate of an engine, in tokens per millisecond."""
    total = config.limits.tokens_per_s
    if total <= 0 or engines <= 0:
        return DEFAULT_PREFILL_RATE
    return PREFILL_RATE_FACTOR * total / engines / 1000


class EngineLoads:
    """The gateway's requests in flight, by engine.

    Attributes:
        rate: The estimated prefill rate of an engine, in tokens per
            millisecond.
    """

    def __init__(self):
        self.engines: dict[str, EngineView] = {}
        self.rate = DEFAULT_PREFILL_RATE

    def load_of(self, endpoint: str) -> EngineView:
        """Returns the load of an endpoint."""
        engine = self.engines.setdefault(endpoint, EngineView(endpoint))
        engine.rate = self.rate
        return engine

    @contextmanager
    def track(self, endpoint: str, tokens: float) -> Iterator["LocalRequest"]:
        """Counts a request while it is at an endpoint."""
        request = LocalRequest(self.load_of(endpoint), tokens)
        try:
            yield request
        finally:
            request.on_prefilled = None
            request.finish_prefill()
            request.engine.running -= 1


class LocalRequest:
    """A request of this gateway at an endpoint.

    Attributes:
        tokens: Prompt tokens that are still to be prefilled.
        on_prefilled: Called once when the first token arrives.
        has_data: Whether data of its response has arrived.
    """

    def __init__(self, engine: EngineView, tokens: float):
        self.engine = engine
        self.tokens = tokens
        self.on_prefilled: Callable[[], None] | None = None
        self.has_data = False
        engine.running += 1
        engine.prefill_tokens += tokens

    def finish_prefill(self) -> None:
        """Records that the first token has arrived."""
        self.engine.prefill_tokens -= self.tokens
        self.tokens = 0.0
        if self.on_prefilled is not None:
            self.on_prefilled()
            self.on_prefilled = None
