"""The event queue and clock of a simulation."""

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Runs callbacks in the order of their times, in milliseconds.

    Attributes:
        now: The current time of the simulation.
    """

    def __init__(self):
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback; those of equal times run in order of calls."""
        heapq.heappush(self.heap, (when, next(self.sequence), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in milliseconds."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Runs all callbacks up to and including a time."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = until
