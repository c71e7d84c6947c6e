"""Pauses that endpoints ask for."""

from marjoramyard.coordination.membership.pauses import EndpointPauses


def test_a_shorter_pause_does_not_end_a_longer_one():
    """Guards against requests in a pause of which a later refusal asked less.

    Requests that were on their way are refused too, each with a pause.
    """
    pauses = EndpointPauses()
    pauses.record("e0", 13.0)
    pauses.record("e0", 11.0)
    assert pauses.is_paused("e0", 12.9)
    assert pauses.seconds_left("e0", 12.0) == 1.0
    assert not pauses.is_paused("e0", 13.0)


def test_pauses_that_have_ended_are_forgotten():
    pauses = EndpointPauses()
    pauses.record("e0", 11.0)
    pauses.record("e1", 12.0)
    assert pauses.current(10.0) == {"e0", "e1"}
    assert pauses.current(11.0) == {"e1"}
    assert pauses.until == {"e1": 12.0}


def test_a_restarted_endpoint_does_not_pause():
    pauses = EndpointPauses()
    pauses.record("e0", 11.0)
    pauses.forget("e0")
    assert not pauses.is_paused("e0", 10.0)
