"""Frames, retries, slots, prefixes and request queues."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.serving.frames import (
    BrokenResponseError,
    FrameParser,
    ReplayBuffer,
    ReplayLostError,
    ResponseReader,
)
from marjoramyard.coordination.serving.prefixes import PrefixHistory
from marjoramyard.coordination.serving.request_queues import (
    AGEING_SECONDS,
    QueuedRequest,
    RequestClass,
    ServiceQueue,
)
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.coordination.serving.slots import SlotLimit

_chunks = st.lists(st.binary(min_size=1, max_size=20), max_size=8)


def make_replay_buffer(chunks):
    replay_buffer = ReplayBuffer()
    replay_buffer.begin(200, [("content-type", "text/plain")])
    for chunk in chunks:
        replay_buffer.add_data(chunk)
    replay_buffer.end()
    return replay_buffer


@given(_chunks, st.integers(1, 60), st.lists(st.integers(0, 200), max_size=6))
def test_a_response_is_complete_after_any_resumes(chunks, size, breaks):
    """A connection that breaks anywhere loses and duplicates no bytes."""
    replay_buffer = make_replay_buffer(chunks)
    reader = ResponseReader()
    received = b""
    while not reader.complete:
        frames = replay_buffer.frames_from(reader.next_number)
        stream = b"".join(frame.encode() for frame in frames)
        stop = breaks.pop() if breaks else len(stream)
        parser = FrameParser()
        for offset in range(0, min(stop, len(stream)), size):
            piece = stream[offset : min(offset + size, stop)]
            for frame in parser.feed(piece):
                assert reader.accept(frame)
                received += frame.data
    assert received == b"".join(chunks)


@given(_chunks.filter(len), st.data())
def test_a_response_with_a_lost_or_changed_frame_is_rejected(chunks, data):
    frames = make_replay_buffer(chunks).frames_from(0)
    index = data.draw(st.integers(1, len(frames) - 2))
    reader = ResponseReader()
    if data.draw(st.booleans()):
        frames.pop(index)
    else:
        frames[index].data = frames[index].data + b"!"
    with pytest.raises(BrokenResponseError):
        for frame in frames:
            reader.accept(frame)
    assert not reader.complete


def test_unsent_frames_are_kept_and_the_producer_waits():
    """A slow reader must not cause frames to be discarded."""
    replay_buffer = ReplayBuffer(limit=10)
    replay_buffer.begin(200, [])
    for _ in range(5):
        replay_buffer.add_data(b"x" * 6)
    assert replay_buffer.is_full
    assert len(replay_buffer.frames_from(0)) == 6
    replay_buffer.mark_sent(6)
    replay_buffer.add_data(b"y")
    assert not replay_buffer.is_full
    with pytest.raises(ReplayLostError):
        replay_buffer.frames_from(0)


def test_a_duplicate_frame_is_ignored():
    frames = make_replay_buffer([b"a", b"b"]).frames_from(0)
    reader = ResponseReader()
    assert reader.accept(frames[0])
    assert not reader.accept(frames[0])


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_a_fraction_of_requests(events):
    budget = RetryBudget(ratio=0.1, burst=5.0)
    requests = retries = 0
    for is_request in events:
        if is_request:
            requests += 1
            budget.on_request()
        elif budget.spend():
            retries += 1
        assert retries <= 5 + 0.1 * requests + 1e-6


def test_slots_shrink_when_tokens_slow_down_and_never_below_one():
    limit = SlotLimit(8)
    for _ in range(200 * 20):
        limit.record_gap(0.2)
    assert limit.limit == 1
    for _ in range(200 * 3):
        limit.record_gap(0.01)
    assert limit.limit == 4


def test_a_gap_in_eviction_events_clears_the_history():
    history = PrefixHistory()
    history.record_run("a")
    history.record_run("b")
    history.on_evictions(1, ["a"])
    assert history.is_warm("b") and not history.is_warm("a")
    history.on_evictions(3, [])
    assert not history.is_warm("b")


def make_request(request_class, queued_at):
    return QueuedRequest("w", request_class, queued_at, 1, "", None)


def test_a_deferrable_request_is_not_starved():
    """Interactive requests arrive in a steady stream."""
    queue = ServiceQueue()
    deferrable = make_request(RequestClass.DEFERRABLE, 0.0)
    queue.add(deferrable)
    now, turns = 0.0, 0
    queue.add(make_request(RequestClass.INTERACTIVE, now))
    while queue.pop("w", now) is not deferrable and turns < 99:
        now += 1.0
        turns += 1
        queue.add(make_request(RequestClass.INTERACTIVE, now))
    assert AGEING_SECONDS <= turns <= AGEING_SECONDS + 1


def test_a_removed_request_is_not_popped():
    queue = ServiceQueue()
    request = make_request(RequestClass.INTERACTIVE, 0.0)
    queue.add(request)
    assert queue.remove(request)
    assert not queue.remove(request)
    assert queue.pop("w", 1.0) is None
    assert queue.count() == 0
