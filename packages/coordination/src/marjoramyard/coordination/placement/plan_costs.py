"""Costs of an engine beyond the wait, the transfer and the prefill.

Each is a function that registers itself. All are in ms of waiting, so that
they can be added to the cost of a plan.
"""

from collections.abc import Callable

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.requests import PlacementRequest
from marjoramyard.kernel.registry import Registry

PlanCost = Callable[[PlacementRequest, Engine, float], float]
"""Returns the additional cost of a request at an engine at a time, in ms."""
PLAN_COSTS: Registry[PlanCost] = Registry("plan cost")


def extra_cost_ms(
    request: PlacementRequest, engine: Engine, now: float
) -> float:
    """Returns the sum of all registered costs, in ms of waiting.

    Args:
        request: The request to place.
        engine: The engine that might get it.
        now: The time, in ms.
    """
    return sum(cost(request, engine, now) for cost in PLAN_COSTS.items.values())
