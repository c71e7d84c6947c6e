"""The streams that a broker keeps for its gateways."""

import time
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.serving.stream_versions import StreamVersions
from marjoramyard.fleet.gateway.broker_protocol import (
    HANDOVER_PROTOCOL,
    STREAM_PROTOCOL,
    BegunStream,
    StreamQuery,
    StreamsBegun,
)
from marjoramyard.fleet.gateway.gateway_connection import GatewayConnection
from marjoramyard.fleet.gateway.stream_keeper import (
    MAX_COPIES,
    SETTLED_SECONDS,
    StreamKeeper,
)
from marjoramyard.kernel.ids import StreamKey

BEGUN = StreamsBegun("llm", [BegunStream(StreamKey("5c"), "v1", 30_000)])


def connection(number, protocol=STREAM_PROTOCOL, service="llm", is_local=False):
    socket = SimpleNamespace(ws_protocol=protocol)
    return GatewayConnection(
        number, socket, f"zone-{number % 3}", "", service, is_local
    )


def refresh(keeper):
    keeper.has_changed = True
    keeper.refresh()


@pytest.fixture
def keeper():
    connections = {number: connection(number) for number in range(6)}
    connections[6] = connection(6, HANDOVER_PROTOCOL)
    connections[7] = connection(7, service="other")
    keeper = StreamKeeper(StreamVersions(), connections)
    refresh(keeper)
    return keeper


def told(keeper):
    return [g.number for g in keeper.gateways.values() if BEGUN in g.outbox]


def reply(keeper, service="llm", key="5c"):
    gateway = keeper.gateways[0]
    keeper.on_query(gateway, StreamQuery(3, service, StreamKey(key)))
    return gateway.outbox.pop()


def test_streams_are_passed_on_to_a_few_other_gateways(keeper):
    """Guards against streams that are lost with a broker and its gateway."""
    for sender in range(6):
        for gateway in keeper.gateways.values():
            gateway.outbox.clear()
        keeper.on_begun(keeper.gateways[sender], BEGUN)
        assert len(told(keeper)) == MAX_COPIES
        assert not {sender, 6, 7} & set(told(keeper))


def test_a_broker_tells_the_version_of_a_stream(keeper):
    keeper.on_begun(keeper.gateways[1], BEGUN)
    assert (reply(keeper).number, reply(keeper).version) == (3, "v1")
    assert reply(keeper, key="5d").version is None
    assert reply(keeper, service="other").version is None


def test_a_new_broker_does_not_say_that_a_stream_is_unknown_for_good(keeper):
    """Guards against refusing streams of which other gateways have not told
    the successor of a lost broker yet.
    """
    assert not reply(keeper, key="5d").is_final
    keeper.served_since["llm"] = time.monotonic() - SETTLED_SECONDS
    assert reply(keeper, key="5d").is_final


def test_a_broker_that_comes_into_use_again_is_new(keeper):
    """Guards against an unused broker that takes what it hasn't heard for
    what nobody knows.
    """
    keeper.served_since["llm"] = time.monotonic() - SETTLED_SECONDS
    connections = dict(keeper.gateways)
    keeper.gateways.clear()
    refresh(keeper)
    keeper.gateways.update(connections)
    refresh(keeper)
    assert not reply(keeper, key="5d").is_final
