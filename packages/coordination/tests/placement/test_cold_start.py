"""Load: many routers send to engines that have just started."""

import random
import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.cold_start import (
    GRANT_VALID_MS,
    HANDOVER_MS,
    ColdStartThrottle,
    window_limit,
)
from marjoramyard.coordination.placement.requests import PlacementGrant

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import PROFILE, RATE, make_request  # noqa: E402

PER_S = 9.1
HARD_LIMIT = PER_S * 1.5 + 5.0
LIMIT = window_limit(PER_S, HARD_LIMIT)
ROUTERS = 40


def most_in_a_second(times):
    """Returns the most times in any second."""
    times = sorted(times)
    return max(
        (sum(start <= at < start + 1000.0 for at in times) for start in times),
        default=0,
    )


class Routers:
    """Routers that send granted requests late, or never.

    Attributes:
        arrivals: When the engines got requests, by engine.
        suspended_until: When each suspended router goes on.
    """

    def __init__(self, rng):
        self.rng = rng
        self.arrivals = {}
        self.suspended_until = [0.0] * ROUTERS

    def suspend(self, router, until):
        self.suspended_until[router] = until

    def use(self, grant, router, requested_at, now):
        """Uses a grant that arrives after a random delay, if it is valid."""
        at = now + self.rng.expovariate(1 / 20.0)
        at = max(at, self.suspended_until[router])
        if not grant.is_cold or at - requested_at <= GRANT_VALID_MS:
            self.arrivals.setdefault(grant.endpoint, []).append(at)


def make_broker(now, cold, takes_over=False):
    broker = Broker(PROFILE, RATE, LIMIT)
    broker.cold_grants_from = now + HANDOVER_MS if takes_over else now
    broker.set_engines(["cold", "warm"] if not cold else ["cold"])
    broker.set_cold_until("cold", now + 60_000.0)
    return broker


@pytest.mark.parametrize("seed", range(8))
def test_cold_engines_get_no_more_than_their_limit(seed):
    """Guards against an engine that crashes because all routers return to it.

    Routers are suspended while they hold grants, and the broker is replaced
    several times by one that knows nothing of its grants.
    """
    rng = random.Random(seed)
    routers = Routers(rng)
    broker = make_broker(0.0, cold=True)
    pending = {}
    now, number = 0.0, 0
    while now < 20_000.0:
        now += rng.expovariate(0.2)
        number += 1
        if rng.random() < 0.005:
            until = now + rng.uniform(0, 3000)
            for router in rng.sample(range(ROUTERS), 30):
                routers.suspend(router, until)
        if rng.random() < 0.004:
            broker = make_broker(now, cold=True, takes_over=True)
            pending = {}
        key = f"k{number}"
        request = make_request(key, "w", now, tokens=200)
        if broker.submit(request, now) is None:
            pending[key] = (rng.randrange(ROUTERS), now)
        for result in broker.dispatch(now):
            router, requested_at = pending.pop(result.key, (0, now))
            if isinstance(result, PlacementGrant):
                routers.use(result, router, requested_at, now)
                broker.record_first_token(result.key, now)
                broker.finish(result.key)
    assert len(routers.arrivals["cold"]) > 20
    assert most_in_a_second(routers.arrivals["cold"]) <= HARD_LIMIT


def test_what_a_cold_engine_can_t_take_goes_to_the_others():
    """Guards against waiting for a cold engine beside an idle one."""
    broker = make_broker(0.0, cold=False)
    granted = []
    for number in range(40):
        broker.submit(make_request(f"k{number}", tokens=20), 0.0)
        granted += broker.dispatch(0.0)
    by_engine = [grant.endpoint for grant in granted]
    assert by_engine.count("cold") == LIMIT
    assert by_engine.count("warm") == 40 - LIMIT
    assert {g.endpoint for g in granted if g.is_cold} == {"cold"}


def test_waits_are_predicted_without_cold_engines():
    """Guards against admitting what only cold engines could have served."""
    broker = make_broker(0.0, cold=False)
    broker.refresh_cold(0.0)
    assert broker.total_prefill_rate == RATE
    broker.refresh_cold(60_000.0)
    assert broker.total_prefill_rate == 2 * RATE


def test_requests_before_an_engine_turned_cold_count():
    """Guards against a second helping after the report of a restart."""
    throttle = ColdStartThrottle(3)
    for at in (0.0, 100.0, 200.0, 300.0):
        throttle.record(at)
    assert throttle.remaining(300.0) > 100
    throttle.cold_until = 5000.0
    assert throttle.remaining(300.0) == 0
    assert throttle.remaining(1150.0) == 1
    assert throttle.remaining(5000.0) > 100


@pytest.mark.parametrize("per_s", [0.5, 3.0, 9.1, 40.0])
@pytest.mark.parametrize(("overrun", "slack"), [(1.5, 5.0), (1.1, 2.0)])
def test_two_windows_of_grants_fit_into_the_hard_limit(per_s, overrun, slack):
    hard_limit = per_s * overrun + slack
    limit = window_limit(per_s, hard_limit)
    assert 1 <= limit <= max(1.0, per_s)
    assert 2 * limit <= hard_limit


def test_a_service_without_a_limit_is_not_throttled():
    assert window_limit(0.0, 5.0) == 0
    throttle = ColdStartThrottle(0)
    throttle.cold_until = 5000.0
    throttle.record(1.0)
    assert not throttle.is_cold(1.0)
    assert not throttle.sent_at


def test_a_changed_limit_applies_to_known_engines():
    """Guards against a broker that keeps the limit of its first day."""
    broker = make_broker(0.0, cold=True)
    broker.set_cold_limit(2)
    for number in range(5):
        broker.submit(make_request(f"k{number}", tokens=20), 0.0)
    assert len(broker.dispatch(0.0)) == 2
    broker.set_cold_limit(0)
    assert len(broker.dispatch(0.0)) == 3
