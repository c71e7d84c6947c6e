"""Meters of the service that a request receives."""

import re
import time
from typing import Annotated

import msgspec

from marjoramyard.coordination.routing.table import MAX_PART_TOKENS
from marjoramyard.kernel.registry import Registry
from marjoramyard.kernel.util.decoding import decode_json

BYTES_PER_TOKEN = 4
"""Estimates the prompt's tokens until the engine reports its own count."""
MILLISECONDS_PER_SECOND = 1000.0
_TAIL_BYTES = 2048
"""Length of the end of the response that is searched for the usage report."""
_USAGE = re.compile(rb'"usage"\s*:\s*(\{[^{}]*\})')


Tokens = Annotated[float, msgspec.Meta(ge=0, le=MAX_PART_TOKENS)]


class Usage(msgspec.Struct):
    """The engine's own count at the end of a response."""

    prompt_tokens: Tokens = 0.0
    completion_tokens: Tokens = 0.0


class Meter:
    """Counts the service units of one request.

    Attributes:
        total: Units counted so far.
        charged: Units that `collect` has returned.
    """

    def __init__(self):
        self.total = 0.0
        self.charged = 0.0

    def begin(self, body: bytes) -> None:
        """Starts the count when the request is sent."""

    def observe(self, chunk: bytes) -> int:
        """Counts a chunk of the response; returns its number of tokens."""
        return 0

    def end(self) -> None:
        """Completes the count at the end of the response."""

    def collect(self) -> float:
        """Returns the units to charge since the last call, at least 0.

        Charged totals never decrease, so an excess is deducted from later
        units.
        """
        amount = max(0.0, self.total - self.charged)
        self.charged += amount
        return amount


METERS: Registry[type[Meter]] = Registry("meter")
"""The meters by kind of service."""


@METERS.register("engine")
class TokenMeter(Meter):
    """Counts prompt tokens at the start and output tokens as they arrive."""

    def __init__(self):
        super().__init__()
        self.response_tail = b""

    def begin(self, body: bytes) -> None:
        """Counts the prompt, estimated by its size."""
        self.total = len(body) / BYTES_PER_TOKEN

    def observe(self, chunk: bytes) -> int:
        """Counts each event as one token."""
        tokens = chunk.count(b"data:")
        self.total += tokens
        self.response_tail = (self.response_tail + chunk)[-_TAIL_BYTES:]
        return tokens

    def end(self) -> None:
        """Replaces the count by the engine's own, if it reported one."""
        reports = _USAGE.findall(self.response_tail)
        if not reports:
            return
        try:
            usage = decode_json(reports[-1], Usage)
        except msgspec.DecodeError:
            return
        self.total = usage.prompt_tokens + usage.completion_tokens


@METERS.register("plain")
class TimeMeter(Meter):
    """Counts the milliseconds that a request takes."""

    def __init__(self):
        super().__init__()
        self.started_at = 0.0

    def begin(self, body: bytes) -> None:
        """Records the start."""
        self.started_at = time.monotonic()

    def observe(self, chunk: bytes) -> int:
        """Sets the total to the time since the start."""
        self.end()
        return 0

    def end(self) -> None:
        """Sets the total to the time since the start."""
        self.total = (
            time.monotonic() - self.started_at
        ) * MILLISECONDS_PER_SECOND
