"""Stops of a gateway on which callers press lose no request."""

import asyncio
import contextlib
import os
import random
import time

import pytest
from gateway_fleet import FakeEndpoint, gateway_fleet, wait_until
from pressing_callers import PressingCallers, Stop, describe

GRACE_SECONDS = 8.0
HEARTBEAT_SECONDS = 0.5
STOPS = int(os.environ.get("GATEWAY_STOPS", "2"))
"""Stops in series; set a larger number for a long run by hand."""
SEED = int(os.environ.get("GATEWAY_STOPS_SEED", "62"))


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        yield running


@contextlib.asynccontextmanager
async def running_endpoints(fleet, count=2):
    """Endpoints that take 0.02 to 0.9 s for a request.

    Those to a path with `/slow` take the seconds in their last segment.
    """
    rng = random.Random(SEED)
    endpoints = [FakeEndpoint(f"i-{number}") for number in range(count)]

    async def heartbeats():
        while True:
            for host, endpoint in enumerate(endpoints):
                await fleet.send_heartbeat(endpoint, host=host)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            endpoint.respond = slow_response(endpoint, rng)
            await stack.enter_async_context(endpoint.running())
        task = asyncio.create_task(heartbeats())
        try:
            await wait_until(fleet.is_serving)
            yield endpoints
        finally:
            task.cancel()


def slow_response(endpoint, rng):
    plain = endpoint.handle

    async def respond(request):
        if "/slow/" in request.path:
            await asyncio.sleep(float(request.path.rpartition("/")[2]))
        else:
            await asyncio.sleep(rng.uniform(0.02, 0.9))
        endpoint.respond = None
        try:
            return await plain(request)
        finally:
            endpoint.respond = respond

    return respond


async def stop_gateway(fleet):
    """Stops the gateway with SIGTERM; returns when and how it exited."""
    gateway = fleet.children["gateway"]
    signalled_at = time.monotonic()
    try:
        code = await gateway.terminate()
    except TimeoutError:
        await gateway.kill()
        code = None
    return Stop(signalled_at, time.monotonic(), code)


def ran(endpoints):
    """The IDs of the requests that endpoints have run."""
    return {each for one in endpoints for each, _, _ in one.requests}


def assert_none_lost(callers, endpoints, stops):
    """Asserts that no request was lost and no response broken off."""
    run = ran(endpoints)
    failed = [
        exchange
        for exchange in callers.exchanges
        if exchange.is_lost(exchange.id in run) or exchange.is_broken_off
    ]
    by_stop = [
        sum(stop.signalled_at <= one.sent_at < stop.exited_at for one in failed)
        for stop in stops
    ]
    lines = [describe(one, one.id in run, stops) for one in failed]
    total = len(callers.exchanges)
    assert not failed, "\n".join(
        [f"lost {len(failed)} of {total}, {by_stop} in stops", *lines]
    )


def assert_stopped_in_time(stops):
    assert [stop.exit_code for stop in stops] == [0] * len(stops)
    assert max(stop.seconds for stop in stops) <= GRACE_SECONDS


async def test_callers_that_press_on_while_a_gateway_stops_lose_nothing(fleet):
    """Guards against requests that a stopping gateway reads and drops."""
    rng = random.Random(SEED)
    callers = PressingCallers(fleet.listen_address, SEED)
    stops = []
    async with running_endpoints(fleet) as endpoints:
        async with callers.running(
            (callers.press, 36), (callers.press_at_once, 12)
        ):
            for _ in range(STOPS):
                await asyncio.sleep(rng.uniform(0.2, 0.6))
                stops.append(await stop_gateway(fleet))
                await asyncio.sleep(rng.uniform(0.1, 0.8))
                await fleet.start("gateway")
                await wait_until(fleet.is_serving)
    assert_none_lost(callers, endpoints, stops)
    assert_stopped_in_time(stops)
