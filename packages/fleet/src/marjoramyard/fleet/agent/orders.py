"""Forwards operators' orders to the endpoint and rejects stale ones."""

import asyncio

import aiohttp
import msgspec

from marjoramyard.coordination.governance.orders import FencingGuard, Order
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.util.response_body import discard_body
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_ORDER_TIMEOUT_SECONDS = 30.0
_RETRY_DELAY_SECONDS = 1.0


class OrderForwarder:
    """Forwards the newest order to the endpoint.

    An order is an operator's command with a fencing number, which increases
    with each order.

    Attributes:
        guard: Rejects orders older than the newest known one.
        newest_order: The order to forward, if any.
        wake: Set when there may be an order to forward.
        forwarded: Incarnation and order number of the last forwarded order.
    """

    def __init__(self, app: Application, endpoint: Endpoint):
        self.app = app
        self.endpoint = endpoint
        self.guard = FencingGuard()
        self.newest_order: Order | None = None
        self.wake = asyncio.Event()
        self.forwarded: tuple[str, int] = ("", 0)

    def on_order(self, order: Order | None, newest: int) -> None:
        """Applies an update from the confirmed leader.

        Args:
            order: The order in force, if any.
            newest: The endpoint's newest fencing number.
        """
        self.guard.observe(newest)
        self.newest_order = order
        self.wake.set()

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Forwards the newest order, with retries, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while not await self._forward(session):
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _forward(self, session: aiohttp.ClientSession) -> bool:
        """Forwards the order; returns False if it must be sent again."""
        order, announced = self.newest_order, self.endpoint.announced
        if order is None:
            return True
        if announced is None or announced.name != order.endpoint:
            return False
        if self.endpoint.pause_seconds:
            return False
        if self.forwarded == (announced.incarnation, order.number):
            return True
        refusal = self.guard.admit(order.number)
        if refusal is not None:
            logger.warning("order_refused", number=order.number)
            return True
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT_SECONDS):
                async with session.post(
                    f"http://{announced.address}/admin/orders",
                    data=msgspec.json.encode(order),
                ) as response:
                    await discard_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        self.forwarded = (announced.incarnation, order.number)
        logger.info("order_forwarded", number=order.number, action=order.action)
        self.app.metrics.count("orders", status=str(response.status))
        return True
