"""Clients on sockets of their own that tell how each connection ended."""

import array
import asyncio
import contextlib
import errno
import fcntl
import random
import re
import signal
import socket
import termios
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from marjoramyard.standin.local_fleet import wait_until

MAX_PAUSE_SECONDS = 0.05
"""The longest pause of a client before its next request."""
CROSSING_SECONDS = 0.2
"""A request that is reset within this time crossed the close of its
connection."""
POLL_SECONDS = 0.001
MAX_REQUESTS = 5_000
_RECEIVE_BYTES = 1 << 16
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\ntransfer-encoding: *chunked", re.IGNORECASE)
_CLOSES = re.compile(rb"\r\nconnection: *close", re.IGNORECASE)
_RESETS = (errno.ECONNRESET, errno.EPIPE)


class End(Enum):
    """How a request ended for its client."""

    RESPONSE = "response"
    FIN = "fin"
    """The server had read all that was sent, and closed the connection."""
    RST = "rst"
    """Some of what was sent was unread when the connection was closed."""
    TRUNCATED = "truncated"


@dataclass
class Exchange:
    """A request that was sent in full, and what came of it.

    Attributes:
        sent_at: When its last byte was sent, on the monotonic clock.
        ended_at: When its response or the end of its connection was seen.
    """

    request: bytes
    sent_at: float
    ended_at: float
    end: End
    status: int = 0
    body: bytes = b""

    @property
    def seconds(self):
        return self.ended_at - self.sent_at

    @property
    def is_lost(self):
        if self.end is End.RST:
            return self.seconds > CROSSING_SECONDS
        return self.end is End.FIN


def http_request(method, path, body=b"", host="fleet.example", **headers):
    """Returns the bytes of a request, with "_" for "-" in header names."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def has_whole_response(data):
    """Whether data is a whole response with a length or in chunks."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    if _CHUNKED.search(head):
        return body.endswith(b"0\r\n\r\n")
    length = _LENGTH.search(head)
    return len(body) >= (int(length[1]) if length else 0)


def unacknowledged_bytes(sock):
    """Returns how many sent bytes the peer's host has not acknowledged."""
    value = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, value)
    return value[0]


async def end_of_connection(sock):
    """Returns how a connection ended at whose end the client has arrived.

    A server that closed the connection before a request arrived sends a FIN,
    and a RST when it does. The client may see the FIN first.
    """
    while True:
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return End.RST
        if unacknowledged_bytes(sock) == 0:
            return End.FIN
        await asyncio.sleep(POLL_SECONDS)


@dataclass
class RawClient:
    """Sends requests one after another, on one connection while it stands.

    Attributes:
        address: IP:PORT of the server.
        next_request: Returns the next request, from the last exchange.
        request: The request that was sent last.
        rest: The part of it that is not sent yet.
        sent_at: When its last byte was sent, on the monotonic clock.
        exchanges: The requests that were sent in full.
        connection_count: How many connections were established.
    """

    name: str
    address: str
    next_request: Callable[[Exchange | None], bytes]
    exchanges: list[Exchange] = field(default_factory=list)
    connection_count: int = 0
    sock: socket.socket | None = None
    request: bytes = b""
    rest: bytes = b""
    sent_at: float = 0.0

    def __post_init__(self):
        self.pauses = random.Random(self.name)

    @property
    def lost(self):
        return [e for e in self.exchanges if e.is_lost]

    async def press_on(self, is_over):
        """Sends requests until `is_over`, with short pauses between them."""
        try:
            while not is_over() and len(self.exchanges) < MAX_REQUESTS:
                with contextlib.suppress(OSError):
                    await self.call()
                await asyncio.sleep(self.pauses.uniform(0, MAX_PAUSE_SECONDS))
        finally:
            self.disconnect()

    async def call(self):
        """Sends the next request, and receives its response.

        Raises:
            OSError: It was not sent in full.
        """
        await self.send()
        exchange = await self.receive()
        if exchange.end is not End.RESPONSE:
            self.disconnect()
        return exchange

    async def send(self):
        """Sends the next request.

        Raises:
            OSError: It was not sent in full.
        """
        await self.send_part(share=1.0)
        await self.send_rest()

    async def send_part(self, share=0.5):
        """Sends the first part of the next request.

        Connects if the last connection has ended.
        """
        if self.sock is None or self.is_closed_by_server():
            await self.connect()
        last = self.exchanges[-1] if self.exchanges else None
        self.request = self.next_request(last)
        size = int(share * len(self.request))
        await self.send_bytes(self.request[:size])
        self.rest = self.request[size:]

    async def send_rest(self):
        """Sends the rest of the request."""
        await self.send_bytes(self.rest)
        self.sent_at = time.monotonic()

    async def send_bytes(self, data):
        try:
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
        except OSError:
            self.disconnect()
            raise

    async def receive(self):
        """Receives the response, or the end of the connection."""
        loop = asyncio.get_running_loop()
        data = b""
        while not has_whole_response(data):
            try:
                received = await loop.sock_recv(self.sock, _RECEIVE_BYTES)
                end = None if received else await end_of_connection(self.sock)
            except OSError as error:
                if error.errno not in _RESETS:
                    raise
                received, end = b"", End.RST
            if end is not None:
                end = End.TRUNCATED if data else end
                return self.record(end, data)
            data += received
        exchange = self.record(End.RESPONSE, data)
        if _CLOSES.search(data.partition(b"\r\n\r\n")[0]):
            self.disconnect()
        return exchange

    def record(self, end, data):
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split()[1]) if end is End.RESPONSE else 0
        now = time.monotonic()
        exchange = Exchange(self.request, self.sent_at, now, end, status, body)
        self.exchanges.append(exchange)
        return exchange

    async def connect(self):
        self.disconnect()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, port = self.address.split(":")
        try:
            await asyncio.get_running_loop().sock_connect(
                self.sock, (host, int(port))
            )
        except BaseException:
            self.disconnect()
            raise
        self.connection_count += 1

    def is_closed_by_server(self):
        """Whether the end of the connection has already arrived."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def disconnect(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None


@contextlib.asynccontextmanager
async def pressing(clients, is_over):
    """Has clients send requests until `is_over`."""
    tasks = [asyncio.create_task(c.press_on(is_over)) for c in clients]
    try:
        yield
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def stop_under(child, clients, seconds):
    """Stops a process while clients send requests to it.

    Args:
        child: The process.
        clients: The clients; each has had responses before the signal.
        seconds: The time within which the process exits.

    Returns:
        Its exit code, and a description of each lost request.
    """

    async def have_responses():
        return all(len(c.exchanges) > 1 for c in clients)

    async with pressing(clients, lambda: not child.is_running):
        await wait_until(have_responses, "each client to have responses")
        signalled_at = time.monotonic()
        code = await child.terminate(seconds)
    return code, describe(clients, signalled_at)


async def stop_when_late(child, clients, seconds):
    """Stops a suspended process for which requests and the signal wait.

    Returns:
        Its exit code, and a description of each lost request.
    """
    child.suspend()
    await wait_until_suspended(child)
    for client in clients:
        await client.send()
    child.signal(signal.SIGTERM)
    signalled_at = time.monotonic()
    child.resume()
    async with asyncio.timeout(seconds):
        await asyncio.gather(*(client.receive() for client in clients))
        code = await child.process.wait()
    for client in clients:
        client.disconnect()
    return code, describe(clients, signalled_at)


async def wait_until_suspended(child):
    """Waits until a process that was suspended doesn't run any more."""

    async def is_stopped():
        stat = Path(f"/proc/{child.pid}/stat").read_text(encoding="ascii")
        return stat.rpartition(") ")[2].startswith("T")

    await wait_until(is_stopped, f"{child.name} to be suspended")


async def wait_until_draining(child):
    """Waits until a process has begun to stop."""

    async def is_draining():
        return '"event": "draining"' in child.log.read_text(encoding="utf-8")

    await wait_until(is_draining, f"{child.name} to drain")


def describe(clients, signalled_at):
    """Returns the lost requests, with times in seconds after the signal.

    Also prints them, and how many requests had each end.
    """
    ends = Counter(e.end.value for c in clients for e in c.exchanges)
    lost = [
        f"{c.name}: {e.request.split(b' HTTP')[0].decode()} sent "
        f"{e.sent_at - signalled_at:.2f} s after the signal, {e.end.value} "
        f"after {e.seconds:.3f} s"
        for c in clients
        for e in c.lost
    ]
    print("requests by end:", dict(ends), "lost:", len(lost), *lost, sep="\n")
    return lost
