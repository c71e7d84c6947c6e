"""Tests of the quarantine of requests that crash endpoints."""

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.governance.commands import ReportDeath
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.coordination.governance.suspects import (
    DEATHS_TO_CONVICT,
    FIRST_QUARANTINE_SECONDS,
    HOLD_SECONDS,
    MAX_RECORDS,
    MAX_WATCHED,
    EndedRun,
    Standing,
    Suspects,
)

QUARANTINE = 60.0


def runs(*fingerprints, seconds=0.1, **options):
    return [EndedRun(name, seconds, **options) for name in fingerprints]


def isolated(*fingerprints):
    return runs(*fingerprints, is_isolated=True)


def test_the_second_death_convicts_and_other_suspects_are_cleared():
    """Guards against: a request that crashes more than two endpoints.

    The other requests that ran during the first crash are cleared once they
    complete.
    """
    suspects = Suspects({}, [])
    suspects.report_death("engine-1", runs("poison", "x", "y"), 0.0, 60.0)
    assert suspects.standing("x", 1.0) is Standing.SUSPECT
    for name in ("x", "y"):
        assert suspects.hold(name, "agent-2", 1.0)
        suspects.release(name, "agent-2", clear=True)
        assert suspects.standing(name, 2.0) is Standing.CLEAR
    assert suspects.hold("poison", "agent-2", 3.0)
    ended = isolated("poison") + runs("z")
    convicted = suspects.report_death("engine-2", ended, 4.0, 60.0)
    assert convicted == ["poison"]
    assert suspects.standing("z", 5.0) is Standing.SUSPECT
    assert suspects.standing("poison", 63.0) is Standing.CONVICTED
    assert not suspects.hold("poison", "agent-3", 5.0)
    assert suspects.standing("poison", 65.0) is Standing.SUSPECT


def test_a_suspect_runs_at_one_agent_at_a_time():
    """Guards against: a suspect that crashes several endpoints at once."""
    suspects = Suspects({}, [])
    suspects.report_death("engine-1", runs("p"), 0.0, 60.0)
    assert suspects.hold("p", "agent-1", 1.0)
    assert not suspects.hold("p", "agent-2", 2.0)
    assert suspects.hold("p", "agent-1", 2.0)
    assert suspects.hold("p", "agent-2", 3.0 + HOLD_SECONDS)


def test_a_death_with_several_reports_counts_once():
    """Guards against: convicting a request because of duplicate reports."""
    suspects = Suspects({}, [])
    for number in range(4):
        ended = isolated("p") if number else runs("p")
        suspects.report_death("engine-1", ended, float(number), 60.0)
    assert suspects.standing("p", 1.0) is Standing.SUSPECT


def test_the_second_death_convicts_a_request_that_ran_beside_others():
    """Guards against: sending on a request that no agent can isolate.

    Its first quarantine is short, since it may be harmless.
    """
    suspects = Suspects({}, [])
    for number in range(DEATHS_TO_CONVICT):
        assert suspects.standing("p", number) is not Standing.CONVICTED
        suspects.report_death(f"e{number}", runs("p"), number, QUARANTINE)
    assert suspects.standing("p", DEATHS_TO_CONVICT) is Standing.CONVICTED
    later = DEATHS_TO_CONVICT + FIRST_QUARANTINE_SECONDS
    assert suspects.standing("p", later) is Standing.SUSPECT


def test_endpoints_that_die_at_once_count_once():
    """Guards against: refusing a popular request that was running on all
    endpoints of a lost zone.
    """
    suspects = Suspects({}, [])
    for number in range(8):
        suspects.report_death(f"e{number}", runs("p"), 0.01 * number, 60.0)
    assert suspects.records["p"].deaths == 1


def test_sends_of_one_attempt_count_whatever_their_times():
    """Guards against: missing a request that is sent again at once, because
    the first death is reported after the second.
    """
    suspects = Suspects({}, [])
    second = runs("p", seconds=0.05, earlier_deaths=1)
    suspects.report_death("e2", second, 0.1, QUARANTINE)
    suspects.report_death("e1", runs("p"), 0.0, QUARANTINE)
    assert suspects.records["p"].deaths == 2


def test_a_response_clears_a_request_even_in_quarantine():
    """Guards against: refusing a request that endpoints do answer."""
    suspects = Suspects({}, [])
    for number in range(DEATHS_TO_CONVICT):
        suspects.report_death(f"e{number}", runs("p"), number, QUARANTINE)
    assert suspects.clear("p")
    assert suspects.standing("p", 4.0) is Standing.CLEAR
    assert suspects.published(4.0) == {}
    suspects.report_death("e9", runs("p"), 9.0, QUARANTINE)
    assert suspects.records["p"].deaths == 1


def test_a_request_is_convicted_again_by_the_next_death():
    """Guards against: losing several endpoints after each quarantine, and as
    many in any time.
    """
    suspects = Suspects({}, [])
    for number in range(DEATHS_TO_CONVICT):
        suspects.report_death(f"e{number}", runs("p"), number, 600.0)
    later = DEATHS_TO_CONVICT + FIRST_QUARANTINE_SECONDS
    assert suspects.published(later) == {"p": 0.0}
    assert suspects.hold("p", "gateway-1", later)
    assert not suspects.hold("p", "gateway-2", later)
    assert suspects.report_death("e9", runs("p"), later, 600.0) == ["p"]
    left = suspects.quarantine_seconds("p", later)
    assert left > 2 * FIRST_QUARANTINE_SECONDS


def test_a_clock_that_was_ahead_does_not_stop_the_count():
    """Guards against: crashing on while a leader's clock, which was an hour
    ahead, is right again.
    """
    suspects = Suspects({}, [])
    suspects.report_death("e1", runs("p", "q"), 3600.0, QUARANTINE)
    suspects.report_death("e2", runs("q"), 3601.0, QUARANTINE)
    suspects.report_death("e3", runs("p"), 2.0, QUARANTINE)
    suspects.report_death("e4", runs("p"), 4.0, QUARANTINE)
    assert suspects.standing("p", 5.0) is Standing.CONVICTED
    later = 5.0 + QUARANTINE
    assert suspects.standing("q", later) is not Standing.CONVICTED


def test_a_clock_that_is_behind_prolongs_no_quarantine():
    """Guards against: a control host that tells gateways to refuse a request
    for an hour, because its clock was set back by one.
    """
    suspects = Suspects({}, [])
    for number in range(DEATHS_TO_CONVICT):
        at = 3600.0 + number
        suspects.report_death(f"e{number}", runs("p"), at, QUARANTINE)
    assert suspects.published(1.0) == {"p": FIRST_QUARANTINE_SECONDS}


def test_many_suspects_do_not_displace_a_convicted_one():
    """Guards against: filling memory, or lifting a quarantine, by many
    requests that crash endpoints.
    """
    suspects = Suspects({}, [])
    for number in range(DEATHS_TO_CONVICT):
        suspects.report_death(f"e{number}", runs("p"), number, QUARANTINE)
    names = [f"r{number}" for number in range(2 * MAX_RECORDS)]
    suspects.report_death("e9", runs(*names), 4.0, QUARANTINE)
    assert len(suspects.records) == MAX_RECORDS
    assert len(suspects.watched(4.0)) == MAX_WATCHED
    assert suspects.standing("p", 5.0) is Standing.CONVICTED


def test_reports_of_the_first_release_still_convict_by_the_second():
    """Guards against: reading an old log in another way than it was written."""
    state = ControlState()
    state.apply(ReportDeath("e1", ["p"], 1.0))
    reply = state.apply(ReportDeath("e2", ["p"], 2.0))
    assert reply.convicted == ["p"]


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["death", "clear"]),
        st.integers(0, 4),
        st.sampled_from("ab"),
    ),
    max_size=30,
)


class Announced(NamedTuple):
    revision: int
    names: set[str]


def announced(suspects, at):
    return (
        Announced(suspects.revision, set(suspects.published(at))),
        Announced(suspects.watched_revision, set(suspects.watched(at))),
    )


@pytest.mark.parametrize("quarantine", [0.5, QUARANTINE])
@given(steps=_STEPS)
def test_the_revision_tells_of_each_change_for_gateways(quarantine, steps):
    """Guards against: a gateway that is not told of a suspect."""
    suspects = Suspects({}, [])
    for at, (step, endpoint, name) in enumerate(steps):
        before = announced(suspects, at)
        if step == "death":
            death_id = f"e{endpoint}-{at // 3}"
            suspects.report_death(death_id, runs(name), at, quarantine)
        else:
            suspects.clear(name)
        after = announced(suspects, at)
        for old, new in zip(before, after, strict=True):
            assert new.revision > old.revision or new.names == old.names


@given(steps=_STEPS)
def test_a_request_that_is_answered_in_between_is_never_refused(steps):
    """Guards against: convicting a request by deaths between which endpoints
    have answered it.
    """
    suspects = Suspects({}, [])
    for at, (_, endpoint, name) in enumerate(steps):
        suspects.report_death(f"e{endpoint}-{at}", runs(name), at, QUARANTINE)
        if at % 2:
            suspects.clear("a")
            suspects.clear("b")
        assert suspects.standing(name, at) is not Standing.CONVICTED


def parts(request, *names, seconds=0.05):
    return [EndedRun(name, seconds, request=request) for name in names]


def test_a_part_is_convicted_by_the_deaths_of_two_requests():
    """Guards against requests that are never alike and crash one endpoint
    after the other by a part that they share.
    """
    suspects = Suspects({}, [])
    suspects.report_death("e1", runs("r1") + parts("r1", "dead", "a"), 0.0, 60)
    suspects.report_death("e2", runs("r2") + parts("r2", "dead", "b"), 1.0, 60)
    assert suspects.standing("dead", 2.0) is Standing.CONVICTED
    for name in ("a", "b", "r1", "r2"):
        assert not suspects.must_hold(name)


def test_a_request_that_is_sent_again_does_not_convict_its_parts():
    """Guards against refusing all requests with a part because one of them
    crashes endpoints by something else.
    """
    suspects = Suspects({}, [])
    for number in range(2):
        ended = runs("r1", earlier_deaths=number) + parts("r1", "shared")
        suspects.report_death(f"e{number}", ended, float(number), 60)
    assert suspects.standing("r1", 2.0) is Standing.CONVICTED
    assert not suspects.must_hold("shared")


def test_endpoints_that_die_at_once_do_not_convict_the_parts_of_all():
    """Guards against refusing a popular part after a zone was lost."""
    suspects = Suspects({}, [])
    for number in range(9):
        ended = parts(f"r{number}", "popular", seconds=0.9)
        suspects.report_death(f"e{number}", ended, 10.0 + number / 100, 60)
    assert not suspects.must_hold("popular")


def test_a_death_under_a_known_suspect_says_nothing_of_others():
    """Guards against suspecting what runs beside a part that is tried again
    after its quarantine.
    """
    suspects = Suspects({}, [])
    for number in range(2):
        ended = parts(f"r{number}", "dead")
        suspects.report_death(f"e{number}", ended, float(number), 60)
    for number in range(2, 4):
        beside = runs("x") + parts(f"r{number}", "dead", "beside")
        suspects.report_death(f"e{number}", beside, 30.0 * number, 60)
    assert suspects.records.keys() == {"dead"}
    assert suspects.records["dead"].deaths == 4


def test_a_part_that_was_answered_is_not_convicted_by_the_next_death():
    """Guards against adding up deaths of a part that runs well in between."""
    suspects = Suspects({}, [])
    suspects.report_death("e1", parts("r1", "sound"), 0.0, 60)
    suspects.clear("sound")
    suspects.report_death("e2", parts("r2", "sound"), 1.0, 60)
    assert not suspects.must_hold("sound")


def test_a_flood_of_new_parts_does_not_push_out_a_known_one():
    """Guards against lifting a quarantine by requests with many parts."""
    suspects = Suspects({}, [])
    for number in range(2):
        ended = parts(f"r{number}", "dead")
        suspects.report_death(f"e{number}", ended, float(number), 60)
    names = [f"new-{number}" for number in range(MAX_RECORDS + 500)]
    suspects.report_death("e3", parts("flood", *names), 3.0, 60)
    assert len(suspects.records) == MAX_RECORDS
    assert suspects.standing("dead", 4.0) is Standing.CONVICTED
