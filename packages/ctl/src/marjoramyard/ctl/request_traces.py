"""Tells from logs what became of a request, and why requests fail."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

NEAR_SECONDS = 5.0
"""Changes of belief this long before the end of a request may explain it:
longer than a lease lasts or an election takes."""
_QUIET = frozenset({"timestamp", "event", "name", "role", "level", "module"})

Line = dict[str, Any]


def read_lines(text: Iterable[str]) -> Iterator[Line]:
    """Reads log lines; what is no JSON object is passed over.

    A process killed in the middle of a line leaves half of one.
    """
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line:
            yield line


def failed(line: Line) -> bool:
    """Whether a line is of a request that got no good answer."""
    status = line.get("status", 0)
    return line["event"] == "request" and not 200 <= status < 300


def trace_of(request_id: str, lines: list[Line]) -> list[Line]:
    """Returns the lines that tell of one request, by time.

    They are its own lines, and the changes that the processes on its way
    noticed shortly before it ended: of the endpoints it was sent to, of
    brokers, leases, leaders and the configuration.
    """
    own = [line for line in lines if line.get("id") == request_id]
    if not own:
        return []
    end = max(line["timestamp"] for line in own)
    nodes = {line.get("name") for line in own}
    endpoints = {
        send.split()[0] for line in own for send in line.get("sends", [])
    }
    around = [
        line
        for line in lines
        if line["event"] != "request"
        and _seconds_between(line["timestamp"], end) <= NEAR_SECONDS
        and (line.get("name") in nodes or line.get("endpoint") in endpoints)
    ]
    return sorted([*around, *own], key=lambda line: line["timestamp"])


def _seconds_between(earlier: str, later: str) -> float:
    """Returns how long before `later` a time was; infinite if after it."""
    gap = _seconds(later) - _seconds(earlier)
    return gap if gap >= 0 else float("inf")


def _seconds(stamp: str) -> float:
    clock = stamp.partition("T")[2].rstrip("Z")
    hours, minutes, seconds = clock.split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def cause_of(line: Line) -> str:
    """Names the deciding input of a failed request's line."""
    outcome = str(line.get("outcome"))
    if line.get("predicted_ms") is not None:
        return f"{outcome}: predicted too late"
    sends = line.get("sends") or []
    last = sends[-1].partition(" ")[2] if sends else ""
    if last:
        return f"{outcome}: {last.partition('(')[0]}"
    return f"{outcome}: {'sent, no answer' if sends else 'not sent'}"


def causes(lines: Iterable[Line]) -> list[tuple[str, int]]:
    """Counts why requests failed, the most frequent cause first."""
    found = Counter(cause_of(line) for line in lines if failed(line))
    return sorted(found.items(), key=lambda pair: (-pair[1], pair[0]))


def render(line: Line) -> str:
    """Returns a line as text: time, who, what, and with which inputs."""
    inputs = [
        f"{key}={value}"
        for key, value in line.items()
        if key not in _QUIET and value not in (None, "", [])
    ]
    clock = line["timestamp"].partition("T")[2].rstrip("Z")
    who = line.get("name", "?")
    return f"{clock}  {who}  {line['event']}  {' '.join(inputs)}"
