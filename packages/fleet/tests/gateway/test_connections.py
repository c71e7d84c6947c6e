"""The limit on callers' connections."""

from types import SimpleNamespace

import pytest

from marjoramyard.fleet.gateway.connections import (
    RESERVED_DESCRIPTORS,
    CallerConnections,
)


@pytest.fixture
def connections():
    instance = CallerConnections(max_descriptors=1500)
    instance.listener = SimpleNamespace(open_connections=0)
    return instance


def test_connections_of_forwarded_requests_count(connections):
    """Guards against running out of descriptors: the listener no longer knows
    of connections whose request is forwarded.
    """
    connections.listener.open_connections = connections.limit // 3
    assert not connections.is_crowded
    connections.forwarded_count = lambda: connections.limit // 4
    assert connections.is_crowded


def test_forwarded_requests_count_towards_the_limit(connections):
    """Guards against running out of descriptors: their connections are not
    among those on which requests are handled.
    """
    forwarded = connections.max_forwarded
    connections.forwarded_count = lambda: forwarded
    connections.busy = set(range(connections.limit - forwarded))
    assert not connections.is_full
    assert connections.free_count == 0
    connections.busy = set(range(connections.limit - forwarded + 1))
    assert connections.is_full
    assert connections.free_count < 0


MAX_DESCRIPTORS = [310, 330, 350, 400, 1024, 1500, 65536]


@pytest.mark.parametrize("max_descriptors", MAX_DESCRIPTORS)
@pytest.mark.parametrize("forwarded_share", [0.0, 0.5, 1.0])
def test_all_connections_fit_the_descriptors(max_descriptors, forwarded_share):
    """Guards against running out of descriptors: callers whose request is
    handled, callers whose request is forwarded, and connections to endpoints
    and peers are open at the same time.
    """
    connections = CallerConnections(max_descriptors)
    forwarded = int(connections.max_forwarded * forwarded_share)
    connections.forwarded_count = lambda: forwarded
    while not connections.is_full:
        connections.busy.add(len(connections.busy))
    callers = len(connections.busy) - 1
    total = callers + forwarded + connections.max_outgoing
    assert total + RESERVED_DESCRIPTORS <= max_descriptors


@pytest.mark.parametrize("max_descriptors", MAX_DESCRIPTORS)
def test_forwarded_requests_leave_connections_for_others(max_descriptors):
    """Guards against running out of descriptors: a forwarded request takes two
    of them, one of the callers' and one of those to endpoints and peers.
    """
    connections = CallerConnections(max_descriptors)
    forwarded = connections.max_forwarded
    assert 0 < 2 * forwarded <= connections.limit
    assert 0 < forwarded <= 0.8 * connections.max_outgoing
    total = connections.limit + connections.max_outgoing
    assert total + RESERVED_DESCRIPTORS <= max_descriptors
