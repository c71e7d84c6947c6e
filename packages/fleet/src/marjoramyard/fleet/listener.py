"""Served addresses and the state of their connections."""

import asyncio
import time
from collections.abc import Callable, Collection
from enum import Enum
from typing import Protocol

from aiohttp import web

from marjoramyard.fleet.util.connections import has_input
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)


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


class ServedConnection(asyncio.Protocol):
    """An accepted connection, in front of its HTTP protocol.

    aiohttp exposes what a connection waits for in private attributes only.

    Attributes:
        http: aiohttp's protocol.
        listener: The listener that accepted the connection.
        filter: The protocol in front of this one, if any.
        transport: The connection; None before it is established.
        payload: The body of the last request whose head was read.
        request_count: The number of requests when bytes were last read.
        has_partial_head: Whether a part of the next head has been read.
        is_closed_by_peer: Whether the client has closed the connection.
        read_at: When bytes were last read, on the monotonic clock in seconds.
    """

    def __init__(self, http: web.RequestHandler, listener: "Listener"):
        self.http = http
        self.listener = listener
        self.filter: ConnectionFilter | None = None
        self.transport: asyncio.Transport | None = None
        self.payload = None
        self.request_count = 0
        self.has_partial_head = False
        self.is_closed_by_peer = False
        self.read_at = 0.0

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

    def detach(self) -> None:
        """Ends the HTTP protocol without closing the connection."""
        self.http.transport = None
        self.http.connection_lost(None)
        self.listener.connections.pop(self.http, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is established."""
        self.transport = transport
        self.listener.connections[self.http] = self
        self.http.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection is closed."""
        self.listener.on_connection_lost(self, exc)
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


ProtocolWrapper = Callable[
    [asyncio.Protocol, Callable[[], bool]], asyncio.Protocol
]
"""Wraps the protocol of a connection in a filter. The arguments are that
protocol and a function that returns whether the connection is idle."""


class Listener:
    """A served address and its connections.

    Attributes:
        address: IP:PORT, for logs.
        connections: The connections that the HTTP protocol serves.
        stopping_seconds: Returns the seconds since the process was told to
            stop; None before.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        stopping_seconds: Callable[[], float | None] = lambda: None,
    ):
        self.address = address
        self.metrics = metrics
        self.stopping_seconds = stopping_seconds
        self.connections: dict[web.RequestHandler, ServedConnection] = {}

    @property
    def open_connections(self) -> int:
        """The number of open connections that the HTTP protocol serves."""
        return len(self.connections)

    def close_idle(
        self, in_use: Collection[web.RequestHandler], limit: int | None = None
    ) -> int:
        """Closes idle connections; new ones are still accepted.

        aiohttp's `pre_shutdown` is not used: it stops reading but leaves
        connections open, so later requests would never get a response.

        Args:
            in_use: Connections to leave open.
            limit: The most connections to close, oldest first; None for all.

        Returns:
            The number of closed connections.
        """
        idle = [
            connection
            for connection in self.connections.values()
            if connection.http not in in_use and connection.is_waiting
        ]
        for connection in idle[:limit]:
            connection.http.force_close()
        return len(idle[:limit])

    @web.middleware
    async def log_cut_requests(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Logs requests whose handler this process cancels."""
        try:
            return await handler(request)
        except asyncio.CancelledError:
            connection = self.connections.get(request.protocol)
            if connection is not None and not connection.is_closed_by_peer:
                self._log_unanswered(connection, ConnectionState.IN_PROGRESS)
            raise

    def on_connection_lost(
        self, connection: ServedConnection, exc: Exception | None
    ) -> None:
        """Forgets a connection; logs it if it was closed with bytes read."""
        self.connections.pop(connection.http, None)
        if connection.is_closed_by_peer or exc is not None:
            return
        has_queued = bool(connection.http._messages)
        if connection.has_partial_head or has_queued:
            state = ConnectionState.READING
            if has_queued:
                state = ConnectionState.IN_PROGRESS
            self._log_unanswered(connection, state)

    def _log_unanswered(
        self, connection: ServedConnection, state: ConnectionState
    ) -> None:
        """Logs that this process ends a connection that it owes a response."""
        transport = connection.transport
        has_unread = not transport.is_closing() and has_input(transport)
        self.metrics.count("unanswered_connections", state=state.value)
        stopping = self.stopping_seconds()
        logger.warning(
            "connection_unanswered",
            listener=self.address,
            state=state.value,
            requests=connection.http._request_count,
            has_unread=has_unread,
            read_seconds_ago=round(time.monotonic() - connection.read_at, 3),
            stopping_seconds=None if stopping is None else round(stopping, 3),
        )


class ListenerSite(web.TCPSite):
    """A TCP site that tracks its connections and may wrap their protocols."""

    def __init__(
        self,
        runner: web.AppRunner,
        listener: Listener,
        host: str,
        port: int,
        wrapper: ProtocolWrapper | None = None,
        **options,
    ):
        super().__init__(runner, host, port, **options)
        self.listener = listener
        self.wrapper = wrapper

    async def start(self) -> None:
        """Starts to listen."""
        await web.BaseSite.start(self)
        self._server = await asyncio.get_running_loop().create_server(
            self._connect,
            self._host,
            self._port,
            backlog=self._backlog,
            reuse_address=self._reuse_address,
        )

    def _connect(self) -> asyncio.Protocol:
        connection = ServedConnection(self._runner.server(), self.listener)
        if self.wrapper is None:
            return connection
        outer = self.wrapper(connection, lambda: connection.is_waiting)
        connection.filter = outer
        return outer
