"""Stops of processes, singly and in quick succession, and slow processes."""

import asyncio
import contextlib
import itertools
import os
import signal
from collections.abc import Awaitable, Callable

from soak.fleet import Node, SoakFleet, has_logged_its_start
from soak.plan import Fault, FaultKind

RESTART_SECONDS = 0.1
START_TIMEOUT_SECONDS = 5.0
START_CHECK_INTERVAL_SECONDS = 0.05
SUSPENDED_SECONDS = 0.1
RELOAD_INTERVAL_SECONDS = 0.05
RUNNING_SECONDS = (0.05, 0.1, 0.15)


async def wait_until_started(node: Node) -> None:
    """Waits until the process handles signals, or gives up."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while node.child.is_running and not has_logged_its_start(
                node, node.child.pid
            ):
                await asyncio.sleep(START_CHECK_INTERVAL_SECONDS)


def send_signal(node: Node, number: signal.Signals) -> None:
    """Sends a signal to the process, if it is running.

    `ChildProcess.signal` also waits for a process that has just exited, which
    hides its exit code from the event loop.
    """
    if not node.child.is_running:
        return
    with contextlib.suppress(ProcessLookupError):
        descriptor = os.pidfd_open(node.child.pid)
        try:
            signal.pidfd_send_signal(descriptor, number)
        finally:
            os.close(descriptor)


async def terminate(fleet: SoakFleet, node: Node, fault: Fault) -> None:
    """Sends SIGTERM to a process and starts it again."""
    await fleet.terminate(node, fault.seconds)


async def terminate_twice(fleet: SoakFleet, node: Node, fault: Fault) -> None:
    """Sends a second SIGTERM to a process that stops."""
    stopping = node.child.process

    async def signal_again() -> None:
        await asyncio.sleep(fault.gap_seconds)
        if node.child.process is stopping:
            send_signal(node, signal.SIGTERM)

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(signal_again())
        tasks.create_task(fleet.terminate(node, fault.seconds))


async def terminate_after_start(
    fleet: SoakFleet, node: Node, fault: Fault
) -> None:
    """Stops a process again while it starts or soon afterwards."""
    await fleet.terminate(node, RESTART_SECONDS)
    await asyncio.sleep(fault.gap_seconds)
    await fleet.terminate(node, fault.seconds)


STOP_ACTIONS: dict[
    FaultKind, Callable[[SoakFleet, Node, Fault], Awaitable[None]]
] = {
    FaultKind.TERMINATE: terminate,
    FaultKind.TERMINATE_TWICE: terminate_twice,
    FaultKind.TERMINATE_AFTER_START: terminate_after_start,
}


async def run_in_turns(node: Node, seconds: float) -> None:
    """Gives a process its processor in turns, also while it is restarted.

    Does nothing if the process runs in turns already.
    """
    if node.turns.locked():
        return
    end = asyncio.get_running_loop().time() + seconds
    async with node.turns:
        for running in itertools.cycle(RUNNING_SECONDS):
            send_signal(node, signal.SIGSTOP)
            await asyncio.sleep(SUSPENDED_SECONDS)
            if not node.is_suspended:
                send_signal(node, signal.SIGCONT)
            if asyncio.get_running_loop().time() > end:
                return
            await asyncio.sleep(running)


async def reload_repeatedly(node: Node, seconds: float) -> None:
    """Sends SIGHUP to a process, once or again and again for a while."""
    end = asyncio.get_running_loop().time() + seconds
    send_signal(node, signal.SIGHUP)
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(RELOAD_INTERVAL_SECONDS)
        send_signal(node, signal.SIGHUP)
