"""The queue of one workspace's requests."""

import heapq

import msgspec

from marjoramyard.coordination.placement.requests import PlacementRequest


class QueuedRequest(msgspec.Struct):
    """A request in a queue.

    Attributes:
        request: The request itself.
        cost: Prompt tokens that an engine is expected to prefill.
        is_removed: Whether the request has left the queue; its heap entry is
            discarded later.
    """

    request: PlacementRequest
    cost: float
    is_removed: bool = False


class RequestQueue:
    """The queued requests of one workspace, earliest due time first.

    Attributes:
        heap: Entries by due time, then by order of arrival; may contain
            removed requests, but not as the first entry.
        tokens: The total cost of all queued requests.
    """

    def __init__(self):
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.tokens = 0.0

    def push(self, queued: QueuedRequest, sequence: int) -> None:
        """Adds a request; `sequence` orders requests due at the same time."""
        heapq.heappush(
            self.heap, (queued.request.first_token_due_at, sequence, queued)
        )
        self.tokens += queued.cost

    def tokens_before(self, first_token_due_at: float) -> float:
        """Returns the total cost of requests due by the given time."""
        return sum(
            queued.cost
            for due, _, queued in self.heap
            if due <= first_token_due_at and not queued.is_removed
        )

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a request, whose cost no longer counts from now on.

        Its heap entry stays until it becomes the first one.
        """
        queued.is_removed = True
        self.tokens = max(0.0, self.tokens - queued.cost)
        while self.heap and self.heap[0][2].is_removed:
            heapq.heappop(self.heap)
        if not self.heap:
            self.tokens = 0.0

    def pop(self) -> QueuedRequest:
        """Removes and returns the request that is due first.

        Raises:
            IndexError: The queue is empty.
        """
        _, _, queued = heapq.heappop(self.heap)
        self.remove(queued)
        return queued
