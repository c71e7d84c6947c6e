"""Traces of single requests, and causes of failures, from log files."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

CONTEXT_SECONDS = 5.0
"""Events within this time before the end of a request are part of its trace;
longer than a lease or an election."""
_HIDDEN_FIELDS = frozenset(
    {"timestamp", "event", "name", "role", "level", "module"}
)

Line = dict[str, Any]


def read_lines(text: Iterable[str]) -> Iterator[Line]:
    """Parses JSON log lines; skips lines without a valid JSON object.

    A process that was killed may leave a truncated line. Text before the
    first brace is ignored.
    """
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except (ValueError, RecursionError):
            continue
        if isinstance(line, dict) and "event" in line:
            yield line


def is_failed(line: Line) -> bool:
    """Returns whether a line is that of a failed request."""
    status = line.get("status", 0)
    return line["event"] == "request" and not 200 <= status < 300


def trace_of(request_id: str, lines: list[Line]) -> list[Line]:
    """Returns the log lines that explain one request, in order of time.

    These are the lines of the request itself, and other events shortly before
    its end that concern its endpoints or were logged by the processes that
    handled it, such as changes of brokers, leases or the configuration.
    """
    request_lines = [line for line in lines if line.get("id") == request_id]
    if not request_lines:
        return []
    end = max(line["timestamp"] for line in request_lines)
    processes = {line.get("name") for line in request_lines}
    endpoints = {
        send.split()[0]
        for line in request_lines
        for send in line.get("sends", [])
    }
    context = [
        line
        for line in lines
        if line["event"] != "request"
        and _seconds_between(line["timestamp"], end) <= CONTEXT_SECONDS
        and (line.get("name") in processes or line.get("endpoint") in endpoints)
    ]
    return sorted(
        [*context, *request_lines], key=lambda line: line["timestamp"]
    )


def _seconds_between(earlier: str, later: str) -> float:
    """Returns the seconds from `earlier` to `later`; infinite if negative."""
    interval = _seconds(later) - _seconds(earlier)
    return interval if interval >= 0 else float("inf")


def _seconds(timestamp: str) -> float:
    """Returns the time of day in seconds."""
    clock = timestamp.partition("T")[2].rstrip("Z")
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def cause_of(line: Line) -> str:
    """Returns the outcome and the cause of a failed request."""
    outcome = str(line.get("outcome"))
    if line.get("predicted_ms") is not None:
        return f"{outcome}: predicted too late"
    if line.get("unplaceable") is not None:
        return f"{outcome}: {line['unplaceable']}"
    sends = line.get("sends") or []
    error = sends[-1].partition(" ")[2] if sends else ""
    if error:
        return f"{outcome}: {error.partition('(')[0]}"
    return f"{outcome}: {'sent, no answer' if sends else 'not sent'}"


def causes(lines: Iterable[Line]) -> list[tuple[str, int]]:
    """Counts the causes of failed requests, the most frequent first."""
    counts = Counter(cause_of(line) for line in lines if is_failed(line))
    return sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))


def format_line(line: Line) -> str:
    """Formats a line as text: time, process name, event and fields."""
    fields = [
        f"{key}={value}"
        for key, value in line.items()
        if key not in _HIDDEN_FIELDS and value not in (None, "", [])
    ]
    clock = line["timestamp"].partition("T")[2].rstrip("Z")
    process = line.get("name", "?")
    return f"{clock}  {process}  {line['event']}  {' '.join(fields)}"
