"""Clients whose requests don't end, each in a thread of its own."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

BLOCK = b"x" * 65536
_POST = b"POST /lohu930/ HTTP/1.1\r\nHost: ficu95.example\r\n"
_GET = b"GET /lohu930/ HTTP/1.1\r\nHost: ficu95.example\r\n"
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
_SOCKET_SECONDS = 0.2
_PROBE_SECONDS = 0.02
_PAGE_BYTES = 4096
MEGABYTE = 1_000_000

FORMS = {
    "length": (_POST + b"Content-Length: 9000000000000\r\n\r\n", BLOCK),
    "chunks": (_CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "one-chunk": (_CHUNKED + b"80000000000\r\n", BLOCK),
    "request-line": (b"GET /", BLOCK),
    "header-name": (_GET, BLOCK),
    "header-value": (_GET + b"X-Long: ", BLOCK),
    "fields": (_GET, b"X-Field: " + b"x" * 200_000 + b"\r\n"),
    "short-fields": (_GET, b"a:b\r\n" * 10_000),
    "upgrade": (
        _GET + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        BLOCK,
    ),
    "malformed": (b"\x00\r\n\r\n", BLOCK),
    "one-byte-chunks": (_CHUNKED, b"1\r\nx\r\n" * 10_000),
    "extension": (_CHUNKED + b"1;", BLOCK),
    "extensions": (_CHUNKED, b"1;e=abcdefgh\r\nx\r\n" * 4_000),
    "trailers": (_CHUNKED + b"0\r\n", b"a:b\r\n" * 10_000),
    "empty-lines": (b"", b"\r\n" * 32_768),
    "requests": (b"", (_GET + b"\r\n") * 100),
}
"""What each client sends at first, and what it repeats."""


@dataclass
class EndlessClient:
    """A client that connects again when its connection is closed.

    Attributes:
        address: The server.
        head: What is sent first on each connection.
        block: What is sent again and again.
        sent: The most bytes that were taken of one connection.
        connections: The number of connections.
        is_stopping: Whether it is to end.
    """

    address: tuple[str, int]
    head: bytes
    block: bytes
    sent: int = 0
    connections: int = 0
    is_stopping: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        """Sends until it is stopped."""
        while not self.is_stopping.is_set():
            with contextlib.suppress(OSError):
                self._send_all()

    def _send_all(self) -> None:
        with socket.create_connection(self.address, 1.0) as connection:
            connection.settimeout(_SOCKET_SECONDS)
            self.connections += 1
            sent = connection.send(self.head) if self.head else 0
            while not self.is_stopping.is_set():
                with contextlib.suppress(TimeoutError):
                    sent += connection.send(self.block)
                self.sent = max(self.sent, sent)


@contextlib.contextmanager
def endless_clients(
    address: tuple[str, int], forms: list[str]
) -> Iterator[list[EndlessClient]]:
    """Yields a running client of each form."""
    clients = [EndlessClient(address, *FORMS[form]) for form in forms]
    threads = [threading.Thread(target=client.run) for client in clients]
    for thread in threads:
        thread.start()
    try:
        yield clients
    finally:
        for client in clients:
            client.is_stopping.set()
        for thread in threads:
            thread.join()


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * _PAGE_BYTES


@dataclass
class Watch:
    """What was seen of a process.

    Attributes:
        highest: The most resident bytes.
        slowest: The longest that a whole request waited, in seconds.
        statuses: The responses to whole requests.
    """

    highest: int = 0
    slowest: float = 0.0
    statuses: list[int] = field(default_factory=list)


async def watch(
    session: aiohttp.ClientSession, pid: int, url: str, seconds: float
) -> Watch:
    """Sends whole requests for a while, and reads a process's memory."""
    seen = Watch()
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        began_at = time.monotonic()
        async with session.get(url) as response:
            await response.read()
            seen.statuses.append(response.status)
        seen.slowest = max(seen.slowest, time.monotonic() - began_at)
        seen.highest = max(seen.highest, resident_bytes(pid))
        await asyncio.sleep(_PROBE_SECONDS)
    return seen
