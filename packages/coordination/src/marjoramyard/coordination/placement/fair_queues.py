"""Fair queueing of one service's requests among workspaces."""

import heapq
from collections.abc import Iterator, Mapping

from marjoramyard.coordination.placement.charges import Charges
from marjoramyard.coordination.placement.engine_pool import EnginePool
from marjoramyard.coordination.placement.request_queue import (
    QueuedRequest,
    RequestQueue,
)
from marjoramyard.coordination.placement.requests import service_cost
from marjoramyard.coordination.routing.config import EngineProfile


class FairQueues(EnginePool):
    """The queued requests of one service, by workspace.

    All times are in ms of one clock.

    Attributes:
        queues: The queued requests of each workspace.
        virtual_time: The service that each workspace has received, in
            prefill tokens. After an idle period it is raised to the minimum
            of the active workspaces.
        charges: What workspaces have been charged lately.
        keeps_floor: Whether the least adopted virtual time counts as that of an
            active workspace, as requests of active ones are still to arrive.
        queued: All queued requests, by key.
        suspended: Queued requests of unresponsive routers, by key. They are
            in no queue.
        counter: Sequence number of the last queued request.
    """

    def __init__(
        self, profile: EngineProfile, rate: float, cold_limit: int = 0
    ):
        super().__init__(profile, rate, cold_limit)
        self.queues: dict[str, RequestQueue] = {}
        self.virtual_time: dict[str, float] = {}
        self.charges = Charges()
        self.keeps_floor = False
        self.queued: dict[str, QueuedRequest] = {}
        self.suspended: dict[str, QueuedRequest] = {}
        self.counter = 0

    def enqueue_new(self, queued: QueuedRequest) -> None:
        """Queues a new request."""
        workspace = queued.request.workspace
        queue = self.queues.setdefault(workspace, RequestQueue())
        if not queue.heap:
            self._raise_virtual_time(workspace)
        self.enqueue(queued)

    def enqueue(self, queued: QueuedRequest) -> None:
        """Queues a request, or queues it again."""
        self.dequeue(queued.request.key)
        queued.is_removed = False
        self.counter += 1
        self.queues[queued.request.workspace].push(queued, self.counter)
        self.queued[queued.request.key] = queued

    def _raise_virtual_time(self, workspace: str) -> None:
        """Raises a workspace's virtual time to the minimum of the active ones.

        A workspace must not accumulate a claim to service while it is idle;
        it would block the others until it has caught up.
        """
        self.virtual_time[workspace] = max(
            self.virtual_time.get(workspace, 0.0), self.virtual_time_floor()
        )

    def virtual_time_floor(self) -> float:
        """Returns the least virtual time of a workspace that becomes active."""
        active = [
            self.virtual_time.get(name, 0.0)
            for name, queue in self.queues.items()
            if queue.heap
        ]
        if self.keeps_floor:
            active.append(0.0)
        return min(active, default=max(self.virtual_time.values(), default=0.0))

    def cancel(self, key: str) -> None:
        """Removes a queued request whose caller has disconnected.

        Unknown requests are ignored.
        """
        self.suspended.pop(key, None)
        self.dequeue(key)

    def suspend(self, router: str, now: float) -> None:
        """Excludes the requests of an unresponsive router from scheduling.

        The router may not have sent the requests that it was granted,
        and would not send further ones soon. Its prompts in flight count as
        prefilled, so that engines don't idle, and its queued requests leave
        their queues until `resume`.
        """
        self.finish_prefills_of(router, now)
        for key, queued in list(self.queued.items()):
            if queued.request.router == router:
                self.dequeue(key)
                self.suspended[key] = queued

    def resume(self, router: str) -> None:
        """Queues the requests of a router that responds again."""
        for key, queued in list(self.suspended.items()):
            if queued.request.router == router:
                del self.suspended[key]
                # The removed entry may still be in the queue's heap.
                self.enqueue_new(
                    QueuedRequest(
                        queued.request,
                        queued.cost,
                        queued.is_large,
                        queued.comes_last,
                    )
                )

    def dequeue(self, key: str) -> None:
        """Removes a request from its queue, if it is queued."""
        queued = self.queued.pop(key, None)
        if queued is not None:
            self.queues[queued.request.workspace].remove(queued)

    def service_order(self) -> Iterator[QueuedRequest]:
        """Yields the queued requests in the order of their expected service.

        Requests that are removed after they were yielded don't count as served.
        """
        heads = []
        for name, queue in self.queues.items():
            requests = queue.in_order()
            first = next(requests, None)
            if first is not None:
                start = self.virtual_time.get(name, 0.0)
                heads.append((start, name, first, requests))
        heapq.heapify(heads)
        while heads:
            reached, name, queued, requests = heads[0]
            yield queued
            following = next(requests, None)
            if following is None:
                heapq.heappop(heads)
                continue
            if not queued.is_removed:
                output_tokens = queued.request.output_tokens
                reached += service_cost(queued.cost, output_tokens)
            heapq.heapreplace(heads, (reached, name, following, requests))

    def charge(self, workspace: str, cost: float) -> None:
        """Charges a workspace for service, in prefill tokens."""
        self.virtual_time[workspace] = (
            self.virtual_time.get(workspace, 0.0) + cost
        )
        self.charges.add(workspace, cost)

    def charge_reported(
        self, workspace: str, cost: float, began_at: float
    ) -> None:
        """Charges a workspace for a request that a router has sent.

        Nothing if the adopted virtual times contain it.

        Args:
            workspace: The workspace.
            cost: The service, in prefill tokens.
            began_at: When the router has sent the request.
        """
        if began_at <= self.charges.adopted_at:
            return
        self.charge(workspace, cost)
        self.charges.add_reported(workspace, cost, began_at)

    def adopt_virtual_times(
        self, leads: Mapping[str, float], made_at: float
    ) -> None:
        """Takes over the virtual times of another broker.

        What this broker has charged meanwhile is added to them.

        Args:
            leads: The virtual times, in prefill tokens above the least one.
            made_at: When they were current.
        """
        self.charges.adopted_at = made_at
        self.keeps_floor = True
        self.virtual_time = dict(leads)
        for workspace, cost in self.charges.since(made_at).items():
            self.virtual_time[workspace] = leads.get(workspace, 0.0) + cost

    def pop_next(self) -> QueuedRequest | None:
        """Removes the first request of the workspace with least service."""
        names = [name for name, queue in self.queues.items() if queue.heap]
        if not names:
            return None
        name = min(names, key=lambda n: self.virtual_time.get(n, 0.0))
        queued = self.queues[name].pop()
        del self.queued[queued.request.key]
        return queued
