"""Requests that are still in progress when a gateway's grace period ends."""

import asyncio
import signal

import pytest
from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

GRACE_SECONDS = 8.0
LONG_MS = 20_000


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        routes = [
            route("long", "/long/", timeout_ms=LONG_MS),
            route("once", "/once/", "non_idempotent", timeout_ms=LONG_MS),
        ]
        await running.put_config(config(2, *routes))
        yield running


async def test_requests_in_progress_at_the_end_of_a_shutdown_get_a_response(
    fleet,
):
    """Guards against requests that are read, run and given up by closing
    their connection when the grace period ends.
    """
    async with FakeEndpoint("i-1").running() as endpoint:
        await fleet.send_heartbeat(endpoint)
        await wait_until(fleet.is_serving)
        is_released = asyncio.Event()
        endpoint.requests.clear()

        async def hold(_):
            await is_released.wait()

        endpoint.respond = hold
        tasks = [
            asyncio.create_task(send(fleet, path))
            for path in ("/long/x", "/once/x")
        ]
        partial = asyncio.create_task(send_slowly(fleet, is_released))

        async def are_running():
            return len(endpoint.requests) == 2

        await wait_until(are_running)
        gateway = fleet.children["gateway"]
        gateway.signal(signal.SIGTERM)
        ends = await asyncio.gather(*tasks)
        assert ends == [(502, "unknown", "stopped")] * 2
        assert await partial == (503, "not-run", "leaving")
        async with asyncio.timeout(GRACE_SECONDS):
            assert await gateway.process.wait() == 0
        is_released.set()


async def send(fleet, path, **options):
    async with fleet.request(path, deadline_ms=LONG_MS, **options) as response:
        error = (await response.json())["error"]
        outcome = response.headers["X-Marjoramyard-Outcome"]
        return response.status, outcome, error["code"]


async def send_slowly(fleet, is_released):
    """Sends a request whose body does not end."""

    async def body():
        yield b"a part"
        await is_released.wait()

    return await send(fleet, "/long/x", data=body())
