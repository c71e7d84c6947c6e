"""Splitting streams of server-sent events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.serving.events import EventSplitter

LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def event(number, line_end=b"\n"):
    lines = (b"id: %d" % number, b"data: token-%d" % number, b"", b"")
    return line_end.join(lines)


@pytest.mark.parametrize("line_end", LINE_ENDS)
@given(sizes=st.lists(st.integers(1, 30), min_size=1), stop=st.integers(0, 200))
def test_only_complete_events_are_returned(line_end, sizes, stop):
    """A stream is interrupted anywhere and resumed after the last id."""
    events = [event(number, line_end) for number in range(9)]
    stream = b"".join(events)
    splitter, received, offset = EventSplitter(), b"", 0
    while offset < min(stop, len(stream)):
        size = sizes[offset % len(sizes)]
        received += splitter.feed(stream[offset : min(offset + size, stop)])
        offset += size
    assert stream.startswith(received)
    first = int(splitter.last_id) + 1 if splitter.last_id else 0
    splitter.discard_partial()
    received += splitter.feed(b"".join(events[first:]))
    assert received == stream


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_events_are_returned_as_they_arrive(line_end):
    """Guards against events with other line ends that wait for the end of
    their stream.
    """
    splitter = EventSplitter()
    for number in range(3):
        arrived = event(number, line_end)
        assert splitter.feed(arrived[:9]) == b""
        assert splitter.feed(arrived[9:]) == arrived
        assert splitter.last_id == str(number)
