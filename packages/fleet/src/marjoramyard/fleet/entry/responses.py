"""Delivers a response to the caller, or aborts it."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from marjoramyard.coordination.serving.frames import Frame, FrameHeader
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.messages import FailureBody
from marjoramyard.fleet.util.connections import break_off_response
from marjoramyard.fleet.util.headers import copy_headers, is_stream
from marjoramyard.fleet.util.held_bytes import HeldKind
from marjoramyard.fleet.util.request_body import HOLDING
from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure
from marjoramyard.kernel.util.numbers import read_whole

OUTCOME_HEADER = "X-Marjoramyard-Outcome"
MAX_BUFFERED_BYTES = 1 << 20
"""Up to this size a response other than a stream is buffered until its end if
there is room, so that a truncated one can be retried and the outcome header can
be set."""

PASSED_ON_BYTES = 1 << 18
"""What is buffered of a response that is passed on as it comes."""


class ResponseFailedError(Exception):
    """The last frame of an attempt reports a failure."""

    def __init__(self, reason: Failure):
        super().__init__(reason.message)
        self.failure = reason


class CallerStalledError(Exception):
    """The caller read no data within the stall timeout."""


class ResponseDelivery:
    """Writes the frames of one response to its caller.

    Attributes:
        holding: What is held for the request.
        stall_seconds: How long a write to the caller may take.
        response: Set once the response has begun.
        response_header: Header of frame 0, with HTTP status and headers.
        buffer: Data that was received before the response began.
        buffered_bytes: The size of it.
    """

    def __init__(self, request: CallerRequest, stall_seconds: float):
        self.request = request
        self.holding = request.http[HOLDING]
        # An earlier attempt may have buffered a part of its response.
        self.holding.resize(HeldKind.RESPONSE, 0)
        self.stall_seconds = stall_seconds
        self.response: web.StreamResponse | None = None
        self.response_header: FrameHeader | None = None
        self.buffer: list[bytes] = []
        self.buffered_bytes = 0
        self.first_byte_at: float | None = None

    async def run(self, frames: AsyncIterator[Frame]) -> web.StreamResponse:
        """Delivers all frames and returns the response.

        Raises:
            ResponseFailedError: A frame reports a failure, or the end frame
                is missing.
            CallerStalledError: The caller read no data for too long.
        """
        async for frame in frames:
            if frame.header.failure is not None:
                raise ResponseFailedError(frame.header.failure)
            if frame.header.is_end:
                return await self._finish()
            if self.response_header is None:
                self.response_header = frame.header
                if is_stream(self.response_header.headers):
                    await self._begin()
                elif not self._has_room(self._stated_length()):
                    await self._pass_on()
            else:
                await self._add_data(frame.data)
        raise ResponseFailedError(
            failure(
                FailureKind.RESPONSE_TRUNCATED,
                "the response ended without its end frame",
                Outcome.UNKNOWN,
            )
        )

    def _stated_length(self) -> int:
        """Returns the length of the body, 0 if it isn't known."""
        headers = self.response_header.headers
        found = [v for k, v in headers if k.lower() == "content-length"]
        if self.request.http.method == "HEAD" or not found:
            return 0
        return read_whole(found[-1]) or 0

    async def _begin(self) -> None:
        response = web.StreamResponse(status=self.response_header.status)
        copy_headers(self.response_header.headers, response)
        self.request.delivered = True
        self.response = response
        await response.prepare(self.request.http)

    async def _add_data(self, data: bytes) -> None:
        if self.response is None:
            self.buffer.append(data)
            self.buffered_bytes += len(data)
            if self._has_room(self.buffered_bytes):
                return
            await self._pass_on()
        else:
            await self._write(data)

    def _has_room(self, size: int) -> bool:
        """Returns whether a response may be kept until its end."""
        if size > MAX_BUFFERED_BYTES:
            return False
        held = self.holding.sizes[HeldKind.RESPONSE]
        return size <= held or self.holding.resize(HeldKind.RESPONSE, size)

    async def _pass_on(self) -> None:
        """Begins a response that is passed on as it comes."""
        self.holding.resize(HeldKind.RESPONSE, 0)
        self.holding.force(HeldKind.RESPONSE, PASSED_ON_BYTES)
        await self._begin()
        data, self.buffer = b"".join(self.buffer), []
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        try:
            async with asyncio.timeout(self.stall_seconds):
                await self.response.write(data)
        except TimeoutError:
            raise CallerStalledError from None

    async def _finish(self) -> web.StreamResponse:
        if self.response is not None:
            await self.response.write_eof()
            return self.response
        response = web.Response(
            status=self.response_header.status, body=b"".join(self.buffer)
        )
        copy_headers(self.response_header.headers, response)
        response.headers[OUTCOME_HEADER] = Outcome.COMPLETE.value
        self.request.delivered = True
        return response

    async def abort(self, reason: Failure) -> None:
        """Ends a response that has begun, so that it is seen to be incomplete.

        A stream gets an error event.
        """
        if is_stream(self.response_header.headers):
            body = msgspec.json.encode(FailureBody(reason))
            try:
                await self._write(b"event: error\ndata: " + body + b"\n\n")
            except (CallerStalledError, ConnectionError):
                pass
        # Lets the event be sent before the connection is closed.
        await asyncio.sleep(0)
        break_off_response(self.request.http)
