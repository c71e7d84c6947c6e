"""Tests of a gateway's report on suspects."""

from marjoramyard.coordination.governance.suspects import Standing
from marjoramyard.fleet.gateway.known_suspects import KnownSuspects


def test_an_outdated_report_changes_nothing():
    """Guards against a cut-off control host that lifts a quarantine."""
    known = KnownSuspects()
    known.update(2, {"f": 5.0}, 100.0)
    known.update(1, {}, 101.0)
    assert known.standing("f", 104.0) is Standing.CONVICTED
    assert known.seconds_left("f", 104.0) == 1.0
    assert known.standing("f", 106.0) is Standing.SUSPECT


def test_a_newer_report_replaces_the_last():
    """Guards against a quarantine that is never lifted."""
    known = KnownSuspects()
    known.update(2, {"f": 5.0, "g": 0.0}, 100.0)
    known.update(3, {"g": 0.0}, 101.0)
    assert known.standing("f", 101.0) is Standing.CLEAR
    assert known.standing("g", 101.0) is Standing.SUSPECT


def test_a_watched_suspect_runs_as_other_requests():
    """Guards against delaying all that ran beside the cause of a crash."""
    known = KnownSuspects()
    known.watch(2, ["h"])
    known.watch(1, [])
    assert known.standing("h", 101.0) is Standing.CLEAR
    assert not known.is_empty
    assert known.forget("h")
    assert not known.forget("h")
    assert known.is_empty
