"""Requests that crash endpoints, sent through gateways as real processes."""

import asyncio
import contextlib
import itertools
import time

import pytest
from crashing_endpoints import (
    CRASHING_BODY,
    CrashingEndpoint,
    CrashPlace,
    distinct_bodies,
    send,
    send_repeatedly,
    sends_after_third_end,
)
from gateway_fleet import config, gateway_fleet, route, wait_until

ALLOWED_ENDS = 3
"""Ends of endpoints after which a request is known to cause them."""
ALLOWED_LATER_SENDS = 3
NOTICE_SECONDS = 1.0
"""How long after the third end all gateways may take to hear of it."""
RETRY_SECONDS = 0.3
CALLERS = 6
MIN_SERVED_SHARE = 0.95
"""Of the other callers' requests."""
TEST_SECONDS = 6.0


def document():
    """A configuration with a plain service and one with engines."""
    found = config(
        2,
        route("api", "/api/", timeout_ms=3000),
        route("chat", "/chat/", "stream", service="chat") | {"resumable": True},
    )
    engine = {"slots": 200, "memory_tokens": 10_000_000}
    found["services"].append({"name": "chat", "engine": engine})
    found["limits"] = {"tokens_per_s": 1_000_000}
    return found


@contextlib.asynccontextmanager
async def fleet_with_endpoints(
    folder, service, crash_place=CrashPlace.BEFORE_RESPONSE
):
    """A gateway with three endpoints of a service that requests can crash."""
    async with (
        gateway_fleet(folder) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        await fleet.put_config(document())
        endpoints = [
            CrashingEndpoint(f"i-{number}", fleet, service, crash_place)
            for number in range(3)
        ]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.running())

        async def all_serve():
            await asyncio.gather(
                *(send(fleet, f"/{service}/x", "first") for _ in range(CALLERS))
            )
            return all(endpoint.requests for endpoint in endpoints)

        await wait_until(all_serve)
        yield fleet, endpoints


async def send_to_all(
    fleet, service, seconds, crashing=True, bodies=None, gap=RETRY_SECONDS
):
    """Sends the crashing request and others beside it for some time.

    Returns:
        The statuses of the crashing requests, and of the others.
    """
    path = f"/{service}/x"
    until = time.monotonic() + seconds
    crashes = itertools.repeat(CRASHING_BODY)
    calls = [
        send_repeatedly(
            fleet, path, bodies or distinct_bodies(number), until, 0.01
        )
        for number in range(CALLERS)
    ]
    if crashing:
        calls.append(send_repeatedly(fleet, path, crashes, until, gap))
    statuses = await asyncio.gather(*calls)
    others = itertools.chain.from_iterable(statuses[:CALLERS])
    return (statuses[CALLERS] if crashing else []), list(others)


@pytest.mark.parametrize("service", ["api", "chat"])
async def test_a_request_that_crashes_endpoints_is_not_sent_on_and_on(
    tmp_path, service
):
    """Guards against one caller that takes a service down for all by sending
    again and again a request that crashes endpoints.
    """
    async with fleet_with_endpoints(tmp_path, service) as (fleet, endpoints):
        crashing, others = await send_to_all(fleet, service, TEST_SECONDS)
        later = sends_after_third_end(endpoints, NOTICE_SECONDS)
        ends = sum(len(endpoint.ends) for endpoint in endpoints)
        assert later <= ALLOWED_LATER_SENDS
        assert ends <= ALLOWED_ENDS + ALLOWED_LATER_SENDS
        assert sum(status != 503 for status in crashing) <= ALLOWED_ENDS
        assert others.count(200) > MIN_SERVED_SHARE * len(others)


@pytest.mark.parametrize(
    "crash_place",
    [CrashPlace.INSIDE_EVENT, CrashPlace.BETWEEN_EVENTS],
    ids=lambda place: place.value,
)
async def test_a_request_that_crashes_endpoints_in_a_stream_is_stopped_too(
    tmp_path, crash_place
):
    """Guards against a broken-off stream without a length that counts as an
    answer to the request that crashed its endpoint.
    """
    async with fleet_with_endpoints(tmp_path, "chat", crash_place) as (
        fleet,
        endpoints,
    ):
        _, others = await send_to_all(fleet, "chat", TEST_SECONDS)
        later = sends_after_third_end(endpoints, NOTICE_SECONDS)
        ends = sum(len(endpoint.ends) for endpoint in endpoints)
        assert later <= ALLOWED_LATER_SENDS
        assert ends <= ALLOWED_ENDS + ALLOWED_LATER_SENDS
        assert others.count(200) > MIN_SERVED_SHARE * len(others)


@pytest.mark.parametrize("service", ["api", "chat"])
async def test_a_gateway_that_starts_again_refuses_it_too(tmp_path, service):
    """Guards against a gateway that restarts without knowing which requests
    crash endpoints.
    """
    async with fleet_with_endpoints(tmp_path, service) as (fleet, endpoints):
        await send_to_all(fleet, service, TEST_SECONDS / 2)
        await fleet.children["gateway"].kill()
        await fleet.start("gateway")
        await wait_until(fleet.is_ready)
        await send_to_all(fleet, service, TEST_SECONDS / 2)
        later = sends_after_third_end(endpoints, NOTICE_SECONDS)
        assert later <= ALLOWED_LATER_SENDS


@pytest.mark.parametrize("service", ["api", "chat"])
async def test_a_gateway_without_control_hosts_refuses_it_too(
    tmp_path, service
):
    """Guards against a gateway that lets such requests through while no
    control host can decide.
    """
    async with fleet_with_endpoints(tmp_path, service) as (fleet, endpoints):
        for number in range(3):
            await fleet.children[f"control-{number}"].kill()
        await send_to_all(fleet, service, TEST_SECONDS / 2)
        later = sends_after_third_end(endpoints, NOTICE_SECONDS)
        ends = sum(len(endpoint.ends) for endpoint in endpoints)
        assert later <= ALLOWED_LATER_SENDS
        assert ends <= ALLOWED_ENDS + ALLOWED_LATER_SENDS


async def test_a_popular_request_is_served_while_endpoints_crash(tmp_path):
    """Guards against refusing a harmless request that many callers send, byte
    for byte, because endpoints crash for another reason while it runs.
    """
    async with fleet_with_endpoints(tmp_path, "api") as (fleet, endpoints):
        until = time.monotonic() + TEST_SECONDS

        async def crash_in_turn():
            for endpoint in itertools.cycle(endpoints):
                if time.monotonic() > until:
                    return
                await endpoint.crash()

        crashes = asyncio.create_task(crash_in_turn())
        _, others = await send_to_all(
            fleet,
            "api",
            TEST_SECONDS,
            crashing=False,
            bodies=itertools.repeat("popular"),
        )
        await crashes
        assert sum(len(endpoint.ends) for endpoint in endpoints) >= 4
        assert set(others) == {200}
