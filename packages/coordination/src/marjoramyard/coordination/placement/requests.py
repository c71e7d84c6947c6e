"""Placement requests and the broker's responses to them."""

import msgspec

from marjoramyard.coordination.routing.table import PromptPart

MIN_RETRY_AFTER_MS = 1500.0
"""Lower bound of the retry delay sent with a refusal. Overload usually lasts
longer than the queue that caused the refusal, so a retry after only the
predicted wait would be refused again, and most callers retry only once. Much
later than this, they would not wait."""


class PlacementRequest(msgspec.Struct, kw_only=True):
    """A request that needs an engine.

    All times are in ms of the broker's clock.

    Attributes:
        key: Identifies the request among those of all routers.
        workspace: The workspace whose share is charged.
        parts: The prompt's parts in order.
        output_tokens: Upper limit or estimate of the generated tokens.
        first_token_due_at: When the first token is due.
        deadline_at: When the caller stops waiting.
        submitted_at: When the request was submitted.
        excluded_endpoints: Endpoints that must not be chosen.
        router: The router that submitted the request and will send it.
        is_overdue: Whether its caller was refused before and has waited for
            longer than the objective. It can't be on time any more.
    """

    key: str
    workspace: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    first_token_due_at: float
    deadline_at: float
    submitted_at: float
    excluded_endpoints: frozenset[str] = frozenset()
    router: str = ""
    is_overdue: bool = False

    @property
    def prompt_tokens(self) -> int:
        """The length of the complete prompt in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def own_memory_tokens(self) -> float:
        """The engine memory needed in addition to shared parts, in tokens."""
        own = self.parts[-1].tokens if self.parts else 0
        return float(own + self.output_tokens)


class UnbrokeredRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a router sent without a grant of this broker.

    Attributes:
        key: Identifies the request among those of all routers.
        endpoint: The engine it was sent to.
        prefill_tokens: Prompt tokens that the engine has yet to prefill.
        memory_tokens: The engine memory that the request occupies.
        workspace: The workspace whose share is charged.
        output_tokens: Upper limit or estimate of the generated tokens.
        router: The router that sent the request.
        age_ms: How long ago the router sent it, in ms.
    """

    key: str
    endpoint: str
    prefill_tokens: float
    memory_tokens: float
    workspace: str = ""
    output_tokens: int = 0
    router: str = ""
    age_ms: float = 0.0


def service_cost(prefill_tokens: float, output_tokens: int) -> float:
    """Returns the cost charged to a workspace, in prefill tokens.

    A generated token costs as much engine time as two prefilled ones.
    """
    return prefill_tokens + 2.0 * output_tokens


class PlacementGrant(msgspec.Struct, frozen=True):
    """Permission to send a request to an engine now.

    Attributes:
        key: The request.
        endpoint: The engine to send it to.
        fetch_from: The engine to fetch cached prompt parts from, or "".
        prefill_tokens: Prompt tokens that the engine will prefill.
        is_cold: Whether the engine is cold, so that the grant expires.
    """

    key: str
    endpoint: str
    fetch_from: str
    prefill_tokens: float
    is_cold: bool = False


class PlacementRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request that misses its objective or its deadline.

    Attributes:
        key: The request.
        retry_after_ms: Time after which the caller should retry.
        predicted_ms: Predicted time to the first token; for a request that
            was queued, the time it has waited.
        over_ms: By how much the predicted wait exceeds the limit. A queue
            drains by at most one ms per ms, so an equal request of the same
            workspace would be refused for at least this long.
    """

    key: str
    retry_after_ms: float
    predicted_ms: float
    over_ms: float = 0.0


def refusal(
    key: str, wait_ms: float, predicted_ms: float, over_ms: float = 0.0
) -> PlacementRefusal:
    """Returns a refusal with a retry delay of at least the minimum.

    Args:
        key: The request.
        wait_ms: The predicted wait in the queue.
        predicted_ms: See `PlacementRefusal`.
        over_ms: See `PlacementRefusal`.
    """
    retry_after_ms = max(wait_ms, MIN_RETRY_AFTER_MS)
    return PlacementRefusal(key, retry_after_ms, predicted_ms, over_ms)
