"""Load: streams of engines that differ in speed, a few a second at each."""

from marjoramyard.coordination.placement.backlog_limit import (
    MAX_BACKLOG_MS,
    MIN_BACKLOG_MS,
    BacklogLimit,
)
from marjoramyard.coordination.placement.stream_pace import (
    MIN_STREAMS,
    StreamPace,
)

LONG_LATENCY_MS = MAX_BACKLOG_MS


def pace_after(ratios, common_ms=100.0, latency_ms=LONG_LATENCY_MS):
    common = BacklogLimit()
    common.limit_ms = common_ms
    pace = StreamPace(common)
    for ratio in ratios:
        pace.record(ratio, latency_ms)
    return pace


def test_an_engine_whose_streams_are_on_time_gets_its_backlog_in_seconds():
    """Guards against fast engines that idle as slow ones delay streams.

    Five streams end in a second.
    """
    pace = pace_after([0.4] * 20, common_ms=MIN_BACKLOG_MS)
    assert pace.limit_ms == MAX_BACKLOG_MS


def test_an_engine_whose_streams_are_late_loses_its_backlog_in_seconds():
    """Guards against a slow engine that delays its streams for long."""
    pace = pace_after([1.2] * 20, common_ms=MAX_BACKLOG_MS)
    assert pace.limit_ms == MIN_BACKLOG_MS


def test_a_backlog_that_keeps_an_engine_no_busier_is_not_used():
    """Guards against prompts that wait in engines without need.

    The next prompt arrives 20 ms after the end of a prefill.
    """
    pace = pace_after([0.4] * 40, latency_ms=20.0)
    assert pace.limit_ms == MIN_BACKLOG_MS + 20.0


def test_one_late_stream_among_many_takes_little():
    """Guards against fast engines that idle because of a single pause."""
    pace = pace_after([0.4] * 30 + [2.0])
    assert pace.limit_ms >= 0.8 * MAX_BACKLOG_MS


def test_an_engine_with_few_streams_uses_the_common_limit():
    """Guards against limits that follow one or two streams."""
    pace = pace_after([2.0] * (MIN_STREAMS - 1))
    assert pace.limit_ms == 100.0
    pace.common.limit_ms = 150.0
    assert pace.limit_ms == 150.0


def test_streams_without_a_known_gap_change_nothing():
    pace = pace_after([0.0] * 20)
    assert pace.streams == 0


def test_a_successor_adopts_the_limit():
    """Guards against a new broker that begins with the common limit."""
    learnt = pace_after([0.4] * 20)
    pace = pace_after([])
    pace.adopt(learnt.own_limit_ms)
    assert pace.limit_ms == learnt.limit_ms
    unknown = pace_after([])
    unknown.adopt(0.0)
    assert unknown.limit_ms == 100.0
