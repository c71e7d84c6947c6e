"""Estimate of the prompt parts that an engine has cached."""

from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence

from marjoramyard.coordination.placement.prefix_index import PrefixIndex
from marjoramyard.coordination.routing.table import PromptPart


def leading_tokens(cached: Container[str], parts: Iterable[PromptPart]) -> int:
    """Returns the length of a prompt's cached prefix, in tokens.

    A part counts only if all parts before it are cached too.
    """
    total = 0
    for part in parts:
        if part.digest not in cached:
            break
        total += part.tokens
    return total


class PrefixCache:
    """The prompt parts cached by one engine, least recently used first.

    The content is derived from the requests sent to the engine, because
    engines report their caches late and incompletely.

    Attributes:
        capacity: The engine's memory, in tokens.
        parts: Length in tokens of each cached part, by digest.
        tokens: The total length of all cached parts.
        endpoint: The engine.
        index: Is kept up to date with the cached parts.
    """

    def __init__(
        self,
        capacity: float,
        endpoint: str = "",
        index: PrefixIndex | None = None,
    ):
        self.capacity = capacity
        self.endpoint = endpoint
        self.index = index or PrefixIndex()
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def leading_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns the length of a prompt's cached prefix, in tokens."""
        return leading_tokens(self.parts, parts)

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Adds the parts of a prompt, or marks them as recently used."""
        for part in parts:
            old_tokens = self.parts.pop(part.digest, 0)
            self.parts[part.digest] = part.tokens
            self.index.add(part.digest, self.endpoint)
            self.tokens += part.tokens - old_tokens
        self.evict_to(self.capacity)

    def evict_to(self, capacity: float) -> None:
        """Evicts the least recently used parts until `capacity` is met.

        Running requests share the memory with the cache and take precedence.
        The most recently used part always stays.
        """
        while self.tokens > capacity and len(self.parts) > 1:
            digest, tokens = self.parts.popitem(last=False)
            self.index.remove(digest, self.endpoint)
            self.tokens -= tokens

    def clear(self) -> None:
        """Removes all parts, as after a restart of the engine."""
        for digest in self.parts:
            self.index.remove(digest, self.endpoint)
        self.parts.clear()
        self.tokens = 0
