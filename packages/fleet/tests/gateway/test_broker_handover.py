"""What brokers announce to gateways, and gateways to the next broker."""

import asyncio
import contextlib
import itertools
import math
import time
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest
from aiohttp import web

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.engines import EngineEstimate
from marjoramyard.coordination.placement.handover import (
    ANNOUNCE_INTERVAL_MS,
    MAX_AGE_MS,
)
from marjoramyard.coordination.placement.snapshots import BrokerSnapshot
from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    RequestKind,
    Route,
    Service,
)
from marjoramyard.coordination.routing.table import PromptPart, RouteTable
from marjoramyard.coordination.serving.stream_versions import (
    StreamOrigin,
    StreamVersions,
)
from marjoramyard.fleet.gateway import held_snapshot
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.broker_client import BrokerClient
from marjoramyard.fleet.gateway.broker_handovers import (
    FULL_INTERVAL,
    MAX_SNAPSHOT_HOLDERS,
    UNUSED_MS,
    BrokerHandovers,
    choose_holders,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    HANDOVER_PROTOCOL,
    NOTICE_PROTOCOL,
    PREFIX_PROTOCOL,
    STREAM_PROTOCOL,
    PlaceGrant,
    PlaceRefusal,
    RunningRequest,
    SnapshotAnnouncement,
    SnapshotHandover,
    includes,
)
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.gateway_connection import (
    GatewayConnection,
    is_on_this_host,
)
from marjoramyard.fleet.gateway.held_snapshot import (
    MAX_DRIFT_MS,
    HeldSnapshot,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.lag import LoopLag
from marjoramyard.kernel.ids import StreamKey
from marjoramyard.kernel.metrics import Metrics

NO_CACHE_LISTS = SimpleNamespace(request=lambda *_: None)
OBJECTIVE_MS = 500.0
MEASURED_RATE = 3.0
"""The prefill rate of the engine, in tokens per ms; a broker expects 50."""
PROMPT_TOKENS = 1800
BORN = 7
SERVICE = Service("llm", engine=EngineProfile(slots=64, memory_tokens=500_000))
ROUTE = Route(
    name="chat",
    hostname="h",
    path_prefix="/",
    request_kind=RequestKind.STREAM,
    timeout_ms=5000,
    objective_ms=OBJECTIVE_MS,
    service="llm",
)


def view_of_one_engine():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    view.table = RouteTable(FleetConfig(1, services=(SERVICE,)))
    view.registrations.merge(
        Registration(
            endpoint="e0", service="llm", address="127.0.0.1:1", born=BORN
        ),
        0.0,
    )
    return view


def view_of_brokers(*brokers):
    return SimpleNamespace(
        brokers_of=lambda _: [broker.address for broker in brokers],
        pauses_of=lambda _: {},
        leaving_of=lambda _: [],
        streams=StreamVersions(),
    )


class RunningBroker:
    """A broker server that listens on a loopback address.

    Attributes:
        address: Where gateways connect.
        broker: The broker of the service.
    """

    def __init__(self):
        view = view_of_one_engine()
        self.server = BrokerServer(
            view, ColdStarts(view, 1.5, 5.0), NO_CACHE_LISTS
        )
        app = web.Application()
        app.add_routes([web.get(BROKER_PATH, self.server.serve)])
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        self.address = ""
        self.tasks = []

    async def start(self):
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.tasks = [
            asyncio.create_task(self.server.send_heartbeats_forever())
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        for gateway in list(self.server.gateways.values()):
            await gateway.socket.close()
        await self.runner.cleanup()

    @property
    def broker(self):
        return self.server._refresh_broker("llm")

    def measure_engine(self):
        """Has the broker measure the rate of the engine."""
        engine = self.broker.engines["e0"]
        engine.rate = MEASURED_RATE
        engine.rate_known_at = time.monotonic() * 1000


@contextlib.asynccontextmanager
async def running_broker():
    broker = RunningBroker()
    await broker.start()
    try:
        yield broker
    finally:
        await broker.stop()


@contextlib.asynccontextmanager
async def connected_client(view):
    metrics = Metrics("gateway", "g0")
    async with aiohttp.ClientSession() as session:
        client = BrokerClient(view, session, LoopLag(metrics), "a")
        tasks = [
            asyncio.create_task(client.run("llm")),
            asyncio.create_task(client.send_heartbeats_forever()),
        ]
        try:
            await wait_until(lambda: client.is_connected)
            yield client
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            metrics.close()


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def place(client, number):
    now = time.monotonic()
    request = CallerRequest(
        attempt=str(number),
        method="POST",
        target="/",
        headers=[],
        body=b"",
        route=ROUTE,
        workspace=None,
        arrived_at=now,
        deadline_at=now + 5,
        parts=(PromptPart(f"own-{number}", PROMPT_TOKENS),),
        output_tokens=10,
    )
    async with asyncio.timeout(10):
        _, reply = await client.place(request, SERVICE, set())
    return reply


@pytest.mark.parametrize("lost_count", [1, 2])
async def test_the_successor_of_a_lost_broker_decides_by_the_measured_rate(
    capsys, lost_count
):
    """Guards against prompts that a new broker accepts at a multiple of the
    engines' rate, and that are late; also if it is lost soon, and the next one
    follows.
    """
    async with contextlib.AsyncExitStack() as stack:
        brokers = [
            await stack.enter_async_context(running_broker())
            for _ in range(lost_count + 1)
        ]
        view = view_of_brokers(*brokers)
        client = await stack.enter_async_context(connected_client(view))
        brokers[0].measure_engine()
        await wait_until(lambda: client.held.snapshot.engines)
        for lost, successor in itertools.pairwise(brokers):
            await lost.stop()
            await wait_until(lambda s=successor: s.server.gateways)
            await wait_until(lambda: client.is_connected)
        assert isinstance(await place(client, 1), PlaceGrant)
        assert isinstance(await place(client, 2), PlaceRefusal)
        assert brokers[-1].broker.engines["e0"].rate == MEASURED_RATE
    lines = capsys.readouterr().out.splitlines()
    assert any("broker_snapshot_adopted" in line for line in lines)


async def test_a_successor_without_a_snapshot_expects_the_initial_rate():
    """The same without a handover, as when all holders are lost."""
    async with running_broker() as successor:
        async with connected_client(view_of_brokers(successor)) as client:
            assert isinstance(await place(client, 1), PlaceGrant)
            assert isinstance(await place(client, 2), PlaceGrant)


def connection(number, zone="a", protocol=HANDOVER_PROTOCOL, **changes):
    socket = SimpleNamespace(closed=False, ws_protocol=protocol)
    fields = {"service": "llm", **changes}
    return GatewayConnection(number, socket, zone, **fields)


def test_holders_are_in_different_availability_zones():
    """Guards against snapshots that are lost with one availability zone."""
    gateways = [connection(n, "aaaabbcde"[n]) for n in range(9)]
    holders = choose_holders([], gateways)
    assert len({gateway.zone for gateway in holders}) == MAX_SNAPSHOT_HOLDERS


def test_holders_stay_the_same():
    """Guards against announcements that are full each time."""
    gateways = [connection(n, "ab"[n % 2]) for n in range(8)]
    current = [gateways[n] for n in (4, 5, 6, 7)]
    holders = choose_holders(current, gateways)
    assert {h.number for h in holders} == {4, 5, 6, 7}


def test_a_gateway_on_the_broker_s_host_is_the_last_choice():
    """Guards against a snapshot that is lost with its broker."""
    local = connection(1, is_local=True)
    remote = connection(2)
    assert choose_holders([], [local, remote]) == [remote, local]
    assert choose_holders([local], [local]) == [local]


def request_between(peer, own):
    names = {"peername": peer, "sockname": own}
    return SimpleNamespace(transport=SimpleNamespace(get_extra_info=names.get))


@pytest.mark.parametrize(
    ("peer", "own", "is_local"),
    [
        (("10.0.0.1", 4000), ("10.0.0.1", 80), True),
        (("10.0.0.2", 4000), ("10.0.0.1", 80), False),
        (("::1", 4000, 0, 0), ("::1", 80, 0, 0), True),
        (None, None, False),
        (None, ("10.0.0.1", 80), False),
    ],
)
def test_a_host_is_recognized_by_its_address(peer, own, is_local):
    assert is_on_this_host(request_between(peer, own)) is is_local


def test_a_closed_connection_is_of_no_known_host():
    assert not is_on_this_host(SimpleNamespace(transport=None))


def announced(gateway):
    return [m for m in gateway.outbox if isinstance(m, SnapshotAnnouncement)]


class Brokering:
    """The handovers of a host whose broker has measured one engine."""

    def __init__(self, *gateways):
        view = view_of_one_engine()
        self.server = BrokerServer(
            view, ColdStarts(view, 1.5, 5.0), NO_CACHE_LISTS
        )
        self.server.gateways.update({g.number: g for g in gateways})
        self.broker = self.server._refresh_broker("llm")
        self.handovers: BrokerHandovers = self.server.handovers
        self.now = time.monotonic() * 1000 + ANNOUNCE_INTERVAL_MS
        self.handovers.refresh(self.now)
        self.set_rate(MEASURED_RATE)

    def set_rate(self, rate):
        self.broker.engines["e0"].rate = rate
        self.broker.engines["e0"].rate_known_at = self.now

    def use_for(self, ms):
        """Has the open connections stay for a time."""
        end = self.now + ms
        while self.now < end:
            self.now += UNUSED_MS / 2
            self.handovers.refresh(self.now)

    def announce(self):
        self.now += ANNOUNCE_INTERVAL_MS
        self.handovers.announce(self.now)


def test_earlier_releases_get_no_announcements():
    """Guards against gateways that close the connection at an unknown message
    while a release is rolled out.
    """
    gateways = [
        connection(1, protocol=NOTICE_PROTOCOL),
        connection(2, protocol=PREFIX_PROTOCOL),
        connection(3, protocol=None),
        connection(4),
    ]
    Brokering(*gateways).announce()
    assert [len(announced(g)) for g in gateways] == [0, 0, 0, 1]


def test_only_changes_are_announced_after_a_full_snapshot():
    gateway = connection(1)
    brokering = Brokering(gateway)
    for rate in (MEASURED_RATE, MEASURED_RATE * 1.05, MEASURED_RATE * 2):
        brokering.set_rate(rate)
        brokering.announce()
    first, second, third = announced(gateway)
    assert first.is_full
    assert second.snapshot == BrokerSnapshot()
    assert third.snapshot.engines == (
        EngineEstimate("e0", BORN, MEASURED_RATE * 2),
    )


def test_an_announcement_is_full_at_regular_intervals():
    """Guards against holders that never forget engines that are gone."""
    gateway = connection(1)
    brokering = Brokering(gateway)
    for _ in range(2 * FULL_INTERVAL + 1):
        brokering.announce()
    full = [n for n, m in enumerate(announced(gateway)) if m.is_full]
    assert full == [0, FULL_INTERVAL, 2 * FULL_INTERVAL]
    assert announced(gateway)[FULL_INTERVAL].snapshot.engines


def test_removed_leads_are_announced_if_nothing_else_is_left():
    """Guards against a successor that favours others over a workspace whose
    lead is gone.
    """
    gateway = connection(1)
    brokering = Brokering(gateway)
    brokering.broker.engines["e0"].rate_known_at = -math.inf
    brokering.broker.keeps_floor = True
    brokering.broker.charge("w", 10_000.0)
    brokering.announce()
    brokering.broker.virtual_time.clear()
    for _ in range(3):
        brokering.announce()
    first, second = announced(gateway)
    assert first.snapshot.leads == {"w": 10_000.0}
    assert second.snapshot.leads == {"w": 0.0}
    held = HeldSnapshot()
    held.record(first)
    held.record(second)
    assert held.snapshot == BrokerSnapshot()


def test_a_gateway_that_becomes_a_holder_is_told_all():
    first = connection(1)
    brokering = Brokering(first)
    brokering.announce()
    second = connection(2)
    brokering.server.gateways[2] = second
    brokering.announce()
    [message] = announced(second)
    assert message.is_full
    assert message.snapshot.engines
    assert not announced(first)[-1].is_full


def test_gateways_of_other_services_are_told_nothing():
    """Guards against snapshots of a service whose broker is another host."""
    other = connection(1, service="other")
    Brokering(other).announce()
    assert announced(other) == []


def handover(rate, age_ms=100.0):
    engines = (EngineEstimate("e0", BORN, rate),)
    return SnapshotHandover("llm", BrokerSnapshot(engines), age_ms)


@pytest.mark.parametrize(
    ("pause_ms", "adopted"), [(UNUSED_MS - 1.0, False), (UNUSED_MS + 1.0, True)]
)
def test_a_broker_adopts_again_after_another_was_used(pause_ms, adopted):
    """Guards against a broker that was suspended, and decides by what it had
    learnt before.
    """
    brokering = Brokering(connection(1))
    brokering.set_rate(30.0)
    brokering.use_for(60_000.0)
    brokering.now += pause_ms
    brokering.handovers.refresh(brokering.now)
    brokering.handovers.adopt(handover(20.0), brokering.now)
    assert brokering.broker.engines["e0"].rate == (20.0 if adopted else 30.0)


def test_gateways_of_other_services_do_not_use_a_broker():
    """Guards against a host that brokers another service, and keeps what it
    had learnt when this service has used another host.
    """
    brokering = Brokering(connection(1))
    brokering.set_rate(30.0)
    brokering.server.gateways[1] = connection(1, service="other")
    brokering.use_for(60_000.0)
    brokering.server.gateways[2] = connection(2)
    brokering.handovers.refresh(brokering.now)
    brokering.handovers.adopt(handover(20.0), brokering.now)
    assert brokering.broker.engines["e0"].rate == 20.0


def test_a_broker_s_own_gateway_does_not_keep_it_in_use():
    """Guards against a broker that was cut off with the gateway of its host,
    and ignores its successor when the others return.
    """
    brokering = Brokering(connection(1), connection(2, is_local=True))
    brokering.set_rate(30.0)
    brokering.use_for(60_000.0)
    del brokering.server.gateways[1]
    brokering.use_for(4000.0)
    brokering.server.gateways[3] = connection(3)
    brokering.handovers.refresh(brokering.now)
    brokering.handovers.adopt(handover(20.0), brokering.now)
    assert brokering.broker.engines["e0"].rate == 20.0


def test_a_broker_without_other_gateways_keeps_no_charges():
    """Guards against memory that grows on a fleet of one host."""
    brokering = Brokering(connection(1, is_local=True))
    brokering.broker.charge("w", 300.0)
    brokering.use_for(60_000.0)
    assert not brokering.broker.charges.by_workspace


def test_an_engine_that_registers_after_the_handover_adopts_its_estimate():
    """Guards against a successor that knows the engines a moment later."""
    brokering = Brokering(connection(1))
    engines = (EngineEstimate("e1", BORN, 20.0),)
    message = SnapshotHandover("llm", BrokerSnapshot(engines), 100.0)
    brokering.handovers.adopt(message, brokering.now)
    brokering.server.view.registrations.merge(
        Registration(
            endpoint="e1", service="llm", address="127.0.0.1:2", born=BORN
        ),
        0.0,
    )
    broker = brokering.server._refresh_broker("llm")
    assert broker.engines["e1"].rate == 20.0


def test_an_unknown_service_is_ignored():
    brokering = Brokering(connection(1))
    message = SnapshotHandover("other", BrokerSnapshot(), 0.0)
    brokering.handovers.adopt(message, brokering.now)


def now_ms():
    return int(time.monotonic() * 1000)


def announcement(rate, endpoint="e0", sent_ms=None, is_full=True):
    snapshot = BrokerSnapshot((EngineEstimate(endpoint, BORN, rate),))
    sent_ms = now_ms() if sent_ms is None else sent_ms
    return SnapshotAnnouncement("llm", snapshot, sent_ms, is_full)


def test_a_gateway_holds_the_newest_announcement():
    held = HeldSnapshot()
    assert held.handover("llm") == []
    held.record(announcement(20.0))
    held.record(announcement(30.0, "e1", is_full=False))
    [message] = held.handover("llm")
    assert [e.rate for e in message.snapshot.engines] == [20.0, 30.0]
    held.record(announcement(25.0))
    [message] = held.handover("llm")
    assert [e.rate for e in message.snapshot.engines] == [25.0]


def test_the_clocks_of_broker_and_gateway_may_differ():
    held = HeldSnapshot()
    for offset in (10**9, -(10**9)):
        held.start_connection()
        held.record(announcement(20.0, sent_ms=now_ms() + offset))
        [message] = held.handover("llm")
        assert 0 <= message.age_ms < MAX_AGE_MS


def test_clocks_that_move_apart_do_not_make_a_snapshot_old():
    """Guards against a handover that ends after hours of one connection."""
    held = HeldSnapshot()
    for number in range(20_000):
        drift = number // 4
        held.record(announcement(20.0, sent_ms=now_ms() - drift))
    [message] = held.handover("llm")
    assert message.age_ms < 100


def test_an_announcement_that_waited_in_the_socket_is_old(monkeypatch):
    """Guards against estimates from before a pause of the gateway, which its
    new broker takes for the newest.
    """
    now = now_ms()
    monkeypatch.setattr(held_snapshot, "_now_ms", lambda: now)
    held = HeldSnapshot()
    held.record(announcement(20.0, sent_ms=now))
    held.record(announcement(25.0, sent_ms=now - 3000))
    [message] = held.handover("llm")
    assert message.age_ms >= 3000 - MAX_DRIFT_MS


def test_a_gateway_hands_nothing_old_over():
    """Guards against estimates from before an outage."""
    held = HeldSnapshot()
    held.record(announcement(20.0))
    held.made_at -= MAX_AGE_MS + 1.0
    assert held.handover("llm") == []


@pytest.mark.parametrize("protocol", [None, PREFIX_PROTOCOL, NOTICE_PROTOCOL])
def test_a_broker_of_an_earlier_release_is_told_nothing_new(protocol):
    """Guards against a broker that closes the connection at an unknown
    message while a release is rolled out.
    """
    view = view_of_brokers()
    key, origin = StreamKey("5c1e07a2"), StreamOrigin("llm", "v1")
    view.streams.record(key, origin, time.monotonic(), 30.0)
    client = BrokerClient(view, None, None)
    client.held.record(announcement(20.0))
    running = RunningRequest(1, "llm", "e0", 400.0, 400.0)
    client.on_started(running, (), is_granted=True)
    assert client._first_messages("llm", protocol) == [running]
    first, second = client._first_messages("llm", HANDOVER_PROTOCOL)
    assert first.snapshot == client.held.snapshot
    assert second == msgspec.structs.replace(running, age_ms=second.age_ms)
    assert second.age_ms > 0
    _, told, _ = client._first_messages("llm", STREAM_PROTOCOL)
    assert [(told.service, told.streams[0].key)] == [("llm", key)]


def test_a_gateway_forgets_when_ended_requests_were_sent():
    """Guards against memory that grows with the requests."""
    client = BrokerClient(
        view_of_brokers(), None, SimpleNamespace(is_lagging=False)
    )
    running = RunningRequest(1, "llm", "e0", 400.0, 400.0)
    client.on_started(running, (), is_granted=True)
    assert list(client.sent_at) == [1]
    client.on_finished(1, failed=False)
    assert client.sent_at == {}


def test_a_later_protocol_includes_the_earlier_ones():
    assert includes(HANDOVER_PROTOCOL, NOTICE_PROTOCOL)
    assert includes(NOTICE_PROTOCOL, PREFIX_PROTOCOL)
    assert not includes(PREFIX_PROTOCOL, NOTICE_PROTOCOL)
    assert not includes(NOTICE_PROTOCOL, HANDOVER_PROTOCOL)
    assert not includes(None, PREFIX_PROTOCOL)
