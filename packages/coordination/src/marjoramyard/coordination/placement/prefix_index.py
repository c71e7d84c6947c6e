"""Which engines have which prompt parts cached."""

from collections import defaultdict
from collections.abc import Iterable

from marjoramyard.coordination.routing.table import PromptPart


class PrefixIndex:
    """The engines of each cached prompt part.

    Looking for a prompt's longest cached prefix then takes no longer with more
    engines.

    Attributes:
        endpoints: The endpoints that have a part, by the part's digest.
    """

    def __init__(self):
        self.endpoints: defaultdict[str, set[str]] = defaultdict(set)

    def add(self, digest: str, endpoint: str) -> None:
        """Records that an engine has a part."""
        self.endpoints[digest].add(endpoint)

    def remove(self, digest: str, endpoint: str) -> None:
        """Records that an engine no longer has a part."""
        held_by = self.endpoints[digest]
        held_by.discard(endpoint)
        if not held_by:
            del self.endpoints[digest]

    def longest_prefix(
        self, parts: Iterable[PromptPart]
    ) -> tuple[int, set[str]]:
        """Returns the length of the longest cached prefix, and who has it.

        Args:
            parts: The parts of a prompt, in order.

        Returns:
            The length in tokens and the endpoints; 0 and none if the first
            part is cached nowhere.
        """
        tokens, found = 0, set()
        for part in parts:
            held_by = self.endpoints.get(part.digest)
            if not held_by:
                break
            longer = found & held_by if found else held_by
            if not longer:
                break
            found = longer
            tokens += part.tokens
        return tokens, found
