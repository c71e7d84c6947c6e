"""The memory of a model engine: running requests and kept parts."""

from collections import OrderedDict
from collections.abc import Sequence

from marjoramyard.coordination.placement.prefix_cache import leading_tokens
from marjoramyard.coordination.routing.table import PromptPart


class EngineMemory:
    """Kept parts, least recently used first, and the tokens of runs.

    Parts that a running request uses are held by it and can't yield.
    """

    def __init__(self, capacity: float):
        self.capacity = capacity
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.holders: dict[str, int] = {}
        self.kept_tokens = 0
        self.run_tokens = 0.0

    def leading_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns how many tokens of a prompt need not be read."""
        return leading_tokens(self.parts, parts)

    def hold(self, parts: Sequence[PromptPart]) -> None:
        """Keeps the shared parts of a run until `release`."""
        for part in parts:
            if part.digest not in self.parts:
                self.kept_tokens += part.tokens
                self.parts[part.digest] = part.tokens
            self.parts.move_to_end(part.digest)
            self.holders[part.digest] = self.holders.get(part.digest, 0) + 1

    def release(self, parts: Sequence[PromptPart]) -> None:
        """Ends a hold; the parts stay until they have to yield."""
        for part in parts:
            left = self.holders.get(part.digest, 1) - 1
            if left > 0:
                self.holders[part.digest] = left
            else:
                self.holders.pop(part.digest, None)

    @property
    def overflow(self) -> float:
        """Tokens beyond the capacity."""
        return self.kept_tokens + self.run_tokens - self.capacity

    def make_room(self) -> bool:
        """Lets unused parts yield; whether that was enough."""
        if self.overflow <= 0:
            return True
        for digest in list(self.parts):
            if digest not in self.holders:
                self.kept_tokens -= self.parts.pop(digest)
                if self.overflow <= 0:
                    return True
        return False

    def clear(self) -> None:
        """The engine restarted."""
        self.parts.clear()
        self.holders.clear()
        self.kept_tokens = 0
        self.run_tokens = 0.0
