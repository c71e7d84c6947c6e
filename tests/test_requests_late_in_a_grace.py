"""Requests whose last bytes, or turn, come late in the grace of a gateway."""

import asyncio
import contextlib
import random
import signal

import pytest
from aiohttp import web
from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)
from pressing_callers import PressingCallers
from raw_connections import CallerConnection
from test_stopping_gateways import processor_in_turns

SEED = 79
GRACE_SECONDS = 8.0
RUN_SECONDS = 3.0
LONG_MS = 15_000
LATE_REQUESTS = 40
QUEUED_REQUESTS = 4


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path, forwarding_port_offset=1) as running:
        routes = [
            route("long", "/long/", timeout_ms=LONG_MS),
            route("once", "/once/", "non_idempotent", timeout_ms=LONG_MS),
            route(
                "chat",
                "/chat/",
                "non_idempotent",
                service="chat",
                timeout_ms=LONG_MS,
                objective_ms=LONG_MS,
            ),
        ]
        document = config(2, *routes)
        engine = {"slots": 1, "memory_tokens": 1000}
        document["services"].append({"name": "chat", "engine": engine})
        document["limits"] = {"tokens_per_s": 1_000_000}
        await running.put_config(document)
        yield running


@contextlib.asynccontextmanager
async def slow_endpoint(fleet, service, path):
    """An endpoint that takes `RUN_SECONDS` for its first request.

    It takes longer than a grace for those after it.
    """
    endpoint = FakeEndpoint("i-1", service)
    log = fleet.children["gateway"].log
    async with endpoint.running():
        for host in range(len(fleet.hosts)):
            await fleet.send_heartbeat(endpoint, host=host)

        async def is_serving():
            is_served = await send_prompt(fleet, path) == 200
            # Without a broker there is no queue.
            is_placed = b'"placed_by": "broker"' in log.read_bytes()
            return is_served and (is_placed or service != "chat")

        await wait_until(is_serving)
        endpoint.requests.clear()

        async def respond(request):
            is_first = len(endpoint.requests) == 1
            await asyncio.sleep(RUN_SECONDS if is_first else GRACE_SECONDS)
            headers = endpoint.response_headers(request)
            return web.Response(text="done", headers=headers)

        endpoint.respond = respond
        yield endpoint


async def send_prompt(fleet, path, **options):
    headers = {"Prompt-Parts": "aa:100,bb:50", "Token-Counts": "150,10"}
    async with fleet.request(
        path, deadline_ms=LONG_MS, headers=headers, data=b"{}", **options
    ) as response:
        await response.read()
        return response.status


async def send_rest_later(callers, path, name, seconds):
    """Sends a request whose last byte comes after a wait.

    Returns:
        The exchange, also of a request that was answered before it was whole.
    """
    connection = await CallerConnection.open(callers.address, callers.clock)
    callers.path = path
    head, body = callers.pieces(name, b"body")
    pieces = [head + body[:-1], body[-1:]]
    exchange = await connection.exchange(name, pieces, [seconds])
    connection.close()
    return exchange


async def test_requests_whose_body_ends_late_in_a_grace_are_not_passed_on(
    fleet,
):
    """Guards against requests that are passed on late in a grace and cut at
    its end, as their head was read before the signal."""
    rng = random.Random(SEED)
    gateway = fleet.children["gateway"]
    callers = PressingCallers(fleet.listen_address, SEED, deadline_ms=LONG_MS)
    async with (
        slow_endpoint(fleet, "api", "/a/x") as endpoint,
        callers.running(),
    ):
        sent = [
            asyncio.create_task(
                send_rest_later(
                    callers,
                    ("/long/x", "/once/x")[number % 2],
                    f"late-{number}",
                    rng.uniform(3.5, 6.8),
                )
            )
            for number in range(LATE_REQUESTS)
        ]
        await asyncio.sleep(0.5)
        code = await gateway.terminate(GRACE_SECONDS)
        found = await asyncio.gather(*sent)
    assert code == 0
    assert endpoint.requests == []
    assert {(each.status, each.is_complete) for each in found} == {(503, True)}
    assert all(b"\r\nRetry-After:" in each.received for each in found)


async def test_requests_that_are_queued_as_a_gateway_stops_are_refused(fleet):
    """Guards against requests that leave the queue late in a grace and are cut
    at its end."""
    gateway = fleet.children["gateway"]
    async with slow_endpoint(fleet, "chat", "/chat/x") as endpoint:
        sent = [
            asyncio.create_task(send_prompt(fleet, "/chat/x", id=f"q-{number}"))
            for number in range(QUEUED_REQUESTS)
        ]

        async def one_is_running():
            return bool(endpoint.requests)

        await wait_until(one_is_running)
        await asyncio.sleep(0.3)
        passed_on = len(endpoint.requests)
        code = await gateway.terminate(GRACE_SECONDS)
        statuses = await asyncio.gather(*sent)
    assert code == 0
    assert passed_on < QUEUED_REQUESTS
    assert len(endpoint.requests) == passed_on
    queued = QUEUED_REQUESTS - passed_on
    assert sorted(statuses) == [200] * passed_on + [503] * queued


async def test_a_late_gateway_that_is_disturbed_in_its_grace_cuts_nothing(
    fleet,
):
    """Guards against requests that are lost, or run twice, as signals and a
    configuration reach a late gateway while it and a control host stop."""
    rng = random.Random(SEED)
    gateway, control = fleet.children["gateway"], fleet.children["control-0"]
    callers = PressingCallers(fleet.listen_address, SEED, deadline_ms=4000)
    async with FakeEndpoint("i-1").running() as endpoint:
        for host in range(len(fleet.hosts)):
            await fleet.send_heartbeat(endpoint, host=host)
        await wait_until(fleet.is_serving)
        callers.path = "/once/x"
        async with (
            processor_in_turns(fleet, rng),
            callers.running((callers.press, 24), (callers.press_large, 6)),
        ):
            await asyncio.sleep(0.5)
            control_stop = asyncio.create_task(control.terminate())
            gateway.signal(signal.SIGTERM)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                await asyncio.sleep(rng.uniform(0.2, 0.6))
                gateway.signal(number)
            await fleet.put_config(config(3), host=1)
            code = await gateway.terminate(GRACE_SECONDS)
            await control_stop
    ids = [each for each, _, _ in endpoint.requests]
    assert code == 0
    assert len(ids) == len(set(ids))
    run = set(ids)
    found = callers.exchanges
    assert {each.status for each in found} >= {200, 503}
    assert [each for each in found if each.is_lost(each.id in run)] == []
    assert [each for each in found if each.is_broken_off] == []
    assert not any(each.status == 502 for each in found)
