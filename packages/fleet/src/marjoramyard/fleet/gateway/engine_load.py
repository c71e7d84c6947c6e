"""What this gateway has in flight at each endpoint, and how fast it goes."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from marjoramyard.coordination.placement.choice import EngineView
from marjoramyard.coordination.routing.config import FleetConfig

PREFILL_RATE_FACTOR = 1.8
"""How much faster an engine reads prompts alone than the configured overall
rate of tokens says, which counts written ones too."""
DEFAULT_PREFILL_RATE = 50.0
"""Prompt tokens a millisecond where the configuration names no rate."""


def estimate_prefill_rate(config: FleetConfig, engines: int) -> float:
    """Estimates the prompt tokens that one engine reads in a millisecond."""
    total = config.limits.tokens_per_s
    if total <= 0 or engines <= 0:
        return DEFAULT_PREFILL_RATE
    return PREFILL_RATE_FACTOR * total / engines / 1000


class EngineLoads:
    """Requests in flight, by endpoint."""

    def __init__(self):
        self.engines: dict[str, EngineView] = {}
        self.rate = DEFAULT_PREFILL_RATE

    def load_of(self, endpoint: str) -> EngineView:
        """Returns what is in flight at an endpoint."""
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
    """One request at an endpoint."""

    def __init__(self, engine: EngineView, tokens: float):
        self.engine = engine
        self.tokens = tokens
        self.on_prefilled: Callable[[], None] | None = None
        engine.running += 1
        engine.reading_tokens += tokens

    def finish_prefill(self) -> None:
        """Its prompt has been read: the first token is there."""
        self.engine.reading_tokens -= self.tokens
        self.tokens = 0.0
        if self.on_prefilled is not None:
            self.on_prefilled()
            self.on_prefilled = None
