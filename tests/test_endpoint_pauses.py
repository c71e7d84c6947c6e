"""Endpoints that ask for a pause or leave, and gateways as real processes."""

import asyncio
import contextlib
import itertools
import json
import time

import pytest
from aiohttp import web
from gateway_fleet import FakeEndpoint, config, gateway_fleet, route, wait_until

PAUSE_SECONDS = 2.0
PAUSE_NOTICE_SECONDS = 0.5
"""How long after it asked for a pause an endpoint may still get requests."""
MAX_PAUSED_REQUESTS = 2
LEAVING_NOTICE_SECONDS = 2.0
"""How long after it said that it leaves an endpoint may still get requests."""
CALLERS = 8
HEARTBEAT_SECONDS = 0.5


class ObservedEndpoint(FakeEndpoint):
    """An endpoint that records when requests arrive.

    Attributes:
        pauses: Whether it turns requests away and asks for a pause.
        leaves: Whether its responses say that it is leaving.
        arrivals: When requests arrived, on the monotonic clock in seconds.
        responses: When it sent responses, on the same clock.
    """

    def __init__(self, name, service="api"):
        super().__init__(name, service)
        self.pauses = False
        self.leaves = False
        self.arrivals = []
        self.responses = []
        self.respond = self.respond_and_record

    async def respond_and_record(self, request):
        self.arrivals.append(time.monotonic())
        headers = self.response_headers(request)
        if self.leaves:
            headers["Endpoint-Leaving"] = "1"
        self.responses.append(time.monotonic())
        if self.pauses:
            del headers["Answer-Signature"]
            headers |= {"Not-Run": "1", "Retry-After": f"{PAUSE_SECONDS}"}
            return web.Response(status=503, headers=headers)
        return web.Response(text="done", headers=headers)

    def forget(self):
        self.arrivals.clear()
        self.responses.clear()

    def requests_during_pauses(self):
        """Returns the most requests that arrived during one pause."""
        return max(
            sum(
                asked_at + PAUSE_NOTICE_SECONDS
                < arrived_at
                < asked_at + PAUSE_SECONDS
                for arrived_at in self.arrivals
            )
            for asked_at in self.responses
        )


@contextlib.asynccontextmanager
async def two_endpoints(fleet, service):
    """Two endpoints, both known to the gateway."""
    endpoints = [ObservedEndpoint(f"i-{n}", service) for n in (1, 2)]
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.running())
            for host in range(3):
                await fleet.send_heartbeat(endpoint, host=host)
        await wait_until(lambda: both_get_requests(fleet, endpoints))
        for endpoint in endpoints:
            endpoint.forget()
        yield endpoints


async def both_get_requests(fleet, endpoints):
    path = f"/{endpoints[0].service}/x"
    await asyncio.gather(*(send(fleet, path) for _ in range(CALLERS)))
    return all(endpoint.arrivals for endpoint in endpoints)


prompt_numbers = itertools.count()


async def send(fleet, path):
    """Sends a request with a prompt of its own; returns the response."""
    headers = {"Prompt-Parts": f"{next(prompt_numbers):x}:150"}
    async with fleet.request(path, headers=headers) as response:
        await response.read()
        return response


async def send_for(fleet, path, seconds):
    """Sends requests one after another from some callers; returns responses."""
    until = time.monotonic() + seconds
    found = []

    async def call_repeatedly():
        while time.monotonic() < until:
            found.append(await send(fleet, path))
            await asyncio.sleep(0.01)

    await asyncio.gather(*(call_repeatedly() for _ in range(CALLERS)))
    return found


def document():
    """A configuration with a plain service and one with engines."""
    api = route("api", "/api/")
    chat = route("chat", "/chat/", "stream", service="chat")
    found = config(2, api, chat | {"resumable": True})
    engine = {"slots": 200, "memory_tokens": 10_000_000}
    found["services"].append({"name": "chat", "engine": engine})
    found["limits"] = {"tokens_per_s": 1_000_000}
    return found


def placed_by(fleet):
    """Returns what chose the endpoint of the last request in the log."""
    lines = (fleet.folder / "gateway.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if '"placed_by"' in line]
    return found[-1]["placed_by"] if found else None


@contextlib.asynccontextmanager
async def fleet_that_places(folder, placed):
    """A gateway whose prompts are placed by a broker, or by itself."""
    cores = 0.0 if placed == "gateway" else 1.0
    async with gateway_fleet(folder, processor_cores=cores) as fleet:
        await fleet.put_config(document())
        yield fleet


@pytest.mark.parametrize(
    "service, placed", [("api", None), ("chat", "broker"), ("chat", "gateway")]
)
async def test_an_endpoint_that_asks_for_a_pause_gets_it(
    tmp_path, service, placed
):
    """Guards against a gateway that goes on sending requests to an endpoint
    that has asked for none for some seconds.
    """
    async with (
        fleet_that_places(tmp_path, placed) as fleet,
        two_endpoints(fleet, service) as (pausing, other),
    ):
        path = f"/{service}/x"

        async def is_placed_as_expected():
            await send(fleet, path)
            return placed_by(fleet) == placed

        await wait_until(is_placed_as_expected)
        pausing.forget()
        pausing.pauses = True
        responses = await send_for(fleet, path, 2.5 * PAUSE_SECONDS)
        assert pausing.responses, "no request was turned away"
        assert pausing.requests_during_pauses() <= MAX_PAUSED_REQUESTS
        served = [r for r in responses if r.status == 200]
        assert len(served) > 0.9 * len(responses)
        assert other.arrivals


@pytest.mark.parametrize("service", ["api", "chat"])
async def test_an_endpoint_that_says_it_leaves_gets_no_new_requests(
    tmp_path, service
):
    """Guards against requests to an endpoint that says in its responses that
    it is leaving, while no heartbeat has said so.
    """
    async with (
        fleet_that_places(tmp_path, "broker") as fleet,
        two_endpoints(fleet, service) as (leaving, other),
    ):
        leaving.leaves = True
        await send_for(fleet, f"/{service}/x", 2 * LEAVING_NOTICE_SECONDS)
        assert leaving.responses
        known_at = leaving.responses[0] + LEAVING_NOTICE_SECONDS
        assert max(leaving.arrivals) < known_at
        assert max(other.arrivals) > known_at


@contextlib.asynccontextmanager
async def heartbeats_of(fleet, *endpoints):
    """Sends the heartbeats of endpoints."""

    async def send_heartbeats():
        while True:
            for endpoint in endpoints:
                await fleet.send_heartbeat(endpoint)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    task = asyncio.create_task(send_heartbeats())
    try:
        yield
    finally:
        task.cancel()


async def restart_gateway(fleet, path, endpoint):
    """Kills the gateway and starts it; returns once it serves.

    The endpoint forgets what the process before has sent.
    """
    await fleet.children["gateway"].kill()
    endpoint.forget()
    await fleet.start("gateway")

    async def is_serving():
        return (await send(fleet, path)).status == 200

    await wait_until(is_serving)


@pytest.mark.parametrize("service", ["api", "chat"])
async def test_a_gateway_that_restarts_learns_of_pauses_and_leaving_again(
    tmp_path, service
):
    """Guards against a gateway that sends requests on and on to an endpoint
    whose pause, or leaving, only the lost process had heard of.
    """
    path = f"/{service}/x"
    async with (
        fleet_that_places(tmp_path, "broker") as fleet,
        two_endpoints(fleet, service) as (first, second),
        heartbeats_of(fleet, first, second),
    ):
        first.pauses = True
        await send_for(fleet, path, PAUSE_SECONDS / 2)
        assert first.responses
        await restart_gateway(fleet, path, first)
        await send_for(fleet, path, 2.5 * PAUSE_SECONDS)
        assert first.responses, "no request was turned away"
        assert first.requests_during_pauses() <= MAX_PAUSED_REQUESTS
        first.pauses, first.leaves = False, True
        await send_for(fleet, path, PAUSE_SECONDS + LEAVING_NOTICE_SECONDS)
        await restart_gateway(fleet, path, first)
        await send_for(fleet, path, 2 * LEAVING_NOTICE_SECONDS)
        told_at = min(first.responses)
        assert max(first.arrivals) <= (told_at + LEAVING_NOTICE_SECONDS)
        assert second.arrivals


@pytest.mark.parametrize("service", ["api", "chat"])
async def test_requests_are_refused_at_once_while_all_endpoints_pause(
    tmp_path, service
):
    """Guards against requests that are held, or sent all the same, while no
    endpoint takes any.
    """
    async with (
        fleet_that_places(tmp_path, "broker") as fleet,
        two_endpoints(fleet, service) as endpoints,
    ):
        for endpoint in endpoints:
            endpoint.pauses = True
        path = f"/{service}/x"

        async def both_were_asked():
            await send(fleet, path)
            return all(endpoint.responses for endpoint in endpoints)

        await wait_until(both_were_asked)
        started_at = time.monotonic()
        response = await send(fleet, path)
        assert time.monotonic() - started_at < 0.5
        assert response.status == 503
        assert 0.5 < float(response.headers["Retry-After"]) <= 3.0
        await send_for(fleet, path, PAUSE_SECONDS)
        for endpoint in endpoints:
            assert endpoint.requests_during_pauses() <= MAX_PAUSED_REQUESTS
