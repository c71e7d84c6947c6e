"""Chooses the endpoint of a request by what it would cost there.

An engine keeps parts of prompts that it has read. Sent to the engine that
keeps its parts, a request reads a few hundred tokens; elsewhere it reads
thousands, and everybody who runs there waits meanwhile. So each shared part
has a home, the same for all routers without a word between them, and a
request leaves its home only if waiting there costs more than the move.
"""

import hashlib
from collections.abc import Sequence

import msgspec

from marjoramyard.coordination.routing.table import PromptPart

MOVE_MARGIN_MS = 60.0
"""How much later a request would start at home before it moves. Below it
the moves themselves cost more than they save: time on the link, and memory
at both ends."""
FETCH_SETUP_MS = 5.0
"""From an engine asking another for kept parts to the first byte."""
STEP_MS_PER_RUN = 0.15
"""What one more running request adds to each step of its batch."""


class EngineView(msgspec.Struct):
    """What a router knows of one engine when it chooses.

    Attributes:
        endpoint: Its id.
        reading_tokens: Prompt tokens sent there that it has not read yet.
        running: Requests sent there that have not ended.
        rate: Prompt tokens that it reads in a millisecond.
    """

    endpoint: str
    reading_tokens: float = 0.0
    running: int = 0
    rate: float = 1.0

    @property
    def wait_ms(self) -> float:
        """How long a new request would wait before it is read."""
        return self.reading_tokens / self.rate + STEP_MS_PER_RUN * self.running


class Placement(msgspec.Struct, frozen=True):
    """Where a request goes.

    Attributes:
        endpoint: The chosen engine.
        fetch_from: The engine to fetch kept parts from, or "".
        tokens: Prompt tokens that the engine is expected to read.
        wait_ms: How long the request is expected to wait there.
    """

    endpoint: str
    fetch_from: str = ""
    tokens: float = 0.0
    wait_ms: float = 0.0


def preferred_engine(digest: str, endpoints: Sequence[str]) -> str:
    """Returns the endpoint that a part belongs to (rendezvous hashing).

    When an endpoint comes or goes only its own parts move, so the others'
    kept parts stay of use.
    """
    return max(
        endpoints,
        key=lambda name: hashlib.blake2b(
            f"{digest}@{name}".encode(), digest_size=8
        ).digest(),
    )


def split_parts(parts: Sequence[PromptPart]) -> tuple[str, float, float]:
    """Returns the part to place by, and the shared and the own tokens.

    The last part belongs to the request itself. The one before it is the
    most particular one that others share.
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
    """Chooses the engine of a request whose prompt has known parts.

    Args:
        parts: The prompt's parts in order.
        engines: The engines that take work; not empty.
        fetch_ms_per_token: What moving one kept token costs; 0 if engines
            can't fetch.
    """
    key, shared, own = split_parts(parts)
    home_name = preferred_engine(key, [engine.endpoint for engine in engines])
    home = next(e for e in engines if e.endpoint == home_name)
    best = min(engines, key=lambda engine: engine.wait_ms)
    if home.wait_ms <= best.wait_ms + MOVE_MARGIN_MS:
        return Placement(home_name, "", own, home.wait_ms)
    reading_again_ms = shared / best.rate
    fetch_ms = FETCH_SETUP_MS + shared * fetch_ms_per_token
    if fetch_ms_per_token > 0 and fetch_ms < reading_again_ms:
        return Placement(best.endpoint, home_name, own, best.wait_ms)
    return Placement(best.endpoint, "", own + shared, best.wait_ms)
