"""Splits a stream of server-sent events into complete events."""

_END = b"\n\n"
_ID_LINE = b"\nid:"


class EventSplitter:
    """Buffers bytes and returns complete events.

    A stream that breaks off in the middle of an event can't be resumed there at
    another endpoint, so partial events are not forwarded.

    Attributes:
        buffer: The bytes of an incomplete event.
    """

    def __init__(self):
        self.buffer = bytearray()
        self._last_events = b""

    def feed(self, data: bytes) -> bytes:
        """Adds data; returns the bytes of all events that are now complete."""
        if self.buffer or not data.endswith(_END):
            data = self._take_complete(data)
        if _has_id(data):
            self._last_events = data
        return data

    def _take_complete(self, data: bytes) -> bytes:
        self.buffer += data
        end = self.buffer.rfind(_END)
        if end < 0:
            return b""
        complete = bytes(self.buffer[: end + len(_END)])
        del self.buffer[: end + len(_END)]
        return complete

    @property
    def last_id(self) -> str:
        """The ID of the last complete event that has one; "" for none."""
        if not self._last_events:
            return ""
        position = self._last_events.rfind(_ID_LINE)
        # An ID in the first line of the data follows no line break.
        line = self._last_events[position + 1 :].split(b"\n", 1)[0]
        return line[len(b"id:") :].strip().decode("latin-1")


def _has_id(events: bytes) -> bool:
    return events.startswith(b"id:") or _ID_LINE in events
