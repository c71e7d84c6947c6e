"""Heartbeats that would keep an endpoint's own ones out."""

import msgspec
import pytest

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.fleet.control.endpoint_feed import EndpointFeed
from marjoramyard.fleet.control.plausibility import (
    FAR_AHEAD_SECONDS,
    MAX_AHEAD_SECONDS,
    MAX_ALONE_SECONDS,
    MAX_SEQUENCE_STEP,
    MAX_SILENT_SECONDS,
    PlausibilityCheck,
)

NOW = 1_790_000_000.0
HOUR = 3600.0
LARGEST = (1 << 53) - 1


class Clocks:
    def __init__(self):
        self.wall = NOW
        self.steady = 100.0

    def pass_time(self, seconds):
        self.wall += seconds
        self.steady += seconds


@pytest.fixture
def clocks():
    return Clocks()


@pytest.fixture
def registrations():
    return Registrations()


@pytest.fixture
def check(clocks, registrations):
    return PlausibilityCheck(
        registrations,
        lambda: clocks.wall,
        lambda: clocks.steady,
        lambda: clocks.steady,
    )


def heartbeat(born_in=-HOUR, sequence=7, **changes):
    return Registration(
        endpoint="i-1",
        service="llm",
        address="10.0.0.1:80",
        born=int((NOW + born_in) * 1000),
        sequence=sequence,
        **changes,
    )


@pytest.mark.parametrize("known", [None, heartbeat()])
def test_a_lifetime_far_in_the_future_is_refused(check, known):
    """Guards against an odd entry that stands for good."""
    odd = heartbeat(born_in=FAR_AHEAD_SECONDS + 1)
    assert "born" in check.problem_of(odd, known)


@pytest.mark.parametrize("name", ["i-1", "i-other"])
def test_a_lifetime_in_the_future_replaces_no_live_endpoint(
    check, clocks, registrations, name
):
    """Guards against an odd entry under the name of a sound endpoint, or at its
    address, that keeps the endpoint's own heartbeats out.
    """
    registrations.merge(heartbeat(), clocks.steady)
    known = registrations.by_endpoint.get(name)

    def problem(born_in):
        odd = msgspec.structs.replace(heartbeat(born_in), endpoint=name)
        return check.problem_of(odd, known)

    assert "born" in problem(MAX_AHEAD_SECONDS + 1)
    assert problem(MAX_AHEAD_SECONDS - 1) is None


def test_an_endpoint_that_starts_again_is_refused_for_seconds_at_most(
    check, clocks, registrations
):
    """Guards against endpoints that can't start again under their names while
    the clock of a control host is behind.
    """
    registrations.merge(heartbeat(), clocks.steady)
    known = registrations.by_endpoint["i-1"]
    started = heartbeat(born_in=HOUR)
    assert check.problem_of(started, known)
    clocks.pass_time(MAX_SILENT_SECONDS)
    assert check.problem_of(started, known) is None


@pytest.mark.parametrize("known", [None, heartbeat(), heartbeat(born_in=-9.0)])
def test_a_sequence_far_ahead_is_refused(check, known):
    """Guards against an endpoint whose own heartbeats are all older."""
    assert "sequence" in check.problem_of(heartbeat(sequence=LARGEST), known)
    young = heartbeat(born_in=-1.0, sequence=MAX_SEQUENCE_STEP + 2000)
    assert "sequence" in check.problem_of(young, known)


@pytest.mark.parametrize("jump", [-10.0, 10.0, -1000 * HOUR, 1000 * HOUR])
def test_a_jump_of_the_clock_locks_no_endpoint_out(check, clocks, jump):
    """Guards against sound endpoints that a host with a wrong clock refuses."""
    clocks.pass_time(HOUR)
    clocks.wall += jump
    assert check.problem_of(heartbeat(sequence=8), heartbeat()) is None
    assert check.problem_of(heartbeat(born_in=HOUR - 1), heartbeat()) is None
    assert (
        check.problem_of(heartbeat(born_in=HOUR - 1, sequence=1), None) is None
    )


def test_a_host_whose_clock_is_wrong_believes_the_others(clocks, registrations):
    """Guards against a host that refuses what the others have registered."""
    clocks.wall -= 1000 * HOUR
    check = PlausibilityCheck(
        registrations, lambda: clocks.wall, lambda: clocks.steady
    )
    known = heartbeat(sequence=1_000_000)
    assert check.problem_of(known, None)
    assert check.problem_of(heartbeat(sequence=1_000_001), known) is None
    clocks.wall += 1000 * HOUR
    assert check.problem_of(known, None) is None


def test_an_endpoint_of_days_without_a_start_is_plausible(check):
    old = heartbeat(born_in=-NOW, sequence=1_000_000)
    assert check.problem_of(old, None) is None
    assert (
        check.problem_of(heartbeat(born_in=-24 * HOUR, sequence=72_000), None)
        is None
    )


def test_an_endpoint_is_heard_again_after_a_long_silence(
    check, clocks, registrations
):
    """Guards against an endpoint that is refused for good once a host has heard
    of none of its heartbeats for hours.
    """
    known = heartbeat()
    registrations.merge(known, clocks.steady)
    clocks.pass_time(24 * HOUR)
    sequence = known.sequence + 72_000
    assert check.problem_of(heartbeat(sequence=sequence), known) is None
    assert "sequence" in check.problem_of(heartbeat(sequence=LARGEST), known)


def test_a_draining_endpoint_is_heard_after_an_odd_heartbeat(check):
    """Guards against departures that an odd entry hides."""
    feed = EndpointFeed("control", lambda: None)
    draining = heartbeat(sequence=8, state=EndpointState.DRAINING)
    for each in (
        heartbeat(),
        heartbeat(born_in=HOUR),
        heartbeat(sequence=LARGEST),
        draining,
    ):
        known = feed.registrations.by_endpoint.get("i-1")
        if check.problem_of(each, known) is None:
            feed.register(each)
    assert feed.registrations.by_endpoint["i-1"] == draining


def numbered_heartbeat(number, **changes):
    return Registration(
        endpoint=f"i-{number}",
        service="llm",
        address=f"10.0.1.{number}:80",
        born=int((NOW - number) * 1000),
        **changes,
    )


def test_a_host_whose_clock_is_behind_registers_all_endpoints(
    clocks, registrations
):
    """Guards against hosts that register nothing, as their clocks are wrong."""
    clocks.wall -= 1000 * HOUR
    check = PlausibilityCheck(
        registrations, lambda: clocks.wall, lambda: clocks.steady
    )
    assert check.problem_of(numbered_heartbeat(1), None)
    clocks.pass_time(MAX_ALONE_SECONDS + 1)
    for number in range(1, 6):
        sound = numbered_heartbeat(number, sequence=1_000_000)
        assert check.problem_of(sound, None) is None
        registrations.merge(sound, clocks.steady)


@pytest.mark.parametrize("sound", [1, 2, 5])
def test_endpoints_with_a_right_clock_outvote_one_in_the_future(
    check, clocks, registrations, sound
):
    """Guards against an odd entry that is believed as it comes repeatedly."""
    for number in range(sound):
        registrations.merge(numbered_heartbeat(number + 2), clocks.steady)
    odd = heartbeat(born_in=2 * FAR_AHEAD_SECONDS)
    for _ in range(10):
        clocks.pass_time(MAX_ALONE_SECONDS)
        assert "born" in check.problem_of(odd, None)


def test_endpoints_that_start_while_the_clock_is_behind_are_registered(
    clocks, registrations
):
    """Guards against a fleet whose control hosts share a clock that is behind:
    releases and restarts are refused for as long as it is.
    """
    clocks.wall -= HOUR
    check = PlausibilityCheck(
        registrations, lambda: clocks.wall, lambda: clocks.steady
    )
    for number in range(1, 6):
        running = heartbeat(born_in=-5 * HOUR)
        running = msgspec.structs.replace(
            running, endpoint=f"i-old-{number}", address=f"10.0.1.{number}:80"
        )
        registrations.merge(running, clocks.steady)
    clocks.pass_time(10 * MAX_ALONE_SECONDS)
    started = heartbeat(born_in=0.0, sequence=1)
    assert check.problem_of(started, None) is None
