"""Signals in series to processes that run and that stop."""

import asyncio
import signal
from subprocess import DEVNULL

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until

ROLES = (CONTROL, GATEWAY)
STOPS = 8
STOP_SECONDS = 10.0
SIGNAL_INTERVAL_SECONDS = 0.0005


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


async def start(fleet, role):
    process = fleet.popen(
        fleet.hosts[0], role, stdin=DEVNULL, stdout=DEVNULL, stderr=DEVNULL
    )

    async def is_alive():
        assert process.poll() is None
        return await fleet.is_alive(fleet.hosts[0], role)

    await wait_until(is_alive)
    return process


async def send_until_exit(process, number):
    """Sends a signal again and again; returns the exit code.

    `Popen` is used, as a child process of asyncio that is sent a signal after
    its exit loses its exit code.
    """
    try:
        async with asyncio.timeout(STOP_SECONDS):
            while process.poll() is None:
                process.send_signal(number)
                await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
    finally:
        process.kill()
    return process.wait()


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
async def test_signals_in_series_neither_end_a_process_nor_keep_it(
    fleet, role, number
):
    """Guards against a stopping process that is ended by a further signal, or
    that reloads its settings for each of them and never ends.
    """
    codes = []
    for _ in range(STOPS):
        process = await start(fleet, role)
        process.terminate()
        codes.append(await send_until_exit(process, number))
    assert codes == [0] * STOPS
