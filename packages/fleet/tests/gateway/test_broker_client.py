"""A gateway's link to the broker of a service."""

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

import aiohttp
import pytest

from marjoramyard.coordination.routing.config import (
    EngineProfile,
    RequestKind,
    Route,
    Service,
)
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.broker_client import BrokerClient
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_TIMEOUT_SECONDS,
    PlaceGrant,
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


class ViewOfOneBroker:
    """A view of the fleet in which one address brokers everything."""

    def __init__(self, address):
        self.address = address

    def broker_of(self, _service):
        return self.address


@pytest.fixture
def metrics():
    made = Metrics("gateway", "g0")
    yield made
    made.close()


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
async def connected_client(address, metrics):
    async with aiohttp.ClientSession() as session:
        lag = LoopLag(metrics)
        client = BrokerClient(ViewOfOneBroker(address), session, lag)
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


def hold_the_loop(seconds):
    """Takes the processor as a burst of requests does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


async def test_a_late_gateway_does_not_go_past_the_broker(metrics):
    """Guards against: a flood at a gateway short of processor bypasses the
    broker's line, and the flooding workspace takes the others' shares.
    """
    async with (
        broker_process() as (_, address),
        connected_client(address, metrics) as client,
    ):
        for _ in range(4):
            asked_before = asyncio.create_task(place(client))
            await asyncio.sleep(0)
            hold_the_loop(BROKER_TIMEOUT_SECONDS * 1.5)
            assert isinstance(await place(client), PlaceGrant)
            assert isinstance(await asked_before, PlaceGrant)


async def test_a_frozen_broker_holds_no_request_for_long(metrics):
    """Guards against: requests wait for a broker whose host stands still."""
    async with (
        broker_process() as (child, address),
        connected_client(address, metrics) as client,
    ):
        assert isinstance(await place(client), PlaceGrant)
        child.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        assert await place(client) is None
        assert time.monotonic() - began < 3 * BROKER_TIMEOUT_SECONDS
