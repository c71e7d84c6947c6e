"""What a control host knows of the others."""

import asyncio
import time
from types import SimpleNamespace

import msgspec
import pytest
from result import Err, Ok

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.coordination.consensus.replica import Role
from marjoramyard.fleet.control.cluster_manager import (
    MAX_ANNOUNCEMENT_AGE_SECONDS,
    ClusterManager,
)
from marjoramyard.fleet.messages import Empty, InitCluster
from marjoramyard.fleet.paths import INIT_PATH
from marjoramyard.fleet.sync_messages import ControlHost
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.errors import FailureKind, failure
from marjoramyard.kernel.ids import ReplicaId


@pytest.mark.parametrize(
    ("recent", "lost", "is_isolated"),
    [(5, 0, False), (3, 2, False), (2, 3, True), (0, 5, True), (0, 0, False)],
)
def test_a_host_without_most_others_is_isolated(recent, lost, is_isolated):
    seeds = [f"host-{number}" for number in range(recent + lost)]
    settings = SimpleNamespace(
        seed_addresses=lambda: seeds, advertised_address="self"
    )
    role = SimpleNamespace(
        settings=settings, app=SimpleNamespace(client=None), running_node=None
    )
    manager = ClusterManager(role)
    now = time.monotonic()
    for number, seed in enumerate(seeds):
        age = 0.0 if number < recent else 2 * MAX_ANNOUNCEMENT_AGE_SECONDS
        manager.last_received_at[seed] = now - age
    assert manager.is_isolated() is is_isolated
    manager.last_received_at = {seed: now for seed in seeds[:recent]}
    assert manager.is_isolated() is is_isolated


class EmptyHosts:
    """Answers calls that initialise hosts; the first ones are lost.

    Attributes:
        lost: How many calls are still to be lost.
        initialised: The addresses of the other calls.
    """

    def __init__(self, lost):
        self.lost = lost
        self.initialised = []

    async def call(self, address, path, message, reply, timeout):
        assert path == INIT_PATH
        assert message == InitCluster("cluster", Membership())
        if self.lost:
            self.lost -= 1
            return Err(failure(FailureKind.NO_ENDPOINT, "connection reset"))
        self.initialised.append(address)
        return Ok(Empty())


def manager_of_leader(client, tasks, members):
    settings = SimpleNamespace(
        seed_addresses=list, advertised_address="a", voter_count=3
    )
    core = SimpleNamespace(role=Role.LEADER, membership=members)
    return ClusterManager(
        SimpleNamespace(
            settings=settings,
            app=SimpleNamespace(client=client, tasks=tasks),
            running_node=SimpleNamespace(core=core),
            storage=SimpleNamespace(
                identity=SimpleNamespace(cluster="cluster")
            ),
            service=SimpleNamespace(
                observation=SimpleNamespace(on_heard=lambda *_: None),
                endpoints=SimpleNamespace(on_heard=lambda *_: None),
            ),
        )
    )


@pytest.mark.parametrize("is_member", [False, True])
async def test_an_empty_host_is_initialised_until_it_holds_a_replica(is_member):
    """Guards against a host that stays empty since one call was lost."""
    empty = ControlHost("b", "b", "", replica="b~2")
    replica = ReplicaId(empty.replica)
    members = Membership((replica,), (), {replica: "b"} if is_member else {})
    client = EmptyHosts(lost=2)
    async with task_group() as tasks:
        manager = manager_of_leader(client, tasks, members)
        for _ in range(2):
            manager._record_host(empty)
            await settle()
            assert not manager._available_hosts(time.monotonic())
        for _ in range(2):
            manager._record_host(empty)
            await settle()
        found = manager._available_hosts(time.monotonic())
        assert [host.replica for host in found] == [replica]
        manager._record_host(msgspec.structs.replace(empty, cluster="cluster"))
        await settle()
    assert set(client.initialised) == {"b"}


async def test_a_host_with_an_unfinished_initialisation_is_not_called_again():
    """Guards against calls that collect at a host that doesn't respond."""
    called = []

    class Unresponsive:
        async def call(self, address, *_):
            called.append(address)
            await asyncio.Event().wait()

    async with task_group() as tasks:
        manager = manager_of_leader(Unresponsive(), tasks, Membership())
        for _ in range(3):
            manager._record_host(ControlHost("b", "b", "", replica="b~2"))
            await settle()
    assert called == ["b"]


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)
