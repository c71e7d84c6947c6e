"""What a request would cost on one engine or another."""

from collections.abc import Iterable

import msgspec

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.local_placement import (
    FETCH_SETUP_MS,
    preferred_engine,
    split_parts,
)
from marjoramyard.coordination.placement.requests import PlacementRequest
from marjoramyard.coordination.routing.config import EngineProfile

FETCH_GAIN_TOKENS = 64
"""A fetch of fewer tokens costs more than reading them."""
COPY_MS_PER_TOKEN = 0.01
"""What a second copy of kept parts costs beside the time to make it, as
milliseconds of waiting. It pushes other kept parts out of the engine's
memory, which are read again later."""
HOME_MS = 60.0
"""How much later a prompt may start at its home if nobody is known to keep
its parts. A broker that has just taken over knows of no kept parts; those
that were placed by their home are still there."""


class Plan(msgspec.Struct, frozen=True):
    """A request on an engine.

    Attributes:
        cost_ms: What it costs everybody, as milliseconds of waiting.
        fetch_from: The engine to fetch kept parts from, or "".
        tokens: Prompt tokens that the engine would read.
    """

    cost_ms: float
    engine: Engine
    fetch_from: str
    tokens: float


def best_plan(
    ask: PlacementRequest,
    usable: list[Engine],
    roomy: Iterable[Engine],
    profile: EngineProfile,
) -> Plan:
    """Returns the cheapest plan.

    Args:
        ask: The request.
        usable: Engines that may get it; not empty.
        roomy: Those of them with a slot and memory for it; not empty.
        profile: What all engines share.
    """
    keeper = max(usable, key=lambda e: e.kept.leading_tokens(ask.parts))
    home = _home_if_unknown(ask, keeper, usable)
    plans = (_plan(ask, engine, keeper, home, profile) for engine in roomy)
    return min(plans, key=lambda plan: plan.cost_ms)


def _home_if_unknown(
    ask: PlacementRequest, keeper: Engine, usable: list[Engine]
) -> str:
    """Returns a prompt's home if nobody is known to keep its parts."""
    if keeper.kept.leading_tokens(ask.parts[:-1]):
        return ""
    key, _, _ = split_parts(ask.parts)
    return preferred_engine(key, [engine.endpoint for engine in usable])


def _plan(
    ask: PlacementRequest,
    engine: Engine,
    keeper: Engine,
    home: str,
    profile: EngineProfile,
) -> Plan:
    kept = engine.kept.leading_tokens(ask.parts)
    there = keeper.kept.leading_tokens(ask.parts)
    alone = max(1.0, ask.tokens - kept)
    gain = there - kept
    base = engine.wait_ms + gain * COPY_MS_PER_TOKEN
    if home and engine.endpoint != home:
        base += HOME_MS
    cost = base + alone / engine.rate
    if keeper is engine or gain < FETCH_GAIN_TOKENS:
        return Plan(cost, engine, "", alone)
    moved_ms = FETCH_SETUP_MS + gain * _fetch_ms_per_token(profile)
    fetched = max(1.0, ask.tokens - there)
    fetch_cost = base + moved_ms + fetched / engine.rate
    if not profile.link_mbps or fetch_cost >= cost:
        return Plan(cost, engine, "", alone)
    return Plan(fetch_cost, engine, keeper.endpoint, fetched)


def _fetch_ms_per_token(profile: EngineProfile) -> float:
    if not profile.link_mbps:
        return 0.0
    return profile.token_bytes * 8 / profile.link_mbps / 1000
