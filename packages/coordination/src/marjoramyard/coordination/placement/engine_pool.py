"""What is at the engines of a service, by the word of many routers."""

from collections.abc import Iterable

from marjoramyard.coordination.placement.engines import (
    FIRST_TOKEN_MS,
    Engine,
    InFlightRequest,
)
from marjoramyard.coordination.routing.config import EngineProfile

OVERDUE_MS = 150.0
"""How much later than an earlier prompt one must have been granted for its
first token to show that the earlier one was read too. A router that needs
longer to send is short of processor."""


class EnginePool:
    """The engines of a service and the requests at them."""

    def __init__(self, profile: EngineProfile, rate: float):
        self.profile = profile
        self.rate = rate
        self.engines: dict[str, Engine] = {}
        self.flights: dict[str, InFlightRequest] = {}
        self.late: set[str] = set()

    def set_engines(self, usable: Iterable[str]) -> None:
        """Says which engines take work now."""
        names = set(usable)
        for name in names:
            if name not in self.engines:
                self.engines[name] = Engine(name, self.profile, self.rate)
        for name, engine in list(self.engines.items()):
            engine.is_usable = name in names
            if not engine.is_usable and not engine.running:
                del self.engines[name]

    @property
    def total_rate(self) -> float:
        """Prompt tokens a millisecond that all usable engines read."""
        return sum(e.rate for e in self.engines.values() if e.is_usable) or 1.0

    @property
    def mean_wait_ms(self) -> float:
        """How long a prompt would wait at a usable engine, on average."""
        usable = [e for e in self.engines.values() if e.is_usable]
        if not usable:
            return 0.0
        return sum(e.wait_ms for e in usable) / len(usable)

    def first_token(self, key: str, now: float, is_fresh: bool = True) -> None:
        """The first token of a request came: its prompt has been read.

        Args:
            key: The request.
            now: When the news came.
            is_fresh: It came without delay, so its time says how fast the
                engine reads.
        """
        flight = self.flights.get(key)
        if flight is None or not flight.is_reading:
            return
        engine = self.engines.get(flight.engine)
        if engine is None:
            flight.is_reading = False
            return
        self._end_overdue(engine, flight, now)
        engine.unread.pop(key, None)
        flight.is_reading = False
        engine.end_reading(flight.tokens, now, is_fresh)

    def _end_overdue(
        self, engine: Engine, last: InFlightRequest, now: float
    ) -> None:
        """Counts as read what must have been read before `last`.

        Engines read in order of arrival. News of an earlier prompt that is
        still missing is held up at a router that is short of processor;
        counted as unread, it would keep the engine idle.
        """
        before = last.granted_at - OVERDUE_MS
        for key, flight in list(engine.unread.items()):
            if flight.granted_at >= before:
                break
            self._count_as_read(engine, key, flight, now)

    @staticmethod
    def _count_as_read(
        engine: Engine, key: str, flight: InFlightRequest, now: float
    ) -> None:
        del engine.unread[key]
        flight.is_reading = False
        engine.end_reading(flight.tokens, now, False)

    def ended(self, key: str) -> None:
        """A request is no longer at its engine."""
        flight = self.flights.pop(key, None)
        engine = self.engines.get(flight.engine) if flight else None
        if engine is None:
            return
        engine.unread.pop(key, None)
        engine.running -= 1
        engine.memory -= flight.memory
        if flight.is_reading:
            engine.reading_tokens = max(
                0.0, engine.reading_tokens - flight.tokens
            )

    def set_late(self, router: str, is_late: bool) -> None:
        """A router says whether it is short of processor.

        One that is sends what it was granted late, and tells late that it
        was read. Engines that are kept for its prompts until then stand
        idle, so for them expected times count instead of news.
        """
        if is_late:
            self.late.add(router)
        else:
            self.late.discard(router)

    def end_expected(self, now: float) -> None:
        """Counts as read what late routers should have had read by now."""
        for engine in self.engines.values():
            for key, flight in list(engine.unread.items()):
                if flight.router in self.late and now >= flight.read_by:
                    self._count_as_read(engine, key, flight, now)

    def end_unsent(self, router: str, now: float) -> None:
        """Counts as read what a silent router may not have sent at all."""
        for engine in self.engines.values():
            for key, flight in list(engine.unread.items()):
                if flight.router == router:
                    self._count_as_read(engine, key, flight, now)

    def add_flight(
        self, engine: Engine, key: str, flight: InFlightRequest
    ) -> None:
        """Counts a request that goes to an engine."""
        self.flights[key] = flight
        if flight.is_reading:
            engine.unread[key] = flight
        engine.running += 1
        engine.memory += flight.memory
        is_timely = flight.router not in self.late
        engine.begin_reading(flight.tokens, flight.granted_at, is_timely)
        flight.read_by = flight.granted_at + engine.wait_ms + FIRST_TOKEN_MS
        engine.kept.shrink_to(engine.memory_tokens - engine.memory)
