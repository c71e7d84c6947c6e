"""Forecast of the wait of a request at the engine that it would get.

The prompts that are served before a request go to the engines with the
shortest waits. They raise these waits to a common level, and leave engines
with longer waits as they are.
"""

import math
from bisect import bisect_right
from collections.abc import Iterable

import msgspec

from marjoramyard.coordination.placement.engines import (
    FIRST_TOKEN_LATENCY_MS,
    Engine,
)


class WaitForecast(msgspec.Struct, frozen=True):
    """When a request is expected to be served.

    Attributes:
        wait_ms: The time until its prefill starts.
        prefill_ms: The time that its prefill then takes, with the transfer of
            cached parts.
        level_ms: How much of the wait is that of all engines, so that it is
            sure to pass no faster than time; infinite if that is not known.
    """

    wait_ms: float
    prefill_ms: float
    level_ms: float = math.inf

    @property
    def first_token_ms(self) -> float:
        """The time until the first event reaches the caller."""
        return self.wait_ms + self.prefill_ms + FIRST_TOKEN_LATENCY_MS


class WaitLevels:
    """The level to which further prompts raise the waits of engines.

    Attributes:
        waits: The waits in ascending order, in ms.
        filled: For each of them, the tokens that raise all shorter ones to it.
        rates: For each of them, the prefill rate of its engine and of those
            with shorter waits together, in tokens per ms.
    """

    def __init__(self, engines: Iterable[Engine]):
        ordered = sorted([(engine.wait_ms, engine.rate) for engine in engines])
        self.waits = [wait_ms for wait_ms, _ in ordered]
        self.filled: list[float] = []
        self.rates: list[float] = []
        filled, rate, level_ms = 0.0, 0.0, 0.0
        for wait_ms, engine_rate in ordered:
            filled += rate * (wait_ms - level_ms)
            rate += engine_rate
            level_ms = wait_ms
            self.filled.append(filled)
            self.rates.append(rate)

    def level_ms(self, tokens: float) -> float:
        """Returns the shortest wait after engines got further prompts.

        Args:
            tokens: The tokens to prefill of these prompts.

        Returns:
            The wait in ms; 0.0 without prompts or engines.
        """
        if tokens <= 0.0 or not self.waits:
            return 0.0
        place = bisect_right(self.filled, tokens) - 1
        rest = tokens - self.filled[place]
        return self.waits[place] + rest / self.rates[place]


def soonest(
    engines: Iterable[Engine], prefill_tokens: float, level_ms: float = 0.0
) -> Engine:
    """Returns the engine that would have prefilled a prompt first.

    Args:
        engines: The engines; not empty.
        prefill_tokens: The prompt tokens to prefill.
        level_ms: The wait to which prompts ahead raise shorter ones.
    """

    def done_ms(engine: Engine) -> float:
        wait_ms = engine.wait_ms
        start_ms = wait_ms if wait_ms > level_ms else level_ms
        return start_ms + prefill_tokens / engine.rate

    return min(engines, key=done_ms)


def forecast_at(
    engine: Engine,
    prefill_tokens: float,
    level_ms: float = 0.0,
    fetch_ms: float = 0.0,
) -> WaitForecast:
    """Returns the forecast of a request for one engine.

    Args:
        engine: The engine.
        prefill_tokens: The prompt tokens to prefill.
        level_ms: The wait to which prompts ahead raise shorter ones.
        fetch_ms: The time that a transfer of cached parts takes.
    """
    wait_ms = max(engine.wait_ms, level_ms)
    prefill_ms = fetch_ms + prefill_tokens / engine.rate
    return WaitForecast(wait_ms, prefill_ms, level_ms)
