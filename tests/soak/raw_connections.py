"""HTTP connections whose course and end are recorded."""

import asyncio
import itertools
import re
import socket
import time
from collections.abc import Sequence

import msgspec

from soak.record import ConnectionOutcome, Exchange, Record

_CHUNK_BYTES = 65536
_TCP_CLOSE = 7
"""The state of a Linux socket that has been reset."""
_RESET_ARRIVAL_SECONDS = 0.1
"""How long the reset of a request that crossed a FIN may take to arrive."""
_PART_INTERVAL_SECONDS = 0.02
_LENGTH = re.compile(rb"^content-length: *(\d+)", re.MULTILINE)
_CLOSES = re.compile(rb"^connection: *close", re.MULTILINE)
_CHUNKED = re.compile(rb"^transfer-encoding: *chunked", re.MULTILINE)


class Response(msgspec.Struct, frozen=True):
    """A response that came whole."""

    status: int
    body: bytes


class ResponseReader:
    """Puts a response together.

    Attributes:
        data: What has come of it.
        has_ended: Whether the connection has ended.
    """

    def __init__(self):
        self.data = b""
        self.has_ended = False

    @property
    def head(self) -> bytes:
        """The head in lower case; empty until all of it has come."""
        head, end, _ = self.data.partition(b"\r\n\r\n")
        return head.lower() + b"\r\n" if end else b""

    @property
    def body(self) -> bytes:
        """What has come of the body, with the framing of its chunks."""
        return self.data.partition(b"\r\n\r\n")[2]

    @property
    def is_whole(self) -> bool:
        """Whether all of the response has come."""
        if not self.head:
            return False
        if length := _LENGTH.search(self.head):
            return len(self.body) >= int(length[1])
        if _CHUNKED.search(self.head):
            # No body of the soak holds these bytes.
            return self.body.endswith(b"0\r\n\r\n")
        return self.has_ended

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection stands after the response."""
        return not self.has_ended and not _CLOSES.search(self.head)

    def response(self) -> Response | None:
        """Returns the response if it has come whole."""
        if not self.is_whole:
            return None
        return Response(int(self.head.split()[1]), self.body)


class RawConnection:
    """An open connection, for one request at a time."""

    def __init__(self, number: int, connection: socket.socket):
        self.number = number
        self.socket = connection
        self.carried = 0

    def is_open(self) -> bool:
        """Whether neither the end nor anything unasked has come."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

    async def exchange(
        self, parts: Sequence[bytes], exchange: Exchange
    ) -> ResponseReader:
        """Sends a request and reads the response up to its end.

        Args:
            parts: The request, with a pause between the parts.
            exchange: Gets what is seen.

        Raises:
            TimeoutError: The caller's time is over.
        """
        reader = ResponseReader()
        self.carried += 1
        exchange.began_at = time.monotonic()
        try:
            await self._send(parts)
            exchange.sent_at = time.monotonic()
            await self._receive(reader, exchange)
        except OSError:
            exchange.outcome = ConnectionOutcome.RST
            reader.has_ended = True
        finally:
            exchange.ended_at = time.monotonic()
        if reader.has_ended and exchange.outcome is ConnectionOutcome.OPEN:
            exchange.outcome = ConnectionOutcome.FIN
            if not exchange.has_response and await self._is_reset():
                exchange.outcome = ConnectionOutcome.RST
        return reader

    async def _send(self, parts: Sequence[bytes]) -> None:
        loop = asyncio.get_running_loop()
        first, *others = parts
        await loop.sock_sendall(self.socket, first)
        for part in others:
            await asyncio.sleep(_PART_INTERVAL_SECONDS)
            await loop.sock_sendall(self.socket, part)

    async def _receive(
        self, reader: ResponseReader, exchange: Exchange
    ) -> None:
        loop = asyncio.get_running_loop()
        while not reader.is_whole and not reader.has_ended:
            data = await loop.sock_recv(self.socket, _CHUNK_BYTES)
            exchange.has_response |= bool(data)
            reader.data += data
            reader.has_ended = not data

    async def _is_reset(self) -> bool:
        """Returns whether a reset followed a FIN.

        It does when the process had closed the connection before the request
        arrived, and a read returns the FIN all the same.
        """
        await asyncio.sleep(_RESET_ARRIVAL_SECONDS)
        state = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] == _TCP_CLOSE


class RawConnections:
    """The open connections of some clients to processes of one kind.

    Attributes:
        target: The kind of the processes.
        addresses: The address of each process, by its number.
        idle: Open connections without a request, by the process's number.
    """

    connection_numbers = itertools.count(1)

    def __init__(self, record: Record, target: str, addresses: list[str]):
        self.record = record
        self.target = target
        self.addresses = addresses
        self.idle: list[list[RawConnection]] = [[] for _ in addresses]

    async def send(
        self,
        number: int,
        request_id: str,
        parts: Sequence[bytes],
        seconds: float,
        deadline_seconds: float = 0.0,
    ) -> Response | None:
        """Sends a request on an open connection, or else on a new one.

        Args:
            number: The number of the process.
            request_id: The id in the record.
            parts: The request, with a pause between the parts.
            seconds: The time for the connection and the response.
            deadline_seconds: The time that the request allows; 0.0 for any.

        Returns:
            The response; None if none came whole.
        """
        try:
            async with asyncio.timeout(seconds):
                connection = await self._connection(number)
        except (OSError, TimeoutError):
            return None
        exchange = Exchange(
            id=request_id,
            target=self.target,
            number=number,
            connection=connection.number,
            carried=connection.carried,
            deadline_seconds=deadline_seconds,
        )
        keeps = False
        try:
            async with asyncio.timeout(seconds):
                reader = await connection.exchange(parts, exchange)
            response = reader.response()
            keeps = response is not None and reader.keeps_connection
        except TimeoutError:
            response = None
        finally:
            self.record.exchanges.append(exchange)
            if keeps:
                self.idle[number].append(connection)
            else:
                connection.close()
        exchange.status = response.status if response else 0
        return response

    def open_numbers(self) -> list[int]:
        """Returns the numbers of the processes with an idle connection."""
        return [
            number
            for number, connections in enumerate(self.idle)
            if any(one.is_open() for one in connections)
        ]

    async def _connection(self, number: int) -> RawConnection:
        while self.idle[number]:
            connection = self.idle[number].pop()
            if connection.is_open():
                return connection
            connection.close()
        host, _, port = self.addresses[number].rpartition(":")
        new = socket.socket()
        new.setblocking(False)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(new, (host, int(port)))
        except BaseException:
            new.close()
            raise
        return RawConnection(next(self.connection_numbers), new)

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self.idle:
            for connection in connections:
                connection.close()
            connections.clear()


def http_request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[bytes, bytes]:
    """Returns the head and the body of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    headers = headers | {"Content-Length": str(len(body))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode(), body
