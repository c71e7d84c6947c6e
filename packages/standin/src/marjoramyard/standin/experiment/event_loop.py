"""The clock of a play: what happens next."""

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Runs callbacks in the order of their times, in milliseconds."""

    def __init__(self):
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Runs a callback at a time; equal times keep their order."""
        heapq.heappush(self.heap, (when, next(self.numbers), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Runs a callback after some milliseconds."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Runs what happens up to a time."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = until
