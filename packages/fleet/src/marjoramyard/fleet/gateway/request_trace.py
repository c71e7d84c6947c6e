"""What is logged of a request."""

from enum import Enum

import msgspec


class PlacedBy(Enum):
    """Who chose the endpoint of a send."""

    BROKER = "broker"
    GATEWAY = "gateway"
    """No broker answered."""


class RequestTrace(msgspec.Struct):
    """What is logged of a request, as it unfolds."""

    sends: list[str] = []
    placed_by: PlacedBy | None = None
    wait_ms: float = 0.0
    prefill_tokens: float = 0.0
    predicted_ms: int | None = None
