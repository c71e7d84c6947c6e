"""Asks engines which prompt parts they have cached.

Brokers know what engines have cached from the requests that they placed, and a
new one is told by its gateways. After all gateways have been restarted nobody
knows, and shared parts would be prefilled again although they are there.
"""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import msgspec

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.dialect import CacheListCall
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.held_bytes import HeldBytes, HeldKind
from marjoramyard.fleet.util.response_body import BrokenOffError, ResponseBody
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

MAX_ENGINES = 128
"""Of more engines not all are asked: a list takes a millisecond of processor
when callers wait, and the most used parts are at many engines."""
MAX_CALLS = 8
"""Calls at the same time. Their replies are some ten KB each, and are decoded
while requests wait."""
TIMEOUT_SECONDS = 2.0
YOUNG_SECONDS = 10.0
"""Engines are asked only by a gateway that has just started: a list delays
their work."""
_NOT_OFFERED = (404, 405, 501)
_FAILURES = (
    aiohttp.ClientError,
    OSError,
    BrokenOffError,
    msgspec.DecodeError,
)


class CacheLists:
    """Asks each engine once in its lifetime.

    Attributes:
        call: How engines are asked; None if they can't be.
        view: Says which engines may be asked now.
        notices: Reads what they say of themselves.
        asked: The engines asked so far, with the start of their lifetime.
        not_offered: Services whose engines have no such list.
        started_at: When this gateway was started (monotonic).
        call_count: How many engines were asked.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        tasks: TaskGroup,
        call: CacheListCall | None,
        view: FleetView,
        notices: EndpointNotices,
        held_bytes: HeldBytes,
    ):
        self.held_bytes = held_bytes
        self.session = session
        self.tasks = tasks
        self.call = call
        self.view = view
        self.notices = notices
        self.asked: set[tuple[str, int]] = set()
        self.not_offered: set[str] = set()
        self.slots = asyncio.Semaphore(MAX_CALLS)
        self.started_at = time.monotonic()
        self.call_count = 0

    def request(
        self,
        engine: Registration,
        on_parts: Callable[[list[PromptPart]], None],
    ) -> None:
        """Asks an engine once, unless it is known to have little cached.

        Args:
            engine: The engine.
            on_parts: Called with what it has cached, unless the call fails.
        """
        lifetime = (engine.endpoint, engine.born)
        if self.call is None or lifetime in self.asked:
            return
        if time.monotonic() - self.started_at > YOUNG_SECONDS:
            return
        self.asked.add(lifetime)
        if not engine.cold_left_ms and self.call_count < MAX_ENGINES:
            self.call_count += 1
            self.tasks.spawn(self._ask(engine, on_parts))

    async def _ask(
        self,
        engine: Registration,
        on_parts: Callable[[list[PromptPart]], None],
    ) -> None:
        async with self.slots:
            if engine.service in self.not_offered:
                return
            if not self.view.may_send_to(engine):
                return
            try:
                parts = await self._call(engine)
            except _FAILURES as error:
                logger.info(
                    "cache_list_failed",
                    endpoint=engine.endpoint,
                    why=repr(error),
                )
                return
        logger.info("cache_list", endpoint=engine.endpoint, parts=len(parts))
        on_parts(parts)

    async def _call(self, engine: Registration) -> list[PromptPart]:
        """Returns what an engine has cached.

        Raises:
            aiohttp.ClientError: There was no successful response.
            BrokenOffError: The response is not complete.
            OSError: The engine can't be reached, or not in time.
            msgspec.DecodeError: The response can't be decoded.
        """
        async with self.session.get(
            f"http://{engine.address}{self.call.path}",
            # Kept connections to all engines would fill a small host's memory.
            headers={"Connection": "close"},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
        ) as response:
            self.notices.read(engine, response)
            if response.status in _NOT_OFFERED:
                self.not_offered.add(engine.service)
            response.raise_for_status()
            body = ResponseBody(response)
            with self.held_bytes.holding() as holding:
                if not await body.read_within(holding, HeldKind.REPLY):
                    raise BrokenOffError("no room for it", False)
                body.check_end()
                return self.call.decode(body.take())
