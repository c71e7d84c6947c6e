"""Responses whose framing and end are chosen by a test."""

import asyncio
from collections.abc import AsyncIterable
from enum import Enum

from aiohttp import web

from marjoramyard.fleet.util.connections import reset

ARRIVAL_SECONDS = 0.01
"""Lets the last bytes arrive before the connection ends."""


class Framing(Enum):
    """How a response tells where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """Neither: the body ends with the connection."""


class ConnectionEnd(Enum):
    """How the endpoint ends the connection."""

    FIN = "fin"
    RST = "rst"


class BreakOffError(Exception):
    """The rest of a body is not sent; raised by the source of its pieces."""


class RawResponse(web.StreamResponse):
    """Sends a body in pieces, then ends the connection.

    Attributes:
        pieces: The body. It breaks off where this raises `BreakOffError`.
        framing: How its end is told.
        connection_end: How the connection ends.
        length: The announced length of the body, if it has one.
    """

    def __init__(
        self,
        pieces: AsyncIterable[bytes],
        framing: Framing,
        connection_end: ConnectionEnd = ConnectionEnd.FIN,
        length: int = 0,
        **options,
    ):
        super().__init__(**options)
        self.pieces = pieces
        self.framing = framing
        self.connection_end = connection_end
        self.length = length

    async def prepare(self, request: web.BaseRequest) -> None:
        """Sends the response and ends the connection."""
        transport = request.transport
        if transport is None:
            return
        transport.write(self._head())
        try:
            async for piece in self.pieces:
                transport.write(self._framed(piece))
        except BreakOffError:
            pass
        else:
            if self.framing is Framing.CHUNKS:
                transport.write(b"0\r\n\r\n")
        await asyncio.sleep(ARRIVAL_SECONDS)
        end_connection(transport, self.connection_end)

    async def write_eof(self, data: bytes = b"") -> None:
        """Sends nothing, as the connection has ended."""

    def _head(self) -> bytes:
        if self.framing is Framing.CHUNKS:
            self.headers["Transfer-Encoding"] = "chunked"
        elif self.framing is Framing.LENGTH:
            self.headers["Content-Length"] = str(self.length)
        self.headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {self.status} {self.reason}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def _framed(self, piece: bytes) -> bytes:
        if self.framing is Framing.CHUNKS:
            return b"%x\r\n%b\r\n" % (len(piece), piece)
        return piece


def end_connection(
    transport: asyncio.Transport, connection_end: ConnectionEnd
) -> None:
    """Ends a connection as told."""
    if connection_end is ConnectionEnd.FIN:
        transport.close()
    else:
        reset(transport)
