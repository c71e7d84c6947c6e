"""Responses that have arrived before a deadline reach the caller."""

import asyncio
import signal
import time

import pytest
from aiohttp import web
from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

TIMEOUT_SECONDS = 0.8
STREAM_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        timeout = {"timeout_ms": round(TIMEOUT_SECONDS * 1000)}
        routes = [
            route("once", "/once/", "non_idempotent", **timeout),
            route("stream", "/stream/", "stream", **timeout),
        ]
        await running.put_config(config(2, *routes))
        yield running


class HeldEndpoint(FakeEndpoint):
    """An endpoint that responds to held requests once it is released."""

    def __init__(self, name):
        super().__init__(name)
        self.release = asyncio.Event()
        self.has_responded = asyncio.Event()
        self.respond = self.respond_when_released

    async def respond_when_released(self, request):
        headers = self.response_headers(request)
        if request.path == "/a/x":
            return web.Response(text="done", headers=headers)
        await self.release.wait()
        if request.path.startswith("/stream/"):
            headers["Content-Type"] = "text/event-stream"
        response = web.Response(body=STREAM_EVENTS, headers=headers)
        await response.prepare(request)
        await response.write_eof()
        self.has_responded.set()
        return response


async def send(fleet, path):
    async with fleet.request(path, deadline_ms=5000, data=b"x") as response:
        return response.status, await response.read()


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
async def test_a_response_that_came_in_time_is_not_replaced_by_a_late_loop(
    fleet, path
):
    """Guards against deadlines that are handled before what has arrived.

    The gateway is suspended while the response arrives in time, and woken when
    the timeout of the route has passed.
    """
    endpoint = HeldEndpoint("i-1")
    async with endpoint.running():
        await fleet.send_heartbeat(endpoint)
        await wait_until(fleet.is_serving)
        endpoint.requests.clear()
        sent_at = time.monotonic()
        sending = asyncio.create_task(send(fleet, path))

        async def is_running():
            return endpoint.requests

        async def timeout_has_passed():
            return time.monotonic() > sent_at + TIMEOUT_SECONDS + 0.1

        await wait_until(is_running)
        fleet.children["gateway"].suspend()
        endpoint.release.set()
        await endpoint.has_responded.wait()
        await wait_until(timeout_has_passed)
        fleet.children["gateway"].signal(signal.SIGCONT)
        assert await sending == (200, STREAM_EVENTS)
