"""Passes engine orders on, never an older one after a newer one."""

import asyncio

import aiohttp
import msgspec

from marjoramyard.coordination.governance.orders import FencingGuard, Order
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.application import Application
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_ORDER_SECONDS = 30.0
_RETRY_SECONDS = 1.0


class OrderForwarder:
    """Applies the newest order to the endpoint."""

    def __init__(self, app: Application, endpoint: Endpoint):
        self.app = app
        self.endpoint = endpoint
        self.guard = FencingGuard()
        self.wanted: Order | None = None
        self.wake = asyncio.Event()
        self.applied: tuple[str, int] = ("", 0)

    def learn(self, order: Order | None, newest: int) -> None:
        """Takes in what a confirmed leader says."""
        self.guard.learn(newest)
        self.wanted = order
        self.wake.set()

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Sends the newest order until the endpoint has taken it."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while not await self._apply(session):
                await asyncio.sleep(_RETRY_SECONDS)

    async def _apply(self, session: aiohttp.ClientSession) -> bool:
        order, word = self.wanted, self.endpoint.announced
        if order is None:
            return True
        if word is None or word.name != order.endpoint:
            return False
        if self.applied == (word.incarnation, order.number):
            return True
        refusal = self.guard.admit(order.number)
        if refusal is not None:
            logger.warning("order_refused", number=order.number)
            return True
        try:
            async with asyncio.timeout(_ORDER_SECONDS):
                async with session.post(
                    f"http://{word.address}/admin/orders",
                    data=msgspec.json.encode(order),
                ) as response:
                    await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        self.applied = (word.incarnation, order.number)
        logger.info("order_passed", number=order.number, action=order.action)
        self.app.metrics.count("orders", status=str(response.status))
        return True
