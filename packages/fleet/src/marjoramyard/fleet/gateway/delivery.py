"""Relays responses of endpoints to the caller."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.response_ends import (
    BodyContent,
    ResponseEnd,
    Termination,
)
from marjoramyard.fleet.gateway.attempts import SendFailedError, SendOutcome
from marjoramyard.fleet.gateway.stream_relay import DirectStreamRelay
from marjoramyard.fleet.util.connections import (
    break_off_response,
    has_caller_left,
    is_caller_in_doubt,
)
from marjoramyard.fleet.util.headers import copy_headers, end_to_end, is_stream
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.fleet.util.request_body import HOLDING
from marjoramyard.fleet.util.response_body import BrokenOffError, ResponseBody

MAX_EVENT_BYTES = 4 << 20
"""The largest event of a stream."""
SMALL_EVENT_BYTES = 1 << 16
"""Parts of events up to this are held even if there is no room."""
PASSED_ON_BYTES = 1 << 17
"""What is buffered of a response that is passed on as it comes."""
DOUBT_TICK_SECONDS = 0.01
DOUBT_TICKS = 10
"""How often a send waits for a tick while its caller may have left."""


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class LargeResponse(web.StreamResponse):
    """A complete response, released while it is written.

    Written at once, it would be in memory twice until its caller has read it.

    Attributes:
        body: What is left to write.
        holding: Holds what is left.
    """

    def __init__(self, body: ResponseBody, holding: Holding):
        super().__init__(status=body.response.status)
        self.content_length = body.size
        self.body = body
        self.holding = holding

    async def write_eof(self, data: bytes = b"") -> None:
        """Writes the body, no faster than the caller reads."""
        while chunk := self.body.take_chunk():
            await self.write(chunk)
            self.holding.resize(HeldKind.RESPONSE, self.body.size)
        await super().write_eof(data)


class ResponseDelivery:
    """The response to one caller, from one endpoint or several.

    Attributes:
        response: Set once the head has been sent; no other response may follow.
        events: Splits a stream into complete events and knows the last ID.
        first_at: When the first body bytes were sent, on the event loop clock
            in seconds; 0 before.
        bytes_sent: Body bytes sent so far.
        written_at: When body bytes were last written, on the event loop clock
            in seconds.
        longest_gap: The longest time between two writes, in seconds.
        write_count: How often body bytes were written.
        ends: What ended each response of an endpoint and where, for logs.
        is_chunked: Whether a stream is sent in chunks; HTTP/1.0 has none.
        last_end: How the last response that was read to its end ended.
        is_passed_on: Whether a plain response is sent as it comes, so that no
            other endpoint can answer any more.
        is_event_too_large: Whether there is no room for a part of an event.
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
        self.write_count = 0
        self.ends: list[tuple[Termination, BodyContent]] = []
        self.last_end = ResponseEnd.COMPLETE
        self.is_passed_on = False
        self.is_event_too_large = False
        self.holding = request[HOLDING]
        self.is_chunked = request.version >= aiohttp.HttpVersion11

    @property
    def has_started(self) -> bool:
        """Whether part of the response has been sent."""
        return self.response is not None

    @property
    def is_caller_in_doubt(self) -> bool:
        """Whether the caller has closed its sending side or has left."""
        return is_caller_in_doubt(self.request)

    async def wait_while_in_doubt(self) -> None:
        """Waits until a caller that has left is known to have."""
        for _ in range(DOUBT_TICKS):
            if not self.is_caller_in_doubt:
                return
            await asyncio.sleep(DOUBT_TICK_SECONDS)

    def raise_if_caller_left(self) -> None:
        """Checks the caller's connection without waiting for the event loop.

        Raises:
            CallerGoneError: The caller has closed its connection.
        """
        if has_caller_left(self.request):
            raise CallerGoneError("the connection is closed")

    async def relay(
        self, upstream: aiohttp.ClientResponse, on_first
    ) -> web.StreamResponse:
        """Relays a response to its end.

        Args:
            upstream: The response of the endpoint.
            on_first: Called when the first complete data has arrived, possibly
                more than once.

        Raises:
            SendFailedError: The endpoint's response broke off.
            CallerGoneError: The caller has closed its connection.
        """
        is_event_stream = self.has_started or is_stream(
            list(upstream.headers.items())
        )
        is_success = upstream.status < 300
        body = ResponseBody(
            upstream, self.events if is_event_stream and is_success else None
        )
        try:
            if is_event_stream:
                return await self._relay_stream(body, on_first)
            return await self._relay_plain(body, on_first)
        except BrokenOffError as error:
            raise SendFailedError(
                SendOutcome.BROKEN,
                str(error),
                is_connection_lost=error.is_connection_lost,
            ) from error
        finally:
            if body.has_ended:
                self.ends.append((body.termination, body.content))
            if not body.is_whole:
                self.holding.resize(HeldKind.RESPONSE, 0)

    async def _relay_plain(
        self, body: ResponseBody, on_first
    ) -> web.StreamResponse:
        """Buffers a plain response until it is complete, if there is room.

        One that breaks off can then still be retried or reported as a failure.
        Without room for it, it is passed on as it comes.
        """
        if not await body.read_within(self.holding):
            on_first()
            return await self._pass_on(body)
        upstream = body.response
        self.last_end = body.check_end()
        body.is_whole = True
        on_first()
        self.first_at = asyncio.get_running_loop().time()
        self.bytes_sent = body.size
        if self.bytes_sent > PASSED_ON_BYTES:
            response = LargeResponse(body, self.holding)
        else:
            response = web.Response(status=upstream.status, body=body.take())
        copy_headers(end_to_end(list(upstream.headers.items())), response)
        return response

    async def _pass_on(self, body: ResponseBody) -> web.StreamResponse:
        """Sends a response as it comes, no faster than the caller reads."""
        self.is_passed_on = True
        self._hold_rest(body)
        await self._start(body.response)
        while chunk := body.take_chunk() or await body.read_any():
            await self._write(chunk)
            self._hold_rest(body)
        self.last_end = body.check_end()
        return self.response

    def _hold_rest(self, body: ResponseBody) -> None:
        """Holds what has not been passed on of a response."""
        size = body.size + PASSED_ON_BYTES
        held = self.holding.sizes[HeldKind.RESPONSE]
        if size != held:
            self.holding.force(HeldKind.RESPONSE, size - held)

    async def _relay_stream(
        self, body: ResponseBody, on_first
    ) -> web.StreamResponse:
        upstream = body.response
        if self.has_started and upstream.status >= 300:
            raise SendFailedError(
                SendOutcome.BROKEN, f"resumed with status {upstream.status}"
            )
        self.events.discard_partial()
        self.is_event_too_large = False
        while data := await body.read_any():
            events = self._feed_events(data)
            if events:
                on_first()
                await self._forward(upstream, events)
                self._hold_events(0)
            if self.has_started and self.is_chunked:
                relay = DirectStreamRelay(
                    upstream,
                    self.request,
                    self._process_directly,
                    lambda: self.is_event_too_large,
                )
                await relay.run()
                await self._drain()
            if self.is_event_too_large:
                raise SendFailedError(
                    SendOutcome.BROKEN, "no room for an event without its end"
                )
        self.last_end = body.check_end()
        return await self._finish(upstream)

    def _feed_events(self, data: bytes, unsent: int = 0) -> bytes:
        """Returns the events that are complete now, and holds them.

        Args:
            data: What was received.
            unsent: The bytes that have been written and not sent yet.
        """
        events = self.events.feed(data)
        self._hold_events(unsent + len(events))
        return events

    def _hold_events(self, unsent: int) -> None:
        """Holds a part of an event, and events that are not sent yet.

        Only a part of an event can be without room: what follows it may be
        without end.
        """
        partial = len(self.events.buffer)
        size = partial + unsent
        held = self.holding.sizes[HeldKind.EVENT]
        if size == held:
            return
        if partial <= SMALL_EVENT_BYTES:
            self.holding.force(HeldKind.EVENT, size - held)
            return
        is_large = partial > MAX_EVENT_BYTES
        if is_large or not self.holding.resize(HeldKind.EVENT, size):
            self.is_event_too_large = True
            self.events.discard_partial()
            self.holding.resize(HeldKind.EVENT, unsent)

    async def _drain(self) -> None:
        """Waits while the caller is slow."""
        try:
            await self.response._payload_writer.drain()
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error
        self._hold_events(0)

    def _process_directly(self, data: bytes) -> bytes:
        transport = self.request.transport
        unsent = transport.get_write_buffer_size() if transport else 0
        events = self._feed_events(data, unsent)
        if events:
            self._record_write(len(events))
        return events

    async def _forward(
        self, upstream: aiohttp.ClientResponse, events: bytes
    ) -> None:
        if self.response is None:
            await self._start(upstream)
        await self._write(events)

    async def _write(self, data: bytes) -> None:
        # aiohttp raises the same error when an endpoint's connection fails.
        try:
            await self.response.write(data)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error
        self._record_write(len(data))

    def _record_write(self, size: int) -> None:
        self.bytes_sent += size
        self.write_count += 1
        now = asyncio.get_running_loop().time()
        if self.written_at:
            gap = now - self.written_at
            self.longest_gap = max(self.longest_gap, gap)
        self.written_at = now

    async def _start(self, upstream: aiohttp.ClientResponse) -> None:
        response = web.StreamResponse(status=upstream.status)
        copy_headers(end_to_end(list(upstream.headers.items())), response)
        if self.is_chunked:
            response.enable_chunked_encoding()
        if self.closes_connection() or not self.is_chunked:
            response.force_close()
        self.response = response
        self.first_at = asyncio.get_running_loop().time()
        try:
            await response.prepare(self.request)
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    async def _finish(
        self, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        rest = bytes(self.events.buffer)
        if self.response is None:
            await self._start(upstream)
        if rest:
            await self._write(rest)
        return self.response

    def abort(self) -> None:
        """Closes the connection so that the response is seen as incomplete."""
        break_off_response(self.request)
