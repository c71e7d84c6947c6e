"""Rejects or forwards requests before they are parsed.

Doing so by the raw head takes less CPU time than parsing it first, which leaves
an overloaded gateway more for other requests.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from marjoramyard.kernel.util.numbers import read_length

HEAD_END = b"\r\n\r\n"
MAX_EARLY_BYTES = 1 << 24
"""Larger requests are left to the HTTP protocol, which needn't read them."""
_LENGTH = b"\r\ncontent-length:"
_UNUSUAL = (b"transfer-encoding", b"\nexpect", b"\nupgrade", b"\n ", b"\n\t")


class RequestHead(msgspec.Struct, frozen=True):
    """The raw head of a request.

    Attributes:
        raw: The bytes of the head without the final empty line.
        lowered: The same bytes in lower case, to search for header names.
        size: The size of the complete request in bytes, with its body.
    """

    raw: bytes
    lowered: bytes
    size: int

    def header(self, name: bytes) -> str:
        """Returns the value of a header; "" if it is missing or repeated."""
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
        """The target of the request line; "" if the line is malformed."""
        fields = self.raw.split(b"\r\n", 1)[0].split(b" ")
        return fields[1].decode("latin-1") if len(fields) == 3 else ""


def parse_head(data: bytes) -> RequestHead | None:
    """Returns the request head at the beginning of some bytes.

    Returns None if the head is incomplete or the size of the request is not
    given by a single plain Content-Length. Parsers may disagree on where such a
    request ends, which would allow request smuggling, so it is left to the HTTP
    library.
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
    return read_length(text)


RefusalCheck = Callable[[RequestHead], bytes | None]
"""Returns the complete response to a rejected request, or None."""


class Forwarding(Protocol):
    """A request that is being forwarded to another gateway.

    It responds to the caller by itself and closes the connection.

    Attributes:
        is_answered: Whether the caller has got a whole response.
        has_ended: Whether what else the caller sends is discarded.
        missing_size: Bytes of the request that the caller has not sent yet.
    """

    is_answered: bool
    has_ended: bool
    missing_size: int

    def next_probe(self) -> bytes:
        """Returns bytes that don't change the response, if there are any.

        They show whether a caller that has closed its sending side still reads.
        """

    def send(self, data: bytes) -> None:
        """Sends bytes of the request."""

    def pause_reading(self) -> None:
        """Stops reading the response while the caller is slow."""

    def resume_reading(self) -> None:
        """Continues to read the response."""

    def cancel(self) -> None:
        """Ends the request because its caller has left."""


StartForwarding = Callable[
    [RequestHead, bytes, asyncio.Transport], Forwarding | None
]
"""Starts to forward a request, given its head, the bytes received so far and
the caller's connection. Returns None if the request is not forwarded."""


class EarlyRefusal(asyncio.Protocol):
    """Filters the bytes of a connection in front of its HTTP protocol.

    Only a request that starts after the previous one has been answered is
    examined. All other bytes are forwarded unchanged.

    Attributes:
        inner: The HTTP protocol of the connection. It is detached when a
            request is forwarded.
        is_idle: Tells whether the HTTP protocol is waiting for a request.
        is_needed: Tells whether requests are to be checked.
        check: Returns the response to a request that is rejected.
        closes: Tells whether the connection is closed after a rejection.
        missing_bytes: Bytes of the current request still to be received; None
            if unknown, which disables the filter for this connection.
        response: The response to the current request if it is rejected.
        answered_at: When a request was last rejected, on the monotonic clock
            in seconds.
        read_at: When a part of a request that is rejected was last read, on
            that clock.
        start_forwarding: Forwards a request instead of rejecting it.
        forwarding: The forwarded request. It is the last one of the connection.
    """

    def __init__(
        self,
        inner: asyncio.Protocol,
        is_idle: Callable[[], bool],
        is_needed: Callable[[], bool],
        check: RefusalCheck,
        closes: Callable[[], bool] = lambda: False,
        start_forwarding: StartForwarding = lambda *_: None,
    ):
        self.inner = inner
        self.is_idle = is_idle
        self.is_needed = is_needed
        self.check = check
        self.closes = closes
        self.start_forwarding = start_forwarding
        self.forwarding: Forwarding | None = None
        self.transport: asyncio.Transport | None = None
        self.missing_bytes: int | None = 0
        self.response: bytes | None = None
        self.answered_at = 0.0
        self.read_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection is established."""
        self.transport = transport
        self.inner.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the connection is closed."""
        if self.forwarding is not None:
            self.forwarding.cancel()
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Called when the transport's buffer is full."""
        if self.forwarding is not None:
            self.forwarding.pause_reading()
            return
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Called when the transport's buffer has drained."""
        if self.forwarding is not None:
            self.forwarding.resume_reading()
            return
        self.inner.resume_writing()

    def eof_received(self) -> bool | None:
        """Called when the caller has closed its sending side."""
        if self.forwarding is not None and self.missing_bytes:
            return None
        return self.inner.eof_received()

    @property
    def is_answered(self) -> bool:
        """Whether a forwarded request has got its whole response."""
        return self.forwarding is not None and self.forwarding.is_answered

    def next_probe(self) -> bytes:
        """Returns a probe for the caller of a forwarded request."""
        return self.forwarding.next_probe()

    def data_received(self, data: bytes) -> None:
        """Called when data is received."""
        if self.forwarding is not None:
            self._forward(data)
            return
        if self.response is not None:
            self._discard(data)
            return
        if self.missing_bytes == 0:
            self._start_request(data)
        elif self.missing_bytes is not None:
            remaining = self.missing_bytes - len(data)
            self.missing_bytes = remaining if remaining >= 0 else None
        if self.forwarding is not None:
            return
        if self.response is None:
            self.inner.data_received(data)
        elif self.missing_bytes == 0:
            self._respond()

    def _start_request(self, data: bytes) -> None:
        head = parse_head(data)
        is_unusual = head is None or head.size > MAX_EARLY_BYTES
        if is_unusual or head.size < len(data):
            self.missing_bytes = None
            return
        self.missing_bytes = head.size - len(data)
        if self.is_needed() and self.is_idle():
            self._reject_or_forward(head, data)

    def _reject_or_forward(self, head: RequestHead, data: bytes) -> None:
        self.forwarding = self.start_forwarding(head, data, self.transport)
        if self.forwarding is None:
            self.response = self.check(head)
            self.read_at = time.monotonic()
            return
        self.forwarding.missing_size = self.missing_bytes
        # The HTTP library must not close the connection as an idle one.
        self.inner.detach()

    def _forward(self, data: bytes) -> None:
        """Forwards the rest of the request; discards what follows it."""
        rest = data[: self.missing_bytes]
        self.missing_bytes -= len(rest)
        self.forwarding.missing_size = self.missing_bytes
        if self.forwarding.has_ended:
            if not self.missing_bytes:
                self.transport.close()
        elif rest:
            self.forwarding.send(rest)

    def _discard(self, data: bytes) -> None:
        """Discards the rest of a rejected request; processes what follows."""
        self.read_at = time.monotonic()
        rest = data[self.missing_bytes :]
        self.missing_bytes = max(0, self.missing_bytes - len(data))
        if self.missing_bytes == 0:
            self._respond()
        if rest:
            self.data_received(rest)

    def _respond(self) -> None:
        response, self.response = self.response, None
        self.answered_at = time.monotonic()
        self.transport.write(response)
        if self.closes():
            self.transport.close()
