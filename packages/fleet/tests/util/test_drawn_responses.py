"""Drawn responses, broken off at any byte, against a reference."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

from held import new_holding
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.response_ends import ResponseEnd
from marjoramyard.fleet.util.endpoint_session import StrictHandler
from marjoramyard.fleet.util.response_body import BrokenOffError, ResponseBody
from marjoramyard.standin.raw_responses import ConnectionEnd, Framing

HEADS = {
    Framing.LENGTH: b"Content-Length: %d\r\n",
    Framing.CHUNKS: b"Transfer-Encoding: chunked\r\n",
    Framing.CLOSE: b"",
}
EXAMPLES = 1000


class Drawn:
    """A response that ends after some bytes of its body.

    Attributes:
        parts: The parts of the body; the events of a stream.
        wire: The bytes of the body, framed.
        body_at: How many bytes of the body each prefix of `wire` has.
    """

    def __init__(self, parts, framing):
        self.parts = parts
        self.framing = framing
        self.wire, self.body_at = b"", [0]
        for part in parts:
            if framing is Framing.CHUNKS:
                self.add(b"%x\r\n" % len(part))
            self.add(part, is_body=True)
            if framing is Framing.CHUNKS:
                self.add(b"\r\n")
        if framing is Framing.CHUNKS:
            self.add(b"0\r\n\r\n")

    def add(self, data, is_body=False):
        self.wire += data
        for _ in data:
            self.body_at.append(self.body_at[-1] + is_body)

    @property
    def head(self):
        field = HEADS[self.framing]
        if self.framing is Framing.LENGTH:
            field %= sum(map(len, self.parts))
        return b"HTTP/1.1 200 OK\r\n" + field + b"\r\n"

    def end_after(self, size, connection_end, is_stream):
        """Returns how it ends if that many bytes of `wire` are sent."""
        if self.framing is not Framing.CLOSE:
            is_whole = size == len(self.wire)
            return ResponseEnd.COMPLETE if is_whole else ResponseEnd.BROKEN_OFF
        if connection_end is ConnectionEnd.RST:
            return ResponseEnd.BROKEN_OFF
        if not is_stream:
            return ResponseEnd.UNKNOWN
        ends, offset = set(), 0
        for part in self.parts:
            offset += len(part)
            ends.add(offset)
        is_between = size in ends
        return ResponseEnd.UNKNOWN if is_between else ResponseEnd.BROKEN_OFF


@st.composite
def events(draw):
    line_end = draw(st.sampled_from([b"\n", b"\r\n", b"\r"]))
    lines = st.sampled_from([b"data: x", b"data:", b"event: e", b": c", b"id"])
    return [
        line_end.join([b"id: %d" % number, *found, b"", b""])
        for number, found in enumerate(
            draw(st.lists(st.lists(lines, max_size=3), min_size=1, max_size=4))
        )
    ]


bodies = st.lists(st.binary(min_size=1, max_size=20), min_size=1, max_size=4)


async def read(drawn, size, connection_end, sizes, is_stream):
    """Returns the body read, the complete events, and how it ended."""
    handler = StrictHandler(asyncio.get_running_loop())
    handler.connection_made(Mock(get_extra_info=lambda _: None))
    handler.set_response_params(read_until_eof=True, auto_decompress=False)
    handler.data_received(drawn.head)
    message, content = await handler.read()
    response = SimpleNamespace(
        method="GET",
        status=message.code,
        headers=message.headers,
        content=content,
    )
    events = EventSplitter() if is_stream else None
    body = ResponseBody(response, events)
    sent = drawn.wire[:size]
    offset = 0
    while offset < size:
        step = sizes[offset % len(sizes)]
        handler.data_received(sent[offset : offset + step])
        offset += step
    is_reset = connection_end is ConnectionEnd.RST
    data = b""
    while found := content.read_nowait():
        data += found
    handler.connection_lost(ConnectionResetError(104) if is_reset else None)
    assert await body.read_within(new_holding())
    data += body.take()
    complete = events.feed(data) if events else b""
    try:
        return data, complete, body.check_end()
    except BrokenOffError:
        return data, complete, ResponseEnd.BROKEN_OFF


def check(parts, framing, cut, connection_end, sizes, is_stream):
    drawn = Drawn(parts, framing)
    size = min(cut, len(drawn.wire))
    found = asyncio.run(read(drawn, size, connection_end, sizes, is_stream))
    data, complete, end = found
    assert end is drawn.end_after(size, connection_end, is_stream)
    body = b"".join(parts)
    assert data == body[: drawn.body_at[size]]
    assert body.startswith(complete)


cuts = st.integers(0, 250) | st.just(1 << 20)
piece_sizes = st.lists(st.integers(1, 40), min_size=1, max_size=5)


@settings(max_examples=EXAMPLES)
@given(
    bodies,
    st.sampled_from(Framing),
    cuts,
    st.sampled_from(ConnectionEnd),
    piece_sizes,
)
def test_a_plain_body_ends_as_the_reference_says(
    parts, framing, cut, connection_end, sizes
):
    """Guards against part of a body that counts as all of it."""
    check(parts, framing, cut, connection_end, sizes, is_stream=False)


@settings(max_examples=EXAMPLES)
@given(
    events(),
    st.sampled_from(Framing),
    cuts,
    st.sampled_from(ConnectionEnd),
    piece_sizes,
)
def test_a_stream_ends_as_the_reference_says(
    parts, framing, cut, connection_end, sizes
):
    """Guards against part of a stream that counts as all of it."""
    check(parts, framing, cut, connection_end, sizes, is_stream=True)
