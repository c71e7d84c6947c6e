"""Signals to a process that has not started yet."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from inherited_signals import blocked, ignored, usual_signals  # noqa: F401

from marjoramyard import fleet as fleet_package
from marjoramyard.fleet.cmd.daemon import EXIT_INVALID_SETTINGS
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import BINARIES, free_address

TIMEOUT_SECONDS = 20.0
SCRIPT = str(Path(fleet_package.__file__).with_name("__main__.py"))
COMMANDS = (
    ["-m", "marjoramyard.fleet"],
    ["-P", SCRIPT],
    [str(BINARIES / "marjoramyard")],
)
INHERITED = {
    "blocked": blocked,
    "ignored": ignored,
    "usual": contextlib.nullcontext,
}
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
        signal.SIGTSTP,
    ],
)
async def test_a_signal_while_a_process_starts_does_not_end_it(
    tmp_path, command, number
):
    """Guards against signals to daemons that end or stop a process which has
    no handler yet.

    """
    code, errors = await signal_while_starting(tmp_path, command, number)
    assert code == EXIT_INVALID_SETTINGS, errors
    assert b"'none' is unknown" in errors


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize(
    "number", [signal.SIGTERM, signal.SIGINT, signal.SIGQUIT]
)
@pytest.mark.parametrize("inherited", INHERITED.values(), ids=INHERITED)
async def test_a_process_that_starts_ends_when_it_is_told_to(
    tmp_path, command, number, inherited
):
    """Guards against a process that can't be ended while it starts, as
    whoever started it had its signals blocked or ignored, and against a
    traceback or an exit code in place of its end that is taken for a failure.
    """
    with inherited([number]):
        code, errors = await signal_while_starting(tmp_path, command, number)
    assert (code, errors) == (0, b"")


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_a_check_of_settings_that_is_ended_does_not_succeed(
    tmp_path, command, number
):
    """Guards against settings that are taken for valid as their check was
    ended by a signal.
    """
    code, errors = await signal_while_starting(
        tmp_path, command, number, "check"
    )
    assert (code, errors) == (-number, b"")


async def signal_while_starting(tmp_path, command, number, action="run"):
    """Signals a process that reads its settings from a pipe.

    So it is known to be starting when it gets the signal.

    Returns:
        Its exit code and what it wrote to standard error.
    """
    settings = tmp_path / "gateway.yaml"
    os.mkfifo(settings)
    child = await asyncio.create_subprocess_exec(
        *(sys.executable, *command, action, str(settings)),
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
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            _, errors = await child.communicate()
    finally:
        if child.returncode is None:
            child.kill()
        # The files of a failed test are read to be kept.
        settings.unlink()
    return child.returncode, errors


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_entries_and_agents_stop_though_signals_were_blocked(
    fleet, number
):
    """Guards against an entry or agent that never stops, and is killed, as
    whoever started it had its signals blocked.
    """
    fleet.secret_file.write_text("s" * 64, encoding="utf-8")
    fleet.control_hosts["control-1"] = free_address()
    with blocked([number]):
        children = [
            await fleet.start_entry("entry-1"),
            await fleet.start_agent("chat-1"),
        ]
    for name in ("entry-1", "agent-chat-1"):
        await fleet.wait_until_healthy(fleet.internal_addresses[name])
    codes = []
    for child in children:
        child.signal(number)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            codes.append(await child.process.wait())
    assert codes == [0, 0]


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
