"""Which requests without a response count as lost."""

import pytest

from soak.checks import violations
from soak.record import ConnectionOutcome, FaultSpan, Stall
from soak.sample_records import (
    read_request_closed_by_fin,
    request_reset_late,
    unanswered,
    valid_record,
)


def test_a_request_that_crossed_the_end_of_its_connection_is_not_lost():
    record = valid_record()
    record.exchanges.append(unanswered("p-1", ConnectionOutcome.RST, 0.1))
    assert violations(record) == []


def test_a_request_that_was_not_sent_whole_is_not_lost():
    record = valid_record()
    read_request_closed_by_fin(record)
    record.exchanges[0].sent_at = 0.0
    assert violations(record) == []


def test_a_response_that_began_is_not_lost():
    record = valid_record()
    read_request_closed_by_fin(record)
    record.exchanges[0].has_response = True
    assert violations(record) == []


@pytest.mark.parametrize(
    ("kind", "is_excused"),
    [
        ("stop", False),
        ("stop-twice", False),
        ("stop-after-start", False),
        ("turns", False),
        ("kill", True),
        ("cut", True),
    ],
)
def test_only_faults_that_are_not_planned_excuse_a_lost_request(
    kind, is_excused
):
    """Guards against a check that takes a stop, or its own turns, for harm."""
    record = valid_record()
    read_request_closed_by_fin(record)
    record.fault_spans.append(
        FaultSpan(
            target="gateway",
            kind=kind,
            number=1,
            started_at=104.0,
            ended_at=109.0,
        )
    )
    assert bool(violations(record)) != is_excused


@pytest.mark.parametrize("seconds_before", [2.0, 4.0])
def test_a_stalled_link_excuses_lost_requests_for_a_while_only(seconds_before):
    """A stall has no end for callers behind its relay; raw ones have none."""
    record = valid_record()
    read_request_closed_by_fin(record)
    stall = FaultSpan(
        target="gateway",
        kind="silence",
        number=1,
        started_at=107.0 - seconds_before,
    )
    record.fault_spans.append(stall)
    assert bool(violations(record)) == (seconds_before > 3.0)


@pytest.mark.parametrize(("seconds", "is_late"), [(0.05, True), (0.15, False)])
def test_a_reset_is_late_apart_from_a_stall_of_the_soak(seconds, is_late):
    """Guards against a crossed request whose reset is read too late."""
    record = valid_record()
    request_reset_late(record)
    stall = Stall(started_at=107.1, ended_at=107.1 + seconds)
    record.stalls.append(stall)
    assert bool(violations(record)) == is_late


def test_the_course_of_a_lost_request_is_told():
    record = valid_record()
    read_request_closed_by_fin(record)
    (message,) = violations(record)
    assert "2.00 s after SIGTERM" in message
    assert "carried 2" in message
    assert "fin after 0.100 s" in message
    assert "not run" in message
