"""Odd values in the headers of callers and endpoints, and in URLs."""

import asyncio
import contextlib
import itertools
from collections import Counter
from functools import partial

import pytest
import yaml
from gateway_fleet import FakeEndpoint, config, gateway_fleet, route, wait_until
from odd_headers import (
    ODD_VALUES,
    RawEndpoint,
    exchange,
    exchange_heads,
    internal_error,
    is_overload,
    odd_requests,
    odd_targets,
    request_bytes,
    response_bytes,
    response_to_caller,
    signed,
    status_of,
)
from test_odd_registrations import failures

from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    CORES_PARAMETER,
    FORWARDING_PARAMETER,
    SERVICE_PARAMETER,
    ZONE_PARAMETER,
)

ODD_ENDPOINTS = 40
"""One for each pause that is asked for, and some more."""
CALLER_HEADERS = (
    b"Request-Id",
    b"Request-Deadline-Ms",
    b"Api-Key",
    b"Workspace",
    b"Target-Endpoint",
    b"Not-Run",
    b"Prompt-Parts",
    b"Token-Counts",
    b"Last-Event-Id",
    b"Resumes",
    b"Fetch-From",
    b"Host",
    b"Content-Type",
    b"Content-Encoding",
    b"Accept-Encoding",
    b"Range",
    b"If-Modified-Since",
    b"Cookie",
    b"Keep-Alive",
    b"Authorization",
    b"Traceparent",
    b"Te",
    b"Date",
    b"Content-Length",
    b"Transfer-Encoding",
    b"Expect",
    b"Upgrade",
)
SERVED_HEADERS = (b"Prompt-Parts", b"Token-Counts", b"Request-Id", b"Cookie")
ENDPOINT_HEADERS = (
    b"Request-Id",
    b"Answer-Signature",
    b"Not-Run",
    b"Endpoint-Leaving",
    b"Content-Length",
    b"Transfer-Encoding",
    b"Content-Encoding",
    b"Content-Type",
    b"Content-Location",
    b"Set-Cookie",
    b"Location",
    b"Keep-Alive",
    b"Connection",
    b"Upgrade",
    b"Date",
    b"Age",
    b"Trailer",
    b"X-Marjoramyard-Outcome",
    b"Retry-After",
)
ODD_STATUSES = (
    b"000 x",
    b"099 x",
    b"999 x",
    b"1000 x",
    b"\xb200 x",
    b"2_0 x",
    b"-20 x",
    b"101 x",
    b"204 x",
    b"301 x",
    b"307 x",
    b"413 x",
    b"421 x",
    b"429 x",
    b"9" * 5000 + b" x",
    b"",
)


def odd_responses(names):
    """Returns responders; those that ask for a pause are the last."""
    found = [
        lambda head, status=status: response_bytes(signed(head), status)
        for status in ODD_STATUSES
    ]
    for status, name in itertools.product((b"200 OK", b"503 x"), names):
        for value in ODD_VALUES:
            found.append(
                lambda head, status=status, name=name, value=value: (
                    response_bytes(signed(head) | {name: value}, status)
                )
            )
    return found


@contextlib.asynccontextmanager
async def calling(call):
    """Calls repeatedly; yields how often each status was the response."""
    statuses = Counter()

    async def call_repeatedly():
        while True:
            statuses[await call()] += 1

    task = asyncio.create_task(call_repeatedly())
    try:
        yield statuses
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        document = config(
            2,
            route("odd", "/odd/", service="odd"),
            route("chat", "/chat/", "stream", service="chat"),
            route("keyed", "/keyed/", open_access=False),
        )
        engine = {"slots": 200, "memory_tokens": 10_000_000}
        document["services"] += [
            {"name": "odd"},
            {"name": "chat", "engine": engine},
        ]
        await running.put_config(document)
        yield running


@contextlib.asynccontextmanager
async def sound_endpoints(fleet):
    """Runs an endpoint of a plain service, and an engine."""
    plain, engine = FakeEndpoint("i-1"), FakeEndpoint("i-2", "chat")
    async with plain.running(), engine.running():
        for endpoint, host in itertools.product((plain, engine), range(3)):
            await fleet.send_heartbeat(endpoint, host=host)

        async def are_used():
            return await fleet.is_serving() and await fleet.is_serving(
                "/chat/x"
            )

        await wait_until(are_used)
        yield


async def call_soundly(fleet):
    """Calls both services; returns the first status that is not 200.

    A refusal for the load alone doesn't count.
    """
    for path in ("/a/x", "/chat/x"):
        async with fleet.request(path) as response:
            body = await response.read()
            if response.status != 200 and not is_overload(body):
                return response.status
    return 200


def check_harmless(fleet, statuses):
    assert not failures(fleet)
    assert all(child.is_running for child in fleet.children.values())
    assert set(statuses) == {200}, statuses


SOUND = {
    b"Host": b"shop.example",
    b"Request-Id": b"odd-1",
    b"Request-Deadline-Ms": b"3000",
}
KEY = {b"Api-Key": b"key-of-shop-1234"}


@pytest.mark.parametrize("path", [b"/a/x", b"/chat/x", b"/keyed/x"])
async def test_odd_headers_of_callers_fail_no_gateway(fleet, path):
    """Guards against 500 and lost connections for callers' odd headers."""
    async with (
        sound_endpoints(fleet),
        calling(lambda: call_soundly(fleet)) as statuses,
    ):
        wrong = await odd_requests(
            fleet.listen_address,
            path,
            CALLER_HEADERS,
            SOUND | KEY,
            b"POST",
            SERVED_HEADERS,
        )
    assert not wrong
    check_harmless(fleet, statuses)


@pytest.mark.parametrize("path", [b"/a/", b"/chat/", b"/keyed/", b"/"])
async def test_odd_targets_fail_no_gateway(fleet, path):
    """Guards against 500 and lost connections for callers' odd targets."""
    async with (
        sound_endpoints(fleet),
        calling(lambda: call_soundly(fleet)) as statuses,
    ):
        wrong = await odd_targets(
            fleet.listen_address, b"POST", path, SOUND | KEY
        )
    assert not wrong
    check_harmless(fleet, statuses)


async def test_odd_responses_of_endpoints_fail_no_gateway(fleet):
    """Guards against 500 for callers, and failed tasks, at odd responses."""
    raw = RawEndpoint(ODD_ENDPOINTS)

    async def odd_service_is_served():
        return await fleet.is_serving("/odd/x")

    async with (
        sound_endpoints(fleet),
        raw.running(),
        calling(lambda: call_soundly(fleet)) as statuses,
    ):
        for number, address in enumerate(raw.addresses):
            endpoint = FakeEndpoint(f"odd-{number}", "odd")
            endpoint.address = address
            for host in range(3):
                await fleet.send_heartbeat(endpoint, host=host)
        await wait_until(odd_service_is_served)
        wrong = []
        responders = odd_responses(ENDPOINT_HEADERS)
        for number, respond in enumerate(responders):
            headers = SOUND | {b"Request-Id": b"odd-%d" % number}
            headers[b"Connection"] = b"close"
            request = request_bytes(b"/odd/x", headers)
            response = await response_to_caller(
                raw, respond, partial(exchange, fleet.listen_address, request)
            )
            if not response or internal_error(response):
                line = response.partition(b"\r\n")[0]
                wrong.append((respond(b"")[:200], line))
    assert raw.used.issuperset(responders)
    assert not wrong
    check_harmless(fleet, statuses)


OPERATOR_CALLS = (
    (b"PUT", b"/registrations/"),
    (b"DELETE", b"/registrations/"),
    (b"PUT", b"/evacuations/z?operator="),
    (b"PUT", b"/evacuations/"),
    (b"DELETE", b"/evacuations/"),
    (b"GET", b"/evacuations?"),
    (b"GET", b"/fleet-config?"),
    (b"PUT", b"/fleet-config?"),
    (b"POST", b"/fleet/v1/sync?"),
    (b"GET", b"/"),
)


@pytest.mark.parametrize(
    "is_internal, method, path",
    [(False, b"GET", b"/fleet-config"), (True, b"POST", b"/fleet/v1/sync")],
)
async def test_odd_calls_fail_no_control_host(fleet, is_internal, method, path):
    """Guards against 500 and lost connections for ids, query parameters and
    headers of operators, endpoints and other processes.
    """
    addresses = fleet.operator_addresses
    if is_internal:
        addresses = [f"{host}:{fleet.peer_port}" for host in fleet.hosts]
    sound = {b"Host": b"control.example"}
    wrong = []
    async with (
        sound_endpoints(fleet),
        calling(lambda: call_soundly(fleet)) as statuses,
    ):
        for call_method, prefix in OPERATOR_CALLS:
            wrong += await odd_targets(addresses[0], call_method, prefix, sound)
        wrong += await odd_requests(
            addresses[1], path, CALLER_HEADERS, sound, method
        )
        # The library answers an odd `Expect` to an unknown path with 500.
        names = [name for name in CALLER_HEADERS if name != b"Expect"]
        wrong += await odd_requests(addresses[2], b"/unknown", names, sound)
    assert not wrong
    check_harmless(fleet, statuses)


async def test_odd_parameters_of_gateways_fail_no_broker(fleet):
    """Guards against brokers that are lost to one gateway's parameters."""
    settings = yaml.safe_load((fleet.folder / "gateway.yaml").read_text())
    upgrade = {
        b"Host": b"gateway.example",
        b"Connection": b"Upgrade",
        b"Upgrade": b"websocket",
        b"Sec-WebSocket-Version": b"13",
        b"Sec-WebSocket-Key": b"dGhlIHNhbXBsZSBub25jZQ==",
    }
    wrong = []
    async with (
        sound_endpoints(fleet),
        calling(lambda: call_soundly(fleet)) as statuses,
    ):
        request = request_bytes(f"{BROKER_PATH}?service=chat".encode(), upgrade)
        response = await exchange_heads(settings["internal"], request)
        assert status_of(response) == 101
        for name in (
            ZONE_PARAMETER,
            FORWARDING_PARAMETER,
            SERVICE_PARAMETER,
            CORES_PARAMETER,
        ):
            prefix = f"{BROKER_PATH}?service=chat&{name}=".encode()
            wrong += await odd_targets(
                settings["internal"], b"GET", prefix, upgrade, exchange_heads
            )
    assert not wrong
    check_harmless(fleet, statuses)
