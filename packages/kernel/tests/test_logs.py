"""Logs stay bounded and never make the process wait."""

import os

import pytest
import structlog

from marjoramyard.kernel.logs import LINES_PER_SECOND, LineSink, VolumeCap


def test_a_reader_that_stopped_does_not_stop_the_writer():
    """Callers would get no answers while somebody pauses a log viewer.

    The pipe fills up, lines are dropped and counted, and once the reader
    goes on, whole lines arrive.
    """
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


def test_a_reader_that_is_gone_raises_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LineSink(writer)
    sink.write("line")
    assert sink.dropped == 1
    os.close(writer)


def test_successes_are_left_out_and_failures_are_not():
    now = 0.0
    cap = VolumeCap(lambda: now)
    passed = 0
    for _ in range(1000):
        try:
            cap(None, "info", {"event": "request", "status": 200})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed == LINES_PER_SECOND
    for _ in range(100):
        cap(None, "info", {"event": "request", "status": 503})
    now = 1.0
    line = cap(None, "info", {"event": "request", "status": 200})
    assert line["lines_omitted_before"] == 1000 - LINES_PER_SECOND


def test_other_kinds_have_their_own_lines():
    cap = VolumeCap(lambda: 0.0)
    with pytest.raises(structlog.DropEvent):
        for _ in range(1000):
            cap(None, "info", {"event": "request", "status": 200})
    assert cap(None, "info", {"event": "config_in_force"})
