"""What a broker announces for its successor, and its size."""

import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.engines import EngineEstimate
from marjoramyard.coordination.placement.snapshots import (
    EMPTY_SNAPSHOT,
    LEAD_TOLERANCE_TOKENS,
    TOLERANCE,
    BrokerSnapshot,
    changes_between,
    merged,
    take_snapshot,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    RATE,
    Simulation,
    make_broker,
    make_request,
    poisson_arrivals,
)

PROMPT_TOKENS = 6000

rates = st.floats(1.0, 200.0)
engines = st.dictionaries(st.sampled_from("abcd"), rates).map(
    lambda by_name: tuple(
        EngineEstimate(name, 1, rate) for name, rate in by_name.items()
    )
)
leads = st.dictionaries(st.sampled_from("uvwx"), st.floats(1.0, 1e6))
snapshots = st.builds(BrokerSnapshot, engines, leads)


def rates_of(snapshot):
    return {engine.endpoint: engine.rate for engine in snapshot.engines}


@given(st.lists(snapshots, min_size=1))
def test_a_holder_of_all_changes_knows_the_last_snapshot(series):
    known = EMPTY_SNAPSHOT
    for snapshot in series:
        known = merged(known, changes_between(known, snapshot))
    for endpoint, rate in rates_of(series[-1]).items():
        assert rates_of(known)[endpoint] == pytest.approx(
            rate, rel=2 * TOLERANCE
        )
    for workspace in known.leads | series[-1].leads:
        lead = known.leads.get(workspace, 0.0)
        error = abs(lead - series[-1].leads.get(workspace, 0.0))
        assert error <= max(LEAD_TOLERANCE_TOKENS, TOLERANCE * lead)


@given(snapshots)
def test_nothing_is_announced_twice(snapshot):
    assert changes_between(snapshot, snapshot) == EMPTY_SNAPSHOT


def test_only_measured_engines_are_announced():
    broker = make_broker(2)
    engine = broker.engines["e1"]
    engine.add_prefill(6000, 0.0)
    engine.finish_prefill(6000, 300.0)
    [estimate] = take_snapshot(broker).engines
    assert estimate.endpoint == "e1"
    assert estimate.rate == pytest.approx(engine.rate, rel=1e-3)


def test_a_workspace_is_announced_by_its_lead_over_the_least_served():
    broker = make_broker(1)
    for workspace in ("small", "large"):
        broker.submit(make_request(workspace, workspace), 0.0)
    broker.charge("large", 60_000.0)
    broker.charge("idle", 1000.0)
    assert take_snapshot(broker).leads == {"idle": 1000.0, "large": 60_000.0}


def test_no_workspace_has_a_lead_while_nothing_is_queued():
    """The next request of each workspace would have the same virtual time."""
    broker = make_broker(1)
    broker.charge("large", 60_000.0)
    broker.charge("small", 1000.0)
    assert take_snapshot(broker).leads == {}


MAX_BYTES = {(26, 30): 4_000, (330, 104): 32_000}
"""Limits on the size of an announcement, by engines and workspaces."""


@pytest.mark.parametrize("engine_count, workspace_count", MAX_BYTES)
def test_a_full_announcement_is_small(engine_count, workspace_count):
    """Guards against announcements that fill a small host's link."""
    estimates = (
        EngineEstimate(f"engine-{n:03}.zone-{n % 4}", 1_790_000_000_000, 36.25)
        for n in range(engine_count)
    )
    leads = {f"workspace-{n:03}": 12_340.0 for n in range(workspace_count)}
    snapshot = BrokerSnapshot(tuple(estimates), leads)
    size = len(msgspec.json.encode(snapshot))
    print(f"{engine_count} engines, {workspace_count} workspaces: {size} bytes")
    assert size <= MAX_BYTES[engine_count, workspace_count]


def announcement_sizes(simulation, arrivals):
    """Returns the bytes of the announcements of each second of a load."""
    known = EMPTY_SNAPSHOT
    sizes = []
    for at, request in arrivals:
        if at >= 1000 * (len(sizes) + 1):
            simulation.run_until(at)
            current = take_snapshot(simulation.broker)
            changes = changes_between(known, current)
            known = merged(known, changes)
            sizes.append(len(msgspec.json.encode(changes)))
        simulation.submit(at, request)
    return sizes


@pytest.mark.parametrize("engine_count, workspace_count", MAX_BYTES)
def test_announcements_under_overload_are_small(engine_count, workspace_count):
    """Guards against virtual times that are announced at each change.

    All workspaces have queued requests all the time. In the first two seconds
    the rates and the speeds of the engines become known.
    """
    broker = make_broker(engine_count)
    simulation = Simulation(broker, rate=0.8 * RATE, report_ms=25.0)
    capacity = engine_count * RATE * 1000 / PROMPT_TOKENS
    per_second = 1.5 * capacity / workspace_count
    load = {
        f"workspace-{n:03}": (per_second, PROMPT_TOKENS)
        for n in range(workspace_count)
    }
    sizes = announcement_sizes(simulation, poisson_arrivals(load, 5.2))
    print(f"{engine_count} engines, {workspace_count} workspaces: {sizes}")
    assert len(sizes) == 5
    assert max(sizes) <= MAX_BYTES[engine_count, workspace_count]
    assert max(sizes[2:]) <= sizes[0] / 2
