"""The endpoints that a gateway may use."""

import time

import pytest

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import USABLE_VALID_SECONDS, FleetView
from marjoramyard.fleet.sync_messages import SyncReply


def registration(name, state=EndpointState.READY, sequence=1, zone=""):
    return Registration(
        endpoint=name,
        service="api",
        availability_zone=zone,
        address=f"127.0.0.1:{name}",
        state=state,
        sequence=sequence,
    )


@pytest.fixture
def view():
    fleet_view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    for name in ("1", "2", "3"):
        fleet_view.registrations.merge(registration(name), 0.0)
    return fleet_view


def usable(view, *excluded):
    return {r.endpoint for r in view.usable("api", set(excluded))}


def test_a_draining_endpoint_is_not_usable_at_once(view):
    """Guards against requests to a draining endpoint from a cached list."""
    assert usable(view) == {"1", "2", "3"}
    draining = registration("1", EndpointState.DRAINING, 2)
    view.registrations.merge(draining, 0.0)
    assert usable(view) == {"2", "3"}


def test_a_failing_endpoint_is_avoided(view):
    """Guards against requests to a failing endpoint from a cached list."""
    assert usable(view) == {"1", "2", "3"}
    failed_at = time.monotonic()
    view.health_of("1").record_failure(failed_at)
    while time.monotonic() < failed_at + USABLE_VALID_SECONDS:
        pass
    assert usable(view) == {"2", "3"}
    assert usable(view, "2") == {"3"}


def test_one_of_a_few_endpoints_is_avoided_if_it_fails_some(view):
    """Guards against requests to an endpoint that crashed a moment ago."""
    now = time.monotonic()
    for name in ("1", "2", "3"):
        view.health_of(name).record_success(now)
    view.health_of("2").record_failure(now)
    assert usable(view) == {"1", "3"}


def test_unhealthy_endpoints_are_used_if_there_are_no_others(view):
    """Guards against wrong suspicions that stop a service."""
    view.health_of("1").record_failure(time.monotonic())
    assert usable(view, "2", "3") == {"1"}
    assert usable(view, "1", "2", "3") == set()


def test_the_same_list_is_returned_until_something_changes(view):
    """Guards against costs per request that grow with the endpoints."""
    first = view.usable("api", set())
    assert view.usable("api", set()) is first
    view.registrations.merge(registration("4"), 0.0)
    assert usable(view) == {"1", "2", "3", "4"}


def test_an_endpoint_in_an_evacuated_zone_is_not_usable(view):
    """Guards against requests to an evacuated zone, also if no other is up."""
    view.registrations.merge(registration("4", zone="z"), 0.0)
    assert usable(view) == {"1", "2", "3", "4"}
    view.apply(
        "control",
        SyncReply("e", 0, zone_revision=1, evacuated_zones=["z"]),
        0.0,
    )
    assert usable(view) == {"1", "2", "3"}
    assert usable(view, "1", "2", "3") == set()
    view.apply("late", SyncReply("e", 0), 0.0)
    assert usable(view) == {"1", "2", "3"}
    view.apply("control", SyncReply("e", 0, zone_revision=2), 0.0)
    assert usable(view) == {"1", "2", "3", "4"}
