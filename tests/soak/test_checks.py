"""Each check finds what it is there for, and lets the allowed case pass."""

import copy

import pytest

from soak.checks import CHECKS, violations
from soak.record import (
    Call,
    Kind,
    Leave,
    Order,
    Read,
    Record,
    Run,
    Span,
    Stop,
    whole_body,
)


def call(number, kind=Kind.PLAIN, sent_at=100.0, **changes):
    name = f"1-{number}"
    fields = {
        "id": name,
        "kind": kind,
        "gateway": 0,
        "sent_at": sent_at,
        "patience": 2.5,
        "status": 200,
        "is_whole": True,
        "body": whole_body(name, kind),
        "ended_at": sent_at + 0.1,
    }
    return Call(**{**fields, **changes})


def run(number, at=100.0, endpoint="i-0-1", **changes):
    return Run(id=f"1-{number}", endpoint=endpoint, at=at, **changes)


def sound_record():
    """Returns a record in which every promise is kept."""
    calls = [call(n, kind, 100.0 + n) for n, kind in enumerate(Kind)]
    calls.append(call(90, sent_at=130.0))
    runs = [run(n, 100.0 + n) for n in range(len(Kind))]
    runs.append(run(90, 130.0))
    return Record(
        calls=calls,
        runs=runs,
        orders=[Order(version=3, sent_at=99.0, acked_at=99.5)],
        reads=[Read(host=0, version=3, sent_at=120.0)],
        leaves=[Leave(endpoint="i-9-1", acked_at=101.0)],
        stops=[
            Stop(target="gateway", number=1, at=105.0, ended_at=108.0, code=0)
        ],
        healed_at=110.0,
        ended_at=140.0,
        final_version=3,
    )


def test_a_sound_record_passes():
    assert violations(sound_record()) == []


def another_answer(record):
    record.calls[0].body = whole_body("1-77", Kind.PLAIN)


def half_a_stream_that_looks_whole(record):
    stream = next(c for c in record.calls if c.kind is Kind.STREAM)
    stream.body = stream.body[:-5]


def a_cut_stream_of_another(record):
    stream = next(c for c in record.calls if c.kind is Kind.STREAM)
    stream.is_whole = False
    stream.body = "id: 1\ndata: somebody"


def a_booking_twice(record):
    record.runs.append(run([*Kind].index(Kind.ONCE), 103.0, "i-1-1"))


def three_attempts(record):
    record.runs += [run(0, 100.1, "i-1-1"), run(0, 100.2, "i-2-1")]


def told_not_run_but_ran(record):
    once = next(c for c in record.calls if c.kind is Kind.ONCE)
    once.status, once.retry_after = 503, "1"


def refused_without_a_word_when(record):
    record.calls.append(call(50, status=503, body=""))


def a_proper_request_not_found(record):
    record.calls.append(call(51, status=404, body=""))


def a_lost_key_that_still_opens(record):
    record.orders.append(
        Order(version=4, sent_at=99.0, acked_at=100.0, lost_keys=["key-0"])
    )
    record.final_version = 4
    record.reads.clear()
    record.calls.append(call(52, Kind.KEYED, 106.0, key="key-0"))
    record.runs.append(run(52, 106.0))


def a_key_passed_on(record):
    record.runs[0].key_sent = True


def work_for_the_leaving(record):
    record.runs[-1].endpoint = "i-9-1"


def an_older_configuration_read(record):
    record.reads.append(Read(host=1, version=2, sent_at=102.0))


def the_last_change_gone(record):
    record.final_version = 2


def an_answer_that_comes_late(record):
    record.calls[0].ended_at = record.calls[0].sent_at + 4.0


def a_stream_cut_by_a_shutdown(record):
    record.calls.append(
        call(53, Kind.STREAM, 104.9, gateway=1, is_whole=False, body="")
    )
    record.calls[-1].ended_at = 105.4
    record.runs.append(run(53, 105.0))


def a_shutdown_that_fails(record):
    record.stops[0].code = 1


def no_service_after_the_faults(record):
    record.calls[-1].status = 503
    record.calls[-1].retry_after = "1"


BROKEN = {
    another_answer: "whole_answers",
    half_a_stream_that_looks_whole: "whole_answers",
    a_cut_stream_of_another: "whole_answers",
    a_booking_twice: "at_most_once",
    three_attempts: "attempts_are_bounded",
    told_not_run_but_ran: "not_run_is_true",
    refused_without_a_word_when: "refusals_say_when",
    a_proper_request_not_found: "only_proper_statuses",
    a_lost_key_that_still_opens: "keys_are_revoked",
    a_key_passed_on: "keys_stay_here",
    work_for_the_leaving: "the_leaving_get_nothing_new",
    an_older_configuration_read: "nothing_reverts",
    the_last_change_gone: "the_last_is_kept",
    an_answer_that_comes_late: "answers_are_final_in_time",
    a_stream_cut_by_a_shutdown: "shutdown_cuts_nothing",
    a_shutdown_that_fails: "shutdown_cuts_nothing",
    no_service_after_the_faults: "service_returns",
}


@pytest.mark.parametrize("damage", BROKEN, ids=lambda d: d.__name__)
def test_a_broken_promise_is_found(damage):
    record = copy.deepcopy(sound_record())
    damage(record)
    assert [v.partition(":")[0] for v in violations(record)] == [BROKEN[damage]]


def test_every_check_has_a_record_that_breaks_it():
    assert set(BROKEN.values()) == set(CHECKS)


def test_a_link_to_the_gateway_that_is_silent_is_no_late_answer():
    """A caller waits for ever on a connection that fell silent.

    The request never reached the gateway, which can't answer what it did
    not get; seen in the logs of seeds 100 and 105.
    """
    record = sound_record()
    an_answer_that_comes_late(record)
    silent = Span(target="gateway", kind="silence", number=0, since=99.0)
    record.spans.append(silent)
    assert violations(record) == []
