"""The state of an accepted connection, and its end."""

import asyncio
import time
from enum import Enum
from typing import Protocol

from aiohttp import HttpVersion, HttpVersion11, hdrs, web

from marjoramyard.fleet.half_closed import (
    CONTINUE,
    LEADING_ZERO,
    CallerEnd,
    HalfClosedCaller,
)
from marjoramyard.fleet.input_limits import (
    DISCARD_SECONDS,
    MAX_DISCARDED_BYTES,
    MAX_FRAMING_BYTES,
    MAX_QUEUED_BYTES,
    READ_BYTES,
    InputExcess,
    excess_failure,
    excess_response,
)
from marjoramyard.fleet.util.connections import (
    has_input,
    has_peer_closed,
    is_reset,
)
from marjoramyard.fleet.util.held_bytes import HeldBytes, HeldKind, Holding
from marjoramyard.fleet.util.raw_responses import mark_closing, response_bytes
from marjoramyard.fleet.util.rpc import MAX_HEAD_BYTES, failure_response
from marjoramyard.kernel.errors import FailureKind, FleetError, failure

HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
PART_SECONDS = 5.0
"""How long a head may take to arrive, and each part of a rejected request, once
the connection has been open for its keep-alive time."""
_UNREAD_SECONDS = 0.02
"""How soon something that has arrived is read, unless the loop is late."""
TIMED_OUT = response_bytes(
    mark_closing(
        failure_response(
            failure(
                FailureKind.REQUEST_TIMEOUT,
                "the rest of the request did not arrive in time; send it again",
            )
        )
    )
)


class ConnectionState(Enum):
    """What a connection owes its client."""

    IDLE = "idle"
    """Nothing of a request has been read."""
    READING = "reading"
    """A part of a request has been read."""
    IN_PROGRESS = "in-progress"
    """A request has been read, and its response is not complete."""


class ConnectionFilter(Protocol):
    """A protocol in front of the HTTP protocol that may answer by itself.

    Attributes:
        response: The response that is sent once the rest of the request has
            been read; None if no request is being answered by the filter.
        answered_at: When it last answered, on the monotonic clock in seconds.
        read_at: When it last read a part of a request that it answers, on that
            clock.
        is_answered: Whether a request of a detached connection has got its
            whole response.
    """

    response: bytes | None
    answered_at: float
    read_at: float
    is_answered: bool

    def next_probe(self) -> bytes:
        """Returns a probe for the caller of a detached connection."""


def _rest_after(data: bytes, messages: list) -> bytes:
    """Returns what follows the last of the requests whose heads end in data.

    It is empty if that can't be told: in the midst of a body, after a body
    without a length, and after a malformed request, which the parser replaces
    by an error.
    """
    position = 0
    for message, payload in messages:
        end = data.find(HEAD_END, position)
        has_length = not getattr(message, "chunked", True)
        if end < 0 or not payload.is_eof() or not has_length:
            return b""
        length = message.headers.get(hdrs.CONTENT_LENGTH, "0")
        position = end + len(HEAD_END) + int(length)
    return data[position:]


def _break_off(payload, excess: InputExcess) -> None:
    """Makes the handler that reads a body fail."""
    payload.set_exception(FleetError(excess_failure(excess)))
    payload.feed_eof()


def _unread_size(payload) -> int:
    """Returns what of a body has arrived and is not read."""
    return getattr(payload, "_size", 0)


def _queued_size(message: tuple) -> int:
    """Returns the bytes of a request whose handler has not started."""
    head, payload = message
    fields = getattr(head, "raw_headers", ())
    head_size = sum(len(name) + len(value) for name, value in fields)
    return head_size + _unread_size(payload)


class ConnectionOwner(Protocol):
    """Is told of the connections of a listener.

    Attributes:
        answers_half_closed: Whether a client that closes its sending side after
            a request gets its response. If not, it has left.
        held_bytes: The account of what the process holds for others.
    """

    answers_half_closed: bool
    held_bytes: HeldBytes

    def on_connection_made(self, connection: "ServedConnection") -> bool:
        """Returns whether the connection is to be served."""

    def on_connection_detached(self) -> None:
        """Called when the HTTP protocol no longer serves a connection."""

    def on_input_refused(
        self, connection: "ServedConnection", excess: InputExcess
    ) -> None:
        """Called when the input of a connection is no longer read."""

    def on_connection_lost(self, connection: "ServedConnection") -> None:
        """Called when the connection is closed."""


class HttpProtocol(web.RequestHandler):
    """aiohttp's protocol, which does not time out with a request read in part.

    Attributes:
        connection: The connection; None before it is set up.
    """

    __slots__ = ("connection",)

    def __init__(self, server: web.Server):
        super().__init__(
            server, loop=asyncio.get_running_loop(), **server._kwargs
        )
        self.connection: ServedConnection | None = None

    def _process_keepalive(self) -> None:
        """Closes the connection when it has been idle for its time.

        Overrides the timer's callback of aiohttp, which looks only at what the
        handler waits for.
        """
        self._keepalive_handle = None
        seconds = self.connection.seconds_to_idle()
        if seconds > 0.0:
            self._keepalive_handle = self._loop.call_later(
                seconds, self._process_keepalive
            )
        elif self.connection.state is ConnectionState.READING:
            self.connection.end_request(TIMED_OUT)
        else:
            super()._process_keepalive()


class ServedConnection(asyncio.Protocol):
    """An accepted connection, in front of its HTTP protocol.

    aiohttp exposes what a connection waits for in private attributes only.

    Attributes:
        http: aiohttp's protocol.
        owner: Is told when the connection begins and ends.
        filter: The protocol in front of this one, if any.
        transport: The connection; None before it is established.
        payload: The body of the last request whose head was read.
        request_count: The number of requests when bytes were last read.
        has_partial_head: Whether a part of the next head has been read.
        partial_since: When its first part was read, on the monotonic clock in
            seconds.
        is_detached: Whether the filter serves the connection to its end.
        had_unread: Whether something was unread when this process closed it.
        is_closed_by_peer: Whether the client has closed the connection.
        read_at: When bytes were last read, on the monotonic clock in seconds.
        made_at: When it was established, on the monotonic clock in seconds.
        handler_task: Runs the handler of the current request.
        has_responded: Whether the head of the response to the current request
            was sent.
        is_ended: Whether the current request was ended before its response.
        response: The response to the current request; None before its head.
        version: The HTTP version of the last request that was read and is not
            malformed; None before.
        half_closed: Set once the client has closed its sending side after a
            whole request that is to be answered.
        half_closed_end: How such a connection ended, as far as is known.
        holding: What has arrived and is not read by a handler.
        head_size: Bytes since the last request whose head was read, with empty
            lines.
        body_size: Bytes of the last body after those that came with its head,
            with framing.
        content_base: Bytes of its content that came with its head.
        discarded_size: Bytes that were read after a refusal.
        is_discarding: Whether whatever arrives is discarded.
        closing_timer: Closes the connection after a refusal without a handler.
    """

    def __init__(self, http: HttpProtocol, owner: ConnectionOwner):
        self.http = http
        http.connection = self
        self.owner = owner
        self.filter: ConnectionFilter | None = None
        self.transport: asyncio.Transport | None = None
        self.payload = None
        self.request_count = 0
        self.has_partial_head = False
        self.partial_since = 0.0
        self.is_detached = False
        self.had_unread = False
        self.is_closed_by_peer = False
        self.read_at = 0.0
        self.made_at = 0.0
        self.handler_task: asyncio.Task | None = None
        self.has_responded = False
        self.is_ended = False
        self.response: web.StreamResponse | None = None
        self.version: HttpVersion | None = None
        self.half_closed: HalfClosedCaller | None = None
        self.half_closed_end: CallerEnd | None = None
        self.holding = Holding(owner.held_bytes)
        self.head_size = 0
        self.body_size = 0
        self.content_base = 0
        self.discarded_size = 0
        self.is_discarding = False
        self.closing_timer: asyncio.TimerHandle | None = None

    @property
    def has_left(self) -> bool:
        """Whether the client has left, as far as is known."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.may_be_half_closed:
            return is_reset(self.transport)
        return has_peer_closed(self.transport)

    @property
    def is_in_doubt(self) -> bool:
        """Whether the client has closed its sending side or has left."""
        # While reading is paused the end is not read either.
        if self.has_left or not self.transport.is_reading():
            return False
        if not has_peer_closed(self.transport):
            return False
        return self.half_closed is None or not self.half_closed.is_settled

    @property
    def may_be_half_closed(self) -> bool:
        """Whether a client that closes its sending side gets its response."""
        return (
            self.owner.answers_half_closed
            and self.version == HttpVersion11
            and not self.is_upgraded
        )

    @property
    def is_last_request(self) -> bool:
        """Whether no request follows the current one."""
        is_last = self.half_closed is not None or self.is_discarding
        return is_last and not self.has_queued_requests

    @property
    def is_waiting(self) -> bool:
        """Whether the HTTP protocol is waiting for a request.

        It is not once a request has been read, even though its handler starts
        later, nor while the response is still being written.
        """
        waiter = self.http._waiter
        return waiter is not None and not waiter.done()

    @property
    def state(self) -> ConnectionState:
        """What the connection owes its client."""
        if self.is_detached:
            return ConnectionState.IN_PROGRESS
        if self.filter is not None and self.filter.response is not None:
            return ConnectionState.READING
        if not self.is_waiting:
            return ConnectionState.IN_PROGRESS
        is_known = self.request_count == self.http._request_count
        if self.has_partial_head and is_known:
            return ConnectionState.READING
        return ConnectionState.IDLE

    @property
    def is_upgraded(self) -> bool:
        """Whether the connection is no longer used for HTTP requests."""
        return self.http._upgraded and self.has_responded

    @property
    def has_queued_requests(self) -> bool:
        """Whether a request was read whose handler has not started."""
        return bool(self.http._messages)

    def seconds_to_idle(self) -> float:
        """Returns how long the connection is not closed as an idle one."""
        now = time.monotonic()
        if self.state is ConnectionState.READING:
            is_rejected = not self.has_partial_head
            began_at = (
                self.filter.read_at if is_rejected else self.partial_since
            )
            return began_at + PART_SECONDS - now
        is_read = self.half_closed is not None
        is_idle = self.state is ConnectionState.IDLE
        if is_idle and not is_read and has_input(self.transport):
            return _UNREAD_SECONDS
        if self.filter is not None:
            return self.filter.answered_at + self.http.keepalive_timeout - now
        return 0.0

    def detach(self) -> None:
        """Ends the HTTP protocol without closing the connection."""
        self.http.transport = None
        self.http.connection_lost(None)
        self.is_detached = True
        self.owner.on_connection_detached()

    def close(self) -> None:
        """Closes the connection; what is read from now on is not lost.

        Nothing is read once the transport closes. If something is left unread
        then, the connection is reset.
        """
        self.had_unread = has_input(self.transport)
        self.http.force_close()

    def end_request(self, refusal: bytes) -> None:
        """Ends the current request with a response, and then the connection.

        Must be called again while the connection is open: a request that has
        just been read has no handler yet.

        Args:
            refusal: The response to a request that was only read in part.
        """
        state = self.state
        if state is ConnectionState.IN_PROGRESS:
            if self.handler_task is not None and not self.is_ended:
                self.is_ended = True
                self.handler_task.cancel()
            return
        if state is ConnectionState.READING:
            pending = self.filter.response if self.filter is not None else None
            self.transport.write(pending or refusal)
            self.has_partial_head = False
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is established."""
        self.transport = transport
        self.made_at = time.monotonic()
        # asyncio's own size lets one connection hold up the others.
        transport.max_size = READ_BYTES
        if not self.owner.on_connection_made(self):
            transport.abort()
            return
        self.http.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection is closed."""
        if exc is not None:
            self.is_closed_by_peer = True
        self.holding.close()
        if self.closing_timer is not None:
            self.closing_timer.cancel()
        if self.half_closed is not None:
            self.half_closed.stop()
            self.half_closed_end = self._end_of_half_closed()
        self.owner.on_connection_lost(self)
        if not self.is_detached:
            self.http.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called when data is received."""
        if self.is_discarding:
            self._discard(len(data))
            return
        http = self.http
        payload = self.payload
        starts_head = payload is None or payload.is_eof()
        was_waiting = self.is_waiting
        is_awaited = self._is_body_awaited
        http.data_received(data)
        self.read_at = time.monotonic()
        new_requests = http._request_count - self.request_count
        if new_requests:
            self.request_count = http._request_count
            self.payload = http._messages[-1][1] if http._messages else None
            rest = _rest_after(data, list(http._messages)[-new_requests:])
            self._note_version()
            self._set_partial_head(bool(rest.strip(_LINE_END)))
            self.head_size = len(rest)
            self.body_size = 0
            self.content_base = getattr(self.payload, "total_bytes", 0)
            self.discarded_size = 0
        else:
            # Empty lines before a request are no part of it.
            is_empty = not self.has_partial_head and not data.strip(_LINE_END)
            self._set_partial_head(starts_head and not is_empty)
            if starts_head:
                self.head_size += len(data)
            else:
                self.body_size += len(data)
        if new_requests and self._is_malformed:
            # Nothing that follows a malformed request can be told apart.
            self.is_discarding = True
            self.owner.on_input_refused(self, InputExcess.MALFORMED)
            if not starts_head:
                _break_off(payload, InputExcess.MALFORMED)
        elif http._payload_parser is None:
            self._limit_input(len(data), was_waiting, is_awaited)

    @property
    def _is_malformed(self) -> bool:
        """Whether the last request was replaced by an error by the parser."""
        messages = self.http._messages
        return bool(messages) and not hasattr(messages[-1][0], "version")

    @property
    def _is_body_awaited(self) -> bool:
        """Whether a handler waits for the next part of the body."""
        return getattr(self.payload, "_waiter", None) is not None

    def _limit_input(
        self, size: int, was_waiting: bool, is_awaited: bool
    ) -> None:
        """Stops reading a connection that sends too much.

        Args:
            size: The bytes that were received last.
            was_waiting: Whether no request was in progress before.
            is_awaited: Whether a handler is about to read the bytes.
        """
        if self.head_size > MAX_HEAD_BYTES:
            self._refuse_input(InputExcess.HEAD)
        elif not self._hold_head():
            self._refuse_input(InputExcess.NO_ROOM)
        elif self.payload is not None and not self.payload.is_eof():
            self._limit_body(size)
        if not was_waiting:
            self.count_unread(is_awaited)

    def _hold_head(self) -> bool:
        if self.head_size == self.holding.sizes[HeldKind.HEAD]:
            return True
        return self.holding.resize(HeldKind.HEAD, self.head_size)

    @property
    def framing_size(self) -> int:
        """Bytes of the last body that are not its content."""
        if self.payload is None or self.payload.is_eof():
            return 0
        content_size = self.payload.total_bytes - self.content_base
        return self.body_size - content_size

    def _limit_body(self, size: int) -> None:
        most = MAX_FRAMING_BYTES + self.payload.total_bytes
        if self.framing_size > most:
            self._refuse_input(InputExcess.FRAMING)
        elif self._is_answered:
            self.discarded_size += size
            if self.discarded_size > MAX_DISCARDED_BYTES:
                self._refuse_input(InputExcess.DISCARDED)

    @property
    def _is_answered(self) -> bool:
        """Whether the last request that was read has its whole response."""
        if self.has_queued_requests or self.response is None:
            return False
        return self.handler_task is None and self.response._eof_sent

    def count_unread(self, is_awaited: bool = False) -> None:
        """Enters what has arrived and is not read by a handler.

        Leaves more requests behind the current one to the kernel.

        Args:
            is_awaited: Whether the current request's handler reads its body.
        """
        queued_size = sum(map(_queued_size, self.http._messages))
        if queued_size > MAX_QUEUED_BYTES and not self.http._buffer_paused:
            self.http._pause_reading_for_buffer()
        request = self.http._current_request
        size = 0
        if request is not None and not is_awaited:
            size = _unread_size(request.content)
        self.holding.force(
            HeldKind.UNREAD,
            queued_size + size - self.holding.sizes[HeldKind.UNREAD],
        )

    def _refuse_input(self, excess: InputExcess) -> None:
        """Reads no more of a connection, which ends after its responses."""
        self.owner.on_input_refused(self, excess)
        self.is_discarding = True
        self.discarded_size = 0
        self.holding.release()
        if self.is_waiting:
            self.transport.write(excess_response(excess))
            self.has_partial_head = False
            self.closing_timer = asyncio.get_running_loop().call_later(
                DISCARD_SECONDS, self.close
            )
        elif self._is_answered:
            self.close()
        else:
            if not self.payload.is_eof():
                _break_off(self.payload, excess)
            if not self.has_queued_requests:
                self.http.close()

    def _discard(self, size: int) -> None:
        self.discarded_size += size
        if self.discarded_size <= MAX_DISCARDED_BYTES:
            return
        if self.state is ConnectionState.IN_PROGRESS:
            self.transport.pause_reading()
        else:
            self.close()

    def _set_partial_head(self, has_partial_head: bool) -> None:
        if has_partial_head and not self.has_partial_head:
            self.partial_since = self.read_at
        self.has_partial_head = has_partial_head

    def _note_version(self) -> None:
        # A malformed request, which the parser replaces by an error, has none.
        for message, _ in reversed(self.http._messages):
            if hasattr(message, "version"):
                self.version = message.version
                return

    def eof_received(self) -> bool | None:
        """Called when the client has closed its sending side.

        Returns:
            True to keep the connection until the requests that were read whole
            have been answered.
        """
        if self.half_closed is not None:
            return True
        if not self._keep_half_closed():
            self.is_closed_by_peer = True
            return self.http.eof_received()
        self.has_partial_head = False
        if not self.is_detached and not self.has_queued_requests:
            # Closes the connection after the current response.
            self.http.close()
        self.half_closed = HalfClosedCaller(
            self.transport, self._next_probe, self._end_half_closed
        )
        return True

    def _keep_half_closed(self) -> bool:
        """Returns whether a request is left that was read whole.

        Drops a request behind it that was read in part only.
        """
        if self.is_detached:
            return self.owner.answers_half_closed
        is_in_progress = self.state is ConnectionState.IN_PROGRESS
        if not is_in_progress or not self.may_be_half_closed:
            return False
        if self.payload is None or self.payload.is_eof():
            return True
        messages = self.http._messages
        if not messages:
            return False
        # A waiter that is done is about to take the first request.
        is_first = self.http._waiter is not None and len(messages) == 1
        if is_first:
            return False
        messages.pop()
        return True

    def _next_probe(self) -> bytes:
        if self.is_detached:
            return self.filter.next_probe()
        if not self.has_responded:
            return CONTINUE
        return LEADING_ZERO if self._is_between_chunks else b""

    @property
    def _is_between_chunks(self) -> bool:
        """Whether a response in chunks has begun and is not complete.

        Chunks are written whole.
        """
        response = self.response
        if response is None or response._eof_sent:
            return False
        writer = response._payload_writer
        return writer is not None and writer.chunked

    def _end_half_closed(self, end: CallerEnd) -> None:
        self.is_closed_by_peer = True
        self.half_closed_end = end
        self.transport.abort()

    def _end_of_half_closed(self) -> CallerEnd:
        if self.half_closed_end is not None:
            return self.half_closed_end
        if self.is_closed_by_peer:
            return CallerEnd.LEFT
        if self.is_detached:
            is_answered = self.filter.is_answered
        else:
            is_answered = self.response is not None and self.response._eof_sent
        return CallerEnd.ANSWERED if is_answered else CallerEnd.BROKEN_OFF

    def pause_writing(self) -> None:
        """Called when the transport's buffer is full."""
        self.http.pause_writing()

    def resume_writing(self) -> None:
        """Called when the transport's buffer has drained."""
        self.http.resume_writing()
