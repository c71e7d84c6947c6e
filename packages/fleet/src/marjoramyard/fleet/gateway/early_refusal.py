"""Refuses requests as their bytes arrive, before they are parsed.

A gateway that is sent more than it can serve spends its processor on refusing.
Read by its first lines alone, a refused request costs a third of what it costs
as a parsed one, and the rest of the processor goes to those that are served.
"""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web

HEAD_END = b"\r\n\r\n"
_LENGTH = b"\r\ncontent-length:"
_UNUSUAL = (b"transfer-encoding", b"\nexpect", b"\nupgrade", b"\n ", b"\n\t")


class RequestHead(msgspec.Struct, frozen=True):
    """The head of a request, as it came.

    Attributes:
        raw: Its bytes without the empty line.
        folded: The same in lower case, to find header names in.
        size: The bytes of the whole request.
    """

    raw: bytes
    lowered: bytes
    size: int

    def header(self, name: bytes) -> str:
        """Returns the value of a header that is there once, or ""."""
        position = self.lowered.find(b"\r\n" + name + b":")
        if (
            position < 0
            or self.lowered.find(b"\r\n" + name + b":", position + 1) >= 0
        ):
            return ""
        begin = position + len(name) + 3
        end = self.raw.find(b"\r\n", begin)
        value = self.raw[begin:end] if end >= 0 else self.raw[begin:]
        return value.strip().decode("latin-1")

    @property
    def path(self) -> str:
        """The path of the request line, as it came."""
        words = self.raw.split(b"\r\n", 1)[0].split(b" ")
        return words[1].decode("latin-1") if len(words) == 3 else ""


def parse_head(data: bytes) -> RequestHead | None:
    """Returns the head that some bytes begin with.

    None where it is not whole, or anything about the size of the request is
    unusual: two readers that disagree on where a request ends would let one
    caller smuggle a request into another's place. The library decides then.
    """
    end = data.find(HEAD_END)
    if end < 0:
        return None
    raw = data[:end]
    lowered = raw.lower()
    if raw.count(b"\n") != raw.count(b"\r\n"):
        return None
    if any(name in lowered for name in _UNUSUAL):
        return None
    length = _body_length(lowered)
    if length is None:
        return None
    return RequestHead(raw, lowered, end + len(HEAD_END) + length)


def _body_length(lowered: bytes) -> int | None:
    count = lowered.count(b"content-length")
    if count == 0:
        return 0
    position = lowered.find(_LENGTH)
    if count > 1 or position < 0:
        return None
    text = lowered[position + len(_LENGTH) :].split(b"\r\n", 1)[0].strip(b" ")
    return int(text) if text.isdigit() else None


def response_bytes(response: web.Response) -> bytes:
    """Returns a response as it goes over the wire."""
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + response.body


RefusalCheck = Callable[[RequestHead], bytes | None]
"""Returns the whole response to a request that is refused."""


class EarlyRefusal(asyncio.Protocol):
    """Stands before the protocol of a connection.

    Only a request that begins where the one before has been answered is
    looked at; all other bytes go to the protocol behind as they are.
    """

    def __init__(
        self,
        inner: asyncio.Protocol,
        is_idle: Callable[[], bool],
        is_needed: Callable[[], bool],
        check: RefusalCheck,
    ):
        self.inner = inner
        self.is_idle = is_idle
        self.is_needed = is_needed
        self.check = check
        self.transport: asyncio.Transport | None = None
        # Bytes of the present request that are still to come; None if that
        # is not known, and the connection is left to the protocol behind.
        self.missing_bytes: int | None = 0
        self.response: bytes | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has connected."""
        self.transport = transport
        self.inner.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """The caller does not read."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """The caller reads again."""
        self.inner.resume_writing()

    def eof_received(self) -> bool | None:
        """The caller will send no more."""
        return self.inner.eof_received()

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        if self.response is not None:
            self._discard(data)
            return
        if self.missing_bytes == 0:
            self._start_request(data)
        elif self.missing_bytes is not None:
            left = self.missing_bytes - len(data)
            self.missing_bytes = left if left >= 0 else None
        if self.response is None:
            self.inner.data_received(data)
        elif self.missing_bytes == 0:
            self._respond()

    def _start_request(self, data: bytes) -> None:
        head = parse_head(data)
        if head is None or head.size < len(data):
            self.missing_bytes = None
            return
        self.missing_bytes = head.size - len(data)
        if self.is_needed() and self.is_idle():
            self.response = self.check(head)

    def _discard(self, data: bytes) -> None:
        """Drops the rest of a refused request; what follows is the next."""
        rest = data[self.missing_bytes :]
        self.missing_bytes = max(0, self.missing_bytes - len(data))
        if self.missing_bytes == 0:
            self._respond()
        if rest:
            self.data_received(rest)

    def _respond(self) -> None:
        response, self.response = self.response, None
        self.transport.write(response)
