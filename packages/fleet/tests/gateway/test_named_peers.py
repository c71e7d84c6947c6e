"""Peers that a broker names to gateways, over real connections."""

import asyncio
import contextlib
import time
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web

from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.broker_client import (
    NEED_KNOWN_TICKS,
    PEERS_KEPT_SECONDS,
    BrokerClient,
    ForwardingInfo,
)
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    HEARTBEAT_INTERVAL_SECONDS,
    Heartbeat,
)
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.gateway_connection import (
    GATEWAY_TIMEOUT_SECONDS,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.metrics import Metrics

TIMEOUT_SECONDS = 10.0
IDLE_ADDRESS = "127.0.0.1:2"
HEARTBEATS = 10
TIMEOUT_TICKS = round(GATEWAY_TIMEOUT_SECONDS / HEARTBEAT_INTERVAL_SECONDS)


class RunningBroker:
    """A broker and the gateways that connect to it.

    Attributes:
        server: The broker.
        view: The view of the fleet of all.
        clients: The tasks of the gateways.
    """

    def __init__(self, session):
        self.session = session
        self.view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
        service = Service("llm", engine=EngineProfile())
        config = FleetConfig(1, services=(service,))
        self.view.table = RouteTable(config)
        caches = SimpleNamespace(request=lambda *_: None)
        cold_starts = ColdStarts(self.view, 1.5, 5.0)
        self.server = BrokerServer(self.view, cold_starts, caches)
        self.tasks = []

    @contextlib.asynccontextmanager
    async def running(self):
        app = web.Application()
        app.add_routes([web.get(BROKER_PATH, self.server.serve)])
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.view.brokers_of = lambda _: [f"127.0.0.1:{port}"]
        heartbeats = asyncio.create_task(self.server.send_heartbeats_forever())
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                yield
        finally:
            heartbeats.cancel()
            for socket in [g.socket for g in self.server.gateways.values()]:
                await socket.close()
            await runner.cleanup()

    async def connect(self, address, cores=1.0, needs_peers=False):
        """Returns the client of a gateway once it is connected."""
        client = BrokerClient(
            self.view,
            self.session,
            SimpleNamespace(is_lagging=False),
            "a",
            ForwardingInfo(address, cores),
        )
        client.needs_peers = lambda: needs_peers
        client.excess = lambda: 30.0
        self.tasks += [
            asyncio.create_task(client.run("llm")),
            asyncio.create_task(client.send_heartbeats_forever()),
        ]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not client.is_connected:
                await asyncio.sleep(0.01)
        return client

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def broker():
    async with aiohttp.ClientSession() as session:
        instance = RunningBroker(session)
        yield instance
        await instance.close()


async def until(check):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not check():
            await asyncio.sleep(0.01)


def peers_in_heartbeats(client):
    """Returns a list that gets the peers of each following heartbeat."""
    named = []
    on_heartbeat = client._on_heartbeat

    def record(heartbeat):
        named.append(heartbeat.peers)
        on_heartbeat(heartbeat)

    client._on_heartbeat = record
    return named


async def test_an_idle_gateway_stays_known_as_one_with_room(broker):
    """Guards against prompts that one gateway refuses while most others idle.

    A gateway without prompts has no reason to send heartbeats.
    """
    async with broker.running():
        await broker.connect(IDLE_ADDRESS, cores=0.25)
        overloaded = await broker.connect("127.0.0.1:1", needs_peers=True)
        await until(overloaded.known_peers)
        assert overloaded.known_peers() == {IDLE_ADDRESS: 0.25}
        named = peers_in_heartbeats(overloaded)
        await until(lambda: len(named) >= HEARTBEATS)
        assert named == [[IDLE_ADDRESS]] * len(named)


async def test_a_suspended_gateway_is_no_longer_named(broker):
    """Guards against prompts that wait for a suspended host."""
    async with broker.running():
        idle = await broker.connect(IDLE_ADDRESS)
        overloaded = await broker.connect("127.0.0.1:1", needs_peers=True)
        await until(overloaded.known_peers)
        idle._send_heartbeat = lambda: None
        named = peers_in_heartbeats(overloaded)
        await until(lambda: not overloaded.known_peers())
        assert named[-1] == []
        assert len(named) <= 3 * TIMEOUT_TICKS


async def test_a_gateway_tells_when_it_no_longer_needs_peers(broker):
    """Guards against a gateway that is taken for overloaded for ever: it sends
    no heartbeats once it has no prompts.
    """
    async with broker.running():
        client = await broker.connect("127.0.0.1:1", needs_peers=True)
        (gateway,) = broker.server.gateways.values()
        await until(lambda: gateway.needs_peers)
        assert gateway.excess == 30.0
        assert not gateway.accepts_forwarded
        client.needs_peers = lambda: False
        await until(lambda: gateway.accepts_forwarded)


async def test_the_last_known_peers_are_used_when_the_broker_is_lost(
    broker, monkeypatch
):
    """Guards against a flood that is refused while there is no broker."""
    async with broker.running():
        await broker.connect(IDLE_ADDRESS)
        connected_at = time.monotonic()
        overloaded = await broker.connect("127.0.0.1:1", needs_peers=True)
        await until(overloaded.known_peers)
    await until(lambda: not overloaded.is_connected)
    lost_at = time.monotonic()

    def known_at(now):
        with monkeypatch.context() as patch:
            patch.setattr(time, "monotonic", lambda: now)
            return list(overloaded.known_peers())

    assert known_at(lost_at) == [IDLE_ADDRESS]
    assert known_at(connected_at + PEERS_KEPT_SECONDS) == [IDLE_ADDRESS]
    assert not known_at(lost_at + PEERS_KEPT_SECONDS)


async def test_a_new_broker_does_not_void_the_known_peers_at_once(broker):
    """Guards against refusals until a new broker knows who needs peers."""
    async with broker.running():
        client = await broker.connect("127.0.0.1:1")
        client._on_message(Heartbeat(peers=["p"], peer_cores=[0.5]))
        client._on_message(Heartbeat())
        assert client.known_peers() == {"p": 0.5}
        client.needs_peers = lambda: True
        await until(lambda: client.has_reported_need)
        assert client.known_peers() == {"p": 0.5}
        await until(lambda: not client.known_peers())
        assert time.monotonic() < client.peers_until


@pytest.fixture
async def client():
    """A client that counts as connected; the test sends its heartbeats."""
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    lag = SimpleNamespace(is_lagging=False)
    instance = BrokerClient(view, None, lag)
    instance.socket = SimpleNamespace(protocol="", closed=True)
    return instance


def connect(client):
    client.socket = SimpleNamespace(protocol="", closed=True)
    client.liveness.reset()


async def test_lists_that_do_not_know_of_the_need_void_nothing(client):
    """Guards against refusals because of heartbeats that a broker sent before
    it was told that peers are needed.
    """
    client._on_message(Heartbeat(peers=["p"], peer_cores=[0.5]))
    client.needs_peers = lambda: True
    for _ in range(NEED_KNOWN_TICKS):
        client.tick()
        client._on_message(Heartbeat())
        assert client.known_peers() == {"p": 0.5}
    client.tick()
    client._on_message(Heartbeat())
    assert not client.known_peers()


async def test_a_list_that_names_peers_is_used_at_once(client):
    client.needs_peers = lambda: True
    client.tick()
    client._on_message(Heartbeat(peers=["p"], peer_cores=[0.5]))
    assert client.known_peers() == {"p": 0.5}


async def test_peers_are_forgotten_when_the_need_has_ended(client):
    """Guards against prompts that go to gateways that had room earlier."""
    client.needs_peers = lambda: True
    client.tick()
    client._on_message(Heartbeat(peers=["p"], peer_cores=[0.5]))
    client.tick()
    assert client.known_peers() == {"p": 0.5}
    client.needs_peers = lambda: False
    client.tick()
    assert not client.known_peers()
    client._on_message(Heartbeat(peers=["p"], peer_cores=[0.5]))
    assert not client.known_peers()
    client.needs_peers = lambda: True
    client.tick()
    client._on_message(Heartbeat(peers=["q"], peer_cores=[0.5]))
    assert client.known_peers() == {"q": 0.5}


async def test_the_lists_of_connected_brokers_are_preferred():
    """Guards against prompts that go to gateways that only a lost broker
    named.
    """
    tasks = SimpleNamespace(spawn_forever=lambda loop: None)
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    metrics = Metrics("gateway", "g0")
    clients = BrokerClients(tasks, view, None, metrics)
    lost, first, second = map(clients.client_for, ("lost", "one", "two"))
    connect(first)
    connect(second)
    lost._on_message(Heartbeat(peers=["old"], peer_cores=[1.0]))
    assert clients.peers() == {"old": 1.0}
    first._on_message(Heartbeat(peers=["p"], peer_cores=[0.5]))
    second._on_message(Heartbeat(peers=["q"], peer_cores=[0.5]))
    assert clients.peers() == {"p": 0.5, "q": 0.5}
    metrics.close()


async def test_brokers_of_earlier_releases_name_peers_without_cores(broker):
    async with broker.running():
        client = await broker.connect("127.0.0.1:1")
        client._on_message(Heartbeat(peers=["p", "q"]))
        assert client.known_peers() == {"p": 1.0, "q": 1.0}


async def test_a_gateway_that_shuts_down_is_no_longer_named(broker):
    """Guards against prompts that are forwarded to a gateway that exits."""
    async with broker.running():
        idle = await broker.connect(IDLE_ADDRESS)
        overloaded = await broker.connect("127.0.0.1:1", needs_peers=True)
        await until(overloaded.known_peers)
        idle.is_leaving = lambda: True
        await until(lambda: not overloaded.known_peers())


async def test_a_gateway_tells_once_that_it_shuts_down(broker):
    """Guards against a broker that learns of it only if it asks."""
    async with broker.running():
        client = await broker.connect(IDLE_ADDRESS)
        (gateway,) = broker.server.gateways.values()
        client.is_leaving = lambda: True
        await until(lambda: gateway.is_leaving)
        assert not client._must_send_heartbeat()
