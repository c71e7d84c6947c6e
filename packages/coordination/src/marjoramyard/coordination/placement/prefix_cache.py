"""Which parts of prompts an engine keeps, by our own history."""

from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence

from marjoramyard.coordination.routing.table import PromptPart


def leading_tokens(held: Container[str], parts: Iterable[PromptPart]) -> int:
    """Returns how many tokens of a prompt are kept from its start on.

    A part counts only if all parts before it are kept too.
    """
    found = 0
    for part in parts:
        if part.digest not in held:
            break
        found += part.tokens
    return found


class PrefixCache:
    """The parts that one engine has read, least recently used first.

    Engines report what they keep late and with gaps, while every request
    that reads something passes by here; so the history of sends is the
    better source, and the memory's size bounds it.
    """

    def __init__(self, capacity: float):
        self.capacity = capacity
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def leading_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns how many prompt tokens need not be read."""
        return leading_tokens(self.parts, parts)

    def read(self, parts: Iterable[PromptPart]) -> None:
        """Notes that a prompt was read, or its parts were used again."""
        for part in parts:
            held = self.parts.pop(part.digest, 0)
            self.parts[part.digest] = part.tokens
            self.tokens += part.tokens - held
        self.shrink_to(self.capacity)

    def shrink_to(self, capacity: float) -> None:
        """Forgets the least recently used parts beyond a size.

        Running requests take memory too, and kept parts yield to them.
        """
        while self.tokens > capacity and len(self.parts) > 1:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """The engine restarted and keeps nothing."""
        self.parts.clear()
        self.tokens = 0
