"""Base class of the test back ends: announcements, orders, call counters."""

import asyncio
import os
import signal

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.governance.orders import Order
from marjoramyard.fleet.messages import EndpointAnnouncement
from marjoramyard.kernel.ids import new_incarnation

ANNOUNCE_INTERVAL_SECONDS = 1.0


class AnnouncedEndpoint:
    """An HTTP endpoint that announces itself to the agent on its host.

    Attributes:
        checks_fencing: Whether orders with a stale fencing number are refused.
        version: The version of its software; "" if it tells none.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        agent: str,
        slots: int,
        checks_fencing: bool = False,
        version: str = "",
    ):
        self.name = name
        self.service = service
        self.address = address
        self.agent = agent
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.version = version
        self.incarnation = new_incarnation(name)
        self.state = "ready"
        self.newest_order = 0
        self.orders: list[Order] = []
        self.calls: list[str] = []

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes that all test back ends share."""
        return [
            web.get("/health", self.on_health),
            web.post("/admin/orders", self.on_order),
            web.post("/admin/leave", self.on_leave),
            web.get("/admin/counters", self.on_counters),
        ]

    def counters(self) -> dict:
        """Returns the values served at /admin/counters."""
        return {
            "calls": self.calls,
            "orders": [order.argument for order in self.orders],
        }

    def record_call(self, request: web.Request) -> None:
        """Records a call under its idempotency key, or else its path."""
        self.calls.append(
            request.headers.get("Idempotency-Key", request.path_qs)
        )

    async def crash(self) -> None:
        """Kills this process with SIGKILL to simulate a crash."""
        os.kill(os.getpid(), signal.SIGKILL)
        await asyncio.Event().wait()

    async def on_health(self, _: web.Request) -> web.Response:
        """Serves the liveness check."""
        return web.Response(text="ok\n")

    async def on_order(self, request: web.Request) -> web.Response:
        """Records an order, or refuses it with 409 if its number is stale."""
        order = msgspec.json.decode(await request.read(), type=Order)
        if self.checks_fencing and order.number < self.newest_order:
            return web.Response(status=409, text="old fencing number\n")
        self.newest_order = max(self.newest_order, order.number)
        self.orders.append(order)
        return web.Response(text="done\n")

    async def on_leave(self, _: web.Request) -> web.Response:
        """Enters the leaving state and announces it at once."""
        self.state = "leaving"
        async with aiohttp.ClientSession() as session:
            await self._announce_once(session)
        return web.Response(text="leaving\n")

    async def on_counters(self, _: web.Request) -> web.Response:
        """Serves the counters as JSON."""
        return web.json_response(self.counters())

    async def _announce_once(self, session: aiohttp.ClientSession) -> None:
        announcement = EndpointAnnouncement(
            self.name,
            self.incarnation,
            self.address,
            self.service,
            self.slots,
            self.state,
            self.checks_fencing,
            version=self.version,
        )
        try:
            async with session.post(
                f"http://{self.agent}/announce",
                data=msgspec.json.encode(announcement),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            # The agent may not be listening yet; the next interval retries.
            pass

    async def announce_forever(self) -> None:
        """Announces the endpoint periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._announce_once(session)
                await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def serve(self) -> None:
        """Serves requests and announces the endpoint until cancelled."""
        app = web.Application(client_max_size=64 << 20)
        app.add_routes(self.routes())
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        try:
            await self.announce_forever()
        finally:
            await runner.cleanup()
