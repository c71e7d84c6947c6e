"""Which requests without a response count as lost."""

import pytest

from soak.checks import violations
from soak.record import Attempt, ConnectionOutcome, FaultSpan, Stall
from soak.sample_records import (
    read_request_closed_by_fin,
    request_reset_late,
    response_cut_off,
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


def test_a_response_that_began_is_cut_off_and_not_lost():
    record = valid_record()
    response_cut_off(record)
    (found,) = violations(record)
    assert found.startswith("begun_responses_are_complete: p-1")


@pytest.mark.parametrize(
    ("changes", "is_allowed"),
    [
        ({}, False),
        ({"ended_at": 107.0 + 2.4}, False),
        ({"ended_at": 107.0 + 2.6}, True),
        ({"began_at": 106.8, "ended_at": 107.0 + 2.4}, True),
        ({"ended_at": 105.0 + 6.6, "deadline_seconds": 15.0}, False),
        ({"ended_at": 105.0 + 6.7, "deadline_seconds": 15.0}, True),
        (
            {
                "began_at": 108.1,
                "sent_at": 108.1,
                "ended_at": 105.0 + 6.7,
                "deadline_seconds": 15.0,
            },
            False,
        ),
    ],
)
def test_a_response_may_be_cut_off_by_its_deadline_or_the_end_of_a_stop(
    changes, is_allowed
):
    """Guards against a check that lets stopping gateways cut streams early."""
    record = valid_record()
    response_cut_off(record)
    for name, value in changes.items():
        setattr(record.exchanges[0], name, value)
    assert bool(violations(record)) != is_allowed


@pytest.mark.parametrize("broke_off", [False, True])
def test_a_response_that_its_endpoint_broke_off_is_no_harm(broke_off):
    record = valid_record()
    response_cut_off(record)
    record.attempts.append(
        Attempt(
            id="p-1",
            endpoint="i-0-1",
            started_at=107.05,
            broke_off=broke_off,
        )
    )
    assert bool(violations(record)) != broke_off


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
