"""The line of one workspace's waiting requests."""

import heapq

import msgspec

from marjoramyard.coordination.placement.requests import PlacementRequest


class QueuedRequest(msgspec.Struct):
    """A request in a line.

    Attributes:
        cost: The tokens that it is likely to have read.
        is_gone: Its caller has left, or it was refused.
    """

    ask: PlacementRequest
    cost: float
    is_gone: bool = False


class RequestQueue:
    """The waiting requests of one workspace, the most urgent first."""

    def __init__(self):
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.tokens = 0.0

    def push(self, waiting: QueuedRequest, number: int) -> None:
        """Adds a request."""
        heapq.heappush(self.heap, (waiting.ask.aim_at, number, waiting))
        self.tokens += waiting.cost

    def tokens_before(self, aim_at: float) -> float:
        """Returns the tokens of those that are due no later."""
        return sum(
            waiting.cost
            for due, _, waiting in self.heap
            if due <= aim_at and not waiting.is_gone
        )

    def leave(self, waiting: QueuedRequest) -> None:
        """Counts a request no more that waits no more.

        In a rush callers leave by the dozen. Counted as ahead of others
        until their turn, they would have those refused for their sake.
        """
        waiting.is_gone = True
        self.tokens = max(0.0, self.tokens - waiting.cost)
        while self.heap and self.heap[0][2].is_gone:
            heapq.heappop(self.heap)
        if not self.heap:
            self.tokens = 0.0

    def pop(self) -> QueuedRequest:
        """Takes the request that is due first."""
        _, _, waiting = heapq.heappop(self.heap)
        self.leave(waiting)
        return waiting
