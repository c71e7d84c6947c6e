"""Remembers which engines have recently prefilled which shared prompt parts."""

import time
from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from marjoramyard.coordination.routing.table import PromptPart

MAX_PREFIXES = 512
"""The maximum number of prefixes to remember."""
MAX_AGE_SECONDS = 15.0
"""Older prefixes have probably been evicted by their engine."""


class SentPrefix(msgspec.Struct, frozen=True):
    """The shared parts of a prompt that was sent to an engine.

    Attributes:
        endpoint: The engine.
        parts: The shared parts in order.
        sent_at: When it was last sent, on the monotonic clock in seconds.
    """

    endpoint: str
    parts: tuple[PromptPart, ...]
    sent_at: float


class PrefixHistory:
    """The shared prompt parts that a gateway has sent to engines.

    A new broker does not know what engines have cached. Without a report from
    its gateways all shared parts would be prefilled again.

    Attributes:
        prefixes: By endpoint and digest of the last shared part, least recently
            sent first.
    """

    def __init__(self):
        self.prefixes: OrderedDict[tuple[str, str], SentPrefix] = OrderedDict()

    def add(self, endpoint: str, parts: Sequence[PromptPart]) -> None:
        """Records that a prompt is being sent to an engine."""
        shared = tuple(parts[:-1])
        if not shared:
            return
        key = (endpoint, shared[-1].digest)
        self.prefixes.pop(key, None)
        self.prefixes[key] = SentPrefix(endpoint, shared, time.monotonic())
        if len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def recent(self) -> list[SentPrefix]:
        """Returns the prefixes that are probably cached, oldest first."""
        limit = time.monotonic() - MAX_AGE_SECONDS
        return [p for p in self.prefixes.values() if p.sent_at > limit]
