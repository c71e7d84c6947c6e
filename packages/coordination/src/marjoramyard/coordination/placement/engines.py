"""What a broker knows of one engine."""

from marjoramyard.coordination.placement.flights import Flight
from marjoramyard.coordination.placement.kept import KeptParts
from marjoramyard.coordination.placement.rates import LeastDelay, RateLearner
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
FIRST_TOKEN_MS = 25.0
"""From the end of reading to the first event at the caller, network
included."""


class Engine:
    """What the broker knows of one engine."""

    def __init__(
        self,
        endpoint: str,
        profile: EngineProfile,
        rate: float,
        delay: LeastDelay,
    ):
        self.endpoint = endpoint
        self.slots = profile.slots
        self.memory_tokens = profile.memory_tokens
        self.learner = RateLearner(rate, delay)
        self.kept = KeptParts(profile.memory_tokens)
        self.running = 0
        # In the order of their grants, which is about that of arrival.
        self.unread: dict[str, Flight] = {}
        self.reading_tokens = 0.0
        self.memory = 0.0
        self.is_usable = True

    @property
    def rate(self) -> float:
        """Prompt tokens that it reads in a millisecond."""
        return self.learner.rate

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

    def begin_reading(self, flight: Flight) -> None:
        """A prompt was granted."""
        flight.found_idle = self.reading_tokens <= 0
        self.reading_tokens += flight.tokens
        flight.read_by = flight.granted_at + self.wait_ms + FIRST_TOKEN_MS

    def end_reading(
        self, flight: Flight, now: float, is_fresh: bool = True
    ) -> None:
        """A prompt has been read; learns the rate if its news is fresh."""
        self._read_less(flight.tokens)
        if is_fresh:
            self.learner.first_token(flight, self.unread.values(), now)
        else:
            self.learner.interrupted()

    def give_up_reading(self, flight: Flight) -> None:
        """A prompt will not be read any more."""
        self._read_less(flight.tokens)
        self.learner.interrupted()

    def _read_less(self, tokens: float) -> None:
        self.reading_tokens = max(0.0, self.reading_tokens - tokens)
