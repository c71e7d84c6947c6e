"""What this gateway has in flight at each endpoint, and how fast it goes."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from marjoramyard.coordination.placement.local_placement import EngineView
from marjoramyard.coordination.routing.config import FleetConfig

READ_SHARE = 1.8
"""How much faster an engine reads prompts alone than the configured overall
rate of tokens says, which counts written ones too."""
DEFAULT_RATE = 50.0
"""Prompt tokens a millisecond where the configuration names no rate."""


def reading_rate(config: FleetConfig, engines: int) -> float:
    """Estimates the prompt tokens that one engine reads in a millisecond."""
    total = config.limits.tokens_per_s
    if total <= 0 or engines <= 0:
        return DEFAULT_RATE
    return READ_SHARE * total / engines / 1000


class Loads:
    """Requests in flight, by endpoint."""

    def __init__(self):
        self.engines: dict[str, EngineView] = {}
        self.rate = DEFAULT_RATE

    def view(self, endpoint: str) -> EngineView:
        """Returns what is in flight at an endpoint."""
        engine = self.engines.setdefault(endpoint, EngineView(endpoint))
        engine.rate = self.rate
        return engine

    @contextmanager
    def in_flight(self, endpoint: str, tokens: float) -> Iterator["Flight"]:
        """Counts a request while it is at an endpoint."""
        flight = Flight(self.view(endpoint), tokens)
        try:
            yield flight
        finally:
            flight.on_read = None
            flight.read()
            flight.engine.running -= 1


class Flight:
    """One request at an endpoint."""

    def __init__(self, engine: EngineView, tokens: float):
        self.engine = engine
        self.tokens = tokens
        self.on_read: Callable[[], None] | None = None
        engine.running += 1
        engine.reading_tokens += tokens

    def read(self) -> None:
        """Its prompt has been read: the first token is there."""
        self.engine.reading_tokens -= self.tokens
        self.tokens = 0.0
        if self.on_read is not None:
            self.on_read()
            self.on_read = None
