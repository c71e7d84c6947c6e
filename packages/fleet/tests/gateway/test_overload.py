"""The limit on prompts in service."""

import pytest

from marjoramyard.fleet.gateway.overload import (
    LATE_SECONDS,
    MIN_LIMIT,
    ConcurrencyLimit,
)
from marjoramyard.kernel.errors import FailureKind, FleetError

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


def test_a_punctual_gateway_refuses_nothing(gateway):
    limit = gateway.limit
    gateway.enter("w", 500)
    limit.on_wake_up(0.0)
    assert limit.admits("w")


def test_a_lagging_gateway_refuses_prompts_of_the_dominant_workspace(gateway):
    """Guards against one workspace delaying the responses of all callers of a
    gateway.
    """
    limit = gateway.limit
    gateway.enter("large", 200)
    limit.on_wake_up(LATE)
    with pytest.raises(FleetError) as caught, limit.admit("large"):
        pass
    assert caught.value.failure.kind is FailureKind.OVERLOADED
    assert caught.value.failure.retry_after > 1
    assert limit.pop_refused_counts() == {"large": 1}
    assert limit.total == 200


def test_other_workspaces_are_admitted_at_the_limit(gateway):
    limit = gateway.limit
    gateway.enter("large", 200)
    limit.on_wake_up(LATE)
    gateway.enter("small", 5)
    assert limit.admits("small")
    assert not limit.admits("large")


def test_the_limit_increases_while_it_is_in_use(gateway):
    limit = gateway.limit
    gateway.enter("large", 200)
    limit.on_wake_up(LATE)
    gateway.leave(100)
    assert limit.admits("large")
    gateway.enter("large", 40)
    assert not limit.admits("large")
    for _ in range(10):
        limit.on_wake_up(0.0)
    assert limit.admits("large")


def test_a_lagging_gateway_with_few_prompts_refuses_nothing(gateway):
    limit = gateway.limit
    gateway.enter("w", 3)
    for _ in range(5):
        limit.on_wake_up(LATE)
    gateway.enter("w", int(MIN_LIMIT) - 4)
    assert limit.admits("w")


def test_a_gateway_overloaded_by_one_workspace_is_reported(gateway):
    """Guards against a workspace being limited to the CPU of one gateway while
    others are idle.
    """
    gateway.enter("large", 100)
    gateway.enter("small", 20)
    assert not gateway.limit.is_overloaded_by_one
    gateway.limit.on_wake_up(LATE)
    assert gateway.limit.is_overloaded_by_one


def test_a_gateway_overloaded_by_all_workspaces_stays_ready(gateway):
    """Guards against a fleet without ready gateways when all workspaces
    overload it.
    """
    for number in range(10):
        gateway.enter(f"w{number}", 20)
    gateway.limit.on_wake_up(LATE)
    assert not gateway.limit.is_overloaded_by_one
