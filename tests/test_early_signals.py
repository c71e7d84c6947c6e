"""Signals to a process that has not started yet."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from marjoramyard import fleet
from marjoramyard.fleet.cmd.daemon import EXIT_INVALID_SETTINGS
from marjoramyard.standin.local_fleet import wait_until

TIMEOUT_SECONDS = 20.0
SCRIPT = str(Path(fleet.__file__).with_name("__main__.py"))
COMMANDS = (["-m", "marjoramyard.fleet"], ["-P", SCRIPT])
SLOW_MODULES = {"enum", "runpy", "signal", "site"}


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize(
    "number",
    [
        signal.SIGHUP,
        signal.SIGUSR1,
        signal.SIGUSR2,
        signal.SIGTTIN,
        signal.SIGTTOU,
    ],
)
async def test_a_signal_while_a_process_starts_does_not_end_it(
    tmp_path, command, number
):
    """Guards against signals to daemons that end or stop a process which has
    no handler yet.

    The process reads its settings from a pipe, so that it is known to be
    starting when it gets the signal.
    """
    settings = tmp_path / "gateway.yaml"
    os.mkfifo(settings)
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, *command, "run", str(settings)),
        stderr=asyncio.subprocess.PIPE,
    )

    async def is_reading():
        with contextlib.suppress(OSError):
            return os.open(settings, os.O_WRONLY | os.O_NONBLOCK)

    pipe = await wait_until(is_reading, "the process to read its settings")
    child.send_signal(number)
    with contextlib.suppress(BrokenPipeError):
        os.write(pipe, b"role: none\n")
    os.close(pipe)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        _, errors = await child.communicate()
    # The files of a failed test are read to be kept.
    settings.unlink()
    assert child.returncode == EXIT_INVALID_SETTINGS, errors
    assert b"'none' is unknown" in errors


def test_signals_are_ignored_before_slow_modules_are_imported():
    """Guards against a longer time in which a signal ends the process."""
    done = subprocess.run(
        [sys.executable, "-S", "-P", "-X", "importtime", SCRIPT, "--help"],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    imported = [
        line.rpartition("|")[2].strip() for line in done.stderr.split("\n")
    ]
    first = imported.index("marjoramyard.kernel.standard_streams")
    assert "_signal" in imported[:first]
    assert SLOW_MODULES.isdisjoint(imported[:first])
