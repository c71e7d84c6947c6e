"""Which changes of the record of versions the leader proposes."""

import math
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.governance.commands import ChangeVersions
from marjoramyard.coordination.governance.service_versions import (
    VERSION_RETENTION_SECONDS,
    ServiceVersion,
)
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.coordination.membership.registrations import (
    Registration,
    Registrations,
)
from marjoramyard.fleet.control.version_recorder import (
    AWAITED_SECONDS,
    VersionRecorder,
)

NOW = 1000.0
LATE = NOW + VERSION_RETENTION_SECONDS + 1.0
V1 = ServiceVersion("llm", "v1")
V2 = ServiceVersion("llm", "v2")


class Role:
    """A leader with a registration table and a replicated state."""

    def __init__(self):
        self.registrations = Registrations()
        self.endpoints = SimpleNamespace(
            registrations=self.registrations, cursor=0
        )
        self.service = SimpleNamespace(endpoints=self.endpoints)
        membership = SimpleNamespace(addresses={"r-1": "a:1", "r-2": "b:1"})
        self.running_node = SimpleNamespace(
            state=ControlState(), core=SimpleNamespace(membership=membership)
        )
        self.cluster_manager = SimpleNamespace(hosts={})

    def register(self, name, version):
        registration = Registration(
            endpoint=name,
            service="llm",
            address=f"10.0.0.1:{len(name)}",
            software_version=version,
            sequence=1,
        )
        self.registrations.merge(registration, NOW)
        self.endpoints.cursor += 1

    def leave(self, name):
        self.registrations.mark_departed(name, NOW)
        self.endpoints.cursor += 1


@pytest.fixture
def role():
    role = Role()
    role.register("e", "v1")
    return role


@pytest.fixture
def recorder(role):
    return VersionRecorder(role)


def apply_next(role, recorder, now):
    """Applies the next change; returns what it adds and removes."""
    change = recorder.next_change(now)
    if change is None:
        return None
    role.running_node.state.apply(change)
    return change.added, change.removed


def test_new_versions_are_recorded_once(role, recorder):
    assert apply_next(role, recorder, NOW) == ([V1], [])
    assert apply_next(role, recorder, NOW) is None


def test_a_version_is_forgotten_long_after_its_last_endpoint(role, recorder):
    """Guards against forgetting a version whose streams are still resumed, and
    against refusing streams for good after a release.
    """
    apply_next(role, recorder, NOW)
    role.register("e2", "v2")
    role.leave("e")
    assert apply_next(role, recorder, NOW) == ([V2], [])
    almost = NOW + VERSION_RETENTION_SECONDS
    assert apply_next(role, recorder, almost) is None
    assert apply_next(role, recorder, LATE) == ([], [V1])


def test_a_host_that_starts_to_lead_waits_as_long(role, recorder):
    """Guards against a leader that forgets versions whose endpoints it has not
    heard of yet.
    """
    role.running_node.state.apply(ChangeVersions([V2]))
    apply_next(role, recorder, NOW)
    recorder.absent_since.clear()
    assert apply_next(role, recorder, LATE) is None


@pytest.mark.parametrize("understands", [True, False])
def test_nothing_is_recorded_beside_members_of_an_earlier_release(
    role, recorder, understands
):
    """Guards against a change that a member can't read."""
    peer = SimpleNamespace(records_versions=understands)
    role.cluster_manager.hosts = {"b:1": peer, "c:1": None}
    assert recorder._members_understand() is understands


def test_a_version_that_a_gateway_waits_for_is_recorded(role):
    """Guards against a version that is used unrecorded, as its endpoints reach
    only a control host that does not reach the leader.
    """
    recorder = VersionRecorder(role)
    recorder.on_awaited([V2])
    assert recorder.awaited_at.keys() == {V2}
    # A time to which seconds can be added without rounding.
    recorder.awaited_at[V2] = NOW
    assert recorder.next_change(NOW).added == [V1, V2]
    almost = math.nextafter(NOW + AWAITED_SECONDS, NOW)
    assert recorder.next_change(almost).added == [V1, V2]
    assert recorder.next_change(NOW + AWAITED_SECONDS).added == [V1]
