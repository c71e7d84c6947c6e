"""Endpoints that a gateway hears of while control hosts of its zone hang."""

import asyncio
import contextlib
import time

import pytest
from gateway_fleet import FakeEndpoint, gateway_fleet, wait_until

from marjoramyard.fleet.gateway.endpoint_sources import FILLING_SECONDS

DRAIN_SECONDS = 2.0
"""From then on, no request may reach an endpoint that has reported draining."""
NEW_ENDPOINT_SECONDS = 4.0


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path, zone="zone-control-0") as fleet:
        # Until then, the gateway asks all control hosts for all endpoints.
        await asyncio.sleep(FILLING_SECONDS)
        yield fleet


@contextlib.asynccontextmanager
async def suspended_host_of_the_own_zone(fleet):
    fleet.children["control-0"].suspend()
    try:
        yield
    finally:
        fleet.children["control-0"].resume()


async def test_a_leaving_endpoint_gets_no_work_while_the_own_zones_host_hangs(
    fleet,
):
    """Guards against work for an endpoint that left by a host elsewhere."""
    leaving, other = FakeEndpoint("leaving"), FakeEndpoint("other")
    async with leaving.running(), other.running():
        for endpoint in (leaving, other):
            await fleet.send_heartbeat(endpoint)

        async def are_used():
            await fleet.is_serving()
            return leaving.requests and other.requests

        await wait_until(are_used)
        async with suspended_host_of_the_own_zone(fleet):
            await fleet.send_heartbeat(leaving, "draining", host=1)
            await asyncio.sleep(DRAIN_SECONDS)
            leaving.requests.clear()
            for _ in range(30):
                assert await fleet.is_serving()
            assert not leaving.requests


async def test_a_new_endpoint_is_used_while_the_own_zones_host_hangs(fleet):
    """Guards against a zone without endpoints since its control host hangs."""
    async with suspended_host_of_the_own_zone(fleet):
        endpoint = FakeEndpoint("new")
        async with endpoint.running():
            started_at = time.monotonic()
            await fleet.send_heartbeat(endpoint, host=1)
            await wait_until(fleet.is_serving)
            assert time.monotonic() - started_at < NEW_ENDPOINT_SECONDS
