"""The cost of long streams at engines that delay them."""

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.plan_costs import PLAN_COSTS
from marjoramyard.coordination.placement.requests import PlacementRequest

LONG_OUTPUT_TOKENS = 64
"""Streams of fewer tokens have few gaps, and seldom a long one."""
ON_TIME_RATIO = 0.6
"""Engines whose longest gaps stay below this ratio cost nothing."""
COST_MS = 200.0
"""Cost of an engine whose longest gaps just meet the objective."""
MAX_COST_MS = 400.0
"""A stream that is probably late costs no more than this."""


@PLAN_COSTS.register("stream_gaps")
def gap_cost_ms(request: PlacementRequest, engine: Engine, now: float) -> float:
    """Returns the cost of the gaps that a long stream is likely to have.

    Args:
        request: The request to place.
        engine: The engine that might get it.
        now: The time, in ms.
    """
    if request.output_tokens < LONG_OUTPUT_TOKENS:
        return 0.0
    over = (engine.pace.gap_ratio - ON_TIME_RATIO) / (1 - ON_TIME_RATIO)
    return min(MAX_COST_MS, max(0.0, COST_MS * over))
