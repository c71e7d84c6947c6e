"""Follows a response whose bytes are passed on without parsing its body."""

MAX_HEAD_BYTES = 1 << 16
_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED = b"\r\ntransfer-encoding: chunked"
_LENGTH = b"\r\ncontent-length:"


class ForwardedResponse:
    """The response of another gateway, which has a length or chunks.

    Attributes:
        size: Bytes received so far.
        body_size: Those of the body.
        length: The length of the body; -1 while it is unknown.
        is_chunked: Whether the body is sent in chunks.
    """

    def __init__(self):
        self.size = 0
        self.body_size = 0
        self.length = -1
        self.is_chunked = False
        self._head = b""
        self._has_body_begun = False
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Notes received bytes."""
        self.size += len(data)
        if not self._has_body_begun:
            data = self._take_head(data)
        self.body_size += len(data)
        # Longer data replaces the tail.
        self._tail = (self._tail + data[-len(_LAST_CHUNK) :])[
            -len(_LAST_CHUNK) :
        ]

    @property
    def is_complete(self) -> bool:
        """Whether the response has been received to its end."""
        if not self._has_body_begun:
            return False
        if self.is_chunked:
            return self._tail == _LAST_CHUNK
        return self.body_size == self.length

    def _take_head(self, data: bytes) -> bytes:
        """Returns the data that belongs to the body."""
        self._head += data
        head, end, body = self._head.partition(_HEAD_END)
        if not end:
            self._head = self._head[:MAX_HEAD_BYTES]
            return b""
        self._has_body_begun = True
        self._head = b""
        lowered = head.lower()
        self.is_chunked = _CHUNKED in lowered
        _, found, value = lowered.partition(_LENGTH)
        if found:
            digits = value.split(b"\r\n", 1)[0].strip()
            self.length = int(digits) if digits.isdigit() else -1
        return body
