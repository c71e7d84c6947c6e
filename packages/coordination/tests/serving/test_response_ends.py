"""Whether a response is complete."""

import itertools

import pytest

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.response_ends import (
    BodyContent,
    ResponseEnd,
    Termination,
    response_end,
)

EVENT = b"id: 1\ndata: x\n\n"
STREAM_CONTENTS = [c for c in BodyContent if c is not BodyContent.OPAQUE]


@pytest.mark.parametrize("termination", Termination)
@pytest.mark.parametrize("ends_with_mark", [False, True])
def test_a_stream_that_ends_inside_an_event_is_broken_off(
    termination, ends_with_mark
):
    """Guards against part of an event that counts as the end of a stream."""
    found = response_end(termination, BodyContent.INSIDE_EVENT, ends_with_mark)
    assert found is ResponseEnd.BROKEN_OFF


@pytest.mark.parametrize("content", [BodyContent.OPAQUE, *STREAM_CONTENTS])
def test_a_failed_connection_breaks_a_response_off(content):
    """Guards against a reset that counts as a regular end."""
    found = response_end(Termination.FAILURE, content)
    assert (found is ResponseEnd.COMPLETE) == (content is BodyContent.FINISHED)


@pytest.mark.parametrize(
    "content", [BodyContent.OPAQUE, BodyContent.BETWEEN_EVENTS]
)
def test_a_closed_connection_does_not_say_that_a_response_is_complete(content):
    """Guards against taking the end of a connection for that of a message."""
    found = response_end(Termination.CLOSE, content)
    assert found is ResponseEnd.UNKNOWN


@pytest.mark.parametrize("content", [BodyContent.OPAQUE, *STREAM_CONTENTS])
def test_a_framed_response_is_complete_where_its_framing_says_so(content):
    """Guards against failing whole responses, an empty stream included."""
    found = response_end(Termination.FRAMING, content)
    is_inside = content is BodyContent.INSIDE_EVENT
    assert (found is ResponseEnd.BROKEN_OFF) == is_inside


def test_only_its_last_event_completes_a_stream_that_has_one():
    """Guards against engines that end a chunked body regularly in the middle
    of a response.
    """
    for termination, content in itertools.product(Termination, STREAM_CONTENTS):
        found = response_end(termination, content, ends_with_mark=True)
        is_finished = content is BodyContent.FINISHED
        assert (found is ResponseEnd.COMPLETE) == is_finished
        assert is_finished or found is ResponseEnd.BROKEN_OFF


@pytest.mark.parametrize(
    ("data", "content"),
    [
        (b"", BodyContent.NO_EVENT),
        (b"\n", BodyContent.NO_EVENT),
        (b"id: 1", BodyContent.INSIDE_EVENT),
        (EVENT, BodyContent.BETWEEN_EVENTS),
        (EVENT + b"\n", BodyContent.BETWEEN_EVENTS),
        (EVENT + b": a comment\n", BodyContent.BETWEEN_EVENTS),
        (EVENT + b": a comm", BodyContent.INSIDE_EVENT),
        (EVENT + b"data: y", BodyContent.INSIDE_EVENT),
        (EVENT + b"data: y\n", BodyContent.INSIDE_EVENT),
        (EVENT + b"data: y\r\n", BodyContent.INSIDE_EVENT),
        (EVENT + b"data: [DONE]\n", BodyContent.INSIDE_EVENT),
        (EVENT + b"data: [DONE]\n\n", BodyContent.FINISHED),
        (EVENT + b"data:[DONE]\r\n\r\n", BodyContent.FINISHED),
        (EVENT + b'data: {"text": "[DONE]"}\n\n', BodyContent.BETWEEN_EVENTS),
        (b"data: [DONE]\n\n" + EVENT, BodyContent.BETWEEN_EVENTS),
    ],
)
@pytest.mark.parametrize("size", [1, 4, 1000])
def test_a_splitter_knows_where_in_its_content_a_stream_is(data, content, size):
    """Guards against blank lines and comments that count as broken events, and
    against a part of an event that doesn't.
    """
    splitter = EventSplitter()
    for start in range(0, len(data), size):
        splitter.feed(data[start : start + size])
    assert splitter.content is content
