"""Costs of the connection between a request's router and an engine."""

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.plan_costs import PLAN_COSTS
from marjoramyard.coordination.placement.requests import PlacementRequest

NEW_CONNECTION_MS = 10.0
"""Cost of a new connection, for the processor time of both sides above all."""
REMOTE_ZONE_MS = 5.0
"""Cost of a request and its response between two availability zones."""
MAX_LOCAL_SHARED_TOKENS = 1000
"""Prompts with more shared tokens may go to another zone without a cost. Their
shared parts are cached at few engines."""


@PLAN_COSTS.register("new connection")
def new_connection_ms(
    request: PlacementRequest, engine: Engine, now: float
) -> float:
    """Returns the cost of a connection, if there is probably none."""
    if engine.idle_connections.has_one(request.router, now):
        return 0.0
    return NEW_CONNECTION_MS


@PLAN_COSTS.register("remote zone")
def remote_zone_ms(
    request: PlacementRequest, engine: Engine, now: float
) -> float:
    """Returns the cost of an engine in another availability zone."""
    del now
    zone = request.availability_zone
    if not zone or engine.availability_zone in ("", zone):
        return 0.0
    if request.shared_tokens > MAX_LOCAL_SHARED_TOKENS:
        return 0.0
    return REMOTE_ZONE_MS
