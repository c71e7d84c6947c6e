"""Cost of a request at each engine, and the cheapest choice."""

from collections.abc import Callable, Iterable

import msgspec

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.local_placement import (
    FETCH_SETUP_MS,
    preferred_engine,
    split_parts,
)
from marjoramyard.coordination.placement.requests import PlacementRequest
from marjoramyard.coordination.routing.config import EngineProfile

MIN_FETCH_TOKENS = 64
"""Fetching fewer tokens than this takes longer than prefilling them."""
DUPLICATE_MS_PER_TOKEN = 0.01
"""Cost of another copy of a cached token, in addition to the time to make it.
The copy evicts other cached parts, which have to be prefilled again later."""
NOT_PREFERRED_MS = 60.0
"""Cost of an engine other than the preferred one, if no engine is known to
have cached the prompt. A new broker knows of no cached parts, but those that
were placed by preference are probably still cached."""


class Plan(msgspec.Struct, frozen=True):
    """A possible placement of a request.

    Attributes:
        cost_ms: The total cost, in ms of waiting.
        engine: The engine.
        fetch_from: The engine to fetch cached prompt parts from, or "".
        prefill_tokens: Prompt tokens that the engine would prefill.
        fetch_ms: The time that fetching takes before the prefill.
    """

    cost_ms: float
    engine: Engine
    fetch_from: str
    prefill_tokens: float
    fetch_ms: float = 0.0


def best_plan(
    request: PlacementRequest,
    usable: list[Engine],
    available: Iterable[Engine],
    profile: EngineProfile,
    list_endpoints: Callable[[], list[str]],
    level_ms: float = 0.0,
) -> Plan:
    """Returns the cheapest plan.

    Args:
        request: The request.
        usable: The engines to compare; not empty.
        available: Those of them with a free slot and memory; not empty.
        profile: The properties shared by all engines.
        list_endpoints: Returns all endpoints that the request may use.
        level_ms: The wait to which prompts ahead of the request raise shorter
            ones.
    """
    cached = {
        engine.endpoint: engine.prefix_cache.leading_tokens(request.parts)
        for engine in usable
    }
    source = max(usable, key=lambda engine: cached[engine.endpoint])
    prompt = _Prompt(
        request.prompt_tokens,
        source,
        cached[source.endpoint],
        _preferred_if_uncached(request, source, list_endpoints),
        level_ms,
    )
    plans = (
        _plan(prompt, engine, cached[engine.endpoint], profile)
        for engine in available
    )
    return min(plans, key=lambda plan: plan.cost_ms)


class _Prompt(msgspec.Struct, frozen=True):
    """What the plans of one request have in common.

    Attributes:
        tokens: The length of the complete prompt.
        source: The engine with the longest cached prefix.
        cached_at_source: The length of that prefix, in tokens.
        preferred: The preferred engine, or "" if a shared part is cached.
        level_ms: The least wait at any engine.
    """

    tokens: int
    source: Engine
    cached_at_source: int
    preferred: str
    level_ms: float


def _preferred_if_uncached(
    request: PlacementRequest,
    source: Engine,
    list_endpoints: Callable[[], list[str]],
) -> str:
    """Returns the preferred engine, or "" if a shared part is cached.

    Args:
        request: The request.
        source: The engine with the longest cached prefix.
        list_endpoints: Returns the endpoints to choose from.
    """
    if source.prefix_cache.leading_tokens(request.parts[:-1]):
        return ""
    key, _, _ = split_parts(request.parts)
    return preferred_engine(key, list_endpoints())


def _plan(
    prompt: _Prompt,
    engine: Engine,
    cached: int,
    profile: EngineProfile,
) -> Plan:
    source = prompt.source
    without_fetch = max(1.0, prompt.tokens - cached)
    fetchable = prompt.cached_at_source - cached
    wait_ms = max(engine.wait_ms, prompt.level_ms)
    base = wait_ms + fetchable * DUPLICATE_MS_PER_TOKEN
    if prompt.preferred and engine.endpoint != prompt.preferred:
        base += NOT_PREFERRED_MS
    cost = base + without_fetch / engine.rate
    if source is engine or fetchable < MIN_FETCH_TOKENS:
        return Plan(cost, engine, "", without_fetch)
    fetch_ms = FETCH_SETUP_MS + fetchable * _fetch_ms_per_token(profile)
    with_fetch = max(1.0, prompt.tokens - prompt.cached_at_source)
    fetch_cost = base + fetch_ms + with_fetch / engine.rate
    if not profile.link_mbps or fetch_cost >= cost:
        return Plan(cost, engine, "", without_fetch)
    return Plan(fetch_cost, engine, source.endpoint, with_fetch, fetch_ms)


def _fetch_ms_per_token(profile: EngineProfile) -> float:
    if not profile.link_mbps:
        return 0.0
    return profile.token_bytes * 8 / profile.link_mbps / 1000
