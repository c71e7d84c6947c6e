"""Background tasks that are cancelled with their owner."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

RESTART_SECONDS = 0.2
"""The pause before a loop that failed goes on."""


@contextmanager
def log_failure(what: str, **fields: Any) -> Iterator[None]:
    """Logs an error in the context, so that a loop goes on to the next item.

    Args:
        what: What was being done.
        **fields: Fields of the log line, such as the item.
    """
    try:
        yield
    except Exception:
        logger.exception("item_failed", what=what, **fields)


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

    def spawn_forever(
        self, work: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task:
        """Starts a loop, and starts it again whenever it fails.

        What it has to do for all others must not end with one bad item.

        Args:
            work: The loop. Its state must outlast it.
        """
        return self.spawn(_repeat(work))

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


async def _repeat(work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    while True:
        try:
            return await work()
        except Exception:
            loop = getattr(work, "func", work)
            logger.exception("loop_failed", loop=loop.__qualname__)
        await asyncio.sleep(RESTART_SECONDS)


@asynccontextmanager
async def task_group() -> AsyncIterator[TaskGroup]:
    """Yields a task group that is closed at the end of the context."""
    group = TaskGroup()
    try:
        yield group
    finally:
        await group.close()
