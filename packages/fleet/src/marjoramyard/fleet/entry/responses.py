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
from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure

OUTCOME_HEADER = "X-Marjoramyard-Outcome"
MAX_BUFFERED_BYTES = 1 << 20
"""Up to this size a response other than a stream is buffered until its end, so
that a truncated one can be retried and the outcome header can be set."""


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
        stall_seconds: How long a write to the caller may take.
        response: Set once the response has begun.
        response_header: Header of frame 0, with HTTP status and headers.
        buffer: Data that was received before the response began.
    """

    def __init__(self, request: CallerRequest, stall_seconds: float):
        self.request = request
        self.stall_seconds = stall_seconds
        self.response: web.StreamResponse | None = None
        self.response_header: FrameHeader | None = None
        self.buffer = bytearray()
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
            else:
                await self._add_data(frame.data)
        raise ResponseFailedError(
            failure(
                FailureKind.RESPONSE_TRUNCATED,
                "the response ended without its end frame",
                Outcome.UNKNOWN,
            )
        )

    async def _begin(self) -> None:
        response = web.StreamResponse(status=self.response_header.status)
        copy_headers(self.response_header.headers, response)
        self.request.delivered = True
        self.response = response
        await response.prepare(self.request.http)

    async def _add_data(self, data: bytes) -> None:
        if self.response is None:
            self.buffer += data
            if len(self.buffer) > MAX_BUFFERED_BYTES:
                await self._begin()
                data, self.buffer = bytes(self.buffer), bytearray()
            else:
                return
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
            status=self.response_header.status, body=bytes(self.buffer)
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
