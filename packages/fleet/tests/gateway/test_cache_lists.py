"""Load: shared prompt parts after all gateways have lost their power.

Engines still have them, but no broker knows where.
"""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec
import pytest
from aiohttp import web
from held import new_account

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.requests import PlacementRequest
from marjoramyard.coordination.routing.config import EngineProfile
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.cache_lists import (
    MAX_ENGINES,
    YOUNG_SECONDS,
    CacheLists,
)
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session

SHARED_TOKENS = 3780
PREFIXES = 60
ENGINES = 6


class Tasks:
    """Collects tasks, so that a test can wait for them."""

    def __init__(self):
        self.tasks = []

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))


@contextlib.asynccontextmanager
async def engine_with(parts, status=200, body=None, respond=None):
    """Runs an engine that has parts cached; yields its address and calls."""
    calls = []

    async def respond_with_parts(request):
        calls.append(request.path)
        return web.Response(
            body=msgspec.json.encode(parts) if body is None else body,
            status=status,
        )

    app = web.Application()
    app.add_routes([web.get("/{path:.*}", respond or respond_with_parts)])
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", calls
    finally:
        await runner.cleanup()


def registration(endpoint, address, **changes):
    return Registration(
        endpoint=endpoint, service="llm", address=address, born=7, **changes
    )


@pytest.fixture
async def lists():
    async with open_endpoint_session() as session:
        dialect = GATEWAY_DIALECTS.get("native")
        view = FleetView(dialect, 5.0)
        brokers = SimpleNamespace(on_pause=lambda *_: None)
        notices = EndpointNotices(view, brokers, "Endpoint-Leaving")
        yield CacheLists(
            session,
            Tasks(),
            dialect.cache_list,
            view,
            notices,
            new_account(),
        )


async def ask(lists, *engines):
    """Asks engines; returns the parts received from each that replied."""
    received = {}
    for engine in engines:
        lists.request(
            engine,
            lambda parts, name=engine.endpoint: received.setdefault(
                name, parts
            ),
        )
    await asyncio.gather(*lists.tasks.tasks)
    return received


def prefilled_tokens(broker):
    """Returns the tokens prefilled for a prompt with each of the prefixes."""
    total = 0.0
    for number in range(PREFIXES):
        request = PlacementRequest(
            key=f"k{number}",
            workspace="w",
            parts=(
                PromptPart(f"p{number}", SHARED_TOKENS),
                PromptPart(f"own{number}", 1),
            ),
            output_tokens=1,
            first_token_due_at=800.0,
            deadline_at=5000.0,
            submitted_at=0.0,
        )
        assert broker.submit(request, 0.0) is None
        (grant,) = broker.dispatch(0.0)
        total += grant.prefill_tokens
        broker.record_first_token(grant.key, 0.0)
        broker.finish(grant.key)
    return total


async def test_a_new_broker_uses_what_engines_have_cached(lists):
    """Guards against all shared parts prefilled again when power is back."""
    broker = Broker(
        EngineProfile(
            slots=64, memory_tokens=400_000, token_bytes=1, link_mbps=1e6
        ),
        36.0,
    )
    names = [f"e{number}" for number in range(ENGINES)]
    broker.set_engines(names)
    async with contextlib.AsyncExitStack() as stack:
        for position, name in enumerate(names):
            parts = [
                PromptPart(f"p{number}", SHARED_TOKENS)
                for number in range(position, PREFIXES, ENGINES)
            ]
            address, _ = await stack.enter_async_context(engine_with(parts))
            lists.request(
                registration(name, address),
                lambda parts, name=name: broker.add_cached(name, parts),
            )
        await asyncio.gather(*lists.tasks.tasks)
    assert prefilled_tokens(broker) < 0.05 * PREFIXES * SHARED_TOKENS


async def test_an_engine_is_asked_once_in_its_lifetime(lists):
    async with engine_with([PromptPart("p", 10)]) as (address, calls):
        engine = registration("e", address)
        for _ in range(3):
            await ask(lists, engine)
        await ask(lists, msgspec.structs.replace(engine, born=8))
    assert len(calls) == 2


async def test_an_engine_that_has_just_started_is_not_asked(lists):
    """Guards against calls that count as load of a cold engine."""
    async with engine_with([]) as (address, calls):
        await ask(lists, registration("e", address, cold_left_ms=3000.0))
    assert not calls


async def test_a_gateway_that_has_run_for_long_does_not_ask(lists):
    """Guards against delayed engines whenever the broker changes."""
    lists.started_at -= 2 * YOUNG_SECONDS
    async with engine_with([]) as (address, calls):
        await ask(lists, registration("e", address))
    assert not calls


async def test_a_large_service_is_asked_in_part(lists):
    """Guards against a broker that is busy with lists, and whose memory is
    full of connections, when power is back.
    """
    connections = set()

    async def respond(request):
        connections.add(request.transport)
        return web.Response(body=b"[]")

    async with engine_with([], respond=respond) as (address, _):
        engines = [
            registration(f"e{number}", address)
            for number in range(2 * MAX_ENGINES)
        ]
        assert len(await ask(lists, *engines)) == MAX_ENGINES
    assert len(connections) == MAX_ENGINES
    assert not lists.session.connector._conns


async def test_engines_without_a_list_are_not_asked_again(lists):
    async with engine_with([], status=404) as (address, calls):
        assert await ask(lists, registration("e1", address)) == {}
        assert await ask(lists, registration("e2", address)) == {}
    assert len(calls) == 1


@pytest.mark.parametrize("body", [b"", b"{", b'{"held": 1}'])
async def test_a_faulty_list_changes_nothing(lists, body):
    async with engine_with([], body=body) as (address, _):
        assert await ask(lists, registration("e", address)) == {}


async def test_an_engine_that_does_not_reply_changes_nothing(lists):
    async with engine_with([]) as (address, _):
        pass
    assert await ask(lists, registration("e", address)) == {}


async def test_a_pausing_engine_is_not_asked(lists):
    """Guards against calls to an engine that has asked for no requests."""
    async with engine_with([]) as (address, calls):
        engine = registration("e", address)
        lists.view.registrations.merge(engine, 0.0)
        lists.view.record_pause(engine, 5.0)
        await ask(lists, engine)
    assert not calls


async def test_a_pause_that_an_engine_asks_for_in_a_call_is_kept(lists):
    """Guards against requests to an engine that refused a call."""

    async def refuse(_):
        return web.Response(status=503, headers={"Retry-After": "5"})

    async with engine_with([], respond=refuse) as (address, _):
        engine = registration("e", address)
        lists.view.registrations.merge(engine, 0.0)
        await ask(lists, engine)
    assert not lists.view.may_send_to(engine)
