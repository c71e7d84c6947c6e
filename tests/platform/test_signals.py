"""Signals to processes of a deployment, which may inherit a signal mask."""

import asyncio
import json
import os
import platform
import signal
import sys
from subprocess import DEVNULL

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until
from inherited_signals import blocked, ignored, usual_signals  # noqa: F401

ROLES = (CONTROL, GATEWAY)
STOPS = 8
STOP_SECONDS = 10.0
SIGNAL_INTERVAL_SECONDS = 0.0005
STOPPING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
SENT_SIGNALS = (*STOPPING_SIGNALS, signal.SIGHUP)
ALL_SIGNALS = signal.valid_signals() - {signal.SIGKILL, signal.SIGSTOP}
INHERITED = {
    "sent-blocked": (blocked, SENT_SIGNALS),
    "all-blocked": (blocked, ALL_SIGNALS),
    "ignored": (ignored, (*SENT_SIGNALS, signal.SIGCHLD, signal.SIGPIPE)),
}


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


async def start(fleet, role):
    process = fleet.popen(
        fleet.hosts[0], role, stdin=DEVNULL, stdout=DEVNULL, stderr=DEVNULL
    )

    await wait_until_alive(fleet, role, process)
    return process


async def wait_until_alive(fleet, role, process):
    async def is_alive():
        assert process.poll() is None
        return await fleet.is_alive(fleet.hosts[0], role)

    await wait_until(is_alive)


async def start_in_fleet(fleet, role):
    """Starts a process that logs to a file, and waits until it is alive."""
    host = fleet.hosts[0]
    child = await fleet.start(host, role)

    async def is_alive():
        assert child.is_running, child.log.read_text(encoding="utf-8")
        return await fleet.is_alive(host, role)

    await wait_until(is_alive)
    return child


def log_lines(child):
    lines = child.log.read_text(encoding="utf-8").splitlines()
    return [json.loads(line) for line in lines]


def events(child):
    """Returns the events that a process has logged."""
    return [line["event"] for line in log_lines(child)]


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


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("number", STOPPING_SIGNALS)
@pytest.mark.parametrize("inherited", INHERITED.values(), ids=INHERITED)
async def test_a_process_stops_whatever_signals_it_inherits(
    fleet, role, number, inherited
):
    """Guards against a process that never stops, and is killed, as whoever
    started it had its signals blocked or ignored.
    """
    hold, numbers = inherited
    with hold(numbers):
        child = await start_in_fleet(fleet, role)
    child.signal(number)
    async with asyncio.timeout(STOP_SECONDS):
        assert await child.process.wait() == 0
    assert events(child)[-1] == "stopped"


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("inherited", INHERITED.values(), ids=INHERITED)
async def test_a_process_reloads_whatever_signals_it_inherits(
    fleet, role, inherited
):
    """Guards against a process that never reloads its settings on SIGHUP as
    whoever started it had its signals blocked or ignored.
    """
    hold, numbers = inherited
    with hold(numbers):
        child = await start_in_fleet(fleet, role)
    child.signal(signal.SIGHUP)

    async def is_reloaded():
        return "settings_reloaded" in events(child)

    await wait_until(is_reloaded)
    assert await child.terminate() == 0


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize(
    "inherited, field",
    [(blocked, "signals_blocked"), (ignored, "signals_ignored")],
)
async def test_a_process_logs_what_it_was_started_with(
    fleet, role, inherited, field
):
    """Guards against a process whose log doesn't tell which signals it was
    started with as blocked or ignored, nor by which interpreter.
    """
    with inherited([signal.SIGINT, signal.SIGTERM]):
        child = await start_in_fleet(fleet, role)
    first = log_lines(child)[0]
    assert first["event"] == "starting"
    assert first["pid"] == child.pid
    assert first["python"] == platform.python_version()
    assert first["executable"] == sys.executable
    assert first[field] == ["SIGINT", "SIGTERM"]


@pytest.mark.parametrize("role", ROLES)
async def test_a_usual_start_logs_no_signals(fleet, role):
    """Guards against a log that names signals of a usual start as odd."""
    child = await start_in_fleet(fleet, role)
    first = log_lines(child)[0]
    assert first["event"] == "starting"
    assert {"signals_blocked", "signals_ignored"}.isdisjoint(first)


@pytest.mark.parametrize("role", ROLES)
async def test_a_process_runs_on_when_its_terminal_suspends_its_group(
    fleet, role
):
    """Guards against a process that stands still, and is killed as it doesn't
    stop, as a terminal has sent SIGTSTP to its process group.

    It is in the session of the tests: a group that has no parent in its
    session is not suspended.
    """
    child = fleet.popen(
        *(fleet.hosts[0], role),
        stdin=DEVNULL,
        stdout=DEVNULL,
        stderr=DEVNULL,
        process_group=0,
    )
    try:
        await wait_until_alive(fleet, role, child)
        os.killpg(child.pid, signal.SIGTSTP)
        os.killpg(child.pid, signal.SIGTERM)
        assert await asyncio.to_thread(child.wait, STOP_SECONDS) == 0
    finally:
        child.kill()
        child.wait()


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("first", STOPPING_SIGNALS)
@pytest.mark.parametrize("second", STOPPING_SIGNALS)
async def test_a_process_that_is_told_to_stop_twice_ends_what_it_does(
    fleet, role, first, second
):
    """Guards against a stopping process that is ended by another signal of its
    terminal or supervisor.
    """
    child = await start_in_fleet(fleet, role)
    child.signal(first)
    child.signal(second)
    async with asyncio.timeout(STOP_SECONDS):
        assert await child.process.wait() == 0
    assert events(child)[-1] == "stopped"
