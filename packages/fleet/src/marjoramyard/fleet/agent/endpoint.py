"""The agent's view of its endpoint."""

import asyncio
import random
import time
from collections.abc import Mapping

import aiohttp

from marjoramyard.coordination.serving.prefixes import PrefixHistory
from marjoramyard.coordination.serving.slots import SlotLimit
from marjoramyard.fleet.messages import EndpointAnnouncement
from marjoramyard.fleet.util.pause_requests import requested_pause
from marjoramyard.fleet.util.response_body import discard_body
from marjoramyard.kernel.errors import Failure, FailureKind, failure
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

LEAVING_HEADER = "Endpoint-Leaving"
ANNOUNCEMENT_TIMEOUT_SECONDS = 6.0
"""Time without an announcement after which an endpoint is not ready."""
_PROBE_TIMEOUT_SECONDS = 1.0
_PROBES = 3
_PROBE_INTERVAL_SECONDS = 0.05


class Endpoint:
    """The endpoint's announced and observed state.

    Attributes:
        max_slots: Upper limit of the announced slots; 0 for none.
        announced: The last announcement.
        last_announced_at: Monotonic time, in seconds.
        dead_incarnation: The last incarnation that was found dead.
        slot_limit: The limit of concurrent requests.
        prefixes: The prompt prefixes that its cache may hold.
        paused_until: When a pause that the endpoint has asked for ends;
            monotonic time, in seconds.
        leaving_incarnation: The last incarnation that has said in a response
            that it is leaving.
    """

    def __init__(self, max_slots: int):
        self.max_slots = max_slots
        self.announced: EndpointAnnouncement | None = None
        self.last_announced_at = float("-inf")
        self.dead_incarnation = ""
        self.slot_limit = SlotLimit(1)
        self.prefixes = PrefixHistory()
        self.paused_until = float("-inf")
        self.leaving_incarnation = ""

    def on_announcement(self, announcement: EndpointAnnouncement) -> bool:
        """Applies an announcement of the endpoint to its agent.

        Returns:
            Whether the endpoint restarted or its state changed.
        """
        previous = self.announced
        is_restart = (
            previous is None or previous.incarnation != announcement.incarnation
        )
        if is_restart:
            self.prefixes = PrefixHistory()
            self.paused_until = float("-inf")
            self.slot_limit = SlotLimit(self._capped(announcement.slots))
            logger.info(
                "endpoint_announced",
                name=announcement.name,
                state=announcement.state,
            )
        self.announced = announcement
        self.last_announced_at = time.monotonic()
        self.slot_limit.set_announced(self._capped(announcement.slots))
        if announcement.event_number >= 0:
            self.prefixes.on_evictions(
                announcement.event_number, announcement.evicted
            )
        return is_restart or previous.state != announcement.state

    def _capped(self, slots: int) -> int:
        return min(slots, self.max_slots) if self.max_slots else slots

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint may get new requests."""
        announced = self.announced
        if announced is None or announced.state != "ready":
            return False
        if announced.incarnation in (
            self.dead_incarnation,
            self.leaving_incarnation,
        ):
            return False
        announced_ago = time.monotonic() - self.last_announced_at
        return (
            not self.pause_seconds
            and announced_ago < ANNOUNCEMENT_TIMEOUT_SECONDS
        )

    @property
    def is_leaving(self) -> bool:
        """Whether it has said that it is leaving."""
        announced = self.announced
        return (
            announced.state == "leaving"
            or announced.incarnation == self.leaving_incarnation
        )

    def continues(self, earlier: EndpointAnnouncement) -> bool:
        """Whether it can go on with the streams of an earlier announcement.

        Events of two software versions don't fit together.
        """
        announced = self.announced
        if announced.incarnation == earlier.incarnation:
            return True
        return bool(earlier.version) and announced.version == earlier.version

    @property
    def pause_seconds(self) -> float:
        """The time until its pause ends; 0.0 if it does not pause."""
        return max(0.0, self.paused_until - time.monotonic())

    def refusal(self) -> Failure:
        """Returns the refusal of a request while it is not ready."""
        return failure(
            FailureKind.NO_ENDPOINT,
            "the endpoint is not ready; use another",
            retry_after=self.pause_seconds + random.uniform(1.0, 3.0),
        )

    def on_response(
        self, incarnation: str, status: int, headers: Mapping[str, str]
    ) -> None:
        """Reads what the endpoint says of itself in a response.

        Args:
            incarnation: The incarnation that the request was sent to.
            status: The status of the response.
            headers: Its headers.
        """
        if incarnation != self.announced.incarnation:
            return
        seconds = requested_pause(status, headers)
        if seconds:
            until = time.monotonic() + seconds
            self.paused_until = max(self.paused_until, until)
            logger.info("endpoint_pauses", seconds=seconds)
        if headers.get(LEAVING_HEADER) == "1":
            self.leaving_incarnation = incarnation

    def mark_dead(self) -> str:
        """Records the death of the current incarnation; returns its id."""
        self.dead_incarnation = self.announced.incarnation
        logger.warning("endpoint_died", incarnation=self.dead_incarnation)
        return self.dead_incarnation

    async def is_alive(self, session: aiohttp.ClientSession) -> bool:
        """Probes the endpoint; returns whether it accepts connections.

        One lost connection does not imply that the endpoint died. An
        endpoint that does not respond in time counts as alive.
        """
        for _ in range(_PROBES):
            try:
                await self._probe(session)
                return True
            except (TimeoutError, aiohttp.ServerTimeoutError):
                return True
            except aiohttp.ClientConnectorError:
                return False
            except (aiohttp.ClientError, OSError):
                # It resets connections, or died after accepting this one.
                await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
        return True

    async def _probe(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
            async with session.get(
                f"http://{self.announced.address}/health"
            ) as response:
                await discard_body(response)
