"""Placement requests while the gateway or the broker is slow."""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import (
    EngineProfile,
    RequestKind,
    Route,
    Service,
)
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.coordination.serving.stream_versions import StreamVersions
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.broker_client import (
    AVOID_SECONDS,
    BrokerClient,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    BROKER_TIMEOUT_SECONDS,
    NOTICE_PROTOCOL,
    PREFIX_PROTOCOL,
    CachedPrefix,
    EndpointLeaving,
    EndpointPause,
    PlaceGrant,
    RunningRequest,
    gateway_message_decoder,
)
from marjoramyard.fleet.util.lag import LoopLag
from marjoramyard.kernel.metrics import Metrics

BROKER = Path(__file__).parent / "granting_broker.py"
SERVICE = Service(name="llm", engine=EngineProfile())
ROUTE = Route(
    name="chat",
    hostname="h",
    path_prefix="/",
    request_kind=RequestKind.STREAM,
    timeout_ms=5000,
    objective_ms=500,
    service="llm",
)


class ViewOfBrokers:
    """A view of the fleet with the same brokers for all services."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.streams = StreamVersions()

    def brokers_of(self, _service):
        return self.addresses

    def pauses_of(self, _service):
        return {"e1": 2.0}

    def sendable(self, _service, _excluded):
        return []

    def leaving_of(self, _service):
        return [LEAVING]

    def record_leaving(self, _endpoint, _born):
        return True


@pytest.fixture
def metrics():
    instance = Metrics("gateway", "g0")
    yield instance
    instance.close()


@contextlib.asynccontextmanager
async def broker_process():
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        str(BROKER),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        port = int(await child.stdout.readline())
        yield child, f"127.0.0.1:{port}"
    finally:
        child.send_signal(signal.SIGCONT)
        child.stdin.close()
        await child.wait()


@contextlib.asynccontextmanager
async def connected_client(metrics, *addresses):
    async with aiohttp.ClientSession() as session:
        lag = LoopLag(metrics)
        client = BrokerClient(ViewOfBrokers(addresses), session, lag)
        tasks = [
            asyncio.create_task(lag.watch()),
            asyncio.create_task(client.run("llm")),
        ]
        try:
            async with asyncio.timeout(10):
                while not client.is_connected:
                    await asyncio.sleep(0.01)
            yield client
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def request():
    now = time.monotonic()
    return CallerRequest(
        attempt="a",
        method="POST",
        target="/",
        headers=[],
        body=b"",
        route=ROUTE,
        workspace=None,
        arrived_at=now,
        deadline_at=now + 5,
    )


async def place(client):
    async with asyncio.timeout(10):
        _, reply = await client.place(request(), SERVICE, set())
    return reply


def block_the_loop(seconds):
    """Blocks the event loop."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


async def test_a_lagging_gateway_does_not_bypass_the_broker(metrics):
    """Guards against requests of a lagging gateway that bypass the broker's
    queue, which would give one workspace the shares of the others.
    """
    async with (
        broker_process() as (_, address),
        connected_client(metrics, address) as client,
    ):
        for _ in range(4):
            earlier = asyncio.create_task(place(client))
            await asyncio.sleep(0)
            block_the_loop(BROKER_TIMEOUT_SECONDS * 1.5)
            assert isinstance(await place(client), PlaceGrant)
            assert isinstance(await earlier, PlaceGrant)


async def test_a_suspended_broker_does_not_hold_up_requests(metrics):
    """Guards against requests that wait for a suspended broker."""
    async with (
        broker_process() as (child, address),
        connected_client(metrics, address) as client,
    ):
        assert isinstance(await place(client), PlaceGrant)
        child.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        assert await place(client) is None
        assert time.monotonic() - began < 3 * BROKER_TIMEOUT_SECONDS


async def test_a_successor_grants_soon_after_the_broker_is_suspended(metrics):
    """Guards against gateways that place prompts without knowing each other's
    load until the control hosts have selected another broker.
    """
    async with (
        broker_process() as (first, first_address),
        broker_process() as (_, second_address),
        connected_client(metrics, first_address, second_address) as client,
    ):
        assert isinstance(await place(client), PlaceGrant)
        first.send_signal(signal.SIGSTOP)
        suspended_at = time.monotonic()
        async with asyncio.timeout(AVOID_SECONDS):
            while await place(client) is None:
                await asyncio.sleep(0.02)
        assert time.monotonic() - suspended_at < AVOID_SECONDS / 2


async def test_an_unreachable_broker_is_passed_over(metrics):
    """Guards against gateways that keep trying a broker that is gone."""
    async with (
        broker_process() as (_, address),
        connected_client(metrics, "127.0.0.1:1", address) as client,
    ):
        assert isinstance(await place(client), PlaceGrant)


async def first_messages(metrics, protocols):
    """Returns the first messages to a broker that knows some protocols.

    The gateway has sent a prompt to an engine before.
    """
    frames = asyncio.Queue()

    async def record_frames(request):
        socket = web.WebSocketResponse(protocols=protocols)
        await socket.prepare(request)
        async for frame in socket:
            await frames.put(frame.data)
        return socket

    app = web.Application()
    app.add_routes([web.get(BROKER_PATH, record_frames)])
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        address = f"{server.host}:{server.port}"
        client = BrokerClient(
            ViewOfBrokers([address]), session, LoopLag(metrics)
        )
        parts = (PromptPart("shared", 3000), PromptPart("own", 400))
        client.on_started(RUNNING, parts, is_granted=True)
        task = asyncio.create_task(client.run("llm"))
        async with asyncio.timeout(10):
            messages = gateway_message_decoder.decode(await frames.get())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return messages


RUNNING = RunningRequest(1, "llm", "e0", 400.0, 400.0)


async def test_a_new_broker_is_told_which_parts_engines_have_cached(metrics):
    """Guards against prefilling all shared parts again at a new broker."""
    assert await first_messages(metrics, (PREFIX_PROTOCOL,)) == [
        CachedPrefix("llm", "e0", [("shared", 3000)]),
        RUNNING,
    ]


async def test_a_broker_of_an_earlier_release_gets_no_unknown_messages(
    metrics,
):
    """Guards against gateways without a broker while a release is rolled out:
    it would close the connection at an unknown message.
    """
    assert await first_messages(metrics, ()) == [RUNNING]


LEAVING = Registration(
    endpoint="e2", service="llm", address="10.0.0.1:1", born=5
)


async def test_a_new_broker_is_told_what_endpoints_have_said(metrics):
    """Guards against grants for engines that pause or leave."""
    messages = await first_messages(metrics, (NOTICE_PROTOCOL,))
    assert EndpointPause("llm", "e1", 2000.0) in messages
    assert EndpointLeaving("llm", "e2", 5) in messages


async def test_a_request_stops_waiting_when_the_last_endpoint_pauses(metrics):
    """Guards against callers that wait in the broker's queue for an endpoint
    that takes no requests.
    """
    async with aiohttp.ClientSession() as session:
        client = BrokerClient(ViewOfBrokers([]), session, LoopLag(metrics))
        client.socket = SimpleNamespace(protocol=NOTICE_PROTOCOL, closed=True)
        waiting = asyncio.create_task(place(client))
        await asyncio.sleep(0)
        client.on_pause(
            Registration(endpoint="e0", service="llm", address="10.0.0.1:1"),
            3.0,
        )
        assert EndpointPause("llm", "e0", 3000.0) in client.outbox
        assert await waiting is None
        assert client.outbox == []
        assert client.pending == {}


async def test_a_request_stops_waiting_when_the_last_endpoint_leaves(metrics):
    """Guards against callers that wait in the broker's queue for an endpoint
    that another gateway has seen leaving.
    """
    async with aiohttp.ClientSession() as session:
        client = BrokerClient(ViewOfBrokers([]), session, LoopLag(metrics))
        client.socket = SimpleNamespace(protocol=NOTICE_PROTOCOL, closed=True)
        waiting = asyncio.create_task(place(client))
        await asyncio.sleep(0)
        client._on_message(EndpointLeaving("llm", "e0", 5))
        assert await waiting is None
