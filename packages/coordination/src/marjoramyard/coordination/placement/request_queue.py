"""The queue of one workspace's requests."""

import heapq
from collections.abc import Iterator

import msgspec

from marjoramyard.coordination.placement.requests import PlacementRequest


class QueuedRequest(msgspec.Struct):
    """A request in a queue.

    Attributes:
        request: The request itself.
        cost: Prompt tokens that an engine is expected to prefill.
        is_large: Whether the prefill takes much of the time to the objective.
        comes_last: Whether it comes after the others of its workspace.
        is_removed: Whether the request has left the queue; its heap entry is
            discarded later.
    """

    request: PlacementRequest
    cost: float
    is_large: bool = False
    comes_last: bool = False
    is_removed: bool = False

    @property
    def order(self) -> tuple[bool, float]:
        """Sort key of a workspace's requests."""
        return self.comes_last, self.request.first_token_due_at


class RequestQueue:
    """The queued requests of one workspace, in the order of service.

    Attributes:
        heap: Entries by `QueuedRequest.order`, then by order of arrival; may
            contain removed requests, but not as the first entry.
        tokens: The total cost of all queued requests.
    """

    def __init__(self):
        self.heap: list[tuple[tuple[bool, float], int, QueuedRequest]] = []
        self.tokens = 0.0

    def push(self, queued: QueuedRequest, sequence: int) -> None:
        """Adds a request; `sequence` orders those of the same order."""
        heapq.heappush(self.heap, (queued.order, sequence, queued))
        self.tokens += queued.cost

    def tokens_before(self, order: tuple[bool, float]) -> float:
        """Returns the total cost of requests that are not behind `order`."""
        return sum(
            queued.cost
            for other, _, queued in self.heap
            if other <= order and not queued.is_removed
        )

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yields the requests in the order of service."""
        for _, _, queued in sorted(self.heap, key=lambda entry: entry[:2]):
            if not queued.is_removed:
                yield queued

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
        """Removes and returns the first request.

        Raises:
            IndexError: The queue is empty.
        """
        _, _, queued = heapq.heappop(self.heap)
        self.remove(queued)
        return queued
