"""Delivers an answer's frames to the caller, whole or visibly cut."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from marjoramyard.coordination.serving.frames import Frame, FrameHead
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.messages import FailureBody
from marjoramyard.fleet.util.headers import copy_headers, is_stream
from marjoramyard.kernel.errors import Failure, Kind, Outcome, failure

OUTCOME_HEADER = "X-Marjoramyard-Outcome"
BUFFER_BYTES = 1 << 20
"""Up to this size an answer that is no stream is delivered at its end, so
that a cut one can be run again and the outcome can be told."""


class ResponseFailedError(Exception):
    """The attempt's own end says that the answer failed or was cut."""

    def __init__(self, reason: Failure):
        super().__init__(reason.message)
        self.failure = reason


class CallerStalledError(Exception):
    """The caller took no bytes for too long."""


class ResponseDelivery:
    """One answer on its way to one caller."""

    def __init__(self, request: CallerRequest, stall_seconds: float):
        self.request = request
        self.stall_seconds = stall_seconds
        self.response: web.StreamResponse | None = None
        self.head: FrameHead | None = None
        self.buffer = bytearray()
        self.first_byte_at: float | None = None

    async def run(self, frames: AsyncIterator[Frame]) -> web.StreamResponse:
        """Delivers all frames.

        Raises:
            ResponseFailedError: A frame told of a failure.
        """
        async for frame in frames:
            if frame.head.failure is not None:
                raise ResponseFailedError(frame.head.failure)
            if frame.head.is_end:
                return await self._finish()
            if self.head is None:
                self.head = frame.head
                if is_stream(self.head.headers):
                    await self._begin()
            else:
                await self._data(frame.data)
        raise ResponseFailedError(
            failure(
                Kind.RESPONSE_TRUNCATED,
                "the answer had no end",
                Outcome.UNKNOWN,
            )
        )

    async def _begin(self) -> None:
        response = web.StreamResponse(status=self.head.status)
        copy_headers(self.head.headers, response)
        self.request.delivered = True
        self.response = response
        await response.prepare(self.request.http)

    async def _data(self, data: bytes) -> None:
        if self.response is None:
            self.buffer += data
            if len(self.buffer) > BUFFER_BYTES:
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
            status=self.head.status, body=bytes(self.buffer)
        )
        copy_headers(self.head.headers, response)
        response.headers[OUTCOME_HEADER] = Outcome.COMPLETE.value
        self.request.delivered = True
        return response

    async def cut(self, reason: Failure) -> None:
        """Ends a begun answer so that it can't be taken for a whole one.

        A stream gets an event that says why. The connection is broken off
        in any case: without it a chunked body would end as if whole.
        """
        if is_stream(self.head.headers):
            body = msgspec.json.encode(FailureBody(reason))
            try:
                await self._write(b"event: error\ndata: " + body + b"\n\n")
            except (CallerStalledError, ConnectionError):
                pass
        transport = self.request.http.transport
        if transport is not None and not transport.is_closing():
            # Lets the event out before the break.
            await asyncio.sleep(0)
            transport.close()
