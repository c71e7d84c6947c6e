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
from marjoramyard.fleet.util.connections import (
    has_input,
    has_peer_closed,
    is_reset,
)
from marjoramyard.fleet.util.raw_responses import mark_closing, response_bytes
from marjoramyard.fleet.util.rpc import failure_response
from marjoramyard.kernel.errors import FailureKind, failure

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


class ConnectionOwner(Protocol):
    """Is told of the connections of a listener.

    Attributes:
        answers_half_closed: Whether a client that closes its sending side after
            a request gets its response. If not, it has left.
    """

    answers_half_closed: bool

    def on_connection_made(self, connection: "ServedConnection") -> bool:
        """Returns whether the connection is to be served."""

    def on_connection_detached(self) -> None:
        """Called when the HTTP protocol no longer serves a connection."""

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
        return self.half_closed is not None and not self.has_queued_requests

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
        if not self.owner.on_connection_made(self):
            transport.abort()
            return
        self.http.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection is closed."""
        if exc is not None:
            self.is_closed_by_peer = True
        if self.half_closed is not None:
            self.half_closed.stop()
            self.half_closed_end = self._end_of_half_closed()
        self.owner.on_connection_lost(self)
        if not self.is_detached:
            self.http.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called when data is received."""
        http = self.http
        starts_head = self.payload is None or self.payload.is_eof()
        http.data_received(data)
        self.read_at = time.monotonic()
        new_requests = http._request_count - self.request_count
        if new_requests:
            self.request_count = http._request_count
            self.payload = http._messages[-1][1] if http._messages else None
            rest = _rest_after(data, list(http._messages)[-new_requests:])
            self._note_version()
            self._set_partial_head(bool(rest.strip(_LINE_END)))
        else:
            # Empty lines before a request are no part of it.
            is_empty = not self.has_partial_head and not data.strip(_LINE_END)
            self._set_partial_head(starts_head and not is_empty)

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
