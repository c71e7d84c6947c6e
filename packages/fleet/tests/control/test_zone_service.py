"""Orders on zones at a control host."""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.fleet.control.leader_calls import LeaderCalls
from marjoramyard.fleet.control.zone_service import ZoneService
from marjoramyard.fleet.messages import Empty
from marjoramyard.kernel.errors import FailureKind, failure


class FakeNode:
    """A replica that leads and commits at once.

    Attributes:
        on_confirm: Called when leadership is confirmed.
        log: The commands that were executed.
    """

    def __init__(self):
        self.state = ControlState()
        self.on_confirm = lambda: None
        self.log = []
        self.has_quorum = True

    async def confirm_leadership(self, _):
        if not self.has_quorum:
            return Err(failure(FailureKind.NO_QUORUM, "none"))
        self.on_confirm()
        return Ok(1)

    async def execute(self, command, _):
        self.log.append(command)
        return Ok(self.state.apply(command))


def make_service(node, zones=("a", "b")):
    role = SimpleNamespace(
        settings=SimpleNamespace(
            advertised_address="leader", availability_zones=list(zones)
        ),
        app=SimpleNamespace(client=None),
        running_node=node,
        leader_address=lambda: "leader",
        is_leader=lambda: True,
    )
    return ZoneService(role, LeaderCalls(role))


@pytest.fixture
def node():
    return FakeNode()


@pytest.fixture
def service(node):
    return make_service(node)


async def change(service, zone, is_evacuated, is_awaited=lambda: True):
    return await service.change(zone, is_evacuated, "awa", is_awaited)


async def test_an_order_is_committed_before_it_is_acknowledged(service, node):
    assert isinstance(await change(service, "a", True), Ok)
    assert [c.zone for c in node.log] == ["a"]
    assert node.state.evacuations.evacuated_zones() == ["a"]


async def test_a_repeated_order_is_acknowledged_without_a_log_entry(
    service, node
):
    await change(service, "a", True)
    assert isinstance(await change(service, "a", True), Ok)
    assert isinstance(await change(service, "b", False), Ok)
    assert len(node.log) == 1


async def test_an_unknown_zone_is_refused_with_the_known_ones(service, node):
    refused = await change(service, "c", True)
    assert refused.err_value.kind is FailureKind.NOT_FOUND
    assert "use a, b" in refused.err_value.message
    assert node.log == []


async def test_any_zone_is_accepted_if_none_is_configured(node):
    assert isinstance(await change(make_service(node, ()), "c", True), Ok)


async def test_an_order_of_an_operator_that_left_has_no_effect(service, node):
    """Guards against orders that a suspended host applies when it wakes."""
    refused = await change(service, "a", True, is_awaited=lambda: False)
    assert refused.err_value.kind is FailureKind.NO_QUORUM
    assert node.state.evacuations.evacuated_zones() == []


async def test_an_order_that_was_overtaken_has_no_effect(service, node):
    """Guards against an order that is held up after its zone was read.

    Meanwhile other hosts apply the same order and its end.
    """
    overtaking = make_service(node)
    states = await overtaking.read()
    revision = states.ok_value.zones.get("a")
    assert revision is None

    async def overtake():
        await change(overtaking, "a", True)
        await change(overtaking, "a", False)

    original = service._change_locally

    async def held_up(command):
        await overtake()
        return await original(command)

    service._change_locally = held_up
    refused = await change(service, "a", True)
    assert refused.err_value.kind is FailureKind.CONFLICT
    assert node.state.evacuations.evacuated_zones() == []


async def test_without_a_quorum_an_order_is_not_acknowledged(service, node):
    node.has_quorum = False
    refused = await change(service, "a", True)
    assert refused.err_value.kind is FailureKind.NO_QUORUM
    assert node.log == []


async def test_a_host_that_does_not_lead_refuses_a_peer_s_order(node):
    service = make_service(node)
    service.role.is_leader = lambda: False
    service.role.running_node = None
    refused = await service.on_read(Empty())
    assert refused.err_value.kind is FailureKind.NOT_LEADER
