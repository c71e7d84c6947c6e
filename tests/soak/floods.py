"""Floods: callers and an endpoint that send without end.

They have a route and a service of their own. Nothing is expected for them; the
promises to all other callers hold meanwhile.
"""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Awaitable, Iterator

import aiohttp

FLOOD_SERVICE = "flooding"
FLOOD_HOST = "flood.example"
SENDERS = 20
RECEIVERS = 4
BLOCK = b"x" * 65536
LARGE_BYTES = (4 << 20) - 4096
HEARTBEAT_SECONDS = 0.4
REQUEST = (
    "{method} /flood/ HTTP/1.1\r\nHost: {host}\r\nRequest-Id: flood\r\n"
    "Deadline-Ms: {deadline_ms}\r\n{framing}"
)
_OK = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: flood\r\n"
    b"Answer-Signature: by flooding-0\r\n"
)

CALLER_FORMS = ("large", "endless-length", "endless-chunks", "endless-head")
ENDPOINT_FORMS = {
    "length": (_OK + b"Content-Length: 9000000000000\r\n\r\n", BLOCK),
    "close": (_OK + b"\r\n", BLOCK),
    "chunks": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "event": (
        _OK + b"Content-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 64),
    "responses": (b"", (_OK + b"Content-Length: 1\r\n\r\nx") * 64),
    "short-chunks": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 512,
    ),
    "no-answer": (b"", BLOCK),
}


class Flood:
    """An endpoint and callers that send without end while a flood lasts.

    Attributes:
        address: Where the endpoint listens.
        gateways: The addresses of the gateways, without relays.
        form: What the endpoint sends.
    """

    def __init__(self, operators: list[str], gateways: list[str], seed: int):
        self.operators = operators
        self.gateways = gateways
        self.rng = random.Random(f"flood-{seed}")
        self.form = next(iter(ENDPOINT_FORMS))
        self.address = ""
        self.sequence = itertools.count(1)
        self.server: asyncio.Server | None = None
        self.serving: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Opens the endpoint."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def send_heartbeats(self) -> None:
        """Keeps the endpoint registered until cancelled."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        born = int(time.time() * 1000)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                registration = {
                    "endpoint": "flooding-0",
                    "service": FLOOD_SERVICE,
                    "address": self.address,
                    "state": "ready",
                    "sequence": next(self.sequence),
                    "born": born,
                    "software_version": "v1",
                }
                host = self.rng.choice(self.operators)
                url = f"http://{host}/registrations/flooding-0"
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.put(url, json=registration):
                        pass
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer) -> None:
        self.serving.add(asyncio.current_task())
        begin, rest = ENDPOINT_FORMS[self.form]
        with closing(writer), contextlib.suppress(_ENDS):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            while True:
                writer.write(rest)
                await writer.drain()

    async def run(self, seconds: float) -> None:
        """Floods one gateway from both sides for some seconds."""
        self.form = self.rng.choice([*ENDPOINT_FORMS])
        form = self.rng.choice(CALLER_FORMS)
        address = self.rng.choice(self.gateways)
        calls = [_send(address, form, seconds) for _ in range(SENDERS)]
        calls += [_receive(address, seconds) for _ in range(RECEIVERS)]
        await asyncio.gather(*(_end_after(seconds, call) for call in calls))

    async def close(self) -> None:
        """Closes the endpoint and its connections."""
        if self.server is not None:
            self.server.close()
        for task in self.serving:
            task.cancel()
        await asyncio.gather(*self.serving, return_exceptions=True)


_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


def _pieces(form: str) -> tuple[str, Iterator[bytes]]:
    """Returns the framing and the body of a request of a caller.

    A large body lacks its last byte.
    """
    if form == "large":
        count = LARGE_BYTES // len(BLOCK)
        length = count * len(BLOCK) + 1
        return f"Content-Length: {length}\r\n\r\n", itertools.repeat(
            BLOCK, count
        )
    if form == "endless-length":
        return "Content-Length: 9000000000000\r\n\r\n", itertools.repeat(BLOCK)
    if form == "endless-chunks":
        chunk = b"10000\r\n" + BLOCK + b"\r\n"
        return "Transfer-Encoding: chunked\r\n\r\n", itertools.repeat(chunk)
    return "X-Long: ", itertools.repeat(BLOCK)


@contextlib.contextmanager
def closing(writer: asyncio.StreamWriter) -> Iterator[None]:
    """Closes a connection at the end."""
    try:
        yield
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def _request(address: str, method: str, framing: str, seconds: float):
    """Opens a connection and sends the head of a request."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with closing(writer):
        head = REQUEST.format(
            method=method,
            host=FLOOD_HOST,
            deadline_ms=int(seconds * 1000),
            framing=framing,
        )
        writer.write(head.encode())
        yield reader, writer


async def _receive(address: str, seconds: float) -> None:
    request = _request(address, "GET", "Accept: */*\r\n\r\n", seconds)
    async with request as (reader, _):
        while await reader.read(len(BLOCK)):
            pass


async def _send(address: str, form: str, seconds: float) -> None:
    framing, pieces = _pieces(form)
    async with _request(address, "POST", framing, seconds) as (_, writer):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        await asyncio.sleep(seconds)


async def _end_after(seconds: float, call: Awaitable[None]) -> None:
    with contextlib.suppress(*_ENDS, TimeoutError):
        async with asyncio.timeout(seconds):
            await call
