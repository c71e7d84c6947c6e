"""Sharing departures of endpoints with other control hosts."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from result import Err, Ok

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.fleet import paths
from marjoramyard.fleet.control.departures import Departures
from marjoramyard.fleet.control.endpoint_feed import EndpointFeed
from marjoramyard.fleet.sync_messages import FoundEndpoint
from marjoramyard.kernel.errors import FailureKind, FleetError, failure
from marjoramyard.kernel.metrics import Metrics

UNREACHABLE = Err(failure(FailureKind.NO_ENDPOINT, "unreachable"))
LEAVING = Registration(
    endpoint="i-1",
    service="chat",
    address="10.0.0.1:80",
    state=EndpointState.DRAINING,
    born=1,
)


class Peers:
    """Other control hosts, some of which reply.

    Attributes:
        told: The hosts and the endpoints that they were told of.
        known: The registration that a host has, by host.
    """

    def __init__(self, replying, addresses=("a", "b", "c"), known=None):
        self.replying = replying
        self.addresses = addresses
        self.told = []
        self.known = known or {}

    async def call(self, address, path, message, _reply, _timeout):
        await asyncio.sleep(0)
        reply = None
        if path == paths.FIND_ENDPOINT_PATH:
            reply = FoundEndpoint(self.known.get(address))
        else:
            self.told.append((address, message.words[0].endpoint))
        return Ok(reply) if address in self.replying else UNREACHABLE


def departures(peers, *registrations, observed_seconds=1.0):
    feed = EndpointFeed("c", lambda: None)
    for each in registrations:
        feed.register(each)
    manager = SimpleNamespace(
        client=peers,
        describe=lambda: None,
        peer_addresses=lambda: list(peers.addresses),
        recent_peers=lambda: list(peers.addresses),
        last_received_at={"b": 3.0, "c": 2.0, "a": 1.0},
    )
    service = SimpleNamespace(
        endpoints=feed,
        observed_seconds=lambda: observed_seconds,
    )
    role = SimpleNamespace(
        app=SimpleNamespace(metrics=Metrics("control", "c")),
        cluster_manager=manager,
        service=service,
    )
    return Departures(role), feed


async def test_a_departure_is_shared_once_with_the_hosts_last_heard_of():
    """Guards against a call to other hosts for each heartbeat of an endpoint
    that drains.
    """
    peers = Peers({"a", "b", "c"})
    shared, _ = departures(peers, LEAVING)
    for _ in range(3):
        await shared.on_heartbeat("i-1")
    assert [address for address, _ in peers.told] == ["b", "c"]
    await shared.on_departure("i-1")
    assert len(peers.told) == 4


async def test_other_hosts_are_told_when_those_asked_first_are_lost():
    """Guards against departures that nobody acknowledges while one control
    host can be reached.
    """
    peers = Peers({"a"})
    shared, _ = departures(peers, LEAVING)
    await shared.on_departure("i-1")
    assert [address for address, _ in peers.told] == ["b", "c", "a"]


async def test_a_departure_that_nobody_else_knows_is_not_acknowledged():
    """Guards against a departure that is lost with its only holder."""
    shared, _ = departures(Peers(set()), LEAVING)
    for call in (shared.on_heartbeat, shared.on_departure):
        with pytest.raises(FleetError) as raised:
            await call("i-1")
        assert raised.value.failure.kind is FailureKind.NO_QUORUM


async def test_a_single_control_host_acknowledges_departures():
    """Guards against a fleet of one control host that never acknowledges."""
    peers = Peers(set(), addresses=())
    shared, _ = departures(peers, LEAVING)
    await shared.on_departure("i-1")


@pytest.mark.parametrize("observed_seconds", [0.0, 1.0])
async def test_only_a_host_that_knows_all_acknowledges_an_unknown_departure(
    observed_seconds,
):
    """Guards against dropping the departure of an endpoint that a host which
    has just started doesn't know yet.
    """
    peers = Peers({"a", "b", "c"})
    shared, _ = departures(peers, observed_seconds=observed_seconds)
    if observed_seconds:
        await shared.on_departure("i-1")
        return
    with pytest.raises(FleetError):
        await shared.on_departure("i-1")


async def test_the_departure_of_an_endpoint_known_elsewhere_is_applied():
    """Guards against dropping the departure of an endpoint that has registered
    with another host just before.
    """
    ready = msgspec.structs.replace(LEAVING, state=EndpointState.READY)
    peers = Peers({"a", "b"}, known={"b": ready})
    shared, feed = departures(peers)
    await shared.on_departure("i-1")
    held = feed.registrations.by_endpoint["i-1"]
    assert held.state is EndpointState.DEPARTED
    assert ("b", "i-1") in peers.told


async def test_an_unknown_departure_is_refused_if_a_host_does_not_reply():
    """Guards against dropping the departure of an endpoint that a slow host
    knows.
    """
    shared, _ = departures(Peers({"a", "b"}))
    with pytest.raises(FleetError):
        await shared.on_departure("i-1")
