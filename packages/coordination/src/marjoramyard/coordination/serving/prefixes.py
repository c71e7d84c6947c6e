"""Which prompt prefixes an engine's cache is likely to hold."""

import hashlib
from collections import OrderedDict

PREFIX_BYTES = 1024
_DEFAULT_CAPACITY = 512


def prefix_digest(body: bytes) -> str:
    """Returns the digest of a request's first bytes, or "" if too short."""
    if len(body) < PREFIX_BYTES:
        return ""
    return hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:16]


class PrefixHistory:
    """What the agent itself ran, corrected by the engine's cache events.

    Events are numbered. After a gap an unknown number of evictions was
    missed, so everything is forgotten: a cold start costs time, a wrong
    belief costs the strict order for nothing.
    """

    def __init__(self, capacity: int = _DEFAULT_CAPACITY):
        self.capacity = capacity
        self.recent: OrderedDict[str, None] = OrderedDict()
        self.last_event = -1

    def record_run(self, prefix: str) -> None:
        """Notes that a request with this prefix ran here."""
        if not prefix:
            return
        self.recent[prefix] = None
        self.recent.move_to_end(prefix)
        while len(self.recent) > self.capacity:
            self.recent.popitem(last=False)

    def on_evictions(self, number: int, prefixes: list[str]) -> None:
        """Takes in a numbered event of the engine."""
        if self.last_event >= 0 and number > self.last_event + 1:
            self.recent.clear()
        if number > self.last_event:
            self.last_event = number
        for prefix in prefixes:
            self.recent.pop(prefix, None)

    def is_warm(self, prefix: str) -> bool:
        """Returns whether the engine probably holds the prefix."""
        return prefix in self.recent
