"""Processes whose standard streams are closed, unread or can't be written."""

import asyncio
import contextlib
import os
import pty
import subprocess

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until

ROLES = (CONTROL, GATEWAY)
STANDARD_DESCRIPTORS = (0, 1, 2)
EXIT_SECONDS = 15.0
REQUESTS = 400
"""Each writes a log line; they are far more than a terminal buffers."""


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


@contextlib.contextmanager
def unread_terminal():
    reader, writer = pty.openpty()
    try:
        yield writer
    finally:
        os.close(reader)
        os.close(writer)


@contextlib.contextmanager
def unread_pipe():
    reader, writer = os.pipe()
    try:
        yield writer
    finally:
        os.close(reader)
        os.close(writer)


@contextlib.contextmanager
def pipe_without_reader():
    reader, writer = os.pipe()
    os.close(reader)
    try:
        yield writer
    finally:
        os.close(writer)


@contextlib.contextmanager
def full_device():
    with open("/dev/full", "wb") as file:
        yield file.fileno()


OUTPUTS = (unread_terminal, unread_pipe, pipe_without_reader, full_device)


@pytest.mark.parametrize("output", OUTPUTS)
async def test_output_that_nobody_reads_holds_up_no_request(fleet, output):
    """Guards against a process that stands still in the write of a log line,
    and is killed as it doesn't stop.
    """
    host = fleet.hosts[0]
    url = f"http://{host.ip}:{fleet.ports.frontend}/"
    with (
        output() as descriptor,
        running(
            fleet, GATEWAY, stdout=descriptor, stderr=descriptor
        ) as process,
    ):
        await wait_until_alive(fleet, GATEWAY, process)
        async with asyncio.timeout(EXIT_SECONDS):
            for _ in range(REQUESTS):
                async with fleet.session.get(url) as response:
                    assert response.status == 503
        process.terminate()
        assert await exit_code(process) == 0
