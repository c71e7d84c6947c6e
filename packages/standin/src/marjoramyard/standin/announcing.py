"""What every stand-in does: announce itself, take orders, count calls."""

import asyncio
import os
import signal

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.governance.orders import Order
from marjoramyard.fleet.messages import EndpointAnnouncement
from marjoramyard.kernel.ids import new_incarnation

ANNOUNCE_SECONDS = 1.0


class AnnouncedEndpoint:
    """An endpoint that announces itself to the agent beside it.

    Attributes:
        checks_fencing: Refuses orders with an old fencing number.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        agent: str,
        slots: int,
        checks_fencing: bool = False,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.agent = agent
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.incarnation = new_incarnation(name)
        self.state = "ready"
        self.newest_order = 0
        self.orders: list[Order] = []
        self.calls: list[str] = []

    def routes(self) -> list[web.RouteDef]:
        """Returns the pages that every stand-in has."""
        return [
            web.get("/health", self.on_health),
            web.post("/admin/orders", self.on_order),
            web.post("/admin/leave", self.on_leave),
            web.get("/admin/counters", self.on_counters),
        ]

    def counters(self) -> dict:
        """Returns what tests ask."""
        return {
            "calls": self.calls,
            "orders": [order.argument for order in self.orders],
        }

    def note_call(self, request: web.Request) -> None:
        """Notes a call by its idempotency key or its path."""
        self.calls.append(
            request.headers.get("Idempotency-Key", request.path_qs)
        )

    async def crash(self) -> None:
        """Ends this process as a fault would."""
        os.kill(os.getpid(), signal.SIGKILL)
        await asyncio.Event().wait()

    async def on_health(self, _: web.Request) -> web.Response:
        """Says that the endpoint lives."""
        return web.Response(text="ok\n")

    async def on_order(self, request: web.Request) -> web.Response:
        """Follows an order; some stand-ins refuse an old number."""
        order = msgspec.json.decode(await request.read(), type=Order)
        if self.checks_fencing and order.number < self.newest_order:
            return web.Response(status=409, text="old fencing number\n")
        self.newest_order = max(self.newest_order, order.number)
        self.orders.append(order)
        return web.Response(text="done\n")

    async def on_leave(self, _: web.Request) -> web.Response:
        """Starts to leave."""
        self.state = "leaving"
        async with aiohttp.ClientSession() as session:
            await self._announce_once(session)
        return web.Response(text="leaving\n")

    async def on_counters(self, _: web.Request) -> web.Response:
        """Returns the counters."""
        return web.json_response(self.counters())

    async def _announce_once(self, session: aiohttp.ClientSession) -> None:
        word = EndpointAnnouncement(
            self.name,
            self.incarnation,
            self.address,
            self.service,
            self.slots,
            self.state,
            self.checks_fencing,
        )
        try:
            async with session.post(
                f"http://{self.agent}/announce", data=msgspec.json.encode(word)
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            # The agent may not be up yet; the next announcement tells it.
            pass

    async def announce_forever(self) -> None:
        """Announces until cancelled."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._announce_once(session)
                await asyncio.sleep(ANNOUNCE_SECONDS)

    async def serve(self) -> None:
        """Serves and announces until cancelled."""
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
