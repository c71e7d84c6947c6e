"""Follows a response whose bytes are passed on without parsing its body."""

from marjoramyard.fleet.gateway.chunked_body import ChunkedBody
from marjoramyard.kernel.util.numbers import read_length

MAX_HEAD_BYTES = 1 << 16
_HEAD_END = b"\r\n\r\n"
_CLOSE = b"\r\nConnection: close"
_VERSION = b"http/1.1 "
_CHUNKED = b"\r\ntransfer-encoding: chunked"
_ENCODING = b"\r\ntransfer-encoding:"
_LENGTH = b"\r\ncontent-length:"
_CONNECTION = b"\r\nconnection:"
_SWITCHING_PROTOCOLS = b"101"
_WITHOUT_BODY = ([b"204"], [b"304"])


class ForwardedResponse:
    """The response of another gateway, which has a length or chunks.

    Attributes:
        closes_caller: Whether the caller is told that its connection is closed
            after the response.
        size: Bytes received so far.
        body_size: Those of the body.
        length: The length of the body; -1 while it is unknown.
        chunks: The body if it is sent in chunks.
        is_reusable: Whether the connection may be used again once the response
            is complete.
    """

    def __init__(self, closes_caller: bool = False):
        self.closes_caller = closes_caller
        self.size = 0
        self.body_size = 0
        self.length = -1
        self.chunks: ChunkedBody | None = None
        self.is_reusable = False
        self._head = b""
        self._has_body_begun = False
        self._has_interim = False

    def feed(self, data: bytes) -> bytes:
        """Notes received bytes; returns those to be passed on."""
        self.size += len(data)
        if self._has_body_begun:
            self._feed_body(data)
            return data
        passed = self._feed_head(data)
        # A head that isn't changed is passed on as it is received.
        return passed if self.closes_caller else data

    @property
    def is_complete(self) -> bool:
        """Whether the response has been received to its end, and no more."""
        if not self._has_body_begun:
            return False
        if self.chunks is not None:
            return self.chunks.is_complete and not self.chunks.is_malformed
        return self.body_size == self.length

    @property
    def is_malformed(self) -> bool:
        """Whether the end of the response can no longer be recognised."""
        if self.chunks is not None:
            return self.chunks.is_malformed
        return 0 <= self.length < self.body_size

    def _feed_body(self, data: bytes) -> None:
        self.body_size += len(data)
        if self.chunks is not None:
            self.chunks.feed(data)

    def _feed_head(self, data: bytes) -> bytes:
        """Returns the heads with what follows them; empty until complete."""
        self._head += data
        passed: list[bytes] = []
        while not self._has_body_begun:
            head, end, body = self._head.partition(_HEAD_END)
            if not end:
                passed.append(self._unlimited_head())
                break
            if _is_interim(head):
                self._has_interim = True
                self._head = body
                passed.append(head + end)
            else:
                passed.append(self._final_head(head, body))
        return b"".join(passed)

    def _unlimited_head(self) -> bytes:
        """Returns an incomplete head that is too long; else nothing.

        It is passed on as it is and ends with the connection.
        """
        if len(self._head) < MAX_HEAD_BYTES:
            return b""
        self._has_body_begun = True
        head, self._head = self._head, b""
        return head

    def _final_head(self, head: bytes, body: bytes) -> bytes:
        """Returns the head, which is complete, with the begin of the body."""
        self._has_body_begun = True
        self._head = b""
        lowered = head.lower()
        self._read_framing(lowered)
        self._feed_body(body)
        close = b"" if _CONNECTION in lowered else _CLOSE
        return head + close + _HEAD_END + body

    def _read_framing(self, lowered: bytes) -> None:
        if _CHUNKED in lowered:
            self.chunks = ChunkedBody()
        _, found, value = lowered.partition(_LENGTH)
        if found:
            length = read_length(value.split(b"\r\n", 1)[0].strip())
            self.length = -1 if length is None else length
        if lowered.split(b" ", 2)[1:2] in _WITHOUT_BODY:
            self.length = 0
            return
        self.is_reusable = (
            not self._has_interim
            and lowered.startswith(_VERSION)
            and _CONNECTION not in lowered
            and lowered.count(_LENGTH) + lowered.count(_ENCODING) == 1
            and (self.chunks is not None or self.length >= 0)
        )


def _is_interim(head: bytes) -> bool:
    """Whether another head follows, that of the final response."""
    status = head.partition(b" ")[2][:3]
    return status.startswith(b"1") and status != _SWITCHING_PROTOCOLS
