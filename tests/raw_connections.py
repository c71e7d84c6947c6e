"""Callers' connections on raw sockets, and how their requests ended."""

import asyncio
import contextlib
import itertools
import socket
import time
from dataclasses import dataclass, field
from enum import Enum

CROSSING_SECONDS = 0.2
"""A request that crosses the closing of its connection is reset within it."""
ANSWER_TIMEOUT_SECONDS = 12.0
_READ_BYTES = 65_536
_RESET_POLLS = 5
_RESET_POLL_SECONDS = 0.01
"""The reset may arrive some time after the close."""
_TICK_SECONDS = 0.005
_TCP_CLOSE = 7
"""The first byte of Linux's TCP_INFO once a connection was reset."""


class End(Enum):
    """How a connection ended before its response was complete."""

    NONE = "none"
    """It did not: the response is complete, or none came in time."""
    FIN = "fin"
    """The gateway closed it and had read all that was sent."""
    RST = "rst"
    """The gateway closed it with something unread."""


@dataclass
class Exchange:
    """One request and its end; times are monotonic seconds.

    Attributes:
        id: The ID of the request.
        is_new: Whether it was the first request on its connection.
        port: The local port of the connection.
        began_at: When its first byte was sent.
        sent_at: When all of it was sent; 0 if it never was.
        ended_at: When its response was complete or the connection ended.
        open_at: When the connection was last known not to have ended.
        received: The bytes of the response.
        is_complete: Whether the response is complete.
        end: How the connection ended.
    """

    id: str
    is_new: bool
    port: int
    began_at: float = field(default_factory=time.monotonic)
    sent_at: float = 0.0
    ended_at: float = 0.0
    open_at: float = 0.0
    received: bytes = b""
    is_complete: bool = False
    end: End = End.NONE

    @property
    def status(self) -> int:
        """The status of the response; 0 if there is none."""
        fields = self.received[:64].split(b" ")
        is_known = self.received.startswith(b"HTTP/1.1 ")
        return int(fields[1]) if is_known else 0

    @property
    def seconds(self) -> float:
        """From its last byte to the end."""
        return self.ended_at - self.sent_at

    @property
    def is_broken_off(self) -> bool:
        """Whether the response began and is not complete."""
        return bool(self.received) and not self.is_complete

    @property
    def keeps_connection(self) -> bool:
        """Whether another request may follow on the connection."""
        is_done = self.is_complete and self.sent_at > 0
        return is_done and not closes_connection(self.received)

    def is_lost(self, ran: bool) -> bool:
        """Whether a whole request was given up without a byte of a response.

        Args:
            ran: Whether an endpoint ran the request.
        """
        if not self.sent_at or self.received:
            return False
        if self.end is End.RST:
            return ran or self.open_at - self.sent_at > CROSSING_SECONDS
        return True


def _is_reset(sock: socket.socket) -> bool:
    """Whether a connection that was closed has also been reset.

    A request that arrives after the close is answered by a reset, but reading
    still reports the close.
    """
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == (
        _TCP_CLOSE
    )


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.lower().split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key == name:
            return value.strip()
    return b""


def is_complete_response(received: bytes) -> bool:
    """Whether a response with a Content-Length or in chunks is complete."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    if _header(head, b"transfer-encoding") == b"chunked":
        return body.endswith(b"0\r\n\r\n")
    return len(body) >= int(_header(head, b"content-length") or b"0")


def closes_connection(received: bytes) -> bool:
    """Whether a response says that its connection is closed."""
    head = received.partition(b"\r\n\r\n")[0]
    return _header(head, b"connection") == b"close"


def request_bytes(
    request_id: str, path: str, body: bytes = b"x", deadline_ms: int = 3000
) -> bytes:
    """Returns a complete request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        f"Request-Id: {request_id}",
        f"Request-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class PollClock:
    """Knows when the event loop of the callers last looked for events.

    An event that it reports came after that; the loop may be late with it.

    Attributes:
        polled_at: The last but one time at which the clock's task ran, after
            which the loop has polled all connections.
    """

    def __init__(self):
        self.polled_at = time.monotonic()

    async def run(self) -> None:
        """Keeps the time, until cancelled."""
        now = time.monotonic()
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self.polled_at, now = now, time.monotonic()


class CallerConnection:
    """A connection of a caller.

    Attributes:
        sock: The socket.
        clock: Tells when the connection was last polled.
        is_used: Whether a request was sent on it.
    """

    def __init__(self, sock: socket.socket, clock: PollClock):
        self.sock = sock
        self.clock = clock
        self.is_used = False

    @classmethod
    async def open(cls, address: str, clock: PollClock) -> "CallerConnection":
        """Connects to an address.

        Raises:
            OSError: The connection was refused.
        """
        host, port = address.split(":")
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
        except BaseException:
            sock.close()
            raise
        return cls(sock, clock)

    @property
    def is_open(self) -> bool:
        """Whether the gateway has not closed it."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            return False

    async def closes_within(self, seconds: float) -> bool:
        """Waits until the gateway has closed it; returns False in time."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                with contextlib.suppress(OSError):
                    await loop.sock_recv(self.sock, 1)
                return True
        return not self.is_open

    def close(self) -> None:
        """Closes it."""
        self.sock.close()

    async def exchange(
        self, request_id: str, pieces: list[bytes], pauses: list[float] = ()
    ) -> Exchange:
        """Sends a request in pieces, with pauses, and reads its response."""
        port = self.sock.getsockname()[1]
        exchange = Exchange(request_id, not self.is_used, port)
        self.is_used = True
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                await self._send(exchange, pieces, pauses)
                await self._read(exchange)
        except TimeoutError:
            pass
        except OSError:
            self._on_end(exchange)
            exchange.end = End.RST
        exchange.ended_at = exchange.ended_at or time.monotonic()
        return exchange

    def _on_end(self, exchange: Exchange) -> None:
        exchange.open_at = self.clock.polled_at
        exchange.ended_at = time.monotonic()

    async def _send(self, exchange, pieces, pauses) -> None:
        """Sends the pieces; stops if a response comes before the last one."""
        loop = asyncio.get_running_loop()
        for piece, pause in itertools.zip_longest(pieces, pauses):
            await loop.sock_sendall(self.sock, piece)
            if pause and await self._is_readable_within(pause):
                return
        exchange.sent_at = time.monotonic()

    async def _is_readable_within(self, seconds: float) -> bool:
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(self.sock, readable.set)
        try:
            async with asyncio.timeout(seconds):
                await readable.wait()
        except TimeoutError:
            return False
        finally:
            loop.remove_reader(self.sock)
        return True

    async def _read(self, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        while not is_complete_response(exchange.received):
            data = await loop.sock_recv(self.sock, _READ_BYTES)
            if not data:
                self._on_end(exchange)
                exchange.end = await self._read_end()
                return
            exchange.received += data
        exchange.is_complete = True

    async def _read_end(self) -> End:
        """Returns how a closed connection ended."""
        for _ in range(_RESET_POLLS):
            if _is_reset(self.sock):
                return End.RST
            await asyncio.sleep(_RESET_POLL_SECONDS)
        return End.FIN
