"""The record of a request for its log line."""

from enum import Enum

import msgspec


class PlacedBy(Enum):
    """What chose the endpoint of a send."""

    BROKER = "broker"
    GATEWAY = "gateway"
    """The gateway itself, because no broker replied."""


class Unplaceable(Enum):
    """Why no endpoint could be chosen."""

    NONE_READY = "none-ready"
    """No endpoint that has not been tried is ready."""
    EVACUATED = "zones-evacuated"
    """All ready endpoints are in evacuated zones."""
    PAUSED = "all-paused"
    """All ready endpoints have asked this gateway for a pause."""
    COLD = "all-cold"
    """All usable endpoints have just started, and no broker grants them."""
    VERSION_GONE = "version-gone"
    """No endpoint of the version that began the stream accepts requests."""
    OVER_PACE = "over-pace-without-broker"
    """No broker responds, and the broker's last pace is used up."""


class RequestTrace(msgspec.Struct):
    """What happened to a request.

    Attributes:
        sends: The endpoint of each send, with the outcome if it failed.
        placed_by: What chose the endpoint of the last placed send.
        wait_ms: Milliseconds spent waiting for the broker.
        prefill_tokens: Prompt tokens that the sends were expected to prefill.
        predicted_ms: The broker's prediction for a refused request.
        unplaceable: Why no endpoint could be chosen, if so.
        has_broken: Whether the response of an endpoint broke off.
        versions: The software version of each endpoint that data came from.
    """

    sends: list[str] = []
    placed_by: PlacedBy | None = None
    wait_ms: float = 0.0
    prefill_tokens: float = 0.0
    predicted_ms: int | None = None
    unplaceable: Unplaceable | None = None
    has_broken: bool = False
    versions: list[str] = []
