"""Learns how fast an engine reads, from its first tokens."""

import math
from collections.abc import Collection

from marjoramyard.coordination.placement.flights import Flight

RATE_WEIGHT = 0.2
"""How far the learnt rate follows what one sample shows."""
SAMPLE_MS = 120.0
"""A shorter time says more of an engine's steps, in which it reads parts of
several prompts, than of its rate."""
RATE_BOUNDS = (0.05, 3.0)
"""Of the configured rate. What is beyond is an error of the news."""
LONE_MS = 60.0
"""In a shorter time of one prompt its arrival is not known well enough."""
DELAY_PERIOD_MS = 5000.0
MAX_DELAY_MS = 60.0
"""Two hops and an engine's first steps; what is beyond is reading."""


class LeastDelay:
    """The least time from a grant to its first token.

    It takes hops and an engine's first steps, whatever is to be read, and is
    about the same for all engines of a service: the shortest prompt at the
    calmest one shows it.
    """

    def __init__(self):
        self.present = math.inf
        self.former = math.inf
        self.period_ends_at = -math.inf

    @property
    def ms(self) -> float:
        """The least one of the present and the former period."""
        return min(self.present, self.former, MAX_DELAY_MS)

    def add(self, delay_ms: float, now: float) -> None:
        """Takes in one time."""
        if now >= self.period_ends_at:
            self.former, self.present = self.present, math.inf
            self.period_ends_at = now + DELAY_PERIOD_MS
        self.present = max(0.0, min(self.present, delay_ms))


class RateLearner:
    """The rate of one engine.

    A time is one of reading only if the engine had something to read all the
    while. Else it waited for us: it would seem slow, be granted less for
    that, and seem slower still. So two times count: from one first token to
    the next if a prompt waited at the engine at both; and that of a prompt
    for which none waited, from its arrival on, if it is long.
    """

    def __init__(self, configured_rate: float, delay: LeastDelay):
        self.configured_rate = configured_rate
        self.rate = configured_rate
        self.delay = delay
        # Of the last first token: when it came, and whether another prompt
        # waited then. None if something was read since that is not known.
        self.last_at: float | None = None
        self.was_backlogged = False
        self.sample_tokens = 0.0
        self.sample_ms = 0.0

    def first_token(
        self, ended: Flight, unread: Collection[Flight], now: float
    ) -> None:
        """Takes in the news of a first token.

        Args:
            ended: The prompt that was read.
            unread: Those that are still to be read, the oldest first.
            now: When the news came.
        """
        last_at, was_backlogged = self.last_at, self.was_backlogged
        self.interrupted()
        if not ended.is_timely:
            return
        self.delay.add(now - ended.granted_at, now)
        self.last_at = now
        self.was_backlogged = self._is_backlogged(unread, now)
        if was_backlogged:
            if self.was_backlogged:
                self._add(ended.tokens, now - last_at)
            return
        began = ended.granted_at + self.delay.ms
        if last_at is not None:
            began = max(began, last_at)
        elif not ended.found_idle:
            return
        if now - began >= LONE_MS:
            self._add(ended.tokens, now - began)

    def interrupted(self) -> None:
        """A prompt ended otherwise; the present time says nothing."""
        self.last_at = None
        self.was_backlogged = False

    def _is_backlogged(self, unread: Collection[Flight], now: float) -> bool:
        """Whether a prompt has arrived that waits to be read."""
        if not unread or not all(flight.is_timely for flight in unread):
            return False
        oldest = next(iter(unread))
        return oldest.granted_at + self.delay.ms <= now

    def _add(self, tokens: float, spent_ms: float) -> None:
        self.sample_tokens += tokens
        self.sample_ms += spent_ms
        if self.sample_ms < SAMPLE_MS:
            return
        low, high = RATE_BOUNDS
        seen = self.sample_tokens / self.sample_ms
        seen = max(seen, low * self.configured_rate)
        seen = min(seen, high * self.configured_rate)
        self.rate += RATE_WEIGHT * (seen - self.rate)
        self.sample_tokens = 0.0
        self.sample_ms = 0.0
