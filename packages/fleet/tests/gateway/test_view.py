"""The endpoints that a gateway may use."""

import time
from types import SimpleNamespace

import msgspec
import pytest

from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.membership import registrations
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


def sendable(view, *excluded):
    return {r.endpoint for r in view.sendable("api", set(excluded))}


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


def test_a_pausing_endpoint_gets_no_requests_of_this_gateway_only(view):
    """Guards against requests to an endpoint that has asked for a pause, also
    if no other one is left, and against a broker that withholds it from others.
    """
    assert view.record_pause(registration("1"), 10.0)
    view.health_of("1").record_success(time.monotonic())
    assert sendable(view) == {"2", "3"}
    assert sendable(view, "2", "3") == set()
    assert not view.may_send_to(registration("1"))
    assert view.pause_seconds("api") == 0.0
    assert usable(view) == {"1", "2", "3"}


def test_the_time_until_the_first_endpoint_ends_its_pause(view):
    for name, seconds in (("1", 9.0), ("2", 5.0), ("3", 7.0)):
        view.record_pause(registration(name), seconds)
    assert 4.5 < view.pause_seconds("api") <= 5.0
    assert sendable(view) == set()


def test_a_pause_ends_when_the_endpoint_is_restarted(view):
    """Guards against a new endpoint that gets nothing for what the one before
    has asked, and against a late response of that one.
    """
    old = registration("1")
    view.record_pause(old, 10.0)
    new = msgspec.structs.replace(old, born=2)
    view.apply("c", SyncReply("e", 0, words=[new]), 0.0)
    assert sendable(view) == {"1", "2", "3"}
    assert not view.record_pause(old, 10.0)
    assert sendable(view) == {"1", "2", "3"}


def test_an_endpoint_that_says_it_leaves_is_not_usable_at_once(view):
    """Guards against requests to a leaving endpoint, also if no other is left
    and its heartbeats still say that it is ready.
    """
    assert usable(view) == {"1", "2", "3"}
    assert view.record_leaving("1", 0)
    view.apply("c", SyncReply("e", 0, words=[registration("1", sequence=9)]), 0)
    assert usable(view) == {"2", "3"}
    assert usable(view, "2", "3") == set()
    assert [r.endpoint for r in view.leaving_of("api")] == ["1"]


def test_a_restarted_endpoint_is_not_leaving(view):
    """Guards against a new endpoint that gets nothing for what the one before
    has said, and against a late response of that one.
    """
    view.record_leaving("1", 0)
    new = msgspec.structs.replace(registration("1"), born=2)
    view.apply("c", SyncReply("e", 0, words=[new]), 0.0)
    assert usable(view) == {"1", "2", "3"}
    assert not view.record_leaving("1", 0)
    assert usable(view) == {"1", "2", "3"}


def test_a_departed_endpoint_s_notice_is_forgotten(view):
    view.record_leaving("1", 0)
    departed = registration("1", EndpointState.DEPARTED)
    view.apply("c", SyncReply("e", 0, words=[departed]), 0.0)
    assert view.leaving == {}


def test_a_service_whose_endpoints_leave_is_not_evacuated(view):
    for name in ("1", "2", "3"):
        view.record_leaving(name, 0)
    assert not view.is_evacuated("api")


def test_an_endpoint_of_an_unrecorded_version_begins_no_streams(view):
    """Guards against streams of a version that is not recorded, so that nobody
    knows of it once all processes were lost.
    """
    view.table = SimpleNamespace(resumable_services={"api"})
    assert usable(view) == set()
    view.versions.update(1, [ServiceVersion("api", "")])
    assert usable(view) == {"1", "2", "3"}
    view.table.resumable_services = set()
    view.versions.update(2, [])
    assert usable(view) == {"1", "2", "3"}


def test_departed_endpoints_make_room(view, monkeypatch):
    """Guards against gateways whose memory each new endpoint fills further."""
    monkeypatch.setattr(registrations, "MAX_ENDPOINTS", 3)
    view.health_of("1")
    view.registrations.mark_departed("1", -1000.0)
    view.apply("c", SyncReply("e", 1, words=[registration("4")]), 0.0)
    assert usable(view) == {"2", "3", "4"}
    assert "1" not in view.health


def test_a_full_table_is_searched_once_for_each_reply(view, monkeypatch):
    """Guards against an event loop that stands still for seconds as the table
    is searched anew for each endpoint of a reply.
    """
    monkeypatch.setattr(registrations, "MAX_ENDPOINTS", 3)
    searches = []
    expire = view.registrations.expire_departed
    monkeypatch.setattr(
        view.registrations,
        "expire_departed",
        lambda now: (searches.append(now), expire(now)),
    )
    words = [registration(name, sequence=2) for name in ("1", "2", "3", "4")]
    view.apply("host", SyncReply(epoch="e", cursor=1, words=words), 0.0)
    assert len(searches) == 1
