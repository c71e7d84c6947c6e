"""The time that a request loses at an engine that isn't the best for it."""

import functools

import msgspec

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.local_placement import (
    FETCH_SETUP_MS,
    preferred_engine,
)
from marjoramyard.coordination.placement.plans import (
    DUPLICATE_MS_PER_TOKEN,
    MIN_FETCH_TOKENS,
    NOT_PREFERRED_MS,
    fetch_ms_per_token,
)
from marjoramyard.coordination.placement.prefix_index import PrefixIndex
from marjoramyard.coordination.placement.requests import PlacementRequest
from marjoramyard.coordination.routing.config import EngineProfile

MAX_REMEMBERED = 4096
"""For how many prompt parts the preferred engine is remembered."""


class BestEngine(msgspec.Struct, frozen=True):
    """What the best engine for a request has, whether or not it is busy.

    Attributes:
        request: The request.
        cached_tokens: The length of the longest cached shared prefix.
        endpoints: The engines that have cached all of it; the preferred
            engine, if none has cached any; none if it has no shared parts.
        rate: The highest prefill rate of all engines, in tokens per ms.
    """

    request: PlacementRequest
    cached_tokens: int
    endpoints: set[str]
    rate: float

    def loss_ms(self, engine: Engine, profile: EngineProfile) -> float:
        """Returns the time lost at an engine, in ms, without its backlog.

        That is the time to get the prefix, the cost of another copy, and the
        time by which it takes longer to prefill the request's own part.

        Args:
            engine: The engine.
            profile: The properties shared by all engines.
        """
        own = self.request.parts[-1].tokens if self.request.parts else 0
        slower_ms = own / engine.rate - own / self.rate
        return slower_ms + self._missing_ms(engine, profile)

    def _missing_ms(self, engine: Engine, profile: EngineProfile) -> float:
        if not self.endpoints or engine.endpoint in self.endpoints:
            return 0.0
        if not self.cached_tokens:
            return NOT_PREFERRED_MS
        shared = self.request.parts[:-1]
        missing = self.cached_tokens - engine.prefix_cache.leading_tokens(
            shared
        )
        if missing < MIN_FETCH_TOKENS:
            return 0.0
        transfer_ms = missing / engine.rate
        if profile.link_mbps:
            fetch_ms = FETCH_SETUP_MS + missing * fetch_ms_per_token(profile)
            transfer_ms = min(transfer_ms, fetch_ms)
        return transfer_ms + missing * DUPLICATE_MS_PER_TOKEN


def best_engine(
    request: PlacementRequest,
    index: PrefixIndex,
    usable: tuple[str, ...],
    rate: float,
) -> BestEngine:
    """Returns what the best engine for a request has.

    Args:
        request: The request.
        index: The engines of each cached part.
        usable: The endpoints of all usable engines.
        rate: The highest prefill rate of all engines, in tokens per ms.
    """
    shared = request.parts[:-1]
    tokens, holders = index.longest_prefix(shared)
    if holders and holders.isdisjoint(usable):
        # The engines that have it get no new requests.
        tokens, holders = 0, set()
    if shared and not tokens:
        holders = {_preferred_engine(shared[-1].digest, usable)}
    return BestEngine(request, tokens, holders, rate)


@functools.lru_cache(MAX_REMEMBERED)
def _preferred_engine(digest: str, endpoints: tuple[str, ...]) -> str:
    return preferred_engine(digest, endpoints)
