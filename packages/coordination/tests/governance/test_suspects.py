"""Tests of the quarantine of requests that crash endpoints."""

from marjoramyard.coordination.governance.suspects import (
    HOLD_SECONDS,
    Standing,
    Suspects,
)


def test_the_second_death_convicts_and_other_suspects_are_cleared():
    """Guards against: a request that crashes more than two endpoints.

    The other requests that ran during the first crash are cleared once they
    complete.
    """
    suspects = Suspects({}, [])
    suspects.report_death("engine-1", ["poison", "x", "y"], 0.0, 60.0)
    assert suspects.standing("x", 1.0) is Standing.SUSPECT
    for name in ("x", "y"):
        assert suspects.hold(name, "agent-2", 1.0)
        suspects.release(name, "agent-2", clear=True)
        assert suspects.standing(name, 2.0) is Standing.CLEAR
    assert suspects.hold("poison", "agent-2", 3.0)
    convicted = suspects.report_death("engine-2", ["poison", "z"], 4.0, 60.0)
    assert convicted == ["poison"]
    assert suspects.standing("z", 5.0) is Standing.SUSPECT
    assert suspects.standing("poison", 63.0) is Standing.CONVICTED
    assert not suspects.hold("poison", "agent-3", 5.0)
    assert suspects.standing("poison", 65.0) is Standing.SUSPECT


def test_a_suspect_runs_at_one_agent_at_a_time():
    """Guards against: a suspect that crashes several endpoints at once."""
    suspects = Suspects({}, [])
    suspects.report_death("engine-1", ["p"], 0.0, 60.0)
    assert suspects.hold("p", "agent-1", 1.0)
    assert not suspects.hold("p", "agent-2", 2.0)
    assert suspects.hold("p", "agent-1", 2.0)
    assert suspects.hold("p", "agent-2", 3.0 + HOLD_SECONDS)


def test_a_death_with_several_reports_counts_once():
    """Guards against: convicting a request because of duplicate reports."""
    suspects = Suspects({}, [])
    for _ in range(4):
        suspects.report_death("engine-1", ["p"], 0.0, 60.0)
    assert suspects.standing("p", 1.0) is Standing.SUSPECT
