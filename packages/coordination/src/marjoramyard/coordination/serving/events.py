"""Splits a byte stream of server-sent events into complete events."""

import re

from marjoramyard.coordination.serving.response_ends import BodyContent

_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
"""Two line ends in a row; lines end with LF, CRLF or CR."""
_MAX_END_BYTES = max(map(len, _EVENT_ENDS))
_LAST_EVENT = re.compile(rb"(?:^|[\r\n])data: ?\[DONE\][\r\n]*$")
_TAIL_BYTES = 64
"""Long enough for the last event of a stream."""
_EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Returns complete events only and buffers a partial one.

    A stream can be resumed only after a complete event. If part of an event
    had been forwarded, the resumed stream would repeat that part.

    Attributes:
        buffer: The bytes of a partial event.
    """

    def __init__(self):
        self.buffer = bytearray()
        self._last = b""
        self._last_with_id = b""

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are complete now."""
        if self.buffer or not data.endswith(_EVENT_ENDS):
            data = self._take_complete(data)
        if not data:
            return data
        self._last = data
        if _has_id(data):
            self._last_with_id = data
        return data

    def _take_complete(self, data: bytes) -> bytes:
        # What was left holds no end, but may hold the first part of one.
        start = max(0, len(self.buffer) - _MAX_END_BYTES + 1)
        self.buffer += data
        end = _end_of_last(self.buffer, b"\n\n", start)
        if self.buffer.find(b"\r", start) >= 0:
            ends = (_end_of_last(self.buffer, m, start) for m in _EVENT_ENDS)
            end = max(ends)
        complete = bytes(self.buffer[:end])
        del self.buffer[:end]
        return complete

    def discard_partial(self) -> None:
        """Discards a partial event, which a resumed stream will repeat."""
        self.buffer.clear()

    @property
    def content(self) -> BodyContent:
        """Where in its content the stream is."""
        if _has_partial_event(self.buffer):
            return BodyContent.INSIDE_EVENT
        if not self._last:
            return BodyContent.NO_EVENT
        if _LAST_EVENT.search(self._last[-_TAIL_BYTES:]):
            return BodyContent.FINISHED
        return BodyContent.BETWEEN_EVENTS

    @property
    def last_id(self) -> str:
        """The ID of the last event returned that has one; "" for none."""
        # Only few streams are resumed, so IDs are not decoded as they arrive.
        lines = self._last_with_id.replace(b"\r", b"\n")
        ids = _EVENT_ID.findall(lines)
        return ids[-1].strip().decode("latin-1") if ids else ""


def _end_of_last(data: bytearray, mark: bytes, start: int) -> int:
    position = data.rfind(mark, start)
    return position + len(mark) if position >= 0 else 0


def _has_partial_event(rest: bytearray) -> bool:
    """Whether there is more than blank lines and complete comments."""
    if not rest:
        return False
    has_open_line = not rest.endswith((b"\n", b"\r"))
    return has_open_line or any(
        line and not line.startswith(b":") for line in rest.splitlines()
    )


def _has_id(events: bytes) -> bool:
    return events.startswith(b"id:") or b"\nid:" in events or b"\rid:" in events
