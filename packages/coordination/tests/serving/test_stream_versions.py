"""What is remembered of the streams that were begun."""

from marjoramyard.coordination.serving.stream_versions import (
    StreamOrigin,
    StreamVersions,
    stream_key,
)

LEFT_SECONDS = 30.0
KEY = stream_key("shop", "a1")
FIRST = StreamOrigin("chat", "v1")
SECOND = StreamOrigin("chat", "v2")


def test_a_stream_is_found_until_it_expires():
    streams = StreamVersions()
    streams.record(KEY, FIRST, 100.0, LEFT_SECONDS)
    assert streams.find(KEY, 100.0 + LEFT_SECONDS - 0.1) == FIRST
    assert streams.find(KEY, 100.0 + LEFT_SECONDS) is None


def test_a_stream_that_is_resumed_is_remembered_for_longer():
    """Guards against forgetting a stream that is taken up several times."""
    streams = StreamVersions()
    streams.record(KEY, FIRST, 100.0, LEFT_SECONDS)
    streams.record(KEY, FIRST, 120.0, LEFT_SECONDS)
    assert streams.find(KEY, 100.0 + LEFT_SECONDS + 1.0) == FIRST


def test_a_key_of_streams_of_two_versions_tells_neither():
    """Guards against resuming the wrong one of two streams of a caller that
    uses an attempt ID twice.
    """
    streams = StreamVersions()
    streams.record(KEY, FIRST, 100.0, LEFT_SECONDS)
    streams.record(KEY, SECOND, 101.0, LEFT_SECONDS)
    assert streams.find(KEY, 102.0).is_ambiguous
    streams.record(KEY, SECOND, 102.0, LEFT_SECONDS)
    assert streams.find(KEY, 103.0).is_ambiguous


def test_workspaces_do_not_share_attempt_ids():
    """Guards against taking up a stream of another workspace."""
    assert stream_key("other", "a1") != KEY
    assert stream_key("sho", "pa1") != KEY


def test_a_flood_of_streams_is_bounded_and_keeps_the_newest():
    """Guards against memory that grows with callers' attempts."""
    streams = StreamVersions(capacity=100)
    for number in range(1000):
        streams.record(
            stream_key("shop", str(number)), FIRST, 100.0, LEFT_SECONDS
        )
    assert len(streams.known) == 100
    assert streams.find(stream_key("shop", "999"), 100.0) == FIRST
    assert streams.find(stream_key("shop", "0"), 100.0) is None


def test_streams_that_were_passed_on_are_not_remembered_for_longer():
    """Guards against streams that live on as brokers replace one another."""
    streams = StreamVersions()
    streams.record(KEY, FIRST, 100.0, 5.0)
    ((key, origin, seconds),) = streams.streams_of("chat", 101.0)
    assert (key, origin, seconds) == (KEY, FIRST, 4.0)
    assert streams.find(KEY, 105.0) is None
    assert list(streams.streams_of("other", 101.0)) == []
