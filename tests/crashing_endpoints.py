"""Endpoints that a request can crash, and callers that send such requests."""

import asyncio
import contextlib
import itertools
import time
from enum import Enum

import aiohttp
from aiohttp import web
from gateway_fleet import FakeEndpoint

from marjoramyard.standin.raw_responses import (
    Framing,
    RawResponse,
)

CRASHING_BODY = "crash"
WORK_SECONDS = 0.02
CRASH_SECONDS = 0.05
"""How long a crashing request runs before its endpoint ends."""
DOWN_SECONDS = 0.7
HEARTBEAT_SECONDS = 0.3
STREAM_EVENTS = 4


class CrashPlace(Enum):
    """How far the response to a crashing request comes."""

    BEFORE_RESPONSE = "before-response"
    INSIDE_EVENT = "inside-event"
    """Of a stream without a length; the connection is closed regularly."""
    BETWEEN_EVENTS = "between-events"
    """As above."""


_PARTS = {
    CrashPlace.INSIDE_EVENT: [b"id: 1\ndata: x\n\n", b"id: 2\nda"],
    CrashPlace.BETWEEN_EVENTS: [b"id: 1\ndata: x\n\n"],
}


class CrashingEndpoint(FakeEndpoint):
    """An endpoint that ends under `CRASHING_BODY` and comes back.

    It comes back as a new lifetime with a new name at the same address.

    Attributes:
        ends: When it ended, on the monotonic clock in seconds.
        crashing_arrivals: When crashing requests arrived, on the same clock.
        crash_place: How far the response to a crashing request comes.
    """

    def __init__(
        self,
        name,
        fleet,
        service="api",
        crash_place=CrashPlace.BEFORE_RESPONSE,
    ):
        super().__init__(name, service)
        self.crash_place = crash_place
        self.fleet = fleet
        self.base_name = name
        self.lifetimes = itertools.count(1)
        self.born = 0
        self.runner = None
        self.respond = self.run
        self.ends = []
        self.crashing_arrivals = []

    async def start(self):
        """Starts a lifetime."""
        self.name = f"{self.base_name}-{next(self.lifetimes)}"
        self.born = int(time.time() * 1000)
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", self.handle)])
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.01
        )
        await self.runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(
            self.runner, host, int(port), reuse_address=True
        ).start()

    async def end(self):
        """Ends like a crash: aborts all connections, sends no heartbeat."""
        runner, self.runner = self.runner, None
        if runner is None:
            return
        self.ends.append(time.monotonic())
        for site in list(runner.sites):
            await site.stop()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    async def crash(self):
        """Ends, and starts again after a while."""
        if self.runner is None:
            return
        await self.end()
        await asyncio.sleep(DOWN_SECONDS)
        await self.start()

    @contextlib.asynccontextmanager
    async def running(self):
        await self.start()
        heartbeats = asyncio.create_task(self.send_heartbeats())
        try:
            yield self
        finally:
            heartbeats.cancel()
            await self.end()

    def registration(self, state="ready"):
        return super().registration(state) | {"born": self.born}

    async def send_heartbeats(self):
        while True:
            for host in range(3):
                if self.runner is not None:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        await self.fleet.send_heartbeat(self, host=host)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def crash_after_a_while(self):
        await asyncio.sleep(CRASH_SECONDS)
        asyncio.get_running_loop().create_task(self.crash())
        await asyncio.Event().wait()

    async def pieces_until_crash(self):
        for part in _PARTS[self.crash_place]:
            yield part
        await self.crash_after_a_while()

    async def run(self, request):
        if (await request.read()).decode() == CRASHING_BODY:
            self.crashing_arrivals.append(time.monotonic())
            if self.crash_place is CrashPlace.BEFORE_RESPONSE:
                await self.crash_after_a_while()
            return RawResponse(
                self.pieces_until_crash(),
                Framing.CLOSE,
                headers=self.response_headers(request)
                | {"Content-Type": "text/event-stream"},
            )
        headers = self.response_headers(request)
        if not request.path.startswith("/chat/"):
            await asyncio.sleep(WORK_SECONDS)
            return web.Response(text="done", headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, STREAM_EVENTS + 1):
            await asyncio.sleep(WORK_SECONDS)
            await response.write(f"id: {number}\ndata: x\n\n".encode())
        await response.write_eof()
        return response


async def send(fleet, path, body):
    """Sends a request over a new connection; returns its status.

    The status is 0 for a response that broke off.
    """
    number = f"{time.monotonic_ns():x}"
    headers = {"Prompt-Parts": f"{number}:150", "Connection": "close"}
    try:
        async with fleet.request(
            path, id=number, data=body, headers=headers
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError):
        return 0


async def send_repeatedly(fleet, path, bodies, until, gap):
    """Sends requests one after another until a time; returns the statuses."""
    statuses = []
    while time.monotonic() < until:
        statuses.append(await send(fleet, path, next(bodies)))
        await asyncio.sleep(gap)
    return statuses


def distinct_bodies(caller):
    """Yields bodies that no other request has."""
    return (f"{caller} {number}" for number in itertools.count())


def sends_after_third_end(endpoints, notice):
    """Returns how often the crashing request came after three ends.

    Args:
        endpoints: The endpoints.
        notice: How long after the third end it may still come, in seconds.
    """
    ends = sorted(end for endpoint in endpoints for end in endpoint.ends)
    if len(ends) < 3:
        return 0
    return sum(
        arrived_at > ends[2] + notice
        for endpoint in endpoints
        for arrived_at in endpoint.crashing_arrivals
    )
