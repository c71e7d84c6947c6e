"""The limit on callers' connections."""

from types import SimpleNamespace

import pytest

from marjoramyard.fleet.gateway.connections import CallerConnections


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


def test_forwarded_requests_leave_connections_for_others(connections):
    assert 0 < 2 * connections.max_forwarded <= connections.limit / 2
