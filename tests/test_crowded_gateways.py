"""Gateways with more connections than they may have lose no request."""

import asyncio
import random

import pytest
from aiohttp import web
from gateway_fleet import FakeEndpoint, gateway_fleet, wait_until
from pressing_callers import PressingCallers

from marjoramyard.fleet.gateway.connections import CallerConnections

MAX_DESCRIPTORS = 360
LIMIT = CallerConnections(MAX_DESCRIPTORS).limit
REQUESTS = 1500
SEED = 73


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(
        tmp_path, max_descriptors=MAX_DESCRIPTORS
    ) as running:
        yield running


@pytest.fixture
async def endpoint(fleet):
    """An endpoint that takes up to 0.1 s for a request."""
    found = FakeEndpoint("i-0")
    rng = random.Random(SEED)

    async def respond(request):
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        headers = found.response_headers(request)
        return web.Response(text="done", headers=headers)

    async def heartbeats():
        while True:
            await fleet.send_heartbeat(found)
            await asyncio.sleep(0.5)

    found.respond = respond
    async with found.running():
        task = asyncio.create_task(heartbeats())
        await wait_until(fleet.is_serving)
        yield found
        task.cancel()


@pytest.mark.parametrize("share", [0.6, 1.3, 3.0])
async def test_a_gateway_near_its_limit_of_connections_loses_no_request(
    fleet, endpoint, share
):
    """Guards against connections that are closed with a request in hand."""
    count = round(LIMIT * share)
    callers = PressingCallers(fleet.listen_address, SEED)

    async def enough_are_sent():
        return len(callers.exchanges) >= REQUESTS

    async with callers.running(
        (callers.press, count // 3),
        (callers.press_at_once, count // 3),
        (callers.press_in_parts, count // 3),
    ):
        await wait_until(enough_are_sent)
    ran = {name for name, _, _ in endpoint.requests}
    lost = [e for e in callers.exchanges if e.is_lost(e.id in ran)]
    cut = [e for e in callers.exchanges if e.is_broken_off]
    assert (lost, cut) == ([], [])
    log = fleet.children["gateway"].log.read_text(encoding="utf-8")
    assert ("idle_connections_closed" in log) == (count > LIMIT)
