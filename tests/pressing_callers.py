"""Callers that press requests on a gateway while it stops.

They send one request after the other, on the same connection as long as it
stands, and go on until the gateway refuses connections.
"""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from raw_connections import (
    CallerConnection,
    Exchange,
    PollClock,
    request_bytes,
)

RECONNECT_SECONDS = 0.01
LARGE_BYTES = 200_000
MAX_OPENED = 2000

Sending = Callable[[CallerConnection, str], Awaitable[Exchange]]
"""Sends a request with an ID on a connection."""


@dataclass
class Stop:
    """A stop of the gateway; times are monotonic seconds."""

    signalled_at: float
    exited_at: float
    exit_code: int | None

    @property
    def seconds(self) -> float:
        return self.exited_at - self.signalled_at


class PressingCallers:
    """Callers that press requests on one gateway.

    Attributes:
        address: The gateway's address for callers.
        seed: The seed of all waits.
        path: The path of the requests.
        deadline_ms: Their deadline.
        exchanges: All requests that have ended.
        stopping: Set when callers are to send no more requests.
        clock: Tells when the connections were last polled.
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
        self.clock = PollClock()

    @contextlib.asynccontextmanager
    async def running(self, *callers):
        """Runs callers, which are given as (caller, number) pairs.

        Each is a method of this class that takes a caller's name and a random
        generator.
        """
        clock = asyncio.create_task(self.clock.run())
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
        clock.cancel()

    def pieces(self, request_id: str, body: bytes = b"x") -> list[bytes]:
        """Returns a request of these callers as its head and its body."""
        request = request_bytes(request_id, self.path, body, self.deadline_ms)
        size = len(request) - len(body)
        return [request[:size], request[size:]]

    async def connect(self) -> CallerConnection | None:
        """Connects until it succeeds; None if callers are to stop."""
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                return await CallerConnection.open(self.address, self.clock)
            await asyncio.sleep(RECONNECT_SECONDS)
        return None

    async def press(self, name: str, rng: random.Random) -> None:
        """Sends the next request within 50 ms."""
        await self.send_in_turn(name, lambda: rng.uniform(0.0, 0.05))

    async def press_at_once(self, name: str, rng: random.Random) -> None:
        """Sends the next request at once."""
        await self.send_in_turn(name, lambda: 0.0)

    async def press_large(self, name: str, rng: random.Random) -> None:
        """Sends requests whose body arrives slowly."""

        async def send(connection, request_id):
            body = rng.randbytes(rng.randrange(1000, LARGE_BYTES))
            head, body = self.pieces(request_id, body)
            cuts = sorted(rng.sample(range(1, len(body)), 4))
            edges = zip([0, *cuts], [*cuts, len(body)], strict=True)
            pieces = [head, *(body[begin:end] for begin, end in edges)]
            pauses = [rng.uniform(0.0, 0.1) for _ in pieces[1:]]
            return await connection.exchange(request_id, pieces, pauses)

        await self.send_in_turn(name, lambda: rng.uniform(0.0, 0.05), send)

    async def press_in_parts(self, name: str, rng: random.Random) -> None:
        """Sends requests whose head arrives in two parts."""

        async def send(connection, request_id):
            request = b"".join(self.pieces(request_id))
            cut = rng.randrange(1, len(request))
            pieces = [request[:cut], request[cut:]]
            pauses = [rng.uniform(0.0, 0.01)]
            return await connection.exchange(request_id, pieces, pauses)

        await self.send_in_turn(name, lambda: rng.uniform(0.0, 0.01), send)

    async def send_in_turn(
        self,
        name: str,
        draw_wait: Callable[[], float],
        send: Sending | None = None,
    ) -> None:
        """Sends requests with waits in between, until callers are to stop."""
        connection = None
        for number in itertools.count():
            if connection is None or not connection.is_open:
                if connection is not None:
                    connection.close()
                connection = await self.connect()
            if connection is None or self.stopping.is_set():
                break
            exchange = await (send or self.send)(connection, f"{name}-{number}")
            self.exchanges.append(exchange)
            if not exchange.keeps_connection:
                connection.close()
                connection = None
            await asyncio.sleep(draw_wait())
        if connection is not None:
            connection.close()

    async def send(
        self, connection: CallerConnection, request_id: str
    ) -> Exchange:
        """Sends one request in one piece."""
        request = b"".join(self.pieces(request_id))
        return await connection.exchange(request_id, [request])

    async def send_once(
        self, request_id: str, connection: CallerConnection | None = None
    ) -> Exchange:
        """Sends one request, on a new connection if none is given."""
        if connection is None:
            connection = await CallerConnection.open(self.address, self.clock)
        exchange = await self.send(connection, request_id)
        self.exchanges.append(exchange)
        connection.close()
        return exchange

    async def open_until_refused(self, name: str, rng: random.Random) -> None:
        """Opens one connection after the other until one is refused.

        A request follows on each only after a wait, unless the gateway has
        closed it until then.
        """
        async with asyncio.TaskGroup() as tasks:
            for number in range(MAX_OPENED):
                await asyncio.sleep(rng.uniform(0.0, 0.01))
                try:
                    connection = await CallerConnection.open(
                        self.address, self.clock
                    )
                except OSError:
                    return
                wait = rng.uniform(0.08, 0.25)
                tasks.create_task(
                    self.send_late(connection, f"{name}-{number}", wait)
                )

    async def send_late(
        self, connection: CallerConnection, request_id: str, wait: float
    ) -> None:
        """Sends a request on a connection if that is still open later."""
        if await connection.closes_within(wait):
            connection.close()
        else:
            await self.send_once(request_id, connection)


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
