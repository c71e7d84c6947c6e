"""What a leader tells gateways of software versions."""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.control import version_service
from marjoramyard.fleet.control.endpoint_feed import EndpointFeed
from marjoramyard.fleet.control.leader_calls import LeaderCalls
from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.fleet.control.version_service import VersionService
from marjoramyard.fleet.sync_messages import ConfirmVersions

V1 = ServiceVersion("api", "v1")
V2 = ServiceVersion("api", "v2")


class NodeStub:
    """A leader whose leadership a quorum confirms, or doesn't."""

    def __init__(self):
        self.state = ControlState()
        self.confirmed = Ok(1)
        self.on_confirm = lambda: None

    async def confirm_leadership(self, _timeout):
        self.on_confirm()
        return self.confirmed


@pytest.fixture
def versions():
    role = SimpleNamespace(
        running_node=NodeStub(),
        is_leader=lambda: True,
        settings=SimpleNamespace(advertised_address="a:1"),
        app=SimpleNamespace(client=None),
    )
    endpoints = EndpointFeed("control-0", lambda: None)
    role.running_node.state.versions.change([V1], [])
    return VersionService(role, LeaderCalls(role), endpoints)


def register(versions, name, version, **changes):
    versions.endpoints.register(
        Registration(
            endpoint=name,
            service="api",
            address=f"10.0.0.1:{len(name)}",
            software_version=version,
            **({"sequence": 1} | changes),
        )
    )


async def ask(versions, revision=-1):
    return await versions.on_confirm(ConfirmVersions(["api"], revision))


async def test_the_record_is_read_after_the_confirmation(versions):
    """Guards against telling what was recorded before a quorum confirmed it."""
    node = versions.role.running_node
    node.on_confirm = lambda: node.state.versions.change([V2], [])
    assert (await ask(versions)).ok_value.versions == [V1, V2]


async def test_without_a_quorum_nothing_is_told(versions):
    """Guards against a suspended leader that tells an old record."""
    versions.role.running_node.confirmed = Err(no_quorum())
    assert isinstance(await ask(versions), Err)


async def test_a_follower_tells_nothing(versions):
    """Guards against the record of a host that lacks the last entries."""
    versions.role.is_leader = lambda: False
    node = versions.role.running_node
    node.not_leader = no_quorum
    assert isinstance(await ask(versions), Err)


async def test_versions_that_are_not_recorded_are_told(versions):
    """Guards against streams of a version that was used though it could not be
    recorded, also after its endpoint has left or has another one.
    """
    register(versions, "e1", "v2")
    register(versions, "e22", "v3")
    register(versions, "e22", "v1", sequence=2)
    versions.endpoints.mark_departed("e1")
    confirmed = (await ask(versions)).ok_value
    assert [each.version for each in confirmed.registered] == ["v1", "v2", "v3"]


async def test_a_known_record_is_not_sent_again(versions):
    """Guards against sending a long record with each confirmation."""
    revision = (await ask(versions)).ok_value.versions_revision
    assert (await ask(versions, revision)).ok_value.versions is None


async def test_registrations_are_read_once_for_many_gateways(
    versions, monkeypatch
):
    """Guards against a leader that reads all registrations for each gateway
    after a loss of power, and against what it read before an endpoint changed.
    """
    monkeypatch.setattr(version_service.time, "monotonic", lambda: 1000.0)
    register(versions, "e1", "v2")
    registrations = versions.endpoints.registrations
    reads = []
    read = registrations.versions
    monkeypatch.setattr(
        registrations,
        "versions",
        lambda *call: reads.append(call) or read(*call),
    )
    told = [(await ask(versions)).ok_value.registered for _ in range(3)]
    assert told[0] == told[1] == told[2]
    assert len(reads) == 1
    register(versions, "e2", "v9")
    confirmed = (await ask(versions)).ok_value
    assert "v9" in [each.version for each in confirmed.registered]
