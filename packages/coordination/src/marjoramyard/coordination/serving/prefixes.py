"""Estimates which prompt prefixes an engine has in its cache."""

import hashlib
from collections import OrderedDict

PREFIX_BYTES = 1024
_DEFAULT_CAPACITY = 512


def prefix_digest(body: bytes) -> str:
    """Returns the digest of a request's prefix.

    Returns:
        The digest of the first `PREFIX_BYTES` bytes, or "" if the body is
        shorter.
    """
    if len(body) < PREFIX_BYTES:
        return ""
    return hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:16]


class PrefixHistory:
    """Prefixes that an endpoint has run and not evicted since.

    Eviction events are numbered. After a gap in the numbers it is unknown
    which prefixes the engine still holds, so the history is cleared.
    Otherwise requests would be served out of order without a cache hit.
    """

    def __init__(self, capacity: int = _DEFAULT_CAPACITY):
        self.capacity = capacity
        self.recent: OrderedDict[str, None] = OrderedDict()
        self.last_event_number = -1

    def record_run(self, prefix: str) -> None:
        """Records that a request with this prefix has run."""
        if not prefix:
            return
        self.recent[prefix] = None
        self.recent.move_to_end(prefix)
        while len(self.recent) > self.capacity:
            self.recent.popitem(last=False)

    def on_evictions(self, number: int, prefixes: list[str]) -> None:
        """Applies an eviction event of the engine.

        Args:
            number: Number of the event.
            prefixes: Digests of the evicted prefixes.
        """
        if self.last_event_number >= 0 and number > self.last_event_number + 1:
            self.recent.clear()
        if number > self.last_event_number:
            self.last_event_number = number
        for prefix in prefixes:
            self.recent.pop(prefix, None)

    def is_warm(self, prefix: str) -> bool:
        """Returns whether the engine is likely to hold the prefix."""
        return prefix in self.recent
