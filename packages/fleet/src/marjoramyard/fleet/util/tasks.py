"""Background tasks that are cancelled with their owner."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)


class TaskGroup:
    """Keeps references to tasks and logs their failures.

    The event loop keeps only weak references, so an unreferenced task may be
    garbage collected before it is done.
    """

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Starts a task; logs its exception if it fails."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("task_failed", exc_info=task.exception())

    async def close(self) -> None:
        """Cancels all running tasks and waits for them."""
        running = list(self.tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


@asynccontextmanager
async def task_group() -> AsyncIterator[TaskGroup]:
    """Yields a task group that is closed at the end of the context."""
    group = TaskGroup()
    try:
        yield group
    finally:
        await group.close()
