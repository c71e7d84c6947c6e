"""A request that wants an engine, and what it may be told."""

import msgspec

from marjoramyard.coordination.routing.table import PromptPart

RUSH_RETURN_MS = 1500.0
"""A refused caller is told to come back no sooner than this. A line is as
short as an objective whatever the rush, and rushes last for seconds; told
the length of the line, callers return into the rush, are refused again and
have no further try. Much later than this they would not wait."""


class PlacementRequest(msgspec.Struct, kw_only=True):
    """A request that wants an engine.

    Attributes:
        key: Names it among all routers.
        workspace: Whose share it is served from.
        parts: Its prompt.
        output_tokens: The most that it may generate, or an estimate.
        aim_at: When its first token is due, in ms of the broker's clock.
        give_up_at: When its caller stops waiting.
        asked_at: When it asked.
        without: Endpoints that must not get it.
        router: Who asks, and would send it.
    """

    key: str
    workspace: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    aim_at: float
    give_up_at: float
    asked_at: float
    without: frozenset[str] = frozenset()
    router: str = ""

    @property
    def tokens(self) -> int:
        """The whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def own_memory(self) -> float:
        """What its run takes of an engine's memory beside shared parts."""
        own = self.parts[-1].tokens if self.parts else 0
        return float(own + self.output_tokens)


class UnbrokeredRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a router sent without a grant of this broker.

    Attributes:
        key: Names it among all routers.
        endpoint: Where it was sent.
        tokens: Prompt tokens that are still to be read there.
        memory: What its run takes of the engine's memory.
        workspace: Whose share it is served from.
        output_tokens: The most that it may generate, or an estimate.
        router: Who sent it.
    """

    key: str
    endpoint: str
    tokens: float
    memory: float
    workspace: str = ""
    output_tokens: int = 0
    router: str = ""


def service_cost(tokens: float, output_tokens: int) -> float:
    """Returns what a request takes of its workspace's share, in tokens.

    Writing a token takes an engine as long as reading two.
    """
    return tokens + 2.0 * output_tokens


class PlacementGrant(msgspec.Struct, frozen=True):
    """A request that may be sent now."""

    key: str
    endpoint: str
    fetch_from: str
    tokens: float


class PlacementRefusal(msgspec.Struct, frozen=True):
    """A request that would be late; it may come back after a while.

    Attributes:
        over_ms: How much shorter the line would have to be. It gets shorter
            by a millisecond each millisecond at the most, so for so long
            the same request of the same workspace would be refused again.
    """

    key: str
    retry_after_ms: float
    predicted_ms: float
    over_ms: float = 0.0


def refusal(
    key: str, wait_ms: float, predicted_ms: float, over_ms: float = 0.0
) -> PlacementRefusal:
    """Returns the word for a request that would be late."""
    return_ms = max(wait_ms, RUSH_RETURN_MS)
    return PlacementRefusal(key, return_ms, predicted_ms, over_ms)
