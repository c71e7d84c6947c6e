"""Responses that reach an agent before a deadline reach the caller too."""

import asyncio
import signal
import time

from agent_endpoints import AgentEndpoint
from aiohttp import web

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until

DEADLINE_SECONDS = 1.5
PATH = "/services/shop/stock/late"


class HeldEndpoint(AgentEndpoint):
    """An endpoint that responds to a late request once it is released."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name)
        self.release = asyncio.Event()
        self.has_responded = asyncio.Event()

    async def handle(self, request):
        if not request.path.endswith("/late"):
            return await super().handle(request)
        self.arrivals.append((time.monotonic(), request.path))
        await self.release.wait()
        response = web.Response(text="done")
        await response.prepare(request)
        await response.write_eof()
        self.has_responded.set()
        return response


async def send(fleet, path, seconds):
    headers = fleet.headers(
        "counter", **{"X-Request-Deadline-Seconds": f"{seconds}"}
    )
    async with fleet.session.get(
        fleet.url("entry-1", path), headers=headers
    ) as response:
        return response.status, await response.text()


async def test_a_response_that_came_in_time_is_not_replaced_by_a_late_agent(
    fleet, bundle
):
    """Guards against deadlines that are handled before what has arrived.

    The agent is suspended while the response arrives in time, and woken when
    the deadline has passed.
    """
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    async with HeldEndpoint(fleet, "shop-0").running() as endpoint:

        async def is_serving():
            status, _ = await send(fleet, "/services/shop/stock/x", 5)
            return status == 200

        await wait_until(is_serving, "the endpoint to serve")
        endpoint.arrivals.clear()
        sent_at = time.monotonic()
        sending = asyncio.create_task(send(fleet, PATH, DEADLINE_SECONDS))

        async def is_running():
            return endpoint.arrivals

        async def deadline_has_passed():
            return time.monotonic() > sent_at + DEADLINE_SECONDS + 0.1

        await wait_until(is_running, "the request")
        agent = fleet.children["agent-shop-0"]
        agent.suspend()
        endpoint.release.set()
        await endpoint.has_responded.wait()
        await wait_until(deadline_has_passed, "the deadline")
        agent.signal(signal.SIGCONT)
        assert await sending == (200, "done")
