"""Orders on availability zones: repeats, delays and snapshots."""

import random

import msgspec
import pytest

from marjoramyard.coordination.governance.commands import (
    ChangeZone,
    ConfigDocument,
)
from marjoramyard.coordination.governance.evacuations import MAX_RECORDS
from marjoramyard.coordination.governance.state import (
    ControlSnapshot,
    ControlState,
)
from marjoramyard.kernel.errors import FailureKind


@pytest.fixture
def state():
    return ControlState()


def order(state, zone, is_evacuated, revision=None):
    """Applies an order that was received at the given revision of its zone."""
    if revision is None:
        revision = state.evacuations.zone(zone).revision
    command = ChangeZone(zone, is_evacuated, revision, "awa", 5.0)
    return state.apply(command).failure


def test_a_zone_is_evacuated_and_restored(state):
    assert order(state, "a", True) is None
    assert order(state, "b", True) is None
    assert state.evacuations.evacuated_zones() == ["a", "b"]
    assert order(state, "a", False) is None
    assert state.evacuations.evacuated_zones() == ["b"]
    assert state.evacuations.zone("a").operator == "awa"


def test_a_repeated_order_changes_nothing(state):
    """Guards against gateways that are told of changes that are none."""
    order(state, "a", True)
    revision = state.evacuations.revision
    assert order(state, "a", True) is None
    assert order(state, "a", True, revision=0) is None
    assert state.evacuations.revision == revision


def test_a_delayed_order_does_not_undo_a_newer_one(state):
    """Guards against a zone that a late copy of an order evacuates again."""
    order(state, "a", True)
    order(state, "a", False)
    refused = order(state, "a", True, revision=0)
    assert refused.kind is FailureKind.CONFLICT
    assert state.evacuations.evacuated_zones() == []


@pytest.mark.parametrize("seed", range(20))
def test_copies_of_orders_in_any_order_end_in_the_newest_state(seed):
    """Guards against reverts by copies that hosts have held back."""
    rng = random.Random(seed)
    state = ControlState()
    held_back = []
    wanted = False
    for _ in range(60):
        if held_back and rng.random() < 0.5:
            order(state, "a", *held_back.pop(rng.randrange(len(held_back))))
        else:
            wanted = not wanted
            revision = state.evacuations.zone("a").revision
            held_back += [(wanted, revision)] * rng.randrange(3)
            assert order(state, "a", wanted) is None
        assert state.evacuations.zone("a").is_evacuated == wanted


def test_a_snapshot_keeps_the_evacuated_zones(state):
    """Guards against an evacuation that a compacted log forgets."""
    order(state, "a", True)
    restored = ControlState.restore(state.snapshot())
    assert restored.evacuations.evacuated_zones() == ["a"]
    assert restored.evacuations.revision == 1
    assert order(restored, "a", False) is None


def test_a_snapshot_of_an_earlier_release_has_no_evacuations():
    earlier = msgspec.to_builtins(
        ControlSnapshot(config=ConfigDocument(3, b"{}"))
    )
    del earlier["evacuations"]
    restored = ControlState.restore(msgspec.json.encode(earlier).decode())
    assert restored.config.version == 3
    assert restored.evacuations.evacuated_zones() == []


def test_the_history_is_bounded(state):
    """Guards against snapshots that grow with every order."""
    for number in range(MAX_RECORDS + 50):
        order(state, "a", number % 2 == 0)
    assert len(state.evacuations.stored.history) == MAX_RECORDS
    assert state.evacuations.stored.history[-1].revision == MAX_RECORDS + 50
