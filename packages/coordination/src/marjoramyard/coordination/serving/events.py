"""Splits a byte stream of server-sent events into complete events."""

import re

_EVENT_END = b"\n\n"
_EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Returns complete events only and buffers a partial one.

    A stream can be resumed only after a complete event. If part of an event
    had been forwarded, the resumed stream would repeat that part.

    Attributes:
        last_id: Id of the last event returned, or "" if there is none.
    """

    def __init__(self):
        self.partial = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that are complete now."""
        self.partial += data
        end = self.partial.rfind(_EVENT_END)
        if end < 0:
            return b""
        complete = self.partial[: end + len(_EVENT_END)]
        self.partial = self.partial[end + len(_EVENT_END) :]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode(errors="replace")
        return complete

    def discard_partial(self) -> None:
        """Discards a partial event, which a resumed stream will repeat."""
        self.partial = b""
