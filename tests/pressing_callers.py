"""Callers on raw sockets that record how each of their requests ended.

They send one request after the other, on the same connection as long as it
stands, and go on while a gateway stops, until it refuses connections.
"""

import asyncio
import contextlib
import itertools
import random
import socket
import time
from dataclasses import dataclass, field
from enum import Enum

CROSSING_SECONDS = 0.2
"""A request that crosses the closing of its connection is reset within it."""
ANSWER_TIMEOUT_SECONDS = 12.0
RECONNECT_SECONDS = 0.01
_READ_BYTES = 65_536
_RESET_POLLS = 5
_RESET_POLL_SECONDS = 0.01
"""The reset may arrive some time after the close."""
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

    def is_lost(self, ran: bool) -> bool:
        """Whether a whole request was given up without a byte of a response.

        Args:
            ran: Whether an endpoint ran the request.
        """
        if not self.sent_at or self.received:
            return False
        if self.end is End.RST:
            return ran or self.seconds > CROSSING_SECONDS
        return True


@dataclass
class Stop:
    """A stop of the gateway; times are monotonic seconds."""

    signalled_at: float
    exited_at: float
    exit_code: int | None

    @property
    def seconds(self) -> float:
        return self.exited_at - self.signalled_at


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


class CallerConnection:
    """A connection of a caller.

    Attributes:
        sock: The socket.
        is_used: Whether a request was sent on it.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.is_used = False

    @classmethod
    async def open(cls, address: str) -> "CallerConnection":
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
        return cls(sock)

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
            exchange.end = End.RST
        exchange.ended_at = exchange.ended_at or time.monotonic()
        return exchange

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
                exchange.ended_at = time.monotonic()
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


class PressingCallers:
    """Callers that press requests on one gateway.

    Attributes:
        address: The gateway's address for callers.
        seed: The seed of all waits.
        path: The path of the requests.
        deadline_ms: Their deadline.
        exchanges: All requests that have ended.
        stopping: Set when callers are to send no more requests.
    """

    def __init__(
        self,
        address: str,
        seed: int,
        path: str = "/a/x",
        deadline_ms: int = 3000,
    ):
        self.address = address
        self.seed = seed
        self.path = path
        self.deadline_ms = deadline_ms
        self.exchanges: list[Exchange] = []
        self.stopping = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self, *callers):
        """Runs callers, which are given as (caller, number) pairs.

        Each is a method of this class that takes a caller's name and a random
        generator.
        """
        async with asyncio.TaskGroup() as tasks:
            for caller, count in callers:
                for number in range(count):
                    name = f"{caller.__name__}-{number}"
                    rng = random.Random(f"{self.seed}-{name}")
                    tasks.create_task(caller(name, rng))
            try:
                yield
            finally:
                self.stopping.set()

    def request(self, request_id: str) -> bytes:
        """Returns a request of these callers."""
        return request_bytes(
            request_id, self.path, deadline_ms=self.deadline_ms
        )

    async def connect(self) -> CallerConnection | None:
        """Connects until it succeeds; None if callers are to stop."""
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                return await CallerConnection.open(self.address)
            await asyncio.sleep(RECONNECT_SECONDS)
        return None

    async def press(self, name: str, rng: random.Random) -> None:
        """Sends the next request within 50 ms."""
        await self.send_in_turn(name, lambda: rng.uniform(0.0, 0.05))

    async def press_at_once(self, name: str, rng: random.Random) -> None:
        """Sends the next request at once."""
        await self.send_in_turn(name, lambda: 0.0)

    async def send_in_turn(self, name, draw_wait) -> None:
        """Sends requests with waits in between, until callers are to stop."""
        connection = None
        for number in itertools.count():
            if connection is None or not connection.is_open:
                if connection is not None:
                    connection.close()
                connection = await self.connect()
            if connection is None or self.stopping.is_set():
                break
            exchange = await self.send(connection, f"{name}-{number}")
            if not exchange.is_complete or closes_connection(exchange.received):
                connection.close()
                connection = None
            await asyncio.sleep(draw_wait())
        if connection is not None:
            connection.close()

    async def send(
        self, connection: CallerConnection, request_id: str
    ) -> Exchange:
        """Sends one request and records it."""
        exchange = await connection.exchange(
            request_id, [self.request(request_id)]
        )
        self.exchanges.append(exchange)
        return exchange

    async def keep_open(self, name: str, rng: random.Random) -> None:
        """Opens a connection as soon as the previous one is closed.

        The first request follows only after a wait, so a draining gateway
        closes the connection before it.
        """
        for number in itertools.count():
            connection = await self.connect()
            if connection is None:
                return
            if not await connection.closes_within(rng.uniform(0.08, 0.25)):
                await self.send(connection, f"{name}-{number}")
            connection.close()


def describe(exchange: Exchange, ran: bool, stops: list[Stop]) -> str:
    """Returns a line on a request: when it was sent, and its end."""
    before = [s for s in stops if s.signalled_at <= exchange.sent_at]
    since = exchange.sent_at - before[-1].signalled_at if before else 0.0
    to_exit = before[-1].exited_at - exchange.ended_at if before else 0.0
    return (
        f"{exchange.id}: sent {since:.3f} s after SIGTERM on a"
        f" {'new' if exchange.is_new else 'kept'} connection,"
        f" {exchange.end.value} after {exchange.seconds * 1000:.0f} ms,"
        f" {to_exit:.3f} s before the exit, {'run' if ran else 'not run'},"
        f" {len(exchange.received)} bytes received"
    )
