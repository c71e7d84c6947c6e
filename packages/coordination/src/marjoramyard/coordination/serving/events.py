"""Server-sent events cut out of a byte stream, with the last event's id."""

import re

_END = b"\n\n"
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Passes whole events on and keeps a part of one back.

    A stream can be resumed only behind a whole event. Had a part of one
    been passed on, the resumed stream would repeat it in the middle of an
    answer.

    Attributes:
        last_id: The id of the last event that was passed on; "" for none.
    """

    def __init__(self):
        self.rest = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Returns the events that the data completes."""
        self.rest += data
        end = self.rest.rfind(_END)
        if end < 0:
            return b""
        whole = self.rest[: end + len(_END)]
        self.rest = self.rest[end + len(_END) :]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode(errors="replace")
        return whole

    def discard_partial(self) -> None:
        """Forgets a part whose event will come again."""
        self.rest = b""
