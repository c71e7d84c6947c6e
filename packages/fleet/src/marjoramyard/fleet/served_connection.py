"""The state of an accepted connection, and its end."""

import asyncio
import time
from enum import Enum
from typing import Protocol

from aiohttp import web


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
    """

    response: bytes | None


class ConnectionOwner(Protocol):
    """Is told of the connections of a listener."""

    def on_connection_made(self, connection: "ServedConnection") -> bool:
        """Returns whether the connection is to be served."""

    def on_connection_detached(self, connection: "ServedConnection") -> None:
        """Called when the HTTP protocol no longer serves the connection."""

    def on_connection_lost(
        self, connection: "ServedConnection", exc: Exception | None
    ) -> None:
        """Called when the connection is closed."""


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
        is_closed_by_peer: Whether the client has closed the connection.
        read_at: When bytes were last read, on the monotonic clock in seconds.
        made_at: When it was established, on the monotonic clock in seconds.
        handler_task: Runs the handler of the current request.
        has_responded: Whether the head of the response to the current request
            was sent.
        is_ended: Whether the current request was ended before its response.
    """

    def __init__(self, http: web.RequestHandler, owner: ConnectionOwner):
        self.http = http
        self.owner = owner
        self.filter: ConnectionFilter | None = None
        self.transport: asyncio.Transport | None = None
        self.payload = None
        self.request_count = 0
        self.has_partial_head = False
        self.is_closed_by_peer = False
        self.read_at = 0.0
        self.made_at = 0.0
        self.handler_task: asyncio.Task | None = None
        self.has_responded = False
        self.is_ended = False

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
        return self.http._payload_parser is not None

    @property
    def has_queued_requests(self) -> bool:
        """Whether a request was read whose handler has not started."""
        return bool(self.http._messages)

    def detach(self) -> None:
        """Ends the HTTP protocol without closing the connection."""
        self.http.transport = None
        self.http.connection_lost(None)
        self.owner.on_connection_detached(self)

    def close(self) -> None:
        """Closes the connection; what is read from now on is not lost.

        Nothing is read once the transport closes. If something is left unread
        then, the connection is reset.
        """
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
        self.owner.on_connection_lost(self, exc)
        self.http.connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Called when data is received."""
        http = self.http
        starts_head = self.payload is None or self.payload.is_eof()
        http.data_received(data)
        self.read_at = time.monotonic()
        if http._request_count != self.request_count:
            self.request_count = http._request_count
            self.payload = http._messages[-1][1] if http._messages else None
            starts_head = False
        self.has_partial_head = starts_head

    def eof_received(self) -> bool | None:
        """Called when the client has closed its sending side."""
        self.is_closed_by_peer = True
        return self.http.eof_received()

    def pause_writing(self) -> None:
        """Called when the transport's buffer is full."""
        self.http.pause_writing()

    def resume_writing(self) -> None:
        """Called when the transport's buffer has drained."""
        self.http.resume_writing()
