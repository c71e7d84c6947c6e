"""Odd values in headers, on the way through entries and agents."""

import contextlib
from functools import partial

import pytest
from agent_endpoints import AgentEndpoint, announcing
from callers import call
from odd_headers import (
    ODD_VALUES,
    RawEndpoint,
    exchange,
    internal_error,
    odd_requests,
    odd_targets,
    request_bytes,
    response_bytes,
    response_to_caller,
)
from test_odd_headers import (
    CALLER_HEADERS,
    ENDPOINT_HEADERS,
    calling,
    check_harmless,
    odd_responses,
)

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until

ENTRY_HEADERS = (
    *CALLER_HEADERS,
    b"X-Request-Deadline-Seconds",
    b"X-Api-Key",
    b"Idempotency-Key",
)
RESPONSE_HEADERS = tuple(
    name for name in ENDPOINT_HEADERS if name != b"Retry-After"
)
ODD_EVENT_IDS = (*ODD_VALUES, b"a\x00b", b"a\x0bb", b"\x7f", b"a\tb")
PAUSE = response_bytes({b"Retry-After": b"9" * 400}, b"503 x")


@pytest.fixture
async def small_fleet(fleet, bundle):
    bundle["services"]["odd"] = {"kind": "plain", "deadline_seconds": 15}
    bundle["rules"]["odd"] = {
        "service": "odd",
        "path": "/",
        "methods": ["GET"],
        "repeatable": True,
    }
    bundle["workspaces"]["counter"]["services"].append("odd")
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    yield fleet


def sound_headers(fleet):
    headers = fleet.headers("counter")
    headers = {name.encode(): value.encode() for name, value in headers.items()}
    return headers | {b"Host": b"fleet.example", b"Idempotency-Key": b"k-1"}


async def call_soundly(fleet):
    response = await call(fleet, "GET", "/services/shop/stock/x")
    return response.status


@contextlib.asynccontextmanager
async def sound_calls(fleet):
    """Runs a sound endpoint, and calls it repeatedly."""

    async def is_served():
        return await call_soundly(fleet) == 200

    async with AgentEndpoint(fleet, "shop-1").running():
        await wait_until(is_served, "the sound endpoint to serve")
        async with calling(lambda: call_soundly(fleet)) as statuses:
            yield statuses


@pytest.mark.parametrize(
    "method, path",
    [(b"GET", b"/services/shop/stock/x"), (b"POST", b"/services/shop/book")],
)
async def test_odd_headers_of_callers_fail_no_entry(small_fleet, method, path):
    """Guards against 500 and lost connections for callers' odd headers."""
    address = small_fleet.entries["entry-1"]
    async with sound_calls(small_fleet) as statuses:
        wrong = await odd_requests(
            address, path, ENTRY_HEADERS, sound_headers(small_fleet), method
        )
        wrong += await odd_targets(
            address, method, b"/services/shop/", sound_headers(small_fleet)
        )
    assert not wrong
    check_harmless(small_fleet, statuses)


async def test_odd_responses_of_endpoints_fail_no_agent(small_fleet):
    """Guards against 500 for callers, and failed tasks, at odd responses."""
    fleet, raw = small_fleet, RawEndpoint()
    sound = sound_headers(fleet) | {b"Connection": b"close"}

    async def call_odd(number):
        request = request_bytes(b"/services/odd/%d" % number, sound)
        return await exchange(fleet.entries["entry-1"], request)

    async def odd_service_is_served():
        return b" 200 " in (await call_odd(0))[:20]

    await fleet.start_agent("odd-1")
    wrong = []
    async with (
        sound_calls(fleet) as statuses,
        raw.running(),
        announcing(fleet, "odd-1", raw.addresses[0], "odd"),
    ):
        await wait_until(odd_service_is_served, "the odd endpoint to serve")
        responders = [*odd_responses(RESPONSE_HEADERS), lambda head: PAUSE]
        for number, respond in enumerate(responders, 1):
            response = await response_to_caller(
                raw, respond, partial(call_odd, number)
            )
            if not response or internal_error(response):
                line = response.partition(b"\r\n")[0]
                wrong.append((respond(b"")[:200], line))
        assert raw.used.issuperset(responders)
    assert not wrong
    check_harmless(fleet, statuses)


def broken_stream(location, event_id=b"1"):
    """Returns a stream that breaks off after an event, with a location."""
    headers = {
        b"Content-Type": b"text/event-stream",
        b"Content-Length": b"1000",
        b"Content-Location": location,
    }
    return response_bytes(headers, body=b"id: %s\ndata: x\n\n" % event_id)


async def test_streams_with_odd_locations_and_ids_fail_no_agent(small_fleet):
    """Guards against failed tasks of agents that resume a stream."""
    fleet, raw = small_fleet, RawEndpoint()
    sound = sound_headers(fleet) | {b"Connection": b"close"}

    async def call_odd(number):
        request = request_bytes(b"/services/odd/%d" % number, sound)
        return await exchange(fleet.entries["entry-1"], request)

    async def odd_service_is_served():
        return b" 200 " in (await call_odd(0))[:20]

    await fleet.start_agent("odd-1")
    async with (
        sound_calls(fleet) as statuses,
        raw.running(),
        announcing(fleet, "odd-1", raw.addresses[0], "odd"),
    ):
        await wait_until(odd_service_is_served, "the odd endpoint to serve")
        streams = [broken_stream(location) for location in ODD_VALUES]
        streams += [broken_stream(b"/odd/x", i) for i in ODD_EVENT_IDS]
        for number, stream in enumerate(streams, 1):
            raw.respond = lambda head, stream=stream: stream
            response = await call_odd(number)
            assert response and not internal_error(response)
    check_harmless(fleet, statuses)
