"""Placement of prompts by one router, without a broker.

An engine caches the parts of prompts that it has prefilled, so requests with
shared parts should go to the same engine. Each shared part has a preferred
engine, which every router computes on its own. A request goes elsewhere only
if waiting for its preferred engine would take too long.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from marjoramyard.coordination.routing.table import PromptPart

MIN_WAIT_GAIN_MS = 60.0
"""By how much the wait must be shorter at another engine than at the
preferred one. A smaller gain does not outweigh the cost of the transfer and
of the memory for a second copy."""
FETCH_SETUP_MS = 5.0
"""From a fetch request between engines to the first byte."""
STEP_MS_PER_REQUEST = 0.15
"""Time that one more running request adds to each step of its batch."""


class EngineView(msgspec.Struct):
    """A router's view of one engine.

    Attributes:
        endpoint: The engine's endpoint.
        prefill_tokens: Prompt tokens sent to it and not prefilled yet.
        running: Requests sent to it that have not ended.
        rate: Its prefill rate, in tokens per ms.
    """

    endpoint: str
    prefill_tokens: float = 0.0
    running: int = 0
    rate: float = 1.0

    @property
    def wait_ms(self) -> float:
        """The expected time until a new request's prefill would start."""
        return (
            self.prefill_tokens / self.rate + STEP_MS_PER_REQUEST * self.running
        )


class Placement(msgspec.Struct, frozen=True):
    """The engine chosen for a request.

    Attributes:
        endpoint: The chosen engine.
        fetch_from: The engine to fetch cached prompt parts from, or "".
        prefill_tokens: Prompt tokens that the engine is expected to prefill.
        wait_ms: The expected wait until the prefill starts.
    """

    endpoint: str
    fetch_from: str = ""
    prefill_tokens: float = 0.0
    wait_ms: float = 0.0


def preferred_engine(digest: str, endpoints: Sequence[str]) -> str:
    """Returns the preferred endpoint of a prompt part.

    Rendezvous hashing: when an endpoint is added or removed, only the parts
    that prefer this endpoint change theirs.

    Args:
        digest: The part's digest.
        endpoints: The endpoints to choose from; not empty.
    """
    return max(
        endpoints,
        key=lambda name: hashlib.blake2b(
            f"{digest}@{name}".encode(), digest_size=8
        ).digest(),
    )


def split_parts(parts: Sequence[PromptPart]) -> tuple[str, float, float]:
    """Splits a prompt into shared parts and the request's own last part.

    Returns:
        The digest that determines the preferred engine, which is that of the
        last shared part; the number of shared tokens; the number of own
        tokens.
    """
    if not parts:
        return "", 0.0, 0.0
    shared = parts[:-1]
    key = (shared or parts)[-1].digest
    return (
        key,
        float(sum(part.tokens for part in shared)),
        float(parts[-1].tokens),
    )


def place_prompt(
    parts: Sequence[PromptPart],
    engines: Sequence[EngineView],
    fetch_ms_per_token: float,
) -> Placement:
    """Chooses the engine of a request by its prompt parts.

    Args:
        parts: The prompt's parts in order.
        engines: The engines to choose from; not empty.
        fetch_ms_per_token: Transfer time of one cached token between
            engines; 0 if engines can't fetch from each other.
    """
    key, shared, own = split_parts(parts)
    preferred_name = preferred_engine(
        key, [engine.endpoint for engine in engines]
    )
    preferred = next(e for e in engines if e.endpoint == preferred_name)
    least_loaded = min(engines, key=lambda engine: engine.wait_ms)
    if preferred.wait_ms <= least_loaded.wait_ms + MIN_WAIT_GAIN_MS:
        return Placement(preferred_name, "", own, preferred.wait_ms)
    prefill_ms = shared / least_loaded.rate
    fetch_ms = FETCH_SETUP_MS + shared * fetch_ms_per_token
    if fetch_ms_per_token > 0 and fetch_ms < prefill_ms:
        return Placement(
            least_loaded.endpoint, preferred_name, own, least_loaded.wait_ms
        )
    return Placement(
        least_loaded.endpoint, "", own + shared, least_loaded.wait_ms
    )
