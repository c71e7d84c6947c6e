"""Load: engines that all fail a part of their requests.

Their failures are as many as ever if only a few engines remain in use, and
callers are refused while engines are free.
"""

import random

import pytest

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.requests import PlacementGrant
from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.broker_protocol import (
    Finished,
    FirstToken,
    PlaceRequest,
)
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.gateway_connection import GatewayConnection
from marjoramyard.fleet.gateway.view import FleetView

ENGINES = 20
REQUESTS_PER_SECOND = 200
PREFILL_SECONDS = 0.08
"""Nearly all that the engines can do."""


class Clock:
    """A clock that the test sets, for the modules that read the time."""

    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    for module in ("broker_server", "view"):
        monkeypatch.setattr(f"marjoramyard.fleet.gateway.{module}.time", clock)
    return clock


@pytest.fixture
def server(clock, monkeypatch):
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    profile = EngineProfile(slots=64, memory_tokens=500_000)
    view.table = RouteTable(
        FleetConfig(1, services=(Service("llm", engine=profile),))
    )
    for number in range(ENGINES):
        view.registrations.merge(
            Registration(
                endpoint=f"e{number}",
                service="llm",
                address=f"127.0.0.1:{number + 1}",
            ),
            clock.now,
        )
    no_lists = type("NoLists", (), {"request": lambda *_: None})()
    server = BrokerServer(view, ColdStarts(view, 1.5, 5.0), no_lists)
    monkeypatch.setattr(server, "_schedule_dispatch", lambda: None)
    monkeypatch.setattr(server, "_flush", lambda _: None)
    return server


def usable_shares(server, clock, does_fail, seconds=4):
    """Serves prompts; returns the shares of usable engines over time.

    Args:
        does_fail: Whether the engine fails the next prompt.
    """
    gateway = GatewayConnection(1, None)
    server.gateways[1] = gateway
    decisions = []
    server._queue_decision = decisions.append
    shares, running = [], []
    for number in range(1, seconds * REQUESTS_PER_SECOND):
        clock.now += 1 / REQUESTS_PER_SECOND
        while running and running[0][0] <= clock.now:
            end(server, gateway, *running.pop(0)[1:])
        request = PlaceRequest(
            number, "llm", "w", [(f"p{number}", 1800)], 10, 500.0, 5000.0
        )
        server._on_message(gateway, request)
        server._dispatch()
        for grant in decisions:
            if isinstance(grant, PlacementGrant):
                key = int(grant.key.partition("/")[2])
                failed = does_fail(grant.endpoint)
                running.append((clock.now + PREFILL_SECONDS, key, failed))
        decisions.clear()
        shares.append(len(server.view.usable("llm", set())) / ENGINES)
    return shares


def end(server, gateway, number, failed):
    """Reports the end of a prompt."""
    if not failed:
        server._on_message(gateway, FirstToken(number))
    server._on_message(gateway, Finished(number, failed=failed))


@pytest.mark.parametrize("seed", range(4))
def test_engines_that_lose_some_responses_stay_in_use(server, clock, seed):
    """Guards against a service that most of its engines leave for two seconds
    at a time although each of them serves most prompts.
    """
    draw = random.Random(seed)
    shares = usable_shares(server, clock, lambda _: draw.random() < 0.4)
    settled = sorted(shares[REQUESTS_PER_SECOND:])
    assert settled[len(settled) // 20] > 0.5


def test_an_engine_that_serves_nothing_is_left_out(server, clock):
    dead = {"e3", "e4"}
    shares = usable_shares(server, clock, lambda engine: engine in dead)
    settled = shares[REQUESTS_PER_SECOND:]
    assert sum(settled) / len(settled) < 0.95
    assert min(settled) >= 1 - len(dead) / ENGINES
