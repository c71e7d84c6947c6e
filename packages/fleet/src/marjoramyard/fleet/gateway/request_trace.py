"""The record of a request for its log line."""

from enum import Enum

import msgspec


class PlacedBy(Enum):
    """What chose the endpoint of a send."""

    BROKER = "broker"
    GATEWAY = "gateway"
    """The gateway itself, because no broker replied."""


class RequestTrace(msgspec.Struct):
    """What happened to a request.

    Attributes:
        sends: The endpoint of each send, with the outcome if it failed.
        placed_by: What chose the endpoint of the last placed send.
        wait_ms: Milliseconds spent waiting for the broker.
        prefill_tokens: Prompt tokens that the sends were expected to prefill.
        predicted_ms: The broker's prediction for a refused request.
    """

    sends: list[str] = []
    placed_by: PlacedBy | None = None
    wait_ms: float = 0.0
    prefill_tokens: float = 0.0
    predicted_ms: int | None = None
