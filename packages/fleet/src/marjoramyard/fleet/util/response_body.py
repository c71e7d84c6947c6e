"""Reads responses of endpoints and says how they ended.

All that pass a response on, or use its body, ask here whether it is complete:
the end of a connection alone does not say so.
"""

from collections import deque

import aiohttp

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.response_ends import (
    BodyContent,
    ResponseEnd,
    Termination,
    response_end,
)
from marjoramyard.fleet.util.endpoint_session import ExcessError
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.kernel.util.numbers import read_whole

_BODILESS = (204, 304)
"""Statuses of responses that never have a body."""
MAX_DISCARDED_BYTES = 64 << 10
_FINAL_STATUSES = range(200, 600)


class BrokenOffError(Exception):
    """A response is not complete.

    Attributes:
        is_connection_lost: Whether its connection ended with it.
    """

    def __init__(self, reason: str, is_connection_lost: bool):
        super().__init__(reason)
        self.is_connection_lost = is_connection_lost


class ResponseBody:
    """The body of one response.

    Attributes:
        response: The response.
        events: Splits the body if it is a stream, else None.
        ends_with_mark: Whether a stream is complete only with a last event
            that says so.
        error: Why reading failed, if it did.
        has_ended: Whether it has been read to its end.
        is_whole: Whether it was read to its end and is complete.
        chunks: What has been read and not taken yet. It is joined once: a
            growing buffer would leave memory in pieces.
        size: The bytes in `chunks`.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        events: EventSplitter | None = None,
        ends_with_mark: bool = False,
    ):
        self.response = response
        self.events = events
        self.ends_with_mark = ends_with_mark
        self.error: Exception | None = None
        self.has_ended = False
        self.is_whole = False
        self.chunks: deque[bytes] = deque()
        self.size = 0

    async def read_any(self) -> bytes:
        """Returns data that has arrived, or b"" if none will follow.

        Raises:
            aiohttp.ServerTimeoutError: No data arrived in time.
        """
        data = b""
        try:
            data = await self.response.content.readany()
        except aiohttp.ServerTimeoutError:
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self.error = error
        self.has_ended = not data
        return data

    async def read_within(
        self, holding: Holding, kind: HeldKind = HeldKind.RESPONSE
    ) -> bool:
        """Reads up to the end, complete or not, while there is room.

        The room for a body of known length is taken at once.

        Args:
            holding: Holds what is read.
            kind: What it is held as.

        Returns:
            Whether the end was reached. What was read is in `chunks`.
        """
        length = self._stated_length()
        if not holding.resize(kind, length):
            return False
        while chunk := await self.read_any():
            self.chunks.append(chunk)
            self.size += len(chunk)
            if not holding.resize(kind, max(length, self.size)):
                return False
        return True

    def _stated_length(self) -> int:
        """Returns the length of the body, 0 if it isn't known."""
        if self.response.method == "HEAD" or self.response.status in _BODILESS:
            return 0
        text = self.response.headers.get("Content-Length", "")
        return read_whole(text) or 0

    def take(self) -> bytes:
        """Returns what has been read and forgets it."""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.size = 0
        return data

    def take_chunk(self) -> bytes:
        """Returns the first part of what has been read and forgets it.

        Returns b"" if nothing is left.
        """
        chunk = self.chunks.popleft() if self.chunks else b""
        self.size -= len(chunk)
        return chunk

    @property
    def termination(self) -> Termination:
        """What ended the body."""
        if self.error is not None:
            return Termination.FAILURE
        if is_framed(self.response):
            return Termination.FRAMING
        return Termination.CLOSE

    @property
    def content(self) -> BodyContent:
        """Where in its content the body ended."""
        if self.events is None:
            return BodyContent.OPAQUE
        return self.events.content

    def check_end(self) -> ResponseEnd:
        """Returns how the body ended, once it has been read to its end.

        Raises:
            BrokenOffError: It is not complete.
        """
        end = response_end(self.termination, self.content, self.ends_with_mark)
        if end is ResponseEnd.BROKEN_OFF:
            reason = f"ended by {self.termination.value}, {self.content.value}"
            if self.error is not None:
                reason += f": {self.error!r}"
            is_lost = self.termination is not Termination.FRAMING
            is_lost &= not isinstance(self.error, ExcessError)
            raise BrokenOffError(reason, is_lost)
        return end


async def discard_body(response: aiohttp.ClientResponse) -> None:
    """Reads a body that isn't used, so that its connection ends in order.

    A long one is not read to its end: its connection is closed.
    """
    size = 0
    while chunk := await response.content.readany():
        size += len(chunk)
        if size > MAX_DISCARDED_BYTES:
            response.close()
            return


def is_final(response: aiohttp.ClientResponse) -> bool:
    """Whether a status is that of a response to a request.

    Others change the protocol, which no request asks for, or belong to no
    class.
    """
    return response.status in _FINAL_STATUSES


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether the end of a response's body can be told from its bytes."""
    if response.method == "HEAD" or response.status in _BODILESS:
        return True
    encoding = response.headers.get("Transfer-Encoding", "")
    if encoding:
        return encoding.lower().endswith("chunked")
    return "Content-Length" in response.headers
