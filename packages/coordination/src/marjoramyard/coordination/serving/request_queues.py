"""Requests that wait at an entry, by service, workspace and class."""

from collections import deque
from enum import Enum
from typing import Any

import msgspec

from marjoramyard.kernel.ids import WorkspaceId

AGEING_SECONDS = 10.0


class RequestClass(Enum):
    """How a request is ordered inside its workspace."""

    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


class QueuedRequest(msgspec.Struct, eq=False):
    """One waiting request.

    Attributes:
        workspace: Whose it is.
        klass: Its class.
        since: When it began to wait, on the caller's monotonic clock.
        size: The bytes that it holds.
        prefix: Its prefix digest.
        payload: Whatever the owner needs to run it.
        gone: It was given up or taken; its place in the queue is void.
    """

    workspace: WorkspaceId
    request_class: RequestClass
    queued_at: float
    size: int
    prefix: str
    payload: Any
    removed: bool = False


class WorkspaceQueue:
    """One workspace's waiting requests: interactive first, with ageing."""

    def __init__(self):
        self.queues: dict[RequestClass, deque[QueuedRequest]] = {
            klass: deque() for klass in RequestClass
        }
        self.count = 0
        self.bytes = 0

    def add(self, item: QueuedRequest, first: bool = False) -> None:
        """Queues a request; a retried one goes first in its class."""
        lane = self.queues[item.request_class]
        if first:
            lane.appendleft(item)
        else:
            lane.append(item)
        self.count += 1
        self.bytes += item.size

    def remove(self, item: QueuedRequest) -> bool:
        """Voids a request; returns False if it was taken already."""
        if item.removed:
            return False
        item.removed = True
        self.count -= 1
        self.bytes -= item.size
        return True

    def head(self, now: float) -> QueuedRequest | None:
        """Returns the request to run next.

        A deferrable request that has waited for `AGEING_SECONDS` goes
        before interactive ones that came after it, or a steady stream of
        those would hold it back forever.
        """
        quick = self._first(RequestClass.INTERACTIVE)
        slow = self._first(RequestClass.DEFERRABLE)
        if quick is None or slow is None:
            return quick or slow
        if slow.queued_at + AGEING_SECONDS <= min(now, quick.queued_at):
            return slow
        return quick

    def _first(self, klass: RequestClass) -> QueuedRequest | None:
        lane = self.queues[klass]
        while lane and lane[0].removed:
            lane.popleft()
        return lane[0] if lane else None


class ServiceQueue:
    """All waiting requests of one service at one entry."""

    def __init__(self):
        self.workspaces: dict[WorkspaceId, WorkspaceQueue] = {}
        self.changed: set[WorkspaceId] = set()

    def add(self, item: QueuedRequest, first: bool = False) -> None:
        """Queues a request."""
        queue = self.workspaces.setdefault(item.workspace, WorkspaceQueue())
        if queue.count == 0:
            self.changed.add(item.workspace)
        queue.add(item, first)

    def remove(self, item: QueuedRequest) -> bool:
        """Voids a request that was given up."""
        queue = self.workspaces.get(item.workspace)
        removed = queue is not None and queue.remove(item)
        self._forget_if_empty(item.workspace)
        return removed

    def pop(self, workspace: WorkspaceId, now: float) -> QueuedRequest | None:
        """Takes the workspace's next request, if it has one."""
        queue = self.workspaces.get(workspace)
        item = queue.head(now) if queue is not None else None
        if item is not None:
            self.remove(item)
        return item

    def _forget_if_empty(self, workspace: WorkspaceId) -> None:
        queue = self.workspaces.get(workspace)
        if queue is not None and queue.count == 0:
            del self.workspaces[workspace]
            self.changed.add(workspace)

    def count(self) -> int:
        """Returns how many requests wait."""
        return sum(queue.count for queue in self.workspaces.values())
