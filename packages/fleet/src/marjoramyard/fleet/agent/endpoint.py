"""What the agent knows of the endpoint beside it."""

import asyncio
import time

import aiohttp

from marjoramyard.coordination.serving.prefixes import PrefixHistory
from marjoramyard.coordination.serving.slots import SlotLimit
from marjoramyard.fleet.messages import Announcement
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

SILENCE_SECONDS = 6.0
"""An endpoint that has not announced itself for so long gets no new work."""
_PROBE_SECONDS = 1.0


class Endpoint:
    """The endpoint's own word, and what running requests on it showed."""

    def __init__(self, max_slots: int):
        self.max_slots = max_slots
        self.announced: Announcement | None = None
        self.last_announced_at = float("-inf")
        self.dead_incarnation = ""
        self.slots = SlotLimit(1)
        self.prefixes = PrefixHistory()

    def announce(self, word: Announcement) -> bool:
        """Takes in an announcement; returns whether it changed anything."""
        before = self.announced
        is_restart = before is None or before.incarnation != word.incarnation
        if is_restart:
            self.prefixes = PrefixHistory()
            self.slots = SlotLimit(self._capped(word.slots))
            logger.info("endpoint_announced", name=word.name, state=word.state)
        self.announced = word
        self.last_announced_at = time.monotonic()
        self.slots.set_announced(self._capped(word.slots))
        if word.event_number >= 0:
            self.prefixes.on_evictions(word.event_number, word.evicted)
        return is_restart or before.state != word.state

    def _capped(self, slots: int) -> int:
        return min(slots, self.max_slots) if self.max_slots else slots

    @property
    def is_ready(self) -> bool:
        """Returns whether it may get new work."""
        word = self.announced
        if word is None or word.state != "ready":
            return False
        if word.incarnation == self.dead_incarnation:
            return False
        return time.monotonic() - self.last_announced_at < SILENCE_SECONDS

    def mark_dead(self) -> str:
        """Notes that this life of the endpoint ended; returns its id."""
        self.dead_incarnation = self.announced.incarnation
        logger.warning("endpoint_died", incarnation=self.dead_incarnation)
        return self.dead_incarnation

    async def is_alive(self, session: aiohttp.ClientSession) -> bool:
        """Asks the endpoint itself.

        A broken connection alone may be one request's own trouble; only an
        endpoint that takes no connection any more is dead.
        """
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                async with session.get(
                    f"http://{self.announced.address}/health"
                ) as response:
                    await response.read()
                    return True
        except TimeoutError:
            return True
        except (aiohttp.ClientError, OSError):
            return False
