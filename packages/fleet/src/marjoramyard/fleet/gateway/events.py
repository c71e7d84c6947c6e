"""Splits a stream of server-sent events into complete events."""

_END = b"\n\n"


class EventSplitter:
    """Buffers bytes and returns complete events.

    A stream that breaks off in the middle of an event can't be resumed there at
    another endpoint, so partial events are not forwarded.

    Attributes:
        buffer: The bytes of an incomplete event.
        last_id: The ID of the last complete event that has one.
    """

    def __init__(self):
        self.buffer = bytearray()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Adds data; returns the bytes of all events that are now complete."""
        self.buffer += data
        end = self.buffer.rfind(_END)
        if end < 0:
            return b""
        complete = bytes(self.buffer[: end + len(_END)])
        del self.buffer[: end + len(_END)]
        self._record_id(complete)
        return complete

    def _record_id(self, complete: bytes) -> None:
        position = complete.rfind(b"\nid:")
        if position < 0 and not complete.startswith(b"id:"):
            return
        line = complete[position + 1 :].split(b"\n", 1)[0]
        self.last_id = line[len(b"id:") :].strip().decode("latin-1")
