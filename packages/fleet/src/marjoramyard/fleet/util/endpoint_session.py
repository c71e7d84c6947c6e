"""The HTTP session for requests to endpoints."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from enum import Enum

import aiohttp
from aiohttp.client_proto import ResponseHandler

from marjoramyard.fleet.util.excess_reports import ExcessReports
from marjoramyard.kernel.metrics import Metrics

IDLE_SECONDS = 3.0
"""Keep-alive timeout. Shorter than that of endpoints, some of which close
sooner than they say: a request sent while the endpoint closes the connection
cannot be distinguished from one that ran."""
CONNECT_SECONDS = 0.5
"""Connect timeout. After it the request has not run and may be sent to another
endpoint."""
MAX_INTERIM_RESPONSES = 64
"""Responses with a status below 200 before the final one."""
MAX_OVERHEAD_BYTES = 1 << 18
"""Bytes of a response that are no content: heads, chunk sizes and extensions,
trailers and empty lines."""
MAX_OVERHEAD_FACTOR = 2
"""Such bytes for each byte of content that are allowed besides."""
READ_BYTES = 1 << 15
"""What is read of a connection in one turn of the event loop."""
_LINE_BYTES = 1 << 16
_INTERIM_STATUSES = frozenset(range(100, 200)) - {101}


class Excess(Enum):
    """What an endpoint sent too much of."""

    INTERIM = "interim"
    """Responses with a status below 200."""
    RESPONSES = "responses"
    """Responses to one request."""
    OVERHEAD = "overhead"
    """Bytes that are no content."""


class ExcessError(aiohttp.ClientPayloadError):
    """An endpoint sent more than its response; its connection was closed."""


class StrictHandler(ResponseHandler):
    """A connection that is not reused after any irregularity.

    It is closed at once if the endpoint sends what is no part of a response.

    Attributes:
        reports: Counts and logs such endpoints; None if nobody does.
        on_read: Called after data was received or the connection was lost, when
            the payload of the response is up to date.
        received_bytes: What was received since the request was sent.
        interim_count: The responses with a status below 200 since then.
        has_response: Whether the final response has begun.
        excess: What the endpoint has sent too much of.
    """

    on_read: Callable[[], None] | None = None
    received_bytes = 0
    interim_count = 0
    has_response = False
    excess: Excess | None = None

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        reports: ExcessReports | None = None,
    ):
        super().__init__(loop)
        self.reports = reports

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bounds what is read at once."""
        # asyncio has no public parameter for it.
        transport.max_size = READ_BYTES
        super().connection_made(transport)

    def set_response_params(self, **options) -> None:
        """Prepares the connection for the response to a request."""
        self.received_bytes = 0
        self.interim_count = 0
        self.has_response = False
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        self.received_bytes += len(data)
        super().data_received(data)
        if self.received_bytes > MAX_OVERHEAD_BYTES:
            self._check_overhead()
        if self.excess is not None:
            self._end_excess()
        if self.on_read is not None:
            self.on_read()

    def feed_data(self, data, size: int = 0) -> None:
        """Adds the head of a response, unless there are too many."""
        if data[0].code in _INTERIM_STATUSES:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                self.excess = Excess.INTERIM
        elif self.has_response:
            self.excess = Excess.RESPONSES
        else:
            self.has_response = True
        if self.excess is None:
            super().feed_data(data, size)

    def _check_overhead(self) -> None:
        size = self._payload.total_bytes if self._payload is not None else 0
        allowed = MAX_OVERHEAD_BYTES + (1 + MAX_OVERHEAD_FACTOR) * size
        if self.received_bytes > allowed and self.excess is None:
            self.excess = Excess.OVERHEAD

    def _end_excess(self) -> None:
        """Closes the connection; fails a response that is not complete."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        error = ExcessError(f"more than a response: {self.excess.value}")
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if not self.has_response:
            self.set_exception(error)
        self.force_close()
        # The end of the connection would replace the error.
        self._parser = None
        self._payload = None
        if self.reports is not None:
            address = transport.get_extra_info("peername")
            self.reports.report(self.excess.value, address)
        transport.abort()

    def is_connected(self) -> bool:
        """Whether the connection may be reused.

        A faulty endpoint may send bytes after a complete response. They can
        arrive while the connection is in the pool and would be mistaken for the
        response to the next request.
        """
        return super().is_connected() and not self.should_close

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a response without a length if its connection was reset.

        Such a response ends with its connection; the library accepts any end of
        it as complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection reset: {exc}")
            )
        super().connection_lost(exc)
        if self.on_read is not None:
            self.on_read()


_send_check: ContextVar[Callable[[], None] | None] = ContextVar(
    "send_check", default=None
)


@contextmanager
def check_before_send(check: Callable[[], None]) -> Iterator[None]:
    """Checks requests once more when their connection is established.

    That may take as long as `CONNECT_SECONDS`.

    Args:
        check: Raises an exception if the request must not be sent any more.
            No byte of it is sent then.
    """
    token = _send_check.set(check)
    try:
        yield
    finally:
        _send_check.reset(token)


class StrictConnector(aiohttp.TCPConnector):
    """Creates `StrictHandler` connections."""

    def __init__(self, reports: ExcessReports | None = None, **options):
        super().__init__(**options)
        # aiohttp has no public parameter for the handler class.
        self._factory = functools.partial(
            StrictHandler, loop=self._loop, reports=reports
        )

    async def connect(self, req, traces, timeout):
        """Connects, and checks that the request may still be sent."""
        connection = await super().connect(req, traces, timeout)
        check = _send_check.get()
        if check is None:
            return connection
        try:
            check()
        except BaseException:
            connection.release()
            raise
        return connection


def create_endpoint_session(
    metrics: Metrics | None = None, reuses_connections: bool = True
) -> aiohttp.ClientSession:
    """Creates the HTTP session for requests to endpoints.

    Args:
        metrics: Counts endpoints that send more than responses.
        reuses_connections: Whether connections are used for several requests.
            A faulty endpoint may send a second response, which can't be told
            from that of the next request unless responses carry its ID.
    """
    reuse = (
        {"keepalive_timeout": IDLE_SECONDS}
        if reuses_connections
        else {"force_close": True}
    )
    reports = ExcessReports(metrics) if metrics is not None else None
    session = aiohttp.ClientSession(
        connector=StrictConnector(
            reports, limit=0, happy_eyeballs_delay=None, **reuse
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        read_bufsize=READ_BYTES,
        max_line_size=_LINE_BYTES,
        max_field_size=_LINE_BYTES,
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "User-Agent",
            "Content-Type",
        ),
    )
    # aiohttp would resend idempotent requests when a reused connection breaks,
    # bypassing the retry budget.
    session._retry_connection = False
    return session


@asynccontextmanager
async def open_endpoint_session(
    metrics: Metrics | None = None,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Opens the HTTP session for requests to endpoints."""
    session = create_endpoint_session(metrics)
    try:
        yield session
    finally:
        await session.close()
