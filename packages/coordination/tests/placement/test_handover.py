"""What a broker takes over from its predecessor."""

import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.engines import (
    RELATIVE_RATE_BOUNDS,
    EngineEstimate,
)
from marjoramyard.coordination.placement.handover import (
    ANNOUNCE_INTERVAL_MS,
    MAX_AGE_MS,
    WINDOW_MS,
    Adoption,
    Handover,
)
from marjoramyard.coordination.placement.requests import UnbrokeredRequest
from marjoramyard.coordination.placement.snapshots import (
    BrokerSnapshot,
    take_snapshot,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import RATE, make_broker  # noqa: E402

NOW = 100_000.0
BORN = 7


def successor(engines=2, now=NOW):
    broker = make_broker(engines)
    for endpoint in broker.engines:
        broker.set_lifetime(endpoint, BORN)
    return broker, Handover(broker, now)


def snapshot(rates=None, leads=None, born=BORN):
    estimates = (
        EngineEstimate(name, born, rate) for name, rate in (rates or {}).items()
    )
    return BrokerSnapshot(tuple(estimates), leads or {})


def measure(broker, endpoint, rate, now):
    """Has a broker measure an engine for a second."""
    engine = broker.engines[endpoint]
    engine.add_prefill(rate * 1000, now - 1025.0)
    engine.finish_prefill(rate * 1000, now)


def rates_of(broker):
    return {name: engine.rate for name, engine in broker.engines.items()}


def test_a_successor_adopts_rates_and_virtual_times():
    broker, handover = successor()
    adoption = handover.adopt(snapshot({"e0": 20.0}, {"w": 900.0}), 500.0, NOW)
    assert adoption == Adoption(engines=1, workspaces=1)
    assert rates_of(broker) == {"e0": 20.0, "e1": RATE}
    assert broker.virtual_time == {"w": 900.0}
    assert broker.total_prefill_rate == 20.0 + RATE


def test_an_engine_that_was_restarted_keeps_the_initial_rate():
    broker, handover = successor()
    handover.adopt(snapshot({"e0": 20.0}, born=BORN - 1), 0.0, NOW)
    assert rates_of(broker)["e0"] == RATE


@pytest.mark.parametrize("rate", [-1.0, 0.0, 1e9])
def test_an_adopted_rate_is_in_the_range_of_measured_ones(rate):
    """Guards against a division by zero, and against engines that are never
    chosen again.
    """
    broker, handover = successor()
    handover.adopt(snapshot({"e0": rate}), 0.0, NOW)
    low, high = RELATIVE_RATE_BOUNDS
    assert low * RATE <= rates_of(broker)["e0"] <= high * RATE


def test_an_engine_that_is_found_later_gets_its_estimate():
    broker, handover = successor(engines=1)
    handover.adopt(snapshot({"e1": 20.0}), 0.0, NOW)
    broker.set_engines(["e0", "e1"])
    broker.set_lifetime("e1", BORN)
    handover.apply_estimates()
    assert rates_of(broker)["e1"] == 20.0


def test_an_engine_that_is_removed_and_returns_gets_its_estimate():
    """Guards against the initial rate for an engine that was unusable for a
    moment.
    """
    broker, handover = successor()
    handover.adopt(snapshot({"e1": 20.0}), 0.0, NOW)
    broker.set_engines(["e0"])
    broker.set_engines(["e0", "e1"])
    broker.set_lifetime("e1", BORN)
    assert handover.apply_estimates() == 1
    assert rates_of(broker)["e1"] == 20.0
    assert handover.apply_estimates() == 0


def test_a_new_initial_rate_does_not_move_the_range_of_a_measured_engine():
    """Guards against a rate that falls because other engines became ready."""
    broker, _ = successor()
    measure(broker, "e0", RATE, NOW)
    broker.set_initial_rate(RATE / 10)
    for second in range(1, 30):
        measure(broker, "e0", RATE, NOW + second * 2000.0)
    assert rates_of(broker) == {
        "e0": pytest.approx(RATE, rel=0.05),
        "e1": RATE / 10,
    }


def test_a_restarted_engine_returns_to_the_initial_rate():
    """Guards against the estimate of an earlier lifetime that is announced
    for the new one.
    """
    broker, _ = successor()
    measure(broker, "e0", 0.5 * RATE, NOW)
    assert rates_of(broker)["e0"] < RATE
    broker.set_lifetime("e0", BORN + 1)
    assert rates_of(broker)["e0"] == RATE
    assert take_snapshot(broker).engines == ()


def test_a_sample_that_spans_a_restart_is_discarded():
    """Guards against a rate that includes the time of the restart."""
    broker, _ = successor()
    engine = broker.engines["e0"]
    engine.add_prefill(6000.0, NOW)
    broker.set_lifetime("e0", BORN + 1)
    engine.finish_prefill(6000.0, NOW + 1000.0)
    assert rates_of(broker)["e0"] == RATE


def test_an_engine_whose_lifetime_becomes_known_keeps_its_rate():
    broker = make_broker(1)
    measure(broker, "e0", 0.5 * RATE, NOW)
    measured = rates_of(broker)
    broker.set_lifetime("e0", BORN)
    assert rates_of(broker) == measured


def test_an_adopted_rate_is_not_replaced_by_the_initial_one():
    broker, handover = successor()
    handover.adopt(snapshot({"e0": 20.0}), 0.0, NOW)
    broker.set_initial_rate(10.0)
    assert rates_of(broker) == {"e0": 20.0, "e1": 10.0}


def test_what_a_broker_has_measured_since_stays():
    """Guards against rates that fall back to those of a predecessor when a
    gateway connects late.
    """
    broker, handover = successor()
    measure(broker, "e0", 26.0, NOW + 1000.0)
    measured = rates_of(broker)["e0"]
    handover.adopt(snapshot({"e0": 90.0, "e1": 50.0}), 100.0, NOW + 1000.0)
    assert rates_of(broker) == {"e0": measured, "e1": 50.0}


@pytest.mark.parametrize(
    ("age_ms", "now"),
    [(MAX_AGE_MS + 1.0, NOW), (0.0, NOW + WINDOW_MS + 1.0)],
)
def test_old_and_late_snapshots_are_ignored(age_ms, now):
    """Guards against a broker that was suspended or cut off, and is told of by
    gateways that come from it.
    """
    broker, handover = successor()
    held = snapshot({"e0": 20.0}, {"w": 900.0})
    assert handover.adopt(held, age_ms, now) is None
    assert rates_of(broker)["e0"] == RATE
    assert broker.virtual_time == {}


def test_a_broker_that_was_suspended_adopts_what_another_has_learnt():
    broker, handover = successor()
    handover.adopt(snapshot({"e0": 30.0}, {"w": 9e5}), 0.0, NOW)
    broker.charge("w", 5000.0)
    measure(broker, "e0", 36.0, NOW + 50_000.0)
    handover.close_if_over(NOW + 50_000.0)
    handover.reopen(NOW + 54_000.0, used_until=NOW + 51_000.0)
    handover.adopt(snapshot({"e0": 20.0}, {"v": 900.0}), 500.0, NOW + 54_000.0)
    assert rates_of(broker)["e0"] == 20.0
    assert broker.virtual_time == {"v": 900.0}


def test_a_broker_that_was_suspended_ignores_its_own_announcement():
    """Guards against virtual times that fall back to those before a pause in
    which no other broker was in use.
    """
    broker, handover = successor()
    broker.charge("w", 5000.0)
    handover.reopen(NOW + 3000.0, used_until=NOW + 1000.0)
    handover.adopt(snapshot(leads={"w": 900.0}), 2500.0, NOW + 3000.0)
    assert broker.virtual_time == {"w": 5000.0}


@pytest.mark.parametrize("truncated_ms", [0.0, 0.9])
def test_a_broker_does_not_add_its_charges_to_its_own_announcement(
    truncated_ms,
):
    """Guards against workspaces that pay twice when a gateway reconnects to
    the same broker.
    """
    broker, handover = successor()
    broker.charge("w", 10_000.0)
    held = snapshot(leads={"w": 10_000.0})
    age_ms = 200.0 + truncated_ms
    handover.adopt(held, age_ms, NOW + ANNOUNCE_INTERVAL_MS + 200.0)
    assert broker.virtual_time == {"w": 10_000.0}


def test_charges_that_another_broker_has_adopted_are_not_added():
    """Guards against workspaces that pay twice when gateways change to another
    broker and back.
    """
    first, from_second = successor()
    first.keeps_floor = True
    first.charge("w", 10_000.0)
    second, from_first = successor(now=NOW + 1100.0)
    from_first.adopt(take_snapshot(first), 100.0, NOW + 1100.0)
    from_second.adopt(take_snapshot(second), 100.0, NOW + 2200.0)
    assert second.virtual_time == {"w": 10_000.0}
    assert first.virtual_time == {"w": 10_000.0}


def test_a_gateway_may_connect_later_than_the_first_announcement():
    """Guards against a bound on the time of the handover instead of the
    announcement's.
    """
    broker, handover = successor()
    broker.charge("w", 300.0)
    now = NOW + ANNOUNCE_INTERVAL_MS + 200.0
    handover.adopt(snapshot(leads={"w": 900.0}), 400.0, now)
    assert broker.virtual_time == {"w": 1200.0}


def test_a_charge_after_a_pause_is_added_to_adopted_virtual_times():
    """Guards against service that is forgotten when a broker is used again,
    and against charges from before the pause.
    """
    broker, handover = successor()
    broker.charge("w", 5000.0)
    handover.reopen(NOW + 9000.0, used_until=NOW + 1000.0)
    broker.charge("w", 300.0)
    handover.adopt(snapshot(leads={"w": 900.0}), 500.0, NOW + 9100.0)
    assert broker.virtual_time == {"w": 1200.0}


def test_nothing_is_kept_when_it_is_too_late_to_adopt():
    """Guards against memory that grows with the charges, and against engines
    that adopt an estimate minutes later.
    """
    broker, handover = successor()
    broker.charge("w", 300.0)
    broker.add_unbrokered(reported("r", "w", 100.0), NOW)
    handover.adopt(snapshot({"e9": 20.0}, {"w": 900.0}), 500.0, NOW)
    handover.close_if_over(NOW + WINDOW_MS + 1.0)
    broker.charge("w", 300.0)
    assert not handover.estimates
    assert not handover.applied
    assert not broker.charges.by_workspace
    assert not broker.charges.reported
    assert not broker.keeps_floor


def test_leads_that_are_not_positive_are_ignored():
    """Guards against a malformed message that puts a workspace before all."""
    broker, handover = successor()
    held = snapshot(leads={"u": -900.0, "v": 0.0, "w": 900.0})
    adoption = handover.adopt(held, 0.0, NOW)
    assert adoption == Adoption(engines=0, workspaces=1)
    assert broker.virtual_time == {"w": 900.0}


def reported(key, workspace, age_ms, tokens=1000.0):
    return UnbrokeredRequest(
        key=key,
        endpoint="e0",
        prefill_tokens=tokens,
        memory_tokens=1.0,
        workspace=workspace,
        age_ms=age_ms,
    )


@pytest.mark.parametrize("is_reported_first", [True, False])
def test_a_reported_request_is_charged_once(is_reported_first):
    """Guards against workspaces that pay twice for what their predecessor has
    granted, or not at all for what was sent without a broker.
    """
    broker, handover = successor()
    held = snapshot(leads={"w": 5000.0})
    if not is_reported_first:
        handover.adopt(held, 1000.0, NOW)
    broker.add_unbrokered(reported("before", "w", 1500.0), NOW)
    broker.add_unbrokered(reported("after", "w", 500.0), NOW)
    broker.charge("w", 200.0)
    if is_reported_first:
        handover.adopt(held, 1000.0, NOW)
    assert broker.virtual_time == {"w": pytest.approx(6200.0)}


endpoints = st.sampled_from(["e0", "e1", "e2"])
workspaces = st.sampled_from("uvw")
values = st.integers(1, 60).map(float)
held_snapshots = st.tuples(
    st.builds(
        snapshot,
        st.dictionaries(endpoints, values),
        st.dictionaries(workspaces, values),
        st.sampled_from([BORN, BORN - 1]),
    ),
    st.integers(0, int(MAX_AGE_MS) + 1000).map(float),
)


def outcome(steps):
    """Returns what a new broker knows after gateways have connected.

    Args:
        steps: Snapshots with their ages, and ages of requests in flight.
    """
    broker, handover = successor()
    for number, step in enumerate(steps):
        if isinstance(step, tuple):
            handover.adopt(*step, NOW)
        else:
            broker.add_unbrokered(reported(f"{step}/{number}", "w", step), NOW)
    times = {name: t for name, t in broker.virtual_time.items() if t}
    return rates_of(broker), times


@given(st.data())
def test_the_order_of_gateways_does_not_matter(data):
    """Guards against an old snapshot that replaces a newer one."""
    steps = data.draw(
        st.lists(held_snapshots | st.integers(0, 6000).map(float), max_size=6)
    )
    shuffled = data.draw(st.permutations(steps))
    assert outcome(shuffled) == outcome(steps)
