"""How a gateway leaves."""

import asyncio
import time
from types import SimpleNamespace

from marjoramyard.fleet.gateway import role as roles
from marjoramyard.fleet.gateway.role import GatewayRole

LATE_TURNS = 5
TURN_SECONDS = 0.35


class FloodedConnections:
    """Connections that bring a request in each turn of a late loop."""

    def __init__(self, handler):
        self.handler = handler
        self.turns = 0

    def close_idle(self):
        self.turns += 1
        if self.turns <= LATE_TURNS:
            self.handler.started_count += 1
            end = time.monotonic() + TURN_SECONDS
            while time.monotonic() < end:
                pass


async def test_a_late_gateway_ends_only_when_no_more_requests_come(monkeypatch):
    """Guards against: requests that a flooded gateway has not got round to
    are cut without an answer, because by the clock nothing came for a while.
    """
    monkeypatch.setattr(roles, "BALANCER_NOTICE_SECONDS", 0.0)
    handler = SimpleNamespace(active_count=0, started_count=0)
    settings = SimpleNamespace(max_descriptors=1000, grace_seconds=30.0)
    app = SimpleNamespace(settings=settings, stopping=asyncio.Event())
    role = GatewayRole(app, None, handler)
    role.connections = FloodedConnections(handler)
    await role.drain()
    assert role.connections.turns > LATE_TURNS
