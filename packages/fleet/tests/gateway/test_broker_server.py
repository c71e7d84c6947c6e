"""Grants and heartbeats of the broker server."""

import asyncio
import contextlib
import time
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest
from aiohttp import web
from structlog.testing import capture_logs

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.cold_start import HANDOVER_MS
from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    FORWARDING_PARAMETER,
    HEARTBEAT_INTERVAL_SECONDS,
    NOTICE_PROTOCOL,
    ZONE_PARAMETER,
    EndpointLeaving,
    EndpointPause,
    Finished,
    Heartbeat,
    PlaceGrant,
    PlaceRefusal,
    PlaceRequest,
    broker_message_decoder,
)
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.gateway_connection import GatewayConnection
from marjoramyard.fleet.gateway.view import FleetView

OBJECTIVE_MS = 500.0
TIMEOUT_MS = 5000.0
NO_CACHE_LISTS = SimpleNamespace(request=lambda *_: None)


def view_of_one_engine():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    profile = EngineProfile(slots=64, memory_tokens=500_000)
    config = FleetConfig(1, services=(Service("llm", engine=profile),))
    view.table = RouteTable(config)
    registration = Registration(
        endpoint="e0", service="llm", address="127.0.0.1:1"
    )
    view.registrations.merge(registration, 0.0)
    return view


@pytest.fixture
async def broker_url():
    view = view_of_one_engine()
    server = BrokerServer(view, ColdStarts(view, 1.5, 5.0), NO_CACHE_LISTS)
    app = web.Application()
    app.add_routes([web.get(BROKER_PATH, server.serve)])
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    heartbeats = asyncio.create_task(server.send_heartbeats_forever())
    port = site._server.sockets[0].getsockname()[1]
    yield f"http://127.0.0.1:{port}{BROKER_PATH}"
    heartbeats.cancel()
    await runner.cleanup()


@contextlib.asynccontextmanager
async def connected(url, zone="", forwarding=""):
    async with (
        aiohttp.ClientSession() as session,
        session.ws_connect(
            url,
            params={ZONE_PARAMETER: zone, FORWARDING_PARAMETER: forwarding},
            protocols=(NOTICE_PROTOCOL,),
        ) as socket,
    ):
        yield socket


async def request_placement(socket, number, workspace, tokens=1800):
    part = (f"{workspace}-{number}", tokens)
    request = PlaceRequest(
        number, "llm", workspace, [part], 10, OBJECTIVE_MS, TIMEOUT_MS
    )
    await socket.send_str(msgspec.json.encode([request]).decode())


@contextlib.asynccontextmanager
async def sending_heartbeats(socket):
    """Sends heartbeats, as a gateway does that waits for a grant."""

    async def send_heartbeats_forever():
        while True:
            await socket.send_str(msgspec.json.encode([Heartbeat()]).decode())
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    task = asyncio.create_task(send_heartbeats_forever())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def receive_reply(socket, number):
    """Returns the broker's reply to a request."""
    while True:
        frame = await socket.receive()
        for reply in broker_message_decoder.decode(frame.data):
            if getattr(reply, "number", None) == number:
                return reply


async def test_an_unresponsive_gateway_does_not_delay_others(broker_url):
    """Guards against idle endpoints while an unresponsive gateway holds grants
    that it has not used.
    """
    async with (
        connected(broker_url) as unresponsive,
        connected(broker_url) as responsive,
    ):
        for number in range(1, 9):
            await request_placement(unresponsive, number, "large")
        assert isinstance(await receive_reply(unresponsive, 1), PlaceGrant)
        await request_placement(responsive, 1, "small")
        async with (
            sending_heartbeats(responsive),
            asyncio.timeout(OBJECTIVE_MS / 1000),
        ):
            assert isinstance(await receive_reply(responsive, 1), PlaceGrant)


async def test_a_gateway_gets_its_grants_once_it_responds_again(broker_url):
    """Guards against requests that stay queued until their deadline after their
    gateway was unresponsive for a while.
    """
    async with (
        connected(broker_url) as recovering,
        connected(broker_url) as responsive,
    ):
        for number in range(1, 9):
            await request_placement(recovering, number, "large")
        assert isinstance(await receive_reply(recovering, 2), PlaceGrant)
        await request_placement(responsive, 1, "small")
        async with sending_heartbeats(responsive):
            assert isinstance(await receive_reply(responsive, 1), PlaceGrant)
        async with (
            sending_heartbeats(recovering),
            asyncio.timeout(OBJECTIVE_MS / 1000),
        ):
            assert isinstance(await receive_reply(recovering, 3), PlaceGrant)


async def test_a_pause_holds_for_the_gateway_that_reports_it(broker_url):
    """Guards against grants for an endpoint that has asked for a pause, and
    against idle endpoints because they have asked another gateway.
    """
    async with (
        connected(broker_url) as pausing,
        connected(broker_url) as other,
        asyncio.timeout(10),
    ):
        message = EndpointPause("llm", "e0", 5000.0)
        await pausing.send_str(msgspec.json.encode([message]).decode())
        await request_placement(pausing, 1, "w")
        assert isinstance(await receive_reply(pausing, 1), PlaceRefusal)
        await request_placement(other, 1, "w")
        assert isinstance(await receive_reply(other, 1), PlaceGrant)


async def receive_leaving(socket):
    async with asyncio.timeout(10):
        async for frame in socket:
            for message in broker_message_decoder.decode(frame.data):
                if isinstance(message, EndpointLeaving):
                    return message


async def test_gateways_learn_from_each_other_which_endpoints_leave(
    broker_url,
):
    """Guards against requests to a leaving endpoint by a gateway that has
    passed on its response without reading it, or connects later.
    """
    async with (
        connected(broker_url) as reading,
        connected(broker_url) as forwarding,
        asyncio.timeout(10),
    ):
        leaving = EndpointLeaving("llm", "e0", 0)
        await reading.send_str(msgspec.json.encode([leaving]).decode())
        assert await receive_leaving(forwarding) == leaving
        await request_placement(forwarding, 1, "w")
        async with connected(broker_url) as later:
            assert await receive_leaving(later) == leaving


async def test_gateways_learn_what_the_broker_s_own_gateway_has_read():
    """Guards against a notice that stays at the host that brokers, whose
    gateway and broker share one view.
    """
    view = view_of_one_engine()
    server = BrokerServer(view, ColdStarts(view, 1.5, 5.0), NO_CACHE_LISTS)
    socket = SimpleNamespace(closed=True, ws_protocol=NOTICE_PROTOCOL)
    other = GatewayConnection(1, socket)
    server.gateways[1] = other
    view.record_leaving("e0", 0)
    notice = EndpointLeaving("llm", "e0", 0)
    for _ in range(2):
        server._on_message(other, notice)
    assert other.outbox == [notice]


async def receive_peers(socket, expected):
    async with asyncio.timeout(10):
        async for frame in socket:
            for reply in broker_message_decoder.decode(frame.data):
                if getattr(reply, "peers", None) == expected:
                    return


async def test_an_overloaded_gateway_learns_of_others_that_have_room(
    broker_url,
):
    """Guards against callers that are refused by one gateway while others are
    idle, and against requests that are forwarded to overloaded gateways.
    """
    async with (
        connected(broker_url, "a", "127.0.0.1:1") as overloaded,
        connected(broker_url, "a", "127.0.0.1:2") as also_overloaded,
        connected(broker_url, "b", "127.0.0.1:3"),
        connected(broker_url, "a", "127.0.0.1:4") as idle,
        connected(broker_url, "a"),
    ):
        heartbeat = msgspec.json.encode([Heartbeat(needs_peers=True)]).decode()
        await also_overloaded.send_str(heartbeat)
        await overloaded.send_str(heartbeat)
        await receive_peers(overloaded, ["127.0.0.1:4", "127.0.0.1:3"])
        await receive_peers(idle, [])


class FakeGateways:
    """Connected gateways, of which only the number counts."""

    def __init__(self, server):
        self.server = server

    def set(self, connected, total):
        self.server.gateways = dict.fromkeys(range(connected))
        self.server.view.gateway_counts = {"c": (time.monotonic(), total)}
        self.server._check_majority()


@pytest.fixture
def server_with_cold_engine():
    view = view_of_one_engine()
    service = Service(
        "llm", cold_start_s=3.0, cold_per_s=9.0, engine=EngineProfile(64)
    )
    view.table = RouteTable(FleetConfig(1, services=(service,)))
    view.registrations.merge(
        Registration(
            endpoint="e0",
            service="llm",
            address="127.0.0.1:1",
            sequence=1,
            cold_left_ms=60_000.0,
        ),
        time.monotonic(),
    )
    return BrokerServer(view, ColdStarts(view, 1.5, 5.0), NO_CACHE_LISTS)


def cold_grants_in(server, ms):
    """Whether cold engines get requests in the given time."""
    broker = server._refresh_broker("llm")
    return broker.cold_grants_from <= time.monotonic() * 1000 + ms


def test_only_a_broker_of_most_gateways_grants_cold_engines(
    server_with_cold_engine,
):
    """Guards against two brokers that both fill a cold engine."""
    server = server_with_cold_engine
    gateways = FakeGateways(server)
    assert not cold_grants_in(server, 1e9)
    gateways.set(connected=20, total=40)
    assert not cold_grants_in(server, 1e9)
    gateways.set(connected=21, total=40)
    assert cold_grants_in(server, HANDOVER_MS)
    assert not cold_grants_in(server, HANDOVER_MS - 500.0)
    gateways.set(connected=19, total=40)
    assert not cold_grants_in(server, 1e9)


def test_a_broker_knows_which_engines_are_cold(server_with_cold_engine):
    broker = server_with_cold_engine._refresh_broker("llm")
    assert broker.engines["e0"].throttle.is_cold(time.monotonic() * 1000)
    assert broker.cold_limit == 9


def idle_server():
    return BrokerServer(
        view := view_of_one_engine(),
        ColdStarts(view, 1.5, 5.0),
        NO_CACHE_LISTS,
    )


async def test_the_log_says_once_when_engines_begin_and_cease_to_differ():
    """Guards against operators who can't tell why engines are treated apart."""
    server = idle_server()
    broker = server._refresh_broker("llm")
    with capture_logs() as lines:
        for is_uneven in (False, True, True, False, False):
            broker.set_uneven(is_uneven)
            server._dispatch()
    events = [line["event"] for line in lines]
    assert events == ["engines_uneven", "engines_even"]


async def test_the_gap_of_a_stream_counts_for_its_engine():
    """Guards against slow engines whose late streams limit fast ones."""
    server = idle_server()
    gateway = GatewayConnection(1, None)
    server.gateways[1] = gateway
    request = PlaceRequest(1, "llm", "w", [("p", 1800)], 280, 500.0, 5000.0)
    server._on_message(gateway, request)
    broker = server.brokers["llm"]
    (grant,) = broker.dispatch(time.monotonic() * 1000)
    server._on_message(gateway, Finished(1, gap_ratio=1.5))
    assert broker.engines[grant.endpoint].pace.streams == 1
    assert broker.engines[grant.endpoint].pace.own_limit_ms > 0.0
