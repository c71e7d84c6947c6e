"""Logging is rate-limited and never blocks the process."""

import json
import os
import pty
import subprocess
import sys
import threading

import pytest
import structlog

from marjoramyard.kernel.logs import LINES_PER_SECOND, LineSink, LogRateLimiter

TIMEOUT_SECONDS = 20.0


def test_a_paused_reader_does_not_block_the_writer():
    """Guards against a stalled event loop when the log pipe is full."""
    reader, writer = os.pipe()
    sink = LineSink(writer, limit=10_000)
    for number in range(20_000):
        sink.write(f"line {number}")
    assert sink.dropped > 0
    read = b""
    while True:
        os.set_blocking(reader, False)
        try:
            read += os.read(reader, 1 << 16)
        except BlockingIOError:
            if not sink.pending:
                break
            sink.flush()
    lines = read.decode().splitlines()
    assert lines == [f"line {n}" for n in range(len(lines))]
    assert len(lines) + sink.dropped == 20_000
    os.close(reader)
    os.close(writer)


def read_terminal(reader, wanted):
    """Returns at least as many bytes as wanted, without carriage returns."""
    read = b""
    while len(read) < wanted:
        read += os.read(reader, 1 << 16).replace(b"\r", b"")
    return read


def test_a_terminal_that_nobody_reads_does_not_block_the_writer():
    """Guards against an event loop that stands still in a write."""
    reader, writer = pty.openpty()
    sink = LineSink(writer, limit=10_000)
    for number in range(20_000):
        sink.write(f"line {number}")
    assert sink.dropped > 0
    assert os.get_blocking(writer), "the flag is shared with the shell"
    assert read_terminal(reader, 10).startswith(b"line 0\nline 1\n")
    os.close(sink.descriptor)
    os.close(writer)
    os.close(reader)


def test_a_closed_pipe_raises_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LineSink(writer)
    sink.write("line")
    assert sink.dropped == 1
    os.close(writer)


def test_the_rate_limit_of_successes_does_not_apply_to_failures():
    now = 0.0
    limiter = LogRateLimiter(lambda: now)
    passed = 0
    for _ in range(1000):
        try:
            limiter(None, "info", {"event": "request", "status": 200})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed == LINES_PER_SECOND
    for _ in range(100):
        limiter(None, "info", {"event": "request", "status": 503})
    now = 1.0
    line = limiter(None, "info", {"event": "request", "status": 200})
    assert line["lines_omitted_before"] == 1000 - LINES_PER_SECOND


def test_each_event_name_has_its_own_rate_limit():
    limiter = LogRateLimiter(lambda: 0.0)
    with pytest.raises(structlog.DropEvent):
        for _ in range(1000):
            limiter(None, "info", {"event": "request", "status": 200})
    assert limiter(None, "info", {"event": "config_in_force"})


LIBRARY_ERRORS = """
import asyncio, logging, threading, warnings
from marjoramyard.kernel.logs import configure_logs
from marjoramyard.kernel.settings import LogSettings

configure_logs(LogSettings(format="json"), role="test")

async def not_awaited():
    raise ConnectionResetError("not awaited")

async def main():
    task = asyncio.ensure_future(not_awaited())
    await asyncio.sleep(0)
    del task
    asyncio.get_running_loop().call_soon(lambda: 1 / 0)
    await asyncio.sleep(0.01)

try:
    raise OSError("broken " * 200)
except OSError:
    logging.getLogger("aiohttp.server").exception("Error handling request")
class Finalized:
    def __del__(self):
        raise KeyError("finalizer")

def run_thread():
    raise KeyError("thread")

Finalized()
thread = threading.Thread(target=run_thread)
thread.start()
thread.join()
warnings.warn("deprecated call")
asyncio.run(main())
raise ValueError("uncaught value")
"""


def test_errors_of_libraries_and_the_interpreter_are_one_line_each():
    """Guards against multi-line tracebacks among the structured logs."""
    result = subprocess.run(
        [sys.executable, "-c", LIBRARY_ERRORS], capture_output=True, text=True
    )
    assert result.stderr == ""
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert all(len(json.dumps(line)) < 1200 for line in lines)
    errors = " ".join(str(line.get("error")) for line in lines)
    for error in (
        "OSError",
        "ZeroDivisionError",
        "not awaited",
        "finalizer",
        "thread",
        "uncaught value",
    ):
        assert error in errors
    assert any("deprecated call" in str(line.get("message")) for line in lines)


def test_a_closed_descriptor_raises_nothing():
    """Guards against a process that doesn't start as its output is closed."""
    reader, writer = os.pipe()
    os.close(reader)
    os.close(writer)
    sink = LineSink(writer)
    sink.write("line")
    assert sink.dropped == 1


MANY_ERRORS = """
import sys
from marjoramyard.kernel.logs import keep_errors_from_blocking

keep_errors_from_blocking()
for _ in range(20_000):
    print("error", file=sys.stderr)
print("done")
"""


def test_errors_that_nobody_reads_do_not_block_the_writer():
    """Guards against a process that never ends as it waits in its last line."""
    reader, writer = pty.openpty()
    result = subprocess.run(
        [sys.executable, "-c", MANY_ERRORS],
        stdout=subprocess.PIPE,
        stderr=writer,
        timeout=20,
    )
    assert result.stdout == b"done\n"
    os.close(reader)
    os.close(writer)


def full_pipe_sink():
    """Returns a reader, and a sink whose last lines its pipe doesn't take."""
    reader, writer = os.pipe()
    sink = LineSink(writer)
    while not sink.pending:
        sink.write("a line")
    sink.write("stopped")
    return reader, sink


def test_the_last_lines_reach_a_reader_that_is_late():
    """Guards against a log that ends before the line `stopped`, as if the
    process had ended by itself, since its reader was behind.
    """
    reader, sink = full_pipe_sink()
    read = []

    def read_to_end():
        while part := os.read(reader, 1 << 12):
            read.append(part)

    late = threading.Thread(target=read_to_end, daemon=True)
    late.start()
    sink.flush_within(TIMEOUT_SECONDS)
    os.close(sink.descriptor)
    late.join()
    os.close(reader)
    assert b"".join(read).endswith(b"\na line\nstopped\n")


def test_an_end_does_not_wait_for_a_reader_that_takes_nothing():
    """Guards against a process that never ends as nobody reads its log."""
    reader, sink = full_pipe_sink()
    sink.flush_within(0.0)
    assert sink.pending.endswith(b"stopped\n")
    os.close(reader)
    sink.flush_within(TIMEOUT_SECONDS)
    assert not sink.pending
    os.close(sink.descriptor)
