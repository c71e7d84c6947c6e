"""Signals to a process that has not started yet."""

import asyncio
import contextlib
import os
import signal
import sys

from marjoramyard.fleet.cmd.daemon import EXIT_INVALID_SETTINGS
from marjoramyard.standin.local_fleet import wait_until

TIMEOUT_SECONDS = 20.0


async def test_a_reload_while_a_process_starts_does_not_end_it(tmp_path):
    """Guards against SIGHUP that ends a process which has no handler yet.

    The process reads its settings from a pipe, so that it is known to be
    starting when it gets the signal.
    """
    settings = tmp_path / "gateway.yaml"
    os.mkfifo(settings)
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "marjoramyard.fleet", "run", str(settings)),
        stderr=asyncio.subprocess.PIPE,
    )

    async def is_reading():
        with contextlib.suppress(OSError):
            return os.open(settings, os.O_WRONLY | os.O_NONBLOCK)

    pipe = await wait_until(is_reading, "the process to read its settings")
    child.send_signal(signal.SIGHUP)
    with contextlib.suppress(BrokenPipeError):
        os.write(pipe, b"role: none\n")
    os.close(pipe)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        _, errors = await child.communicate()
    # The files of a failed test are read to be kept.
    settings.unlink()
    assert child.returncode == EXIT_INVALID_SETTINGS, errors
    assert b"'none' is unknown" in errors
