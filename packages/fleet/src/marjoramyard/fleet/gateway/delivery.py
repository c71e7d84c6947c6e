"""Passes an answer on to its caller: whole, or visibly cut."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from marjoramyard.fleet.gateway.attempts import SendFailedError, SendOutcome
from marjoramyard.fleet.gateway.events import EventSplitter
from marjoramyard.fleet.util.headers import copy_headers, end_to_end, is_stream


class CallerGoneError(Exception):
    """The caller closed its connection."""


class Delivery:
    """The one answer that a caller gets, from one endpoint or several.

    Attributes:
        response: Set once its head has gone out; no other answer may follow.
        events: Cuts a stream into whole events and knows the last one.
        first_at: Loop clock when the first bytes of the body went out.
        longest_gap: The longest pause between two events so far, in seconds.
    """

    def __init__(
        self, request: web.Request, closes_connection: Callable[[], bool]
    ):
        self.request = request
        self.closes_connection = closes_connection
        self.response: web.StreamResponse | None = None
        self.events = EventSplitter()
        self.first_at = 0.0
        self.bytes_sent = 0
        self.written_at = 0.0
        self.longest_gap = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the caller has part of an answer."""
        return self.response is not None

    async def take(
        self, answer: aiohttp.ClientResponse, on_first
    ) -> web.StreamResponse:
        """Passes on an answer to its end.

        Raises:
            SendFailedError: The answer broke off.
        """
        try:
            if self.has_begun or is_stream(list(answer.headers.items())):
                return await self._stream(answer, on_first)
            return await self._whole(answer, on_first)
        except (aiohttp.ClientError, ValueError) as error:
            raise SendFailedError(SendOutcome.BROKEN, repr(error)) from error

    async def _whole(
        self, answer: aiohttp.ClientResponse, on_first
    ) -> web.Response:
        """Holds a plain answer until it is complete.

        So one that breaks off can still be run again, or be told as a
        failure, instead of reaching the caller in part.
        """
        body = await answer.read()
        on_first()
        self.first_at = asyncio.get_running_loop().time()
        response = web.Response(status=answer.status, body=body)
        copy_headers(end_to_end(list(answer.headers.items())), response)
        self.bytes_sent = len(body)
        return response

    async def _stream(
        self, answer: aiohttp.ClientResponse, on_first
    ) -> web.StreamResponse:
        if self.has_begun and answer.status >= 300:
            raise SendFailedError(
                SendOutcome.BROKEN, f"resumed with status {answer.status}"
            )
        self.events.held.clear()
        async for data in answer.content.iter_any():
            whole = self.events.feed(data)
            if whole:
                on_first()
                await self._pass_on(answer, whole)
        return await self._end(answer)

    async def _pass_on(
        self, answer: aiohttp.ClientResponse, whole: bytes
    ) -> None:
        if self.response is None:
            await self._begin(answer)
        await self._write(whole)

    async def _write(self, data: bytes) -> None:
        # The library's error for a caller that left is also one of its
        # errors for endpoints; it must not count as the endpoint's.
        try:
            await self.response.write(data)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error
        self.bytes_sent += len(data)
        self._note_gap()

    def _note_gap(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.written_at:
            gap = now - self.written_at
            self.longest_gap = max(self.longest_gap, gap)
        self.written_at = now

    async def _begin(self, answer: aiohttp.ClientResponse) -> None:
        response = web.StreamResponse(status=answer.status)
        copy_headers(end_to_end(list(answer.headers.items())), response)
        response.enable_chunked_encoding()
        if self.closes_connection():
            response.force_close()
        self.response = response
        self.first_at = asyncio.get_running_loop().time()
        try:
            await response.prepare(self.request)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    async def _end(self, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        rest = bytes(self.events.held)
        if self.response is None:
            await self._begin(answer)
        if rest:
            await self._write(rest)
        return self.response

    def cut(self) -> None:
        """Ends a begun answer so that it can't be taken for a whole one.

        The connection closes without the last chunk.
        """
        if self.request.transport is not None:
            self.request.transport.close()
