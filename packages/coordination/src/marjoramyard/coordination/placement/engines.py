"""What a broker knows of one engine, and how fast that engine reads."""

import msgspec

from marjoramyard.coordination.placement.prefix_cache import PrefixCache
from marjoramyard.coordination.routing.config import EngineProfile

AHEAD_MS = 60.0
"""How much reading an engine is given ahead, so that it doesn't run dry while
news of a first token and the next grant are on their way. No more, so that a
choice is bound no earlier than needed."""
SLOT_SHARE = 0.95
"""Part of an engine's slots that is given out; the rest covers news that is
on its way."""
MEMORY_SHARE = 0.85
"""Part of an engine's memory for running requests. Past its memory an engine
preempts the newest one and reads it again."""
RATE_WEIGHT = 0.2
"""How far the learnt rate follows what one run shows."""
MIN_RUN_MS = 120.0
"""A shorter run says more of the way of the news than of the engine, which
would seem far too slow."""
MIN_RUN_TOKENS = 500.0
"""Fewer tokens are read within one step of the engine, whatever its rate."""
RATE_BOUNDS = (0.05, 3.0)
"""Of the configured rate. What is beyond is an error of the news."""
FIRST_TOKEN_MS = 25.0
"""From the end of reading to the first event at the caller, network
included."""


class InFlightRequest(msgspec.Struct):
    """A request at an engine.

    Attributes:
        router: Who sends it.
        read_by: When its first token is expected.
    """

    engine: str
    tokens: float
    memory: float
    granted_at: float
    is_reading: bool = True
    router: str = ""
    read_by: float = 0.0


class Engine:
    """What the broker knows of one engine."""

    def __init__(self, endpoint: str, profile: EngineProfile, rate: float):
        self.endpoint = endpoint
        self.slots = profile.slots
        self.memory_tokens = profile.memory_tokens
        self.configured_rate = rate
        self.rate = rate
        self.kept = PrefixCache(profile.memory_tokens)
        self.running = 0
        # In the order of their grants, which is about that of arrival.
        self.unread: dict[str, InFlightRequest] = {}
        self.reading_tokens = 0.0
        self.memory = 0.0
        self.run_began_at = 0.0
        self.run_tokens = 0.0
        self.run_is_timely = True
        self.is_usable = True

    @property
    def wait_ms(self) -> float:
        """How long a new request would wait to be read."""
        return self.reading_tokens / self.rate

    def takes(self, memory: float) -> bool:
        """Whether it should get another request now."""
        return self.wait_ms <= AHEAD_MS and self.has_room(memory)

    def has_room(self, memory: float) -> bool:
        """Whether a slot and memory are free; else that lasts for seconds."""
        if not self.is_usable:
            return False
        if self.running >= max(1.0, self.slots * SLOT_SHARE):
            return False
        if not self.memory_tokens or not self.running:
            return True
        return self.memory + memory <= self.memory_tokens * MEMORY_SHARE

    def begin_reading(
        self, tokens: float, now: float, is_timely: bool = True
    ) -> None:
        """Prompt tokens were granted; a run of reading may begin with them.

        Args:
            tokens: Those that are to be read.
            now: When they were granted.
            is_timely: They are sent at once.
        """
        if self.reading_tokens <= 0:
            self._begin_run(now + FIRST_TOKEN_MS)
        self.run_is_timely = self.run_is_timely and is_timely
        self.reading_tokens += tokens

    def _begin_run(self, now: float) -> None:
        self.run_began_at = now
        self.run_tokens = 0.0
        self.run_is_timely = True

    def end_reading(
        self, tokens: float, now: float, is_fresh: bool = True
    ) -> None:
        """A prompt has been read; learns the rate from the run so far.

        News that was held up on its way says that the prompt was read, not
        how fast. Nor does a run with a prompt that was not sent at once: the
        engine may have waited for it, and would seem slow. Granted less for
        that, it would seem slower still after the next run.

        The rate is taken over runs of back-to-back prompts. Taken prompt by
        prompt, the way of the news would count once for each, and engines
        that read a prompt in 16 ms would seem three times as fast.
        """
        self.reading_tokens = max(0.0, self.reading_tokens - tokens)
        self.run_tokens += tokens
        if not is_fresh:
            self.run_is_timely = False
            return
        spent = now - self.run_began_at
        if spent < MIN_RUN_MS or self.run_tokens < MIN_RUN_TOKENS:
            return
        is_timely = self.run_is_timely
        seen = self.run_tokens / spent
        self._begin_run(now)
        if is_timely:
            self._learn(seen)

    def _learn(self, seen: float) -> None:
        low, high = RATE_BOUNDS
        seen = max(seen, low * self.configured_rate)
        seen = min(seen, high * self.configured_rate)
        self.rate += RATE_WEIGHT * (seen - self.rate)
