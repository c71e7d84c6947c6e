"""Deadlines in an event loop that is late."""

import asyncio
import socket
import time

import pytest

from marjoramyard.fleet.util.deadlines import timeout_after_input

TIMEOUT_SECONDS = 0.02


def in_future():
    return asyncio.get_running_loop().time() + TIMEOUT_SECONDS


async def test_work_that_takes_too_long_is_ended():
    with pytest.raises(TimeoutError):
        async with timeout_after_input(in_future()):
            await asyncio.Event().wait()


async def test_work_that_is_done_in_time_is_not_ended_later():
    """Guards against a timer that ends what follows the work."""
    due = in_future()
    async with timeout_after_input(due):
        await asyncio.sleep(0)
    while asyncio.get_running_loop().time() < due + TIMEOUT_SECONDS:
        await asyncio.sleep(0.001)


async def test_a_time_that_is_over_already_ends_the_work():
    with pytest.raises(TimeoutError):
        async with timeout_after_input(in_future() - 1.0):
            await asyncio.Event().wait()


async def test_data_that_arrived_in_time_is_read_by_a_late_loop():
    """Guards against a timer that is handled before what has arrived."""
    near, far = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=near)
    async with timeout_after_input(in_future()):
        reading = asyncio.ensure_future(reader.readexactly(4))
        await asyncio.sleep(0)
        far.sendall(b"data")
        # The event loop stands still.
        time.sleep(2 * TIMEOUT_SECONDS)  # noqa: ASYNC251
        assert await reading == b"data"
    writer.close()
    far.close()


async def test_a_cancelled_caller_is_not_taken_for_a_timeout():
    async def work():
        async with timeout_after_input(in_future() + 60.0):
            await asyncio.Event().wait()

    task = asyncio.create_task(work())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
