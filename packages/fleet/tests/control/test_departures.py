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
from marjoramyard.fleet.control.departures import Departures
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
    """

    def __init__(self, replying, addresses=("a", "b", "c")):
        self.replying = replying
        self.addresses = addresses
        self.told = []

    async def call(self, address, _path, message, _reply, _timeout):
        await asyncio.sleep(0)
        self.told.append((address, message.words[0].endpoint))
        return Ok(None) if address in self.replying else UNREACHABLE


def departures(peers, *registrations, observed_seconds=1.0):
    table = {each.endpoint: each for each in registrations}
    manager = SimpleNamespace(
        client=peers,
        describe=lambda: None,
        peer_addresses=lambda: list(peers.addresses),
        last_received_at={"b": 3.0, "c": 2.0, "a": 1.0},
    )
    service = SimpleNamespace(
        endpoints=SimpleNamespace(
            registrations=SimpleNamespace(by_endpoint=table)
        ),
        observed_seconds=lambda: observed_seconds,
    )
    role = SimpleNamespace(
        app=SimpleNamespace(metrics=Metrics("control", "c")),
        cluster_manager=manager,
        service=service,
    )
    return Departures(role), table


async def test_a_departure_is_shared_once_with_the_hosts_last_heard_of():
    """Guards against a call to other hosts for each heartbeat of an endpoint
    that drains.
    """
    peers = Peers({"a", "b", "c"})
    shared, table = departures(peers, LEAVING)
    for _ in range(3):
        await shared.on_heartbeat("i-1")
    assert [address for address, _ in peers.told] == ["b", "c"]
    table["i-1"] = msgspec.structs.replace(
        LEAVING, state=EndpointState.DEPARTED
    )
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
    shared, _ = departures(Peers({"a"}), observed_seconds=observed_seconds)
    if observed_seconds:
        await shared.on_departure("i-1")
        return
    with pytest.raises(FleetError):
        await shared.on_departure("i-1")
