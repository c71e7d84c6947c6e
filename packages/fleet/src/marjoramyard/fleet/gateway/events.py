"""Cuts a stream of server-sent events into whole events."""

_END = b"\n\n"


class EventSplitter:
    """Collects bytes and hands out whole events.

    An endpoint may break off in the middle of an event. A caller that was
    given half of it could not join the rest from another endpoint.
    """

    def __init__(self):
        self.held = bytearray()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of all events that are whole now."""
        self.held += data
        end = self.held.rfind(_END)
        if end < 0:
            return b""
        whole = bytes(self.held[: end + len(_END)])
        del self.held[: end + len(_END)]
        self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        place = whole.rfind(b"\nid:")
        if place < 0 and not whole.startswith(b"id:"):
            return
        line = whole[place + 1 :].split(b"\n", 1)[0]
        self.last_id = line[len(b"id:") :].strip().decode("latin-1")
