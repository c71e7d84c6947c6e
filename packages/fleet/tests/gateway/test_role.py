"""Draining of a gateway."""

import asyncio
import time
from types import SimpleNamespace

from marjoramyard.fleet.gateway import role as role_module
from marjoramyard.fleet.gateway.role import GatewayRole
from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests

LATE_POLLS = 5
POLL_SECONDS = 0.35


class BusyConnections:
    """Connections on which each poll of a lagging loop finds a new request."""

    def __init__(self, handler):
        self.handler = handler
        self.polls = 0

    def close_idle(self):
        self.polls += 1
        if self.polls <= LATE_POLLS:
            self.handler.started_count += 1
            end = time.monotonic() + POLL_SECONDS
            while time.monotonic() < end:
                pass


async def test_a_lagging_gateway_drains_until_no_more_requests_arrive(
    monkeypatch,
):
    """Guards against exiting while unread requests are left."""
    monkeypatch.setattr(role_module, "BALANCER_NOTICE_SECONDS", 0.0)
    guard = SimpleNamespace(
        forwarded_count=lambda: 0,
        end_forwarded=lambda: None,
        refuse_outlasting=lambda _: None,
    )
    lag = SimpleNamespace(up_to_date_until=time.monotonic)
    context = SimpleNamespace(brokers=SimpleNamespace(lag=lag))
    handler = SimpleNamespace(
        active_count=0,
        started_count=0,
        guard=guard,
        context=context,
        outlasting=OutlastingRequests(0.05),
    )
    settings = SimpleNamespace(max_descriptors=1000)
    stopped_at = time.monotonic()
    app = SimpleNamespace(
        settings=settings,
        stopping=asyncio.Event(),
        stopped_at=stopped_at,
        ends_at=stopped_at + 30.0,
        stopping_seconds=lambda: time.monotonic() - stopped_at,
    )
    role = GatewayRole(app, None, handler)
    role.connections = BusyConnections(handler)
    await role.drain()
    assert role.connections.polls > LATE_POLLS
