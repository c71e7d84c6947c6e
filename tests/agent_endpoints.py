"""Endpoints in the test process, each behind an agent of its own."""

import asyncio
import contextlib
import itertools
import time

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.fleet.messages import EndpointAnnouncement
from marjoramyard.standin.processes import free_address

ANNOUNCE_SECONDS = 0.3
SLOTS = 4
WORK_SECONDS = 0.02


@contextlib.asynccontextmanager
async def announcing(fleet, name, address, service, slots=SLOTS):
    """Announces an endpoint to its agent, which has been started."""
    announcement = EndpointAnnouncement(
        name, f"{name}~1", address, service, slots, "ready"
    )
    url = f"http://{fleet.announce_addresses[name]}/announce"
    body = msgspec.json.encode(announcement)

    async def announce_repeatedly():
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with fleet.session.post(url, data=body) as response:
                    await response.read()
            await asyncio.sleep(ANNOUNCE_SECONDS)

    task = asyncio.create_task(announce_repeatedly())
    try:
        yield
    finally:
        task.cancel()


class AgentEndpoint:
    """An endpoint of a plain service that records its requests.

    Attributes:
        arrivals: The time and the path of each request, on the monotonic clock
            in seconds.
        status: The status of its responses.
        headers: Further fields of them.
    """

    def __init__(self, fleet, name, service="shop"):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.address = free_address()
        self.arrivals = []
        self.status = 200
        self.headers = {}
        self.numbers = itertools.count()

    async def handle(self, request):
        if request.path == "/health":
            return web.Response()
        self.arrivals.append((time.monotonic(), request.path))
        await asyncio.sleep(WORK_SECONDS)
        return web.Response(status=self.status, headers=self.headers)

    def requests_after(self, at, prefix="/"):
        return [p for t, p in self.arrivals if t > at and p.startswith(prefix)]

    @contextlib.asynccontextmanager
    async def running(self, slots=SLOTS, **agent_settings):
        """Starts the agent, and serves and announces the endpoint."""
        await self.fleet.start_agent(self.name, **agent_settings)
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", self.handle)])
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        try:
            async with announcing(
                self.fleet, self.name, self.address, self.service, slots
            ):
                yield self
        finally:
            await runner.cleanup()
