"""Processes whose standard streams are closed, unread or can't be written."""

import asyncio
import contextlib
import os
import subprocess

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until

ROLES = (CONTROL, GATEWAY)
STANDARD_DESCRIPTORS = (0, 1, 2)
EXIT_SECONDS = 15.0


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


def close_streams(descriptors):
    def close():
        for descriptor in descriptors:
            os.close(descriptor)

    return close


@contextlib.contextmanager
def running(fleet, role, **options):
    """Starts a process with its streams at the null device by default."""
    streams = dict.fromkeys(("stdin", "stdout", "stderr"), subprocess.DEVNULL)
    process = fleet.popen(fleet.hosts[0], role, **(streams | options))
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def wait_until_alive(fleet, role, process):
    async def is_alive():
        assert process.poll() is None, f"exit code {process.returncode}"
        return await fleet.is_alive(fleet.hosts[0], role)

    await wait_until(is_alive)


async def exit_code(process):
    return await asyncio.to_thread(process.wait, EXIT_SECONDS)


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (1, 2), (0, 1, 2)])
async def test_a_process_starts_with_closed_streams(fleet, role, closed):
    """Guards against a process that doesn't start as its output is closed, and
    against sockets and files that get the descriptors of closed streams.
    """
    options = {"preexec_fn": close_streams(closed)}
    with running(fleet, role, **options) as process:
        await wait_until_alive(fleet, role, process)
        opened = {
            os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
            for descriptor in STANDARD_DESCRIPTORS
        }
        assert opened == {os.devnull}
        process.terminate()
        assert await exit_code(process) == 0
