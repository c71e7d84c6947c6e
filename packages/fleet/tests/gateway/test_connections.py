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


@pytest.mark.parametrize("max_descriptors", [400, 1024, 1500, 65536])
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
