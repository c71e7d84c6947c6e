"""Forwards an endpoint's stream to the caller without waking a task."""

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from marjoramyard.fleet.util.endpoint_session import StrictHandler

MAX_BUFFERED_BYTES = 1 << 16
"""A caller with more unsent bytes than this is too slow for direct writes."""


class DirectStreamRelay:
    """Writes body data of a response to the caller as soon as it is read.

    The data is processed in the callback of the endpoint's connection. Waking
    the request's task for each event would take several times as much
    processor time.

    Attributes:
        upstream: The response of the endpoint.
        request: The caller's request, whose chunked response has been started.
        process: Returns the bytes to forward of received body data.
        has_failed: Whether the data can't be forwarded any more.
    """

    def __init__(
        self,
        upstream: aiohttp.ClientResponse,
        request: web.BaseRequest,
        process: Callable[[bytes], bytes],
        has_failed: Callable[[], bool] = lambda: False,
    ):
        self.upstream = upstream
        self.request = request
        self.process = process
        self.has_failed = has_failed
        self.handler = _handler_of(upstream)
        self.stopped: asyncio.Future[None] | None = None
        self.is_reading = False

    async def run(self) -> None:
        """Forwards data until the response ends or the caller is too slow.

        The response may have more data after this, or have broken off, which is
        reported when it is read.
        """
        if self.handler is None or self._must_stop():
            return
        self.stopped = asyncio.get_running_loop().create_future()
        self.handler.on_read = self._on_read
        try:
            await self.stopped
        finally:
            self._detach()

    def _on_read(self) -> None:
        # Reading may resume the connection, which calls this again.
        if self.is_reading:
            return
        self.is_reading = True
        try:
            self._forward_available()
        finally:
            self.is_reading = False
        if self._must_stop():
            self._detach()
            if not self.stopped.done():
                self.stopped.set_result(None)

    def _forward_available(self) -> None:
        content = self.upstream.content
        while content.exception() is None and not self.has_failed():
            data = content.read_nowait()
            if not data:
                return
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        transport = self.request.transport
        if transport is None or transport.is_closing():
            return
        forwarded = self.process(data)
        if forwarded:
            transport.write(b"%x\r\n%b\r\n" % (len(forwarded), forwarded))

    def _must_stop(self) -> bool:
        content = self.upstream.content
        if content.is_eof() or content.exception() is not None:
            return True
        if self.has_failed():
            return True
        transport = self.request.transport
        return (
            transport is None
            or transport.is_closing()
            or transport.get_write_buffer_size() > MAX_BUFFERED_BYTES
        )

    def _detach(self) -> None:
        # The connection may already serve another request.
        if self.handler.on_read == self._on_read:
            self.handler.on_read = None


def _handler_of(upstream: aiohttp.ClientResponse) -> StrictHandler | None:
    """Returns the connection of a response that has not been read to its end.

    Returns None if the connection has been released.
    """
    connection = upstream.connection
    if connection is None or not isinstance(connection.protocol, StrictHandler):
        return None
    return connection.protocol
