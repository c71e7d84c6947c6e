"""The broker's side of its connections to gateways."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import web

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    HEARTBEAT_INTERVAL_SECONDS,
    Heartbeat,
    PlaceGrant,
    PlaceRequest,
    broker_message_decoder,
)
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import FleetView

OBJECTIVE_MS = 500.0
TIMEOUT_MS = 5000.0


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
    server = BrokerServer(view_of_one_engine())
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
async def connected(url):
    async with (
        aiohttp.ClientSession() as session,
        session.ws_connect(url) as socket,
    ):
        yield socket


async def ask(socket, number, workspace, tokens=1800):
    part = (f"{workspace}-{number}", tokens)
    request = PlaceRequest(
        number, "llm", workspace, [part], 10, OBJECTIVE_MS, TIMEOUT_MS
    )
    await socket.send_str(msgspec.json.encode([request]).decode())


@contextlib.asynccontextmanager
async def sending_heartbeats(socket):
    """Says that the gateway is there, as one does that waits for a grant."""

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


async def answer(socket, number):
    """Returns what the broker says of a request."""
    while True:
        message = await socket.receive()
        for reply in broker_message_decoder.decode(message.data):
            if getattr(reply, "number", None) == number:
                return reply


async def test_a_silent_gateway_does_not_hold_up_the_others(broker_url):
    """Guards against: endpoints stand idle, and all workspaces are refused,
    because a gateway without processor has not sent what it was granted.
    """
    async with connected(broker_url) as silent, connected(broker_url) as sound:
        for number in range(1, 9):
            await ask(silent, number, "flood")
        assert isinstance(await answer(silent, 1), PlaceGrant)
        await ask(sound, 1, "small")
        async with (
            sending_heartbeats(sound),
            asyncio.timeout(OBJECTIVE_MS / 1000),
        ):
            assert isinstance(await answer(sound, 1), PlaceGrant)


async def test_a_gateway_that_is_heard_again_gets_its_grants(broker_url):
    """Guards against: what a gateway asked for before it fell silent waits
    until its callers' patience ends.
    """
    async with connected(broker_url) as late, connected(broker_url) as sound:
        for number in range(1, 9):
            await ask(late, number, "flood")
        assert isinstance(await answer(late, 2), PlaceGrant)
        await ask(sound, 1, "small")
        async with sending_heartbeats(sound):
            assert isinstance(await answer(sound, 1), PlaceGrant)
        async with (
            sending_heartbeats(late),
            asyncio.timeout(OBJECTIVE_MS / 1000),
        ):
            assert isinstance(await answer(late, 3), PlaceGrant)
