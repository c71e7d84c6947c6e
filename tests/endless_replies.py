"""Servers whose responses have no end, and the memory of processes."""

import asyncio
import contextlib
import os
from pathlib import Path

BLOCK = b"x" * (1 << 16)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
RESPONSES = {
    "length": (HEAD + b"Content-Length: 9000000000000\r\n\r\n", BLOCK),
    "close": (HEAD + b"\r\n", BLOCK),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "error": (
        HEAD.replace(b"200 OK", b"503 Busy")
        + b"Transfer-Encoding: chunked\r\n\r\n",
        CHUNK,
    ),
}
"""By name, the beginning of a response and what is sent after it again and
again."""
EVENT_WITHOUT_END = (
    HEAD.replace(b"application/json", b"text/event-stream")
    + b"Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
    CHUNK,
)
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int | str = "self") -> int:
    """Returns the resident memory of a process."""
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * _PAGE_BYTES


class EndlessServer:
    """Answers each request with the same response, which has no end.

    Attributes:
        beginning: The first bytes of the response.
        repeated: What is sent after them until the connection is closed.
        bytes_sent: The bytes that were sent on all connections.
        closed_count: The connections that the client has closed.
    """

    def __init__(self, beginning: bytes, repeated: bytes):
        self.beginning = beginning
        self.repeated = repeated
        self.bytes_sent = 0
        self.closed_count = 0
        self.address = ""
        self.tasks: set[asyncio.Task] = set()

    async def _answer(self, reader, writer) -> None:
        self.tasks.add(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.beginning)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                self.bytes_sent += len(self.repeated)
        except (OSError, EOFError):
            self.closed_count += 1
        finally:
            writer.transport.abort()
            self.tasks.discard(asyncio.current_task())

    @contextlib.asynccontextmanager
    async def running(self, address: str = "127.0.0.1:0"):
        """Serves an address; yields the server."""
        host, port = address.split(":")
        server = await asyncio.start_server(self._answer, host, int(port))
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        try:
            yield self
        finally:
            server.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
