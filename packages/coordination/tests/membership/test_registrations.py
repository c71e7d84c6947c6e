"""Delayed, duplicated and reordered heartbeats, and endpoint health."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.membership import registrations
from marjoramyard.coordination.membership.health import (
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    EndpointHealth,
)
from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
    EndpointState,
    Registration,
    Registrations,
)


def make_registration(endpoint="i-1", **changes):
    fields = {
        "endpoint": endpoint,
        "service": "llm",
        "address": f"10.0.0.{len(endpoint)}:80",
        "sequence": 1,
        "born": 100,
    }
    return Registration(**{**fields, **changes})


def test_an_address_that_an_endpoint_has_left_is_free():
    """Guards against an endpoint that departs because another one is started
    where it once was, and against addresses that are never forgotten.
    """
    table = Registrations()
    table.merge(make_registration(address="10.0.0.1:80"), now=0.0)
    moved = make_registration(address="10.0.0.2:80", sequence=2)
    table.merge(moved, now=1.0)
    assert table.by_address == {"10.0.0.2:80": "i-1"}
    other = make_registration("i-2", address="10.0.0.1:80", born=200)
    table.merge(other, now=2.0)
    assert usable(table) == {"i-1", "i-2"}


def test_the_number_of_endpoints_is_bounded(monkeypatch):
    """Guards against names without end that fill the memory."""
    monkeypatch.setattr(registrations, "MAX_ENDPOINTS", 2)
    table = Registrations()
    for name in ("i-1", "i-22", "i-333"):
        assert table.merge(make_registration(name), now=0.0) == (
            name != "i-333"
        )
    assert table.merge(make_registration(slots=2, sequence=2), now=1.0)
    table.mark_departed("i-22", now=1.0)
    table.expire_departed(DEPARTED_RETENTION_SECONDS + 2.0)
    assert table.merge(make_registration("i-333"), now=200.0)


def test_the_number_of_former_versions_is_bounded(monkeypatch):
    """Guards against control hosts that an endpoint fills which reports
    another version with each heartbeat.
    """
    monkeypatch.setattr(registrations, "MAX_FORMER_VERSIONS", 3)
    table, other = Registrations(), Registrations()
    for number in range(10):
        table.merge(
            make_registration(
                sequence=number + 1, software_version=f"v{number}"
            ),
            float(number),
        )
        other.merge_former_versions(
            table.list_former_versions(float(number)), float(number)
        )
    service = make_registration().service
    for known in (table, other):
        assert list(known.former_versions) == [
            (service, f"v{number}") for number in (6, 7, 8)
        ]


def usable(table):
    return {registration.endpoint for registration in table.usable("llm")}


def test_a_delayed_ready_does_not_undo_draining():
    """Requests would be sent to an endpoint that is about to stop."""
    table = Registrations()
    table.merge(
        make_registration(state=EndpointState.DRAINING, sequence=5), now=0.0
    )
    assert not table.merge(make_registration(sequence=4), now=1.0)
    assert usable(table) == set()


def test_a_heartbeat_after_the_departure_changes_nothing():
    """Requests would be sent to an endpoint that has stopped."""
    table = Registrations()
    table.merge(make_registration(sequence=7), now=0.0)
    table.mark_departed("i-1", now=1.0)
    assert not table.merge(make_registration(sequence=9), now=2.0)
    assert usable(table) == set()


def test_a_new_lifetime_under_the_same_id_is_accepted():
    table = Registrations()
    table.merge(make_registration(sequence=50), now=0.0)
    table.mark_departed("i-1", now=1.0)
    assert table.merge(make_registration(sequence=1, born=200), now=2.0)
    assert usable(table) == {"i-1"}


def test_a_delayed_heartbeat_does_not_reclaim_an_address():
    """Requests for i-1 would be sent to i-2, which reuses its address."""
    table = Registrations()
    table.merge(make_registration("i-1", address="10.0.0.9:80"), now=0.0)
    table.merge(
        make_registration("i-2", address="10.0.0.9:80", born=300), now=5.0
    )
    assert not table.merge(
        make_registration("i-1", address="10.0.0.9:80", sequence=8), now=6.0
    )
    assert usable(table) == {"i-2"}


def test_a_heartbeat_alone_is_no_change_but_is_timed():
    table = Registrations()
    assert table.merge(make_registration(sequence=1), now=0.0)
    assert not table.merge(make_registration(sequence=2), now=3.0)
    assert table.seconds_since_received("i-1", now=4.0) == 1.0


def test_a_node_that_starts_is_told_of_former_versions():
    """Guards against a node that takes the version in force for the only one
    that a service has had lately.
    """
    known, told = Registrations(), Registrations()
    known.merge(make_registration(software_version="v1"), now=0.0)
    restarted = make_registration(software_version="v2", born=200)
    known.merge(restarted, now=10.0)
    told.merge(restarted, now=20.0)
    assert told.versions("llm", since=10.0) == {"v2"}
    told.merge_former_versions(known.list_former_versions(20.0), now=20.0)
    assert told.versions("llm", since=10.0) == {"v1", "v2"}
    assert told.versions("llm", since=10.1) == {"v2"}


def test_former_versions_are_forgotten_by_nodes_that_tell_each_other():
    """Guards against delays of messages that add up, so that a former version
    is remembered forever.
    """
    tables = [Registrations(), Registrations()]
    tables[0].former_versions["llm", "v1"] = 0.0
    now = 0.0
    while now < DEPARTED_RETENTION_SECONDS + 2.0:
        for sender, receiver in (tables, reversed(tables)):
            now += 0.3
            told = sender.list_former_versions(now)
            receiver.merge_former_versions(told, now + 0.2)
            receiver.expire_departed(now + 0.2)
    assert [table.former_versions for table in tables] == [{}, {}]


def test_departed_endpoints_expire():
    table = Registrations()
    table.merge(make_registration(), now=0.0)
    table.mark_departed("i-1", now=1.0)
    table.expire_departed(now=DEPARTED_RETENTION_SECONDS / 2)
    assert "i-1" in table.by_endpoint
    table.expire_departed(now=2 * DEPARTED_RETENTION_SECONDS)
    assert not table.by_endpoint
    assert not table.by_address


_registrations = st.builds(
    Registration,
    endpoint=st.sampled_from(["i-1", "i-22", "i-333"]),
    service=st.just("llm"),
    address=st.just("10.0.0.1:80"),
    state=st.sampled_from(list(EndpointState)),
    sequence=st.integers(0, 6),
    born=st.integers(1, 3),
).map(
    lambda registration: msgspec.structs.replace(
        registration, address=f"10.0.0.{len(registration.endpoint)}:80"
    )
)


@given(
    st.lists(_registrations, max_size=8).flatmap(
        lambda received: st.tuples(st.just(received), st.permutations(received))
    )
)
def test_tables_converge_in_any_order(received):
    # Endpoints never send different registrations with the same precedence.
    by_precedence = {
        (r.endpoint, r.precedence): r for r in sorted(received[0], key=repr)
    }
    first, second = Registrations(), Registrations()
    for registration in received[0]:
        first.merge(
            by_precedence[registration.endpoint, registration.precedence],
            now=0.0,
        )
    for registration in [*received[1], *received[0]]:
        second.merge(
            by_precedence[registration.endpoint, registration.precedence],
            now=0.0,
        )
    assert first.by_endpoint == second.by_endpoint


def test_backoff_grows_and_ends_with_a_success():
    health = EndpointHealth()
    health.record_failure(now=0.0)
    assert health.is_backing_off(INITIAL_BACKOFF_SECONDS / 2)
    assert not health.is_backing_off(INITIAL_BACKOFF_SECONDS)
    for _ in range(10):
        health.record_failure(now=1.0)
    assert not health.is_backing_off(1.0 + MAX_BACKOFF_SECONDS)
    health.record_success(now=1.1)
    assert not health.is_backing_off(1.1)


def test_an_endpoint_that_serves_others_is_left_out_briefly():
    """Guards against engines that are unused for long after a few failures."""
    health = EndpointHealth()
    health.record_success(10.0)
    for at in (10.1, 10.5, 10.9):
        health.record_failure(at)
        assert health.is_failing_some(at)
        assert not health.is_backing_off(at + INITIAL_BACKOFF_SECONDS)


def test_an_endpoint_that_serves_nothing_is_left_out_longer_and_longer():
    health = EndpointHealth()
    health.record_success(10.0)
    for at in (12.0, 14.0, 16.0, 18.0):
        health.record_failure(at)
    assert health.is_backing_off(18.0 + 0.9 * MAX_BACKOFF_SECONDS)
    assert not health.is_failing_some(18.1)
