"""Memory of a simulated engine: active requests and cached prompt parts."""

from collections import OrderedDict
from collections.abc import Sequence

from marjoramyard.coordination.placement.prefix_cache import leading_tokens
from marjoramyard.coordination.routing.table import PromptPart


class EngineMemory:
    """An LRU cache of prompt parts that shares its memory with requests.

    Parts that an active request uses are pinned and cannot be evicted.

    Attributes:
        capacity: Memory in tokens.
        parts: Tokens of the cached parts by digest, least recently used
            first.
        pin_counts: Number of requests that use a part, by digest.
        cached_tokens: Tokens of all cached parts.
        active_tokens: Tokens of active requests without their shared parts.
    """

    def __init__(self, capacity: float):
        self.capacity = capacity
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.pin_counts: dict[str, int] = {}
        self.cached_tokens = 0
        self.active_tokens = 0.0

    def leading_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        return leading_tokens(self.parts, parts)

    def pin(self, parts: Sequence[PromptPart]) -> None:
        """Caches and pins the shared parts of a request until `unpin`."""
        for part in parts:
            if part.digest not in self.parts:
                self.cached_tokens += part.tokens
                self.parts[part.digest] = part.tokens
            self.parts.move_to_end(part.digest)
            self.pin_counts[part.digest] = (
                self.pin_counts.get(part.digest, 0) + 1
            )

    def unpin(self, parts: Sequence[PromptPart]) -> None:
        """Unpins parts; they stay cached until they are evicted."""
        for part in parts:
            remaining = self.pin_counts.get(part.digest, 1) - 1
            if remaining > 0:
                self.pin_counts[part.digest] = remaining
            else:
                self.pin_counts.pop(part.digest, None)

    @property
    def overflow(self) -> float:
        """Tokens in excess of the capacity; negative if there is room."""
        return self.cached_tokens + self.active_tokens - self.capacity

    def evict_unpinned(self) -> bool:
        """Evicts unpinned parts and returns whether the capacity suffices."""
        if self.overflow <= 0:
            return True
        for digest in list(self.parts):
            if digest not in self.pin_counts:
                self.cached_tokens -= self.parts.pop(digest)
                if self.overflow <= 0:
                    return True
        return False

    def clear(self) -> None:
        """Drops everything, as after a restart of the engine."""
        self.parts.clear()
        self.pin_counts.clear()
        self.cached_tokens = 0
        self.active_tokens = 0.0
