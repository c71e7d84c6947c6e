"""Connections to endpoints, on which nobody else's bytes are taken."""

import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp.client_proto import ResponseHandler

IDLE_SECONDS = 3.0
"""Endpoints close idle connections, some sooner than they say. A request
that meets the close can't be told from one that ran, so connections are
given up before that."""
CONNECT_SECONDS = 0.5
"""An endpoint that takes longer is down or full, and the request has not run,
so another may have it."""
_READ_BYTES = 1 << 16


class StrictHandler(ResponseHandler):
    """A connection that is given up once anything about it is odd."""

    def is_connected(self) -> bool:
        """Whether the connection may carry another request.

        A faulty endpoint sends bytes after a complete answer, and they may
        arrive while the connection waits in the pool. The next caller would
        get them as its own answer.
        """
        return super().is_connected() and not self.should_close

    def connection_lost(self, exc: BaseException | None) -> None:
        """Marks an answer without a length as cut if it ended in a reset.

        Such an answer ends with its connection, so the library takes any
        end of it for a good one; only a clean close is.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection reset: {exc}")
            )
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Makes `StrictHandler`s."""

    def __init__(self, **options):
        super().__init__(**options)
        # The library has no public way to name another handler.
        self._factory = functools.partial(StrictHandler, loop=self._loop)


@asynccontextmanager
async def open_endpoint_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Owns the connections to endpoints."""
    session = aiohttp.ClientSession(
        connector=StrictConnector(
            limit=0,
            keepalive_timeout=IDLE_SECONDS,
            happy_eyeballs_delay=None,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        read_bufsize=_READ_BYTES,
        max_line_size=_READ_BYTES,
        max_field_size=_READ_BYTES,
        skip_auto_headers=(
            "Accept",
            "Accept-Encoding",
            "User-Agent",
            "Content-Type",
        ),
    )
    # The library sends a GET anew by itself if a kept connection breaks.
    # That would be a second run that no budget and no attempt counts.
    session._retry_connection = False
    try:
        yield session
    finally:
        await session.close()
