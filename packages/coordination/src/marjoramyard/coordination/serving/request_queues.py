"""Queues of requests at an entry, by service, workspace and class."""

from collections import deque
from enum import Enum
from typing import Any

import msgspec

from marjoramyard.kernel.ids import WorkspaceId

AGEING_SECONDS = 10.0
"""Lead in queueing time by which deferrable requests go first."""


class RequestClass(Enum):
    """Priority of a request within its workspace."""

    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


class QueuedRequest(msgspec.Struct, eq=False):
    """A queued request.

    Attributes:
        workspace: Workspace of the request.
        request_class: Class of the request.
        queued_at: Time of queueing, in seconds on a monotonic clock.
        size: Size of the request, in bytes.
        prefix: Prefix digest of the request.
        payload: Data that the owner of the queue needs to run the request.
        removed: Whether the request was popped or cancelled. It stays in
            its queue until it reaches the head.
    """

    workspace: WorkspaceId
    request_class: RequestClass
    queued_at: float
    size: int
    prefix: str
    payload: Any
    removed: bool = False


class WorkspaceQueue:
    """Queued requests of a workspace: interactive first, with ageing."""

    def __init__(self):
        self.queues: dict[RequestClass, deque[QueuedRequest]] = {
            request_class: deque() for request_class in RequestClass
        }
        self.count = 0
        self.bytes = 0

    def add(self, request: QueuedRequest, first: bool = False) -> None:
        """Queues a request, at the front of its class if `first`."""
        queue = self.queues[request.request_class]
        if first:
            queue.appendleft(request)
        else:
            queue.append(request)
        self.count += 1
        self.bytes += request.size

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request; returns False if it was removed already."""
        if request.removed:
            return False
        request.removed = True
        self.count -= 1
        self.bytes -= request.size
        return True

    def head(self, now: float) -> QueuedRequest | None:
        """Returns the request to run next.

        A deferrable request that was queued at least `AGEING_SECONDS` ago
        precedes interactive ones that were queued as much later. This
        prevents starvation by a steady stream of interactive requests.
        """
        interactive = self._first(RequestClass.INTERACTIVE)
        deferrable = self._first(RequestClass.DEFERRABLE)
        if interactive is None or deferrable is None:
            return interactive or deferrable
        if deferrable.queued_at + AGEING_SECONDS <= min(
            now, interactive.queued_at
        ):
            return deferrable
        return interactive

    def _first(self, request_class: RequestClass) -> QueuedRequest | None:
        queue = self.queues[request_class]
        while queue and queue[0].removed:
            queue.popleft()
        return queue[0] if queue else None


class ServiceQueue:
    """All queued requests of one service at one entry.

    Attributes:
        workspaces: The queues that are not empty.
        changed: Workspaces whose queue became empty or non-empty.
    """

    def __init__(self):
        self.workspaces: dict[WorkspaceId, WorkspaceQueue] = {}
        self.changed: set[WorkspaceId] = set()

    def add(self, request: QueuedRequest, first: bool = False) -> None:
        """Queues a request, at the front of its class if `first`."""
        queue = self.workspaces.setdefault(request.workspace, WorkspaceQueue())
        if queue.count == 0:
            self.changed.add(request.workspace)
        queue.add(request, first)

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request; returns False if it was removed already."""
        queue = self.workspaces.get(request.workspace)
        removed = queue is not None and queue.remove(request)
        self._drop_if_empty(request.workspace)
        return removed

    def pop(self, workspace: WorkspaceId, now: float) -> QueuedRequest | None:
        """Removes and returns a workspace's next request, or None."""
        queue = self.workspaces.get(workspace)
        request = queue.head(now) if queue is not None else None
        if request is not None:
            self.remove(request)
        return request

    def _drop_if_empty(self, workspace: WorkspaceId) -> None:
        queue = self.workspaces.get(workspace)
        if queue is not None and queue.count == 0:
            del self.workspaces[workspace]
            self.changed.add(workspace)

    def count(self) -> int:
        """Returns the number of queued requests."""
        return sum(queue.count for queue in self.workspaces.values())
