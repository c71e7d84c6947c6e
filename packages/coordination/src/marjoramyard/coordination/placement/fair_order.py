"""The order in which queued requests get their fair share of service."""

import heapq
from collections.abc import Iterator, Mapping

from marjoramyard.coordination.placement.request_queue import (
    QueuedRequest,
    RequestQueue,
)
from marjoramyard.coordination.placement.requests import service_cost


def in_fair_order(
    queues: Mapping[str, RequestQueue], virtual_time: Mapping[str, float]
) -> Iterator[tuple[float, QueuedRequest]]:
    """Yields the queued requests in order of fair service.

    The workspace with the least service comes first, counting the requests
    that were yielded as served. The queues may change meanwhile; requests that
    leave them are not yielded.

    Args:
        queues: The queue of each workspace.
        virtual_time: The service each has received, in prefill tokens.

    Yields:
        The service that the workspace will have received before the request,
        and the request.
    """
    pending = [
        (virtual_time.get(name, 0.0), name)
        for name, queue in queues.items()
        if queue.heap
    ]
    heapq.heapify(pending)
    requests: dict[str, Iterator[QueuedRequest]] = {}
    while pending:
        received, name = pending[0]
        if name not in requests:
            requests[name] = queues[name].in_order()
        queued = next(requests[name], None)
        if queued is None:
            heapq.heappop(pending)
            continue
        yield received, queued
        cost = service_cost(queued.cost, queued.request.output_tokens)
        heapq.heapreplace(pending, (received + cost, name))
