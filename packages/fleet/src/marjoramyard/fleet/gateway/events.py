"""Cuts a stream of server-sent events into whole events."""

_END = b"\n\n"


class EventSplitter:
    """Collects bytes and hands out whole events.

    An endpoint may break off in the middle of an event. A caller that was
    given half of it could not join the rest from another endpoint.
    """

    def __init__(self):
        self.buffer = bytearray()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all events that are whole now."""
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
