"""Load: small requests that each might open a connection of their own."""

import sys
import time
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.broker_protocol import (
    Finished,
    FirstToken,
    PlaceGrant,
    PlaceRequest,
)
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.engine_load import EngineLoads
from marjoramyard.fleet.gateway.gateway_connection import GatewayConnection
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.endpoint_session import create_endpoint_session
from marjoramyard.kernel.metrics import Metrics

sys.path.insert(0, str(Path(__file__).parent))
from request_runs import add_endpoint, make_run, make_view  # noqa: E402

ENDPOINTS = 4


@pytest.fixture
def run():
    """A run at a gateway that knows several endpoints of a plain service."""
    view = make_view()
    for number in range(1, ENDPOINTS):
        add_endpoint(view, f"e{number}")
    metrics = Metrics("gateway", "g0")
    yield make_run(view, metrics, False)
    metrics.close()


def choose(run):
    planner = run.planner
    return planner._least_loaded(planner.candidates()).endpoint


def test_the_next_request_uses_the_connection_of_the_last_one(run):
    """Guards against a new connection for each request."""
    first = choose(run)
    with run.context.loads.track(first, 0.0):
        pass
    assert {choose(run) for _ in range(30)} == {first}


def test_requests_at_the_same_time_go_to_different_endpoints(run):
    """Guards against a busy endpoint beside idle ones."""
    loads = run.context.loads
    with loads.track("e0", 0.0):
        pass
    chosen = []
    with ExitStack() as running:
        for _ in range(ENDPOINTS):
            chosen.append(choose(run))
            running.enter_context(loads.track(chosen[-1], 0.0))
    assert sorted(chosen) == ["e0", "e1", "e2", "e3"]


def test_a_failed_request_leaves_no_connection(run):
    """Guards against a preference for the endpoint that has just failed."""
    with (
        pytest.raises(ConnectionError),
        run.context.loads.track("e0", 0.0),
    ):
        raise ConnectionError("reset")
    assert len({choose(run) for _ in range(60)}) > 1


async def test_a_connection_that_the_endpoint_has_closed_is_replaced():
    """A wrong guess costs a new connection and nothing else."""
    connections = set()

    async def respond(request):
        connections.add(request.transport)
        response = web.Response(text="ok")
        response.force_close()
        return response

    application = web.Application()
    application.router.add_get("/", respond)
    server = TestServer(application)
    await server.start_server()
    session = create_endpoint_session()
    loads = EngineLoads()
    try:
        for _ in range(2):
            with loads.track("e0", 0.0):
                async with session.get(server.make_url("/")) as response:
                    assert await response.text() == "ok"
            now = time.monotonic() * 1000
            assert loads.idle_connections.has_one("e0", now)
    finally:
        await session.close()
        await server.close()
    assert len(connections) == 2


@pytest.fixture
def broker_server(monkeypatch):
    """A broker server with engines of two zones that are unequal."""
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    profile = EngineProfile(slots=64, memory_tokens=500_000)
    config = FleetConfig(1, services=(Service("llm", engine=profile),))
    view.table = RouteTable(config)
    for number in range(ENDPOINTS):
        registration = Registration(
            endpoint=f"e{number}",
            service="llm",
            address=f"127.0.0.1:{number + 1}",
            availability_zone="ab"[number % 2],
        )
        view.registrations.merge(registration, 0.0)
    no_lists = SimpleNamespace(request=lambda *_: None)
    server = BrokerServer(view, ColdStarts(view, 1.5, 5.0), no_lists)
    monkeypatch.setattr(server, "_schedule_dispatch", lambda: None)
    server._refresh_broker("llm").set_uneven(True)
    return server


def connect(server, number, zone):
    gateway = GatewayConnection(number, SimpleNamespace(closed=True), zone)
    server.gateways[number] = gateway
    return gateway


def place(server, gateway, number):
    """Places a prompt whose shared part all engines have cached."""
    parts = [("shared", 100), (f"own-{gateway.number}-{number}", 50)]
    request = PlaceRequest(number, "llm", "w", parts, 10, 500.0, 5000.0)
    for engine in server.brokers["llm"].engines.values():
        engine.prefix_cache.add(request.prompt()[:1])
    server._on_message(gateway, request)
    server._dispatch()
    (grant,) = gateway.outbox
    gateway.outbox = []
    assert isinstance(grant, PlaceGrant)
    return grant.endpoint


def end(server, gateway, number, failed=False):
    server._on_message(gateway, FirstToken(number))
    server._on_message(gateway, Finished(number, failed))


def test_the_broker_knows_the_zones_of_gateways_and_engines(broker_server):
    """Guards against small prompts that cross zones while engines are idle."""
    for number, zone in enumerate("ab"):
        gateway = connect(broker_server, number, zone)
        for request in range(6):
            endpoint = place(broker_server, gateway, request)
            known = broker_server.brokers["llm"].engines[endpoint]
            assert known.availability_zone == zone
            end(broker_server, gateway, request)


@pytest.mark.parametrize("failed", [False, True])
def test_the_broker_learns_which_connections_are_idle(broker_server, failed):
    gateway = connect(broker_server, 1, "")
    endpoint = place(broker_server, gateway, 1)
    end(broker_server, gateway, 1, failed)
    broker = broker_server.brokers["llm"]
    assert bool(broker.engines[endpoint].idle_connections.idle_since) != failed


def test_the_connections_of_a_gateway_that_left_are_forgotten(broker_server):
    gateway = connect(broker_server, 1, "")
    endpoint = place(broker_server, gateway, 1)
    end(broker_server, gateway, 1)
    broker_server._end_requests(gateway)
    broker = broker_server.brokers["llm"]
    assert not broker.engines[endpoint].idle_connections.idle_since
