"""Frames, retries, slots, prefixes and queues."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.serving.events import EventSplitter
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


def answer_of(chunks):
    tail = ReplayBuffer()
    tail.begin(200, [("content-type", "text/plain")])
    for chunk in chunks:
        tail.add_data(chunk)
    tail.end()
    return tail


@given(_chunks, st.integers(1, 60), st.lists(st.integers(0, 200), max_size=6))
def test_an_answer_is_whole_whatever_the_link_does(chunks, size, breaks):
    """The link breaks anywhere, and is resumed from the next frame.

    The caller gets every byte once and in order, and a whole answer is
    only ever one whose end has come and agrees.
    """
    tail = answer_of(chunks)
    reader = ResponseReader()
    got = b""
    while not reader.complete:
        frames = tail.frames_from(reader.next_number)
        stream = b"".join(frame.encode() for frame in frames)
        stop = breaks.pop() if breaks else len(stream)
        parser = FrameParser()
        for place in range(0, min(stop, len(stream)), size):
            piece = stream[place : min(place + size, stop)]
            for frame in parser.feed(piece):
                assert reader.accept(frame)
                got += frame.data
    assert got == b"".join(chunks)


@given(_chunks.filter(len), st.data())
def test_a_lost_or_changed_frame_is_never_taken_for_a_whole(chunks, data):
    frames = answer_of(chunks).frames_from(0)
    place = data.draw(st.integers(1, len(frames) - 2))
    reader = ResponseReader()
    if data.draw(st.booleans()):
        frames.pop(place)
    else:
        frames[place].data = frames[place].data + b"!"
    with pytest.raises(BrokenResponseError):
        for frame in frames:
            reader.accept(frame)
    assert not reader.complete


def test_unsent_frames_are_kept_and_the_producer_waits():
    """A caller reads slowly: nothing it has not had yet may be dropped."""
    tail = ReplayBuffer(limit=10)
    tail.begin(200, [])
    for _ in range(5):
        tail.add_data(b"x" * 6)
    assert tail.is_full
    assert len(tail.frames_from(0)) == 6
    tail.mark_sent(6)
    tail.add_data(b"y")
    assert not tail.is_full
    with pytest.raises(ReplayLostError):
        tail.frames_from(0)


def test_a_resume_gets_no_frame_twice():
    frames = answer_of([b"a", b"b"]).frames_from(0)
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


def test_a_gap_in_cache_events_forgets_everything():
    """An event was lost: what the engine still holds is not known."""
    history = PrefixHistory()
    history.record_run("a")
    history.record_run("b")
    history.on_evictions(1, ["a"])
    assert history.is_warm("b") and not history.is_warm("a")
    history.on_evictions(3, [])
    assert not history.is_warm("b")


def waiting(klass, since):
    return QueuedRequest("w", klass, since, 1, "", None)


def test_a_deferrable_request_is_not_held_back_forever():
    """Interactive requests come in a steady stream; a long guide waits."""
    queue = ServiceQueue()
    guide = waiting(RequestClass.DEFERRABLE, 0.0)
    queue.add(guide)
    now, turns = 0.0, 0
    queue.add(waiting(RequestClass.INTERACTIVE, now))
    while queue.pop("w", now) is not guide and turns < 99:
        now += 1.0
        turns += 1
        queue.add(waiting(RequestClass.INTERACTIVE, now))
    assert AGEING_SECONDS <= turns <= AGEING_SECONDS + 1


def test_a_request_given_up_is_not_handed_out():
    queue = ServiceQueue()
    item = waiting(RequestClass.INTERACTIVE, 0.0)
    queue.add(item)
    assert queue.remove(item)
    assert not queue.remove(item)
    assert queue.pop("w", 1.0) is None
    assert queue.count() == 0


@given(st.lists(st.integers(1, 30), min_size=1), st.integers(0, 200))
def test_only_whole_events_are_passed_on(sizes, stop):
    """A stream breaks off anywhere and is resumed behind the last id."""
    events = [b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(9)]
    stream = b"".join(events)
    cutter, got, place = EventSplitter(), b"", 0
    while place < min(stop, len(stream)):
        size = sizes[place % len(sizes)]
        got += cutter.feed(stream[place : min(place + size, stop)])
        place += size
    assert stream.startswith(got)
    first = int(cutter.last_id) + 1 if cutter.last_id else 0
    cutter.discard_partial()
    got += cutter.feed(b"".join(events[first:]))
    assert got == stream
