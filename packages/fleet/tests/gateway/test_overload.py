"""A gateway that is sent more than its processor handles."""

import pytest

from marjoramyard.fleet.gateway.overload import (
    LATE_SECONDS,
    MIN_LIMIT,
    ConcurrencyLimit,
)
from marjoramyard.kernel.errors import FleetError, Kind

LATE = 2 * LATE_SECONDS


class Gateway:
    """A limit and the prompts that are in service under it."""

    def __init__(self):
        self.limit = ConcurrencyLimit()
        self.running = []

    def enter(self, workspace, count):
        for _ in range(count):
            admit = self.limit.admit(workspace)
            admit.__enter__()
            self.running.append(admit)

    def leave(self, count):
        for _ in range(count):
            self.running.pop().__exit__(None, None, None)


@pytest.fixture
def gateway():
    return Gateway()


def test_a_gateway_in_time_refuses_nothing(gateway):
    limit = gateway.limit
    gateway.enter("w", 500)
    limit.on_wake_up(0.0)
    assert limit.admits("w")


def test_a_flood_does_not_grow_in_a_late_gateway(gateway):
    """Guards against: all callers of a gateway get their answers late, and
    its next endpoints' answers wait, because one workspace fills it.
    """
    limit = gateway.limit
    gateway.enter("flood", 200)
    limit.on_wake_up(LATE)
    with pytest.raises(FleetError) as caught, limit.admit("flood"):
        pass
    assert caught.value.failure.kind is Kind.OVERLOADED
    assert caught.value.failure.retry_after > 1
    assert limit.pop_refused_counts() == {"flood": 1}
    assert limit.total == 200


def test_other_workspaces_are_served_beside_a_flood(gateway):
    limit = gateway.limit
    gateway.enter("flood", 200)
    limit.on_wake_up(LATE)
    gateway.enter("small", 5)
    assert limit.admits("small")
    assert not limit.admits("flood")


def test_the_limit_rises_again_while_it_is_in_use(gateway):
    limit = gateway.limit
    gateway.enter("flood", 200)
    limit.on_wake_up(LATE)
    gateway.leave(100)
    assert limit.admits("flood")
    gateway.enter("flood", 40)
    assert not limit.admits("flood")
    for _ in range(10):
        limit.on_wake_up(0.0)
    assert limit.admits("flood")


def test_one_late_moment_of_a_calm_gateway_refuses_nobody(gateway):
    limit = gateway.limit
    gateway.enter("w", 3)
    for _ in range(5):
        limit.on_wake_up(LATE)
    gateway.enter("w", int(MIN_LIMIT) - 4)
    assert limit.admits("w")


def test_a_flooded_gateway_sends_new_connections_elsewhere(gateway):
    """Guards against: a workspace whose connections all reach one gateway
    gets no more than that gateway's processor, while the others are idle.
    """
    gateway.enter("flood", 100)
    gateway.enter("small", 20)
    assert not gateway.limit.is_overloaded_by_one
    gateway.limit.on_wake_up(LATE)
    assert gateway.limit.is_overloaded_by_one


def test_a_gateway_with_too_much_of_everybody_stays_ready(gateway):
    """Guards against: in a rush of all workspaces no gateway is ready."""
    for number in range(10):
        gateway.enter(f"w{number}", 20)
    gateway.limit.on_wake_up(LATE)
    assert not gateway.limit.is_overloaded_by_one
