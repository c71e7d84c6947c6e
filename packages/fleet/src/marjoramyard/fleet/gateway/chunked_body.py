"""Follows a body that is sent in chunks, without decoding it."""

MAX_LINE_BYTES = 4096
_LINE_END = b"\r\n"
_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class ChunkedBody:
    """The position in a body of chunks.

    Attributes:
        is_complete: Whether the body has been received to its end.
        is_malformed: Whether bytes were received that can't be part of it.
        missing: Bytes of the current chunk still to be received, with the line
            end that follows it.
    """

    def __init__(self):
        self.is_complete = False
        self.is_malformed = False
        self.missing = 0
        self._line = b""
        self._is_in_trailer = False

    @property
    def is_between_chunks(self) -> bool:
        """Whether the size of a chunk comes next."""
        is_ending = self.is_complete or self._is_in_trailer
        return not (
            self.missing or self._line or is_ending or self.is_malformed
        )

    def feed(self, data: bytes) -> None:
        """Notes received bytes."""
        position = 0
        while position < len(data) and not self.is_malformed:
            if self.is_complete:
                self.is_malformed = True
            elif self.missing:
                step = min(self.missing, len(data) - position)
                self.missing -= step
                position += step
            else:
                position = self._feed_line(data, position)

    def _feed_line(self, data: bytes, position: int) -> int:
        end = data.find(b"\n", position) + 1
        self._line += data[position:end] if end else data[position:]
        if len(self._line) > MAX_LINE_BYTES:
            self.is_malformed = True
        elif end:
            line, self._line = self._line, b""
            self._on_line(line)
        return end or len(data)

    def _on_line(self, line: bytes) -> None:
        if not line.endswith(_LINE_END):
            self.is_malformed = True
        elif self._is_in_trailer:
            self.is_complete = line == _LINE_END
        else:
            self._on_size(line[: -len(_LINE_END)].partition(b";")[0])

    def _on_size(self, digits: bytes) -> None:
        if not digits or not _DIGITS.issuperset(digits):
            self.is_malformed = True
            return
        size = int(digits, 16)
        self._is_in_trailer = size == 0
        self.missing = size + len(_LINE_END) if size else 0
