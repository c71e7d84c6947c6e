"""Prompts that a gateway decides on before they are parsed."""

import asyncio
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.early_refusal import parse_head
from marjoramyard.fleet.gateway.overload_guard import OverloadGuard
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.errors import FleetError
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.clocks import seconds_since_boot

UNUSED_PEER = "127.0.0.1:1"
CONFIG = FleetConfig(
    1,
    routes=(
        Route(
            name="llm",
            hostname="h",
            path_prefix="/llm/",
            request_kind=RequestKind.STREAM,
            timeout_ms=5000,
            service="llm",
        ),
    ),
    services=(Service("llm", engine=EngineProfile()),),
    workspaces=(Workspace("large", ("k1",)), Workspace("small", ("k2",))),
)


class FakeCaller:
    """The connection of a caller."""

    def is_closing(self):
        return True


@pytest.fixture
def guard():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 60.0)
    view.table = RouteTable(CONFIG)
    view.lease.renew(seconds_since_boot(), 60.0)
    metrics = Metrics("gateway", "g0")
    brokers = SimpleNamespace(
        lag=SimpleNamespace(on_wake_up=[]), peers=lambda: {UNUSED_PEER: 1.0}
    )
    instance = OverloadGuard(view, brokers, metrics)
    instance.demand.max_forwarded = 2
    instance.demand.max_outgoing = 100
    instance.limit.limit = 20.0
    yield instance
    metrics.close()


def decide(guard, key="k1"):
    """Returns what becomes of a prompt, as its connection asks for it."""
    text = f"POST /llm/x HTTP/1.1\r\nHost: h\r\nApi-Key: {key}\r\n\r\n"
    head = parse_head(text.encode())
    forwarded = guard.start_forwarding(head, text.encode(), FakeCaller())
    if forwarded is not None:
        return "forwarded", forwarded
    return ("served" if guard.refuse_early(head) is None else "refused"), None


async def test_a_flood_is_forwarded_then_refused_while_others_are_served(
    guard,
):
    """Guards against a decision to refuse that serves the prompt after all."""
    guard.demand.note_excess()
    for _ in range(18):
        guard.limit.enter("large")
    guard.demand.on_wake_up(0.0)
    found = [decide(guard) for _ in range(4)]
    assert [what for what, _ in found] == ["forwarded"] * 2 + ["refused"] * 2
    assert decide(guard, "k2")[0] == "served"
    for _, request in found[:2]:
        request.cancel()
    assert not guard.forwarding_limit.total
    assert not guard.peers.active


async def test_prompts_that_are_served_are_expected_until_they_are_handled(
    guard,
):
    assert decide(guard)[0] == "served"
    assert guard.demand.expected == {"large": 1}
    async with asyncio.timeout(5):
        while guard.demand.expected:
            await asyncio.sleep(0)


async def test_a_gateway_overloaded_by_forwarded_prompts_alone_says_so(guard):
    """Guards against a peer that is named on while it refuses: prompts of
    other gateways are not checked before they are parsed.
    """
    for _ in range(20):
        guard.limit.enter("large")
    assert not guard.demand.is_overloaded
    with pytest.raises(FleetError), guard.admit("large"):
        pass
    assert guard.demand.is_overloaded
    for _ in range(20):
        guard.limit.leave("large")
    assert guard.brokers.needs_peers()


async def test_peers_are_asked_for_before_prompts_are_refused(guard):
    """Guards against refusals until a broker has named peers."""
    for _ in range(15):
        guard.limit.enter("large")
    assert not guard.brokers.needs_peers()
    guard.limit.enter("large")
    assert guard.brokers.needs_peers()
