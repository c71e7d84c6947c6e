"""Control hosts in one process lose disks, power and calls to each other."""

import asyncio
import random
import shutil
from contextlib import AsyncExitStack
from types import SimpleNamespace

import msgspec
import pytest
from result import Err

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet import paths
from marjoramyard.fleet.control import cluster_manager, node, raft_transport
from marjoramyard.fleet.control.role import ControlRole
from marjoramyard.fleet.control.storage import open_storage
from marjoramyard.fleet.settings import ControlSettings
from marjoramyard.fleet.util.rpc import decode_reply
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.errors import FailureKind, FleetError, failure
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until

ADDRESSES = tuple(f"127.0.0.{number}:7000" for number in (1, 2, 3))
OPERATORS = tuple(a.replace(":7000", ":8000") for a in ADDRESSES)
SPEED_UP = 10
"""All intervals are shorter by this factor."""
LOSSY_SECONDS = 0.4
LOST_SHARE = 0.4
TIMEOUT_SECONDS = 10.0
LOST_DISKS = 3
SEEDS = (2, 5, 10, 11)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    for module, name in (
        (cluster_manager, "ANNOUNCE_INTERVAL_SECONDS"),
        (cluster_manager, "CALL_TIMEOUT_SECONDS"),
        (cluster_manager, "MAX_ANNOUNCEMENT_AGE_SECONDS"),
        (cluster_manager, "VOTER_TIMEOUT_SECONDS"),
        (cluster_manager, "BOOTSTRAP_DELAY_SECONDS"),
        (cluster_manager, "MEMBERSHIP_STEP_TIMEOUT_SECONDS"),
        (node, "TICK_SECONDS"),
        (raft_transport, "_SEND_TIMEOUT_SECONDS"),
        (raft_transport, "_PAUSE_AFTER_FAILURE_SECONDS"),
    ):
        monkeypatch.setattr(module, name, getattr(module, name) / SPEED_UP)


class Hosts:
    """Control hosts that call each other without a network.

    Attributes:
        roles: The running hosts, by address.
        lost_share: The share of calls whose request or reply is lost.
    """

    def __init__(self, folder, seed):
        self.folder = folder
        self.rng = random.Random(seed)
        self.roles = {}
        self.stacks = {}
        self.lost_share = 0.0
        self.is_bootstrapped = False

    async def start(self, address):
        stack = AsyncExitStack()
        number = ADDRESSES.index(address)
        settings = ControlSettings(
            role="control",
            name=f"c{number}",
            zone=f"z{number}",
            internal=address,
            operator_listen=OPERATORS[number],
            seeds=list(OPERATORS),
            peer_port=7000,
            self_forming=True,
            first_start=not self.is_bootstrapped,
            losses=1,
        )
        metrics = Metrics("control", settings.name)
        stack.callback(metrics.close)
        storage = stack.enter_context(open_storage(self.folder / f"d{number}"))
        tasks = await stack.enter_async_context(task_group())
        client = SimpleNamespace(
            call=lambda *arguments: self.call(address, *arguments)
        )
        app = SimpleNamespace(
            settings=settings, metrics=metrics, tasks=tasks, client=client
        )
        role = ControlRole(app, storage)
        if storage.load_identity() is not None:
            role.start_node()
        tasks.spawn(role.cluster_manager.run())
        self.roles[address], self.stacks[address] = role, stack

    async def stop(self, address):
        role = self.roles.pop(address)
        if role.running_node is not None:
            role.running_node.stop()
        await self.stacks.pop(address).aclose()

    async def lose_disk(self, address):
        await self.stop(address)
        shutil.rmtree(self.folder / f"d{ADDRESSES.index(address)}")
        await asyncio.sleep(self.rng.choice((0.0, 0.03, 0.1)))
        await self.start(address)

    async def lose_power(self, lost_disk):
        for address in ADDRESSES:
            await self.stop(address)
        shutil.rmtree(self.folder / f"d{ADDRESSES.index(lost_disk)}")
        for address in ADDRESSES:
            await self.start(address)

    async def call(self, sender, address, path, message, reply, timeout):
        """Calls a host; the request or the reply may be lost."""
        no_reply = Err(failure(FailureKind.NO_ENDPOINT, "connection reset"))
        await asyncio.sleep(0)
        role = self.roles.get(address)
        if role is None or sender not in self.roles or self._is_lost():
            return no_reply
        data = msgspec.json.encode(message)
        try:
            async with asyncio.timeout(timeout):
                text = await self._handle(role, path, data)
        except (FleetError, TimeoutError):
            return no_reply
        if self._is_lost():
            return no_reply
        return decode_reply(200, text, reply)

    def _is_lost(self):
        return self.rng.random() < self.lost_share / 2

    async def _handle(self, role, path, data):
        async def read():
            return data

        request = SimpleNamespace(read=read, get=lambda _: None)
        if path == paths.ANNOUNCE_PATH:
            message = msgspec.json.decode(
                data, type=cluster_manager.HostAnnouncement
            )
            return msgspec.json.encode(
                role.cluster_manager.on_announce(message)
            )
        handler = {
            paths.RAFT_PATH: role.on_raft,
            paths.INIT_PATH: role.on_init,
        }[path]
        return (await handler(request)).body

    async def lose_calls(self, seconds):
        self.lost_share = LOST_SHARE
        await asyncio.sleep(seconds)
        self.lost_share = 0.0

    def leader(self):
        return next((r for r in self.roles.values() if r.is_leader()), None)

    async def put(self, version):
        async def is_accepted():
            leader = self.leader()
            if leader is None:
                return False
            document = ConfigDocument(version, b"config")
            result = await leader.service.put_config(document)
            return result.is_ok()

        await wait_until(is_accepted, "a change", TIMEOUT_SECONDS)

    async def all_are_voters(self):
        """Whether the members are the three running replicas."""
        replicas = set()
        for role in self.roles.values():
            if role.running_node is None:
                return False
            replicas.add(role.running_node.core.replica_id)
        return all(
            set(role.running_node.core.membership.members) == replicas
            and set(role.running_node.core.membership.voters) == replicas
            for role in self.roles.values()
        )


@pytest.mark.parametrize("seed", SEEDS)
async def test_disks_are_replaced_whatever_call_is_lost(tmp_path, seed):
    """Guards against a step of a replacement that one lost call leaves out."""
    hosts = Hosts(tmp_path, seed)
    try:
        for address in ADDRESSES:
            await hosts.start(address)
        await wait_until(hosts.all_are_voters, "the first voters")
        hosts.is_bootstrapped = True
        for version in range(1, LOST_DISKS + 1):
            await hosts.put(version)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(hosts.lose_disk(hosts.rng.choice(ADDRESSES)))
                tasks.create_task(hosts.lose_calls(LOSSY_SECONDS))
            await wait_until(
                hosts.all_are_voters, "the replacement", TIMEOUT_SECONDS
            )
        await hosts.put(LOST_DISKS + 1)
        await hosts.lose_power(hosts.rng.choice(ADDRESSES))
        await wait_until(
            hosts.all_are_voters, "the last replacement", TIMEOUT_SECONDS
        )
        read = await hosts.leader().service.read_config()
        assert read.ok_value.document.version == LOST_DISKS + 1
    finally:
        for address in list(hosts.roles):
            await hosts.stop(address)
