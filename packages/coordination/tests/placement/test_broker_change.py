"""What callers notice when a broker is replaced under overload."""

import statistics
import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.handover import (
    ARRIVAL_MS,
    Handover,
)
from marjoramyard.coordination.placement.requests import UnbrokeredRequest
from marjoramyard.coordination.placement.snapshots import (
    BrokerSnapshot,
    take_snapshot,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    OBJECTIVE_MS,
    RATE,
    Simulation,
    make_broker,
    make_request,
    poisson_arrivals,
)

ACTUAL_RATE = RATE / 4
"""The prefill rate of the engines, in tokens per ms. A broker begins with
`RATE`."""
LOAD = {"large": (40, 2000), "b": (2, 1500), "c": (2, 1000)}
"""Five times what two engines prefill, by one workspace; `b` and `c` ask for
less than a third each."""
WARM_MS = 2000.0
CHANGE_MS = 5000.0
END_MS = 7000.0
SEEDS = range(24)
TOLERANCE = 1.02
"""Of mean times: the requests before and after the change are others."""


class SimulationWithChange(Simulation):
    """A simulation in which a successor replaces the broker.

    Routers report what is in flight, and submit queued requests once more.
    """

    handover = None

    def replace_broker(self):
        predecessor = self.broker
        self.broker = make_broker(2)
        self.handover = Handover(self.broker, self.now)
        self.handover.adopt(take_snapshot(predecessor), 0.0, self.now)
        for key, request in predecessor.in_flight.items():
            self.report(key, request)
        for queued in predecessor.queued.values():
            refused = self.broker.submit(queued.request, self.now)
            if refused is not None:
                self.refused[queued.request.key] = refused
        self.dispatch()

    def submit(self, at, request):
        if self.handover is not None:
            self.handover.close_if_over(at)
        super().submit(at, request)

    def report(self, key, request):
        submitted = self.submitted[key]
        tokens = request.prefill_tokens if request.is_prefilling else 0.0
        self.broker.add_unbrokered(
            UnbrokeredRequest(
                key=key,
                endpoint=request.endpoint,
                prefill_tokens=tokens,
                memory_tokens=request.memory_tokens,
                workspace=submitted.workspace,
                output_tokens=submitted.output_tokens,
                age_ms=self.now - request.granted_at,
            ),
            self.now,
        )

    def small_keys(self, begin, end):
        """Returns the requests of the small workspaces in a period."""
        return [
            key
            for key, request in self.submitted.items()
            if request.workspace != "large"
            and begin <= request.submitted_at < end
        ]


def run(seed, with_change):
    """Returns a run with or without a change of broker in the middle."""
    simulation = SimulationWithChange(make_broker(2), rate=ACTUAL_RATE)
    arrivals = poisson_arrivals(LOAD, END_MS / 1000, seed)
    before = [pair for pair in arrivals if pair[0] < CHANGE_MS]
    after = [pair for pair in arrivals if pair[0] >= CHANGE_MS]
    simulation.run(before, settle_ms=0.0)
    if with_change:
        simulation.replace_broker()
    simulation.run(after)
    return simulation


@pytest.fixture(scope="module")
def changed():
    return [run(seed, with_change=True) for seed in SEEDS]


@pytest.fixture(scope="module")
def unchanged():
    return [run(seed, with_change=False) for seed in SEEDS]


def times_of_small(runs, begin, end):
    """Returns the times to the first token of what was not refused."""
    return [
        simulation.first_token_ms[key]
        for simulation in runs
        for key in simulation.small_keys(begin, end)
        if key in simulation.first_token_ms
    ]


def refused_share(runs, begin, end):
    keys = [(run, key) for run in runs for key in run.small_keys(begin, end)]
    return sum(key in run.refused for run, key in keys) / len(keys)


def test_a_small_workspace_is_served_as_before_the_change(changed):
    """Guards against requests of workspaces within their share that are refused
    or late because a new broker knows neither shares nor rates.
    """
    before = times_of_small(changed, WARM_MS, CHANGE_MS)
    after = times_of_small(changed, CHANGE_MS, END_MS)
    assert max(after) <= OBJECTIVE_MS
    assert statistics.mean(after) <= TOLERANCE * statistics.mean(before)
    assert refused_share(changed, CHANGE_MS, END_MS) <= refused_share(
        changed, WARM_MS, CHANGE_MS
    )


def test_a_small_workspace_is_served_as_without_a_change(changed, unchanged):
    """The same for the very requests that a change of broker meets."""
    expected = times_of_small(unchanged, CHANGE_MS, END_MS)
    after = times_of_small(changed, CHANGE_MS, END_MS)
    assert statistics.mean(after) <= TOLERANCE * statistics.mean(expected)
    assert refused_share(changed, CHANGE_MS, END_MS) <= refused_share(
        unchanged, CHANGE_MS, END_MS
    )


def test_a_successor_accepts_what_the_engines_can_serve_on_time(changed):
    """Guards against prompts that are accepted by a rate that is too high, and
    are late.
    """
    accepted = [
        ms
        for simulation in changed
        for key, ms in simulation.first_token_ms.items()
        if simulation.submitted[key].submitted_at >= CHANGE_MS
    ]
    late = [ms for ms in accepted if ms > OBJECTIVE_MS]
    assert len(late) <= 0.02 * len(accepted)


def served_first(broker, now):
    """Returns whose request is granted first if `large` submits first."""
    for number in range(3):
        for workspace in ("large", "small"):
            key = f"{workspace}-{now}-{number}"
            broker.submit(make_request(key, workspace, now), now)
    return broker.pop_next().request.workspace


def test_a_workspace_that_had_more_than_its_share_comes_later():
    """Guards against virtual times that are forgotten when the first request
    is queued, as nothing else is queued at a new broker.
    """
    broker = make_broker(1)
    handover = Handover(broker, 0.0)
    handover.adopt(BrokerSnapshot(leads={"large": 50_000.0}), 0.0, 0.0)
    handover.close_if_over(ARRIVAL_MS)
    assert served_first(broker, ARRIVAL_MS) == "small"


def test_a_workspace_has_no_claim_for_time_in_which_it_was_idle():
    """Guards against a claim that remains after all gateways have connected."""
    broker = make_broker(1)
    handover = Handover(broker, 0.0)
    handover.adopt(BrokerSnapshot(leads={"large": 50_000.0}), 0.0, 0.0)
    handover.close_if_over(ARRIVAL_MS + 1.0)
    assert served_first(broker, ARRIVAL_MS + 1.0) == "large"
