"""Calls between processes of a fleet."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from endless_replies import RESPONSES, EndlessServer, resident_bytes
from result import Err

from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.util.held_bytes import HeldBytes, HeldKind, Holding
from marjoramyard.fleet.util.rpc import SMALL_REPLY_BYTES, InternalClient
from marjoramyard.kernel.errors import FailureKind, Outcome
from marjoramyard.kernel.metrics import Metrics

LIMIT = 4_000_000
MAX_GROWTH_BYTES = 30_000_000
TIMEOUT_SECONDS = 3.0


async def test_a_call_after_the_client_is_closed_fails():
    """Guards against background tasks that end with a traceback, as they call
    another process while this one stops.
    """
    client = InternalClient("", Metrics("control", "control-1"))
    await client.close()
    reply = await client.call("127.0.0.1:9", "/x", Empty(), Empty, 1.0)
    assert isinstance(reply, Err)
    assert reply.err_value.kind is FailureKind.NO_ENDPOINT


@pytest.mark.parametrize("form", RESPONSES)
async def test_a_reply_without_an_end_is_given_up_at_once(form):
    """Guards against processes that a peer's reply without an end fills."""
    metrics = Metrics("gateway", "gateway-1")
    account = HeldBytes(LIMIT, metrics)
    client = InternalClient("", metrics, account)
    before = resident_bytes()
    async with EndlessServer(*RESPONSES[form]).running() as peer:
        async with asyncio.timeout(TIMEOUT_SECONDS / 2):
            reply = await client.call(
                peer.address, "/x", Empty(), Empty, TIMEOUT_SECONDS
            )
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not peer.closed_count:
                await asyncio.sleep(0.01)
    await client.close()
    assert reply.err_value.outcome == Outcome.UNKNOWN.value
    assert resident_bytes() - before < MAX_GROWTH_BYTES
    assert account.total == 0
    assert account.highest <= LIMIT


@pytest.mark.parametrize("size", [0, 100, SMALL_REPLY_BYTES])
async def test_a_small_reply_is_read_when_requests_fill_the_account(size):
    """Guards against processes that lose their lease as callers' requests
    leave no room for the replies of control hosts.
    """
    metrics = Metrics("gateway", "gateway-1")
    account = HeldBytes(LIMIT, metrics)
    Holding(account, "w").force(HeldKind.REQUEST, 2 * LIMIT)
    client = InternalClient("", metrics, account)
    body = b'"' + b"x" * (size - 2) + b'"' if size else b'""'

    async def answer(_):
        return web.Response(body=body)

    app = web.Application()
    app.add_routes([web.post("/x", answer)])
    async with TestServer(app) as server:
        reply = await client.call(
            f"{server.host}:{server.port}", "/x", Empty(), str, TIMEOUT_SECONDS
        )
    await client.close()
    assert len(reply.ok_value) == len(body) - 2
