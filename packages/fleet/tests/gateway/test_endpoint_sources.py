"""Which control hosts send a gateway all changes of endpoints."""

from marjoramyard.fleet.gateway.endpoint_sources import (
    DISCOVERY_SECONDS,
    FILLING_SECONDS,
    SOURCE_TIMEOUT_SECONDS,
    EndpointSources,
)
from marjoramyard.fleet.sync_messages import SyncReply

LATER = 100.0
"""Long after the gateway's start at 0."""


def make_reply(zone, is_settled=True, is_isolated=False):
    return SyncReply(
        "e", 0, zone=zone, is_settled=is_settled, is_isolated=is_isolated
    )


def make_sources(*zones, at=LATER, **changes):
    """Returns sources of a gateway in zone a, with a reply of host n at `at`
    from the n-th zone.
    """
    sources = EndpointSources("a", 0.0)
    for number, zone in enumerate(zones):
        sources.record_reply(f"host-{number}", make_reply(zone, **changes), at)
    return sources


def chosen(sources, now):
    return [host for host in sources.hosts if sources.is_source(host, now)]


def test_hosts_of_other_zones_send_only_what_is_urgent():
    """Guards against a copy of all endpoints from each control host."""
    sources = make_sources("a", "b", "a", "c")
    assert chosen(sources, LATER) == ["host-0", "host-2"]


def test_other_zones_are_asked_without_a_host_in_the_own_zone():
    sources = make_sources("b", "c")
    assert chosen(sources, LATER) == []
    after = LATER + 2 * DISCOVERY_SECONDS
    assert chosen(sources, after) == ["host-0", "host-1"]


def test_other_zones_are_asked_when_the_own_one_does_not_reply():
    """Guards against a gateway that hears of no new endpoints while the control
    hosts of its zone are lost.
    """
    sources = make_sources("a", "b")
    now = LATER + 1.1 * SOURCE_TIMEOUT_SECONDS
    sources.record_reply("host-1", make_reply("b"), now)
    assert sources.is_source("host-1", now)
    sources.record_reply("host-0", make_reply("a"), now)
    assert not sources.is_source("host-1", now)


def test_other_zones_are_asked_when_the_own_one_is_cut_off():
    """Guards against a gateway that runs out of endpoints while only the
    control hosts of its zone are cut off from the others.
    """
    sources = make_sources("a", "b")
    sources.record_reply("host-0", make_reply("a", is_isolated=True), LATER)
    assert chosen(sources, LATER + 2 * DISCOVERY_SECONDS) == [
        "host-0",
        "host-1",
    ]


def test_a_new_gateway_does_not_rely_on_a_restarted_control_host():
    """Guards against a gateway that finds too few endpoints after a loss of
    power.
    """
    sources = make_sources("a", "b", at=1.0, is_settled=False)
    assert chosen(sources, 1.0) == ["host-0", "host-1"]
    sources.record_reply("host-0", make_reply("a"), 2.0)
    assert chosen(sources, 2.0) == ["host-0"]


def test_a_gateway_that_has_run_for_long_knows_what_a_restarted_host_lacks():
    """Guards against all tables sent to all gateways after a restart of the
    control hosts.
    """
    sources = make_sources("a", "b", is_settled=False)
    assert LATER > FILLING_SECONDS
    assert chosen(sources, LATER) == ["host-0"]
