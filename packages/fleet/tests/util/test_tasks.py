"""Background tasks that fail."""

import asyncio
from functools import partial

from marjoramyard.fleet.util import tasks
from marjoramyard.fleet.util.tasks import log_failure, task_group


class Loop:
    """A loop that fails at some items.

    Attributes:
        items: The items that it has yet to handle.
        handled: Those that it has handled.
    """

    def __init__(self, items):
        self.items = items
        self.handled = []
        self.is_done = asyncio.Event()

    async def run(self):
        while self.items:
            await asyncio.sleep(0)
            self.handled.append(int(self.items.pop(0)))
        self.is_done.set()


async def test_a_loop_goes_on_after_an_item_that_fails(monkeypatch):
    """Guards against duties that end for good with one odd value."""
    monkeypatch.setattr(tasks, "RESTART_SECONDS", 0.0)
    loop = Loop(["1", "x", "2", "[::1", "3"])
    async with task_group() as group:
        group.spawn_forever(loop.run)
        await asyncio.wait_for(loop.is_done.wait(), 5.0)
        group.spawn_forever(partial(loop.run))
    assert loop.handled == [1, 2, 3]


async def test_a_loop_ends_with_its_owner():
    loop = Loop([])
    async with task_group() as group:
        task = group.spawn_forever(partial(asyncio.sleep, 600))
        await asyncio.sleep(0)
    assert task.cancelled()
    assert loop.handled == []


def test_the_other_items_are_handled():
    """Guards against items that are never reached, as one before them fails."""
    handled = []
    for item in ("1", "x", "2"):
        with log_failure("read", item=item):
            handled.append(int(item))
    assert handled == [1, 2]
