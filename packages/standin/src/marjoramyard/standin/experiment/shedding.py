"""Engines that turn requests away and ask for a pause."""

import random


class Shedding:
    """Which engines turn requests away, and the pauses that gateways keep.

    Attributes:
        shares: The share of requests that an engine turns away, and the pause
            that it asks for in ms, by engine.
        paused_until: When pauses end, by gateway and engine.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.shares: dict[str, tuple[float, float]] = {}
        self.paused_until: dict[tuple[int, str], float] = {}

    def turn_away(self, engine: str) -> float | None:
        """Decides on a request; returns the pause, or None if it is taken."""
        if engine not in self.shares:
            return None
        share, pause_ms = self.shares[engine]
        return pause_ms if self.rng.random() < share else None

    def pause(self, gateway: int, engine: str, until: float) -> None:
        """Records that a gateway must not send to an engine."""
        self.paused_until[gateway, engine] = until

    def is_paused(self, gateway: int, engine: str, now: float) -> bool:
        """Returns whether a gateway must not send to an engine."""
        return now < self.paused_until.get((gateway, engine), 0.0)
