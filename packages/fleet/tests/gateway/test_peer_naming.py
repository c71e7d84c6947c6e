"""Which gateways overloaded ones may forward prompts to."""

from types import SimpleNamespace

import pytest

from marjoramyard.fleet.gateway.broker_protocol import (
    HEARTBEAT_INTERVAL_SECONDS,
)
from marjoramyard.fleet.gateway.gateway_connection import (
    GATEWAY_TIMEOUT_SECONDS,
    MAX_PROBED,
    NEED_KEPT_TICKS,
    GatewayConnection,
    gateways_to_probe,
    name_all_peers,
    read_cores,
)
from marjoramyard.fleet.gateway.peer_naming import (
    MAX_PEERS,
    MIN_PEERS,
    PROMPTS_PER_CORE,
    PeerDemand,
    PeerNaming,
    PeerRoom,
)

TIMEOUT_TICKS = round(GATEWAY_TIMEOUT_SECONDS / HEARTBEAT_INTERVAL_SECONDS)


def room(name, cores=0.25, requests=0, zone="a"):
    return PeerRoom(name, zone, cores, requests)


def names(peers):
    return [peer.address for peer in peers]


def test_gateways_with_more_processor_are_named_first():
    """Guards against a flood that is sent on to other small hosts while large
    ones idle.
    """
    rooms = [room(f"small-{n}") for n in range(20)]
    rooms += [room(f"large-{n}", cores=1.5, requests=1) for n in range(3)]
    rooms += [room("full", cores=1.5, requests=80)]
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 300.0))
    assert names(peers[:3]) == ["large-0", "large-1", "large-2"]
    assert "full" not in names(peers)


def test_requests_count_relative_to_the_processor():
    rooms = [room("small", cores=0.25, requests=2), room("large", 2.0, 4)]
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 10.0))
    assert names(peers) == ["large", "small"]


def test_an_event_loop_serves_with_one_core_at_the_most():
    """Guards against a gateway with many cores that gets what several serve."""
    rooms = [room("one", 1.0, 2), room("large", 4.0, 3)]
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 10.0))
    assert names(peers) == ["one", "large"]
    rooms = [room(str(n), cores=4.0) for n in range(20)]
    excess = 9 * PROMPTS_PER_CORE
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", excess))
    assert len(peers) == 9
    assert gateway(1, cores=4.0).requests_per_core == 0.0
    assert connection(1, "p", requests=3, cores=4.0).requests_per_core == 3.0


def test_a_large_excess_is_spread_over_as_many_as_can_serve_it():
    """Guards against a flood of one workspace that overloads its peers."""
    rooms = [room(str(n)) for n in range(40)]
    excess = 10 * 0.25 * PROMPTS_PER_CORE
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", excess))
    assert sum(p.cores for p in peers) * PROMPTS_PER_CORE >= excess
    few = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 1.0))
    assert len(few) == MIN_PEERS
    many = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 1e6))
    assert len(many) == MAX_PEERS


def test_several_overloaded_gateways_are_not_told_of_the_same_few():
    """Guards against one idle gateway that all others send to."""
    rooms = [room(str(n), requests=n % 3) for n in range(18)]
    naming = PeerNaming(rooms)
    named = [
        set(names(naming.name_peers(PeerDemand(number, "a", 50.0))))
        for number in range(3)
    ]
    assert not named[0] & named[1]
    assert not named[1] & named[2]


def test_gateways_in_the_same_zone_are_preferred_while_they_have_room():
    rooms = [room(f"near-{n}", requests=1) for n in range(MIN_PEERS)]
    rooms += [room(f"far-{n}", zone="b") for n in range(MIN_PEERS)]
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 10.0))
    assert {p.zone for p in peers} == {"a"}
    rooms = [room("near", requests=20), room("far", zone="b")]
    peers = PeerNaming(rooms).name_peers(PeerDemand(1, "a", 10.0))
    assert names(peers) == ["far", "near"]


def gateway(number, cores=0.25, needs_peers=False):
    connection = GatewayConnection(
        number, SimpleNamespace(), "a", f"127.0.0.1:{number}", cores
    )
    connection.needs_peers = needs_peers
    return connection


@pytest.fixture
def gateways():
    overloaded = gateway(1, needs_peers=True)
    return [overloaded, *(gateway(number) for number in range(2, 6))]


def test_overloaded_and_silent_gateways_are_not_named(gateways):
    gateways[1].needs_peers = True
    for _ in range(TIMEOUT_TICKS):
        gateways[2].liveness.tick()
    named = name_all_peers(gateways)
    assert set(named) == {1, 2}
    for peers in named.values():
        assert {p.address for p in peers} == {"127.0.0.1:4", "127.0.0.1:5"}


def connection(number, address, requests=0, **states):
    """Returns one of the connections of the gateway at an address."""
    instance = gateway(number)
    instance.forwarding_address = address
    instance.services = dict.fromkeys(range(requests), "llm")
    for name, value in states.items():
        setattr(instance, name, value)
    return instance


@pytest.mark.parametrize(
    "states",
    [
        {"needs_peers": True},
        {"is_leaving": True},
        {"is_lagging": True, "requests": 1},
    ],
)
def test_no_connection_hides_that_a_gateway_has_no_room(states):
    """Guards against a gateway that is named because one of its connections,
    for another service, is idle.
    """
    fleet = [
        connection(1, "p", **states),
        connection(2, "p"),
        connection(3, "q"),
        connection(4, "r", needs_peers=True),
    ]
    assert names(name_all_peers(fleet)[4]) == ["q"]


def test_a_gateway_is_never_named_to_itself():
    fleet = [connection(1, "p", needs_peers=True), connection(2, "p")]
    assert name_all_peers(fleet) == {1: []}


def test_a_gateway_with_several_connections_is_named_once():
    """Guards against a gateway that looks idle, and gets the load of several,
    through a connection for another service.
    """
    fleet = [
        connection(1, "p", requests=2),
        connection(2, "p", requests=1),
        connection(3, "q", requests=2),
        connection(4, "r", needs_peers=True),
    ]
    peers = name_all_peers(fleet)[4]
    assert names(peers) == ["q", "p"]
    assert [peer.requests for peer in peers] == [2, 3]


def test_the_excess_of_a_gateway_counts_once(monkeypatch):
    """Guards against an excess that each connection reports again."""
    demands = []
    monkeypatch.setattr(
        PeerNaming, "name_peers", lambda _, demand: demands.append(demand) or []
    )
    needing = {"needs_peers": True, "excess": 30.0}
    name_all_peers(
        [
            connection(1, "p", **needing),
            connection(2, "p", **needing),
            connection(3, "p"),
            connection(4, "q", **needing),
        ]
    )
    excess = {demand.number: demand.excess for demand in demands}
    assert excess == {1: 15.0, 2: 15.0, 4: 30.0}


def test_idle_gateways_are_asked_for_a_heartbeat_before_they_expire(gateways):
    """Guards against idle gateways that are taken for lost: they send nothing
    by themselves.
    """
    for _ in range(TIMEOUT_TICKS - 1):
        gateways[3].liveness.tick()
    assert not gateways[3].liveness.has_expired
    assert gateways_to_probe(gateways) == {4}
    gateways[0].needs_peers = False
    assert not gateways_to_probe(gateways)


def test_a_late_gateway_goes_on_to_need_peers(gateways):
    """Guards against empty lists for an overloaded gateway whose event loop is
    late: they void the peers that it knows.
    """
    for _ in range(NEED_KEPT_TICKS - 1):
        gateways[0].liveness.tick()
    assert gateways[0].liveness.has_expired
    named = {peer.address for peer in name_all_peers(gateways)[1]}
    assert named == {one.forwarding_address for one in gateways[1:]}
    gateways[3].liveness.tick()
    gateways[3].liveness.tick()
    assert 4 in gateways_to_probe(gateways)


def test_a_gateway_that_is_silent_for_long_does_not_need_peers(gateways):
    """Guards against heartbeats of the whole fleet because of a gateway that
    is suspended in an overload.
    """
    for one in (gateways[0], gateways[3]):
        for _ in range(NEED_KEPT_TICKS):
            one.liveness.tick()
    assert not gateways_to_probe(gateways)
    assert not name_all_peers(gateways)


def test_the_gateways_with_the_most_room_are_asked():
    """Guards against a load of heartbeats that grows with the fleet."""
    fleet = [gateway(1, needs_peers=True)]
    fleet += [gateway(number) for number in range(2, 2 * MAX_PROBED + 2)]
    for one in fleet[1:]:
        one.services = dict.fromkeys(range(one.number % 2), "llm")
        for _ in range(TIMEOUT_TICKS):
            one.liveness.tick()
    probed = gateways_to_probe(fleet)
    assert len(probed) == MAX_PROBED
    assert all(number % 2 == 0 for number in probed)


@pytest.mark.parametrize("text", ["", "x", "nan", "inf", "-1", "0"])
def test_gateways_that_send_no_valid_processor_count_as_one_core(text):
    """Guards against a broker that fails on gateways of other releases."""
    assert read_cores(text) == 1.0
    assert read_cores("0.25") == 0.25
