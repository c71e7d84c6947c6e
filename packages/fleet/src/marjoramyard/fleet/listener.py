"""Served addresses, and how they close.

A process that stops, on whichever of its addresses, keeps one promise: what it
has read of a request is answered. So a connection is closed only while nothing
of a request has been read, and never stays open without being read.
"""

import asyncio
import contextlib
import itertools
import math
import socket
import time
from collections.abc import Callable

from aiohttp import web

from marjoramyard.fleet.input_limits import RECEIVE_BUFFER_BYTES, InputExcess
from marjoramyard.fleet.served_connection import (
    TIMED_OUT,
    ConnectionState,
    HttpProtocol,
    ServedConnection,
)
from marjoramyard.fleet.util.binding import BindRetries
from marjoramyard.fleet.util.connections import (
    break_off_response,
    has_input,
)
from marjoramyard.fleet.util.held_bytes import (
    LOG_INTERVAL_SECONDS,
    HeldBytes,
    HeldKind,
    limit_for,
)
from marjoramyard.fleet.util.raw_responses import mark_closing, response_bytes
from marjoramyard.fleet.util.request_body import HOLDING, no_room_failure
from marjoramyard.fleet.util.rpc import OPEN_PATHS, failure_response
from marjoramyard.kernel.errors import FailureKind, Outcome, failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

FIRST_REQUEST_SECONDS = 0.25
"""How long a new connection without a request does not count as idle: its
client is about to send one."""
WRITE_SECONDS = 60.0
"""How long a client may take to read a response that is held for it."""
_TURNS = 12
"""Turns of the event loop in which requests that have arrived are read and most
of them answered, even when there is no time left."""
_TICK_SECONDS = 0.02
_END_ROUNDS = _TURNS + 10
"""Rounds in which responses to ended requests are sent. They are counted, as a
process that gets its processor in turns may sleep through a time."""
_ACCEPT_TURNS = 2
"""Turns of the event loop after which waiting connections are accepted."""
_SET_UP_TURNS = 3
"""Turns of the event loop after which accepted connections are set up."""

ProtocolWrapper = Callable[
    [asyncio.Protocol, Callable[[], bool]], asyncio.Protocol
]
"""Wraps the protocol of a connection in a filter. The arguments are that
protocol and a function that returns whether the connection is idle."""


class Listener:
    """A served address and its connections.

    Attributes:
        address: IP:PORT, for logs.
        connections: The open connections.
        detached_count: How many of them the HTTP protocol no longer serves.
        stopping_seconds: Returns the seconds since the process was told to
            stop; None before.
        answers_half_closed: Whether a client that closes its sending side
            after a request gets its response. If not, it has left.
        held_bytes: The account of what the process holds for others.
        owner: For whom requests are held until they are known to be a
            workspace's.
        input_logged_at: When refused input was last logged, by reason;
            monotonic time, in seconds.
        is_closing: Whether each response closes its connection.
        is_closed: Whether new connections are no longer served.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        stopping_seconds: Callable[[], float | None] = lambda: None,
        answers_half_closed: bool = False,
        held_bytes: HeldBytes | None = None,
        owner: str = "",
    ):
        self.address = address
        self.answers_half_closed = answers_half_closed
        self.held_bytes = held_bytes or HeldBytes(limit_for(None), metrics)
        self.owner = owner
        self.input_logged_at: dict[InputExcess, float] = {}
        self.metrics = metrics
        self.stopping_seconds = stopping_seconds
        self.connections: dict[web.RequestHandler, ServedConnection] = {}
        self.detached_count = 0
        self.is_closing = False
        self.is_closed = False

    @property
    def open_connections(self) -> int:
        """The number of open connections that the HTTP protocol serves."""
        return len(self.connections) - self.detached_count

    def close_idle(self, limit: int | None = None) -> int:
        """Closes idle connections; new ones are still accepted.

        A connection of which something can be read is left open: the request
        gets a response.

        Args:
            limit: The most connections to close, oldest first; None for all.

        Returns:
            The number of closed connections.
        """
        first_request_since = time.monotonic() - FIRST_REQUEST_SECONDS
        closed = 0
        for connection in list(self.connections.values()):
            if closed == limit:
                break
            is_new = not connection.request_count
            if is_new and connection.made_at > first_request_since:
                continue
            closed += self._close_if_idle(connection)
        return closed

    def end_partial(self, limit: int) -> int:
        """Ends requests that were read in part only, oldest connection first.

        Args:
            limit: The most requests to end.

        Returns:
            The number of ended requests.
        """
        partial = [
            connection
            for connection in self.connections.values()
            if connection.state is ConnectionState.READING
        ]
        for connection in partial[:limit]:
            connection.end_request(TIMED_OUT)
        return len(partial[:limit])

    def _close_if_idle(self, connection: ServedConnection) -> bool:
        if connection.state is not ConnectionState.IDLE:
            return False
        if has_input(connection.transport):
            return False
        connection.close()
        return True

    async def close(self, site: "ListenerSite", until: float) -> None:
        """Stops accepting connections, and closes them once they owe nothing.

        Requests in progress may take until the given time; those left then are
        ended with a response. aiohttp's own shutdown is not used: it stops
        reading connections before it closes them.

        Args:
            site: Accepts the connections.
            until: A time on the monotonic clock in seconds.
        """
        await site.stop()
        self.is_closing = True
        for round_number in itertools.count():
            if round_number >= _TURNS and time.monotonic() >= until:
                break
            self._close_upgraded()
            self.close_idle()
            if not self.connections and not site.http_connections:
                break
            await _pause(round_number)
        self.is_closed = True
        await self._end_requests(site)

    def _close_upgraded(self) -> None:
        """Closes WebSockets, on which no request is waiting for a response."""
        for connection in list(self.connections.values()):
            if connection.is_upgraded:
                connection.close()

    async def _end_requests(self, site: "ListenerSite") -> None:
        """Ends all requests, and closes their connections."""
        refusal = response_bytes(mark_closing(failure_response(_NOT_READ)))
        for round_number in range(_END_ROUNDS):
            for connection in list(self.connections.values()):
                if not connection.transport.is_closing():
                    connection.end_request(refusal)
            if not self.connections and not site.http_connections:
                return
            await _pause(round_number)
        for connection in list(self.connections.values()):
            connection.transport.abort()
        await asyncio.sleep(0)

    @web.middleware
    async def track_request(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Responds to requests that this process ends.

        What is held for a request is released once its response is written.
        """
        with self.held_bytes.holding(self.owner) as holding:
            request[HOLDING] = holding
            if request.path in OPEN_PATHS:
                return await self._handle(request, handler)
            if not holding.add(HeldKind.HEAD, _head_size(request)):
                return failure_response(no_room_failure())
            response = await self._handle(request, handler)
            if holding.sizes[HeldKind.RESPONSE] and response.prepared:
                await _write_response(request, response)
            return response

    async def _handle(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        connection = self.connections.get(request.protocol)
        if connection is None:
            return await handler(request)
        connection.handler_task = asyncio.current_task()
        connection.count_unread()
        connection.has_responded = False
        connection.response = None
        try:
            response = await handler(request)
            return await self._prepared(request, response, connection)
        except asyncio.CancelledError:
            if connection.is_ended and not connection.has_responded:
                return failure_response(_ENDED)
            if connection.is_ended:
                break_off_response(request)
            is_owed = not connection.is_upgraded
            if is_owed and not connection.is_closed_by_peer:
                self._log_unanswered(connection, ConnectionState.IN_PROGRESS)
            raise
        finally:
            connection.handler_task = None
            connection.count_unread(is_awaited=True)

    async def _prepared(
        self,
        request: web.Request,
        response: web.StreamResponse,
        connection: ServedConnection,
    ) -> web.StreamResponse:
        """Returns a response whose head has been prepared.

        aiohttp closes the connection without a response if that fails after
        the handlers. A failure that follows a response that has begun only
        breaks it off.
        """
        if connection.has_responded and not response.prepared:
            break_off_response(request)
            return response
        try:
            await response.prepare(request)
        except ConnectionError:
            raise
        except Exception:
            logger.exception("response_unwritable", path=request.path)
            self.metrics.count("unwritable_responses")
            connection.has_responded = False
            response = failure_response(_UNWRITABLE)
        return response

    async def prepare_response(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Called before the head of each response is sent."""
        connection = self.connections.get(request.protocol)
        is_last = self.is_closing
        if connection is not None:
            connection.has_responded = True
            connection.response = response
            is_last = is_last or connection.is_last_request
        if is_last:
            mark_closing(response)

    def on_connection_made(self, connection: ServedConnection) -> bool:
        """Adds a connection, unless the listener is closed."""
        if self.is_closed:
            return False
        self.connections[connection.http] = connection
        return True

    def on_connection_detached(self) -> None:
        """Counts a connection that the HTTP protocol no longer serves."""
        self.detached_count += 1

    def on_input_refused(
        self, connection: ServedConnection, excess: InputExcess
    ) -> None:
        """Counts and logs a connection whose input is no longer read."""
        self.metrics.count("refused_input", reason=excess.value)
        now = time.monotonic()
        last = self.input_logged_at.get(excess, -math.inf)
        if now < last + LOG_INTERVAL_SECONDS:
            return
        self.input_logged_at[excess] = now
        logger.warning(
            "input_refused",
            listener=self.address,
            reason=excess.value,
            peer=connection.transport.get_extra_info("peername"),
            head_bytes=connection.head_size,
            framing_bytes=connection.framing_size,
        )

    def on_connection_lost(self, connection: ServedConnection) -> None:
        """Forgets a connection; logs it if it was closed with bytes read."""
        self.connections.pop(connection.http, None)
        self.detached_count -= connection.is_detached
        if connection.half_closed_end is not None:
            outcome = connection.half_closed_end.value
            self.metrics.count("half_closed_callers", outcome=outcome)
        if connection.is_closed_by_peer:
            return
        if connection.is_upgraded or connection.is_detached:
            return
        if connection.has_queued_requests:
            self._log_unanswered(connection, ConnectionState.IN_PROGRESS)
        elif connection.has_partial_head:
            self._log_unanswered(connection, ConnectionState.READING)

    def _log_unanswered(
        self, connection: ServedConnection, state: ConnectionState
    ) -> None:
        """Logs that this process ends a connection that it owes a response."""
        self.metrics.count("unanswered_connections", state=state.value)
        stopping = self.stopping_seconds()
        logger.warning(
            "connection_unanswered",
            listener=self.address,
            state=state.value,
            requests=connection.request_count,
            has_unread=connection.had_unread,
            read_seconds_ago=round(time.monotonic() - connection.read_at, 3),
            stopping_seconds=None if stopping is None else round(stopping, 3),
        )


_UNWRITABLE = failure(
    FailureKind.INTERNAL,
    "the response can't be written; check the result before sending the "
    "request again",
    Outcome.UNKNOWN,
)
_NOT_READ = failure(
    FailureKind.LEAVING,
    "this process is shutting down and has not read the whole request; send "
    "it again",
)
_ENDED = failure(
    FailureKind.STOPPED,
    "the process was stopped while it handled the request; check the result "
    "before sending it again",
    Outcome.UNKNOWN,
)


def _head_size(request: web.Request) -> int:
    """Returns the bytes of a request's headers."""
    return sum(len(name) + len(value) for name, value in request.raw_headers)


async def _write_response(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Writes a response to its end, unless its client does not read it."""
    try:
        async with asyncio.timeout(WRITE_SECONDS):
            with contextlib.suppress(ConnectionError):
                await response.write_eof()
    except TimeoutError:
        logger.warning("response_not_read", path=request.path)
        break_off_response(request)


async def _pause(round_number: int) -> None:
    """Waits between two rounds; at first for a turn of the event loop only."""
    await asyncio.sleep(0 if round_number < _TURNS else _TICK_SECONDS)


class ListenerSite(web.TCPSite):
    """A TCP site that tracks its connections and may wrap their protocols."""

    def __init__(
        self,
        runner: web.AppRunner,
        listener: Listener,
        host: str,
        port: int,
        wrapper: ProtocolWrapper | None = None,
        retries: BindRetries | None = None,
        **options,
    ):
        super().__init__(runner, host, port, **options)
        self.listener = listener
        self.retries = retries
        self.wrapper = wrapper

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        await web.BaseSite.start(self)
        if self.retries is None:
            self._server = await self._listen()
            return
        self._server = await self.retries.bind(
            self.listener.address, self._listen
        )

    async def _listen(self) -> asyncio.Server:
        server = await asyncio.get_running_loop().create_server(
            self._connect,
            self._host,
            self._port,
            backlog=self._backlog,
            reuse_address=self._reuse_address,
        )
        for listening in server.sockets:
            # Accepted connections inherit it.
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        return server

    @property
    def http_connections(self) -> list[web.RequestHandler]:
        """Aiohttp's connections; they last until their handlers have ended."""
        return self._runner.server.connections

    async def stop(self) -> None:
        """Stops accepting connections.

        `asyncio.Server.close` would break those that are being set up: they
        would stay open without being read. Those that wait are accepted first:
        a signal may have kept the event loop from looking at the address.
        """
        loop = asyncio.get_running_loop()
        for _ in range(_ACCEPT_TURNS):
            await asyncio.sleep(0)
        for listening in self._server.sockets:
            loop.remove_reader(listening.fileno())
        for _ in range(_SET_UP_TURNS):
            await asyncio.sleep(0)
        await super().stop()

    def _connect(self) -> asyncio.Protocol:
        http = HttpProtocol(self._runner.server)
        connection = ServedConnection(http, self.listener)
        if self.wrapper is None:
            return connection
        outer = self.wrapper(connection, lambda: connection.is_waiting)
        connection.filter = outer
        return outer
