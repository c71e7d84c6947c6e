"""What a gateway sends to endpoints that have just started."""

import time

import pytest

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import EngineProfile, Service
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import SyncReply

ENGINES = Service(
    "llm", cold_start_s=3.0, cold_per_s=9.1, engine=EngineProfile()
)
PLAIN = Service("api", cold_start_s=3.0, cold_per_s=9.1)


def registration(name, cold_left_ms=0.0, sequence=1, zone="a"):
    return Registration(
        endpoint=name,
        service="llm",
        address=f"127.0.0.1:{name}",
        availability_zone=zone,
        sequence=sequence,
        cold_left_ms=cold_left_ms,
    )


@pytest.fixture
def cold_starts():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    return ColdStarts(view, 1.5, 5.0)


def placeable(cold_starts, service):
    candidates = list(cold_starts.view.registrations.all())
    return {r.endpoint for r in cold_starts.placeable(service, candidates)}


def merge(cold_starts, *registrations):
    for item in registrations:
        cold_starts.view.registrations.merge(item, time.monotonic())


def test_a_gateway_places_nothing_on_cold_engines_by_itself(cold_starts):
    """Guards against many gateways without a broker at one cold engine."""
    merge(cold_starts, registration("1"), registration("2", 3000.0))
    assert placeable(cold_starts, ENGINES) == {"1"}
    merge(cold_starts, registration("1", 3000.0, 2))
    assert placeable(cold_starts, ENGINES) == set()


def test_a_heartbeat_ends_the_cold_start(cold_starts):
    merge(cold_starts, registration("1", 3000.0))
    assert placeable(cold_starts, ENGINES) == set()
    merge(cold_starts, registration("1", 0.0, 2))
    assert placeable(cold_starts, ENGINES) == {"1"}


def test_endpoints_of_a_restored_zone_count_as_cold(cold_starts):
    """Guards against a rush to engines that report a cold start too late."""
    merge(cold_starts, registration("1"), registration("2", zone="b"))
    view = cold_starts.view
    view.apply("c", SyncReply("", 0, zone_revision=1, evacuated_zones=["b"]), 0)
    view.apply("c", SyncReply("", 0, zone_revision=2), 0)
    assert placeable(cold_starts, ENGINES) == {"1"}
    view.zones.restored_at["b"] -= 3.0
    assert placeable(cold_starts, ENGINES) == {"1", "2"}


def test_cold_endpoints_without_a_broker_are_shared_out(cold_starts):
    """Guards against gateways that together send too much."""
    merge(cold_starts, registration("1", 3000.0))
    view = cold_starts.view
    view.apply("c", SyncReply("", 0, gateways=4), 0)
    view.apply("restarted", SyncReply("", 0, gateways=1), 0)
    sent = 0
    while placeable(cold_starts, PLAIN):
        cold_starts.record(PLAIN, "1")
        sent += 1
    assert sent == 2
    view.apply("c", SyncReply("", 0, gateways=40), 0)
    assert placeable(cold_starts, PLAIN) == set()


def test_services_without_a_limit_use_cold_endpoints(cold_starts):
    merge(cold_starts, registration("1", 3000.0))
    assert placeable(cold_starts, Service("llm")) == {"1"}
