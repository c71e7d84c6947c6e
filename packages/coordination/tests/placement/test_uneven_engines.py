"""Load: a pool whose engines differ in speed, under overload."""

import sys
from pathlib import Path

import msgspec
import pytest

from marjoramyard.coordination.placement.backlog_limit import MIN_BACKLOG_MS
from marjoramyard.coordination.placement.engines import EngineEstimate
from marjoramyard.coordination.placement.requests import UnbrokeredRequest

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    OBJECTIVE_MS,
    RATE,
    Simulation,
    make_broker,
    make_request,
    poisson_arrivals,
)

ENGINES = 9
FACTORS = (0.6, 1.0, 1.6)
TOKENS = (1000, 2500, 4000)
SECONDS = 20
LATENCY_MS = 60.0
"""Time from the end of a prefill until the next prompt reaches the engine."""


def factor_of(endpoint):
    return FACTORS[int(endpoint[1:]) % len(FACTORS)]


class UnevenSimulation(Simulation):
    """Engines of three speeds, of which the slow ones delay their streams.

    Attributes:
        busy_ms: How long each engine prefilled prompts granted while requests
            arrived.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.busy_ms = dict.fromkeys(self.broker.engines, 0.0)

    def run_until(self, end):
        for endpoint in self.broker.engines:
            self.free_at.setdefault(endpoint, 0.0)
        super().run_until(end)

    def prefill_ms(self, endpoint, tokens):
        prefill_ms = tokens / self.rate * factor_of(endpoint)
        if self.now <= SECONDS * 1000:
            self.busy_ms[endpoint] += prefill_ms
        return prefill_ms

    def gap_ratio_at(self, endpoint):
        return 1.2 if factor_of(endpoint) > 1.0 else 0.5


def capacity(rate=RATE):
    """Returns the tokens per ms that all engines prefill together."""
    return sum(rate / factor_of(f"e{n}") for n in range(ENGINES))


def simulate(load, seed=0, seconds=SECONDS):
    """Returns the simulation of a load, as a share of the capacity."""
    simulation = UnevenSimulation(
        make_broker(ENGINES),
        grant_ms=LATENCY_MS / 2,
        report_ms=LATENCY_MS / 2,
    )
    simulation.run(arrivals_of(load * capacity(), seconds, seed))
    return simulation


def arrivals_of(tokens_per_ms, seconds, seed):
    """Returns the arrivals of a load, a workspace for each prompt length."""
    per_s = tokens_per_ms * 1000 / sum(TOKENS)
    workspaces = {f"w{seed}-{tokens}": (per_s, tokens) for tokens in TOKENS}
    return poisson_arrivals(workspaces, seconds, seed)


def served_share(simulation):
    """Returns the prompts served on time, as a share of the capacity."""
    on_time = [
        simulation.submitted[key].prompt_tokens
        for key, ms in simulation.first_token_ms.items()
        if ms <= OBJECTIVE_MS
    ]
    return sum(on_time) / (capacity() * 1000 * SECONDS)


@pytest.fixture(scope="module")
def calm():
    return simulate(0.5)


def test_engines_of_three_speeds_are_told_apart(calm):
    """Guards against a limit that slow engines set for fast ones."""
    assert calm.broker.is_uneven
    assert all(e.is_told_apart for e in calm.broker.engines.values())


def test_fast_engines_get_a_longer_backlog_than_slow_ones(calm):
    """Guards against fast engines that idle between prompts."""
    lowest, highest = calm.broker.backlog_limit_range()
    assert lowest == MIN_BACKLOG_MS
    assert highest == pytest.approx(MIN_BACKLOG_MS + LATENCY_MS, abs=5.0)
    limits = [e.pace.limit_ms for e in calm.broker.engines.values()]
    assert limits[0] == highest
    assert limits[2] == lowest


@pytest.mark.parametrize("seed", range(3))
def test_fast_engines_stay_busy_although_slow_ones_delay_streams(seed):
    """Guards against a limit for all engines that the slowest one sets."""
    simulation = simulate(3.0, seed)
    for endpoint, busy_ms in simulation.busy_ms.items():
        if factor_of(endpoint) < 1.0:
            assert busy_ms >= 0.85 * SECONDS * 1000
    assert served_share(simulation) >= 0.8


def test_an_engine_that_restarts_forgets_what_was_learnt(calm):
    """Guards against a replaced engine that is treated as its predecessor."""
    broker = calm.broker
    broker.set_lifetime("e0", 1)
    broker.set_lifetime("e0", 2)
    engine = broker.engines["e0"]
    assert engine.speed.ms_per_token(0.0) == 0.0
    assert engine.pace.streams == 0
    assert engine.pace.limit_ms == broker.backlog_limit.limit_ms


def test_an_engine_that_joins_has_its_own_limit(calm):
    """Guards against new engines that stay at the common limit."""
    broker = calm.broker
    broker.set_engines([*broker.engines, "e9"])
    assert broker.engines["e9"].is_told_apart


def test_a_successor_adopts_what_sets_an_engine_apart():
    """Guards against a new broker for which all engines are alike."""
    learnt = simulate(0.5, seconds=10).broker
    successor = make_broker(ENGINES)
    for endpoint, engine in learnt.engines.items():
        successor.engines[endpoint].adopt(engine.estimate())
    request = make_request("r")
    successor.submit(request, 0.0)
    successor.dispatch(0.0)
    successor.record_first_token("r", 60.0)
    assert successor.speeds.difference.ratio >= 2.0
    limits = [e.pace.limit_ms for e in learnt.engines.values()]
    assert [e.pace.limit_ms for e in successor.engines.values()] == limits


def test_an_estimate_of_an_earlier_release_can_be_adopted():
    """Guards against a handover that fails during a rolling update."""
    data = b'["e0", 1, 20.0]'
    engine = make_broker(1).engines["e0"]
    engine.adopt(msgspec.json.decode(data, type=EngineEstimate))
    assert engine.rate == 20.0
    assert engine.pace.limit_ms == MIN_BACKLOG_MS


def test_requests_sent_without_a_grant_tell_nothing_of_the_speed():
    """Guards against samples that begin at the report, not at the request."""
    broker = make_broker(1)
    sent = UnbrokeredRequest(
        key="r", endpoint="e0", prefill_tokens=4000.0, memory_tokens=4000.0
    )
    broker.add_unbrokered(sent, 0.0)
    broker.record_first_token("r", 50.0)
    assert not broker.engines["e0"].speed.samples


def test_requests_of_lagging_routers_tell_nothing_of_the_speed():
    """Guards against engines that look slow as a router lags."""
    broker = make_broker(1)
    broker.set_lagging("g", True)
    broker.submit(make_request("r", tokens=4000, router="g"), 0.0)
    broker.dispatch(0.0)
    broker.set_lagging("g", False)
    broker.record_first_token("r", 500.0)
    assert not broker.engines["e0"].speed.samples


@pytest.mark.parametrize("load", [0.5, 0.9, 2.0])
def test_equal_engines_under_load_are_not_told_apart(load):
    """Guards against changes to fleets of equal engines."""
    simulation = Simulation(make_broker(12), grant_ms=30.0, report_ms=30.0)
    simulation.run(arrivals_of(load * 12 * RATE, SECONDS, 0))
    assert not simulation.broker.is_uneven
    assert not any(e.is_told_apart for e in simulation.broker.engines.values())
