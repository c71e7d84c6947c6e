"""A disk that refuses writes for a time."""

import errno
from types import SimpleNamespace

import msgspec
import pytest
from result import Err, Ok

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.control import role as control_role
from marjoramyard.fleet.control import storage as storage_module
from marjoramyard.fleet.control.storage import StorageError, open_storage
from marjoramyard.fleet.messages import InitCluster
from marjoramyard.fleet.settings import ControlSettings
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.errors import FleetError
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until


@pytest.fixture
async def empty_host(tmp_path, monkeypatch):
    monkeypatch.setattr(control_role, "_STORAGE_RETRY_SECONDS", 0.01)
    settings = ControlSettings(
        role="control",
        name="c",
        zone="z",
        internal="127.0.0.1:9",
        operator_listen="127.0.0.1:10",
        self_forming=True,
        losses=0,
    )
    metrics = Metrics("control", "c")
    try:
        with open_storage(tmp_path / "data") as storage:
            async with task_group() as tasks:
                app = SimpleNamespace(
                    settings=settings,
                    metrics=metrics,
                    tasks=tasks,
                    client=None,
                )
                yield control_role.ControlRole(app, storage)
    finally:
        metrics.close()


def first_membership(role):
    replica = ReplicaId(role.unassigned_replica_id)
    return Membership((replica,), (), {replica: "127.0.0.1:9"})


@pytest.fixture
async def host(empty_host):
    empty_host.initialise("cluster", first_membership(empty_host))
    await wait_until(host_leads(empty_host), "a leader")
    return empty_host


def refuse_writes(storage, monkeypatch):
    def full(*_):
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(storage, "append", full)
    monkeypatch.setattr(storage, "check_writable", full)


async def test_a_full_disk_refuses_and_loses_nothing(host, monkeypatch):
    """Guards against acknowledging a change that is not on disk.

    Changes are refused while the disk is full. Afterwards, the host serves
    again without a restart of the process, with all acknowledged changes.
    """
    first, second = ConfigDocument(1, b"one"), ConfigDocument(2, b"two")
    assert isinstance(await host.service.put_config(first), Ok)
    with monkeypatch.context() as patched:
        refuse_writes(host.storage, patched)
        assert isinstance(await host.service.put_config(second), Err)
        assert not host.is_leader()
        assert host.running_node is None

    async def leads():
        return host.is_leader()

    await wait_until(leads, "the replica to restart")
    read = await host.service.read_config()
    assert read.ok_value.document in (first, second)
    assert isinstance(await host.service.put_config(second), Ok)
    assert host.service.newest_config() == second


async def test_a_log_that_can_not_be_read_for_a_time_ends_nothing(
    host, monkeypatch
):
    """Guards against a host that never serves again, without a word, because
    its log was damaged when the disk became writable.
    """
    first = ConfigDocument(1, b"one")
    assert isinstance(await host.service.put_config(first), Ok)
    load = host.storage.load
    failures = [StorageError("damaged"), StorageError("damaged")]

    def load_later():
        if failures:
            raise failures.pop()
        return load()

    with monkeypatch.context() as patched:
        patched.setattr(host.storage, "load", load_later)
        with monkeypatch.context() as full:
            refuse_writes(host.storage, full)
            await host.service.put_config(ConfigDocument(2, b"two"))
        await wait_until(host_leads(host), "the replica to restart")
    read = await host.service.read_config()
    assert not failures
    assert read.ok_value.document.version >= 1


def host_leads(host):
    async def leads():
        return host.is_leader()

    return leads


async def test_a_host_whose_disk_is_full_stays_the_same_replica(
    host, monkeypatch
):
    """Guards against a replica that is overwritten while its disk is full."""
    held = host.cluster_manager.describe()
    order = msgspec.json.encode(InitCluster("cluster", Membership()))

    async def read():
        return order

    with monkeypatch.context() as patched:
        refuse_writes(host.storage, patched)
        await host.service.put_config(ConfigDocument(1, b"one"))
        stopped = host.cluster_manager.describe()
        assert (stopped.replica, stopped.cluster) == (held.replica, "cluster")
        assert stopped.is_stopped and not held.is_stopped
        with pytest.raises(FleetError):
            await host.on_init(SimpleNamespace(read=read, get=lambda _: None))
    await wait_until(host_leads(host), "the replica to restart")
    assert host.cluster_manager.describe().replica == held.replica


def fail_once(function):
    """Returns a function that fails at its first call."""
    failures = [OSError(errno.ENOSPC, "no space left")]

    def failing(*arguments):
        if failures:
            raise failures.pop()
        return function(*arguments)

    return failing


async def test_a_host_is_still_empty_if_its_identity_was_not_stored(
    empty_host, monkeypatch
):
    """Guards against a host that refuses to be initialised for good."""
    monkeypatch.setattr(
        storage_module, "replace_file", fail_once(storage_module.replace_file)
    )
    membership = first_membership(empty_host)
    with pytest.raises(OSError, match="no space"):
        empty_host.initialise("cluster", membership)
    assert empty_host.cluster_manager.describe().cluster == ""
    empty_host.initialise("cluster", membership)
    await wait_until(host_leads(empty_host), "a leader")


async def test_a_new_replica_starts_once_its_disk_takes_writes(
    empty_host, monkeypatch
):
    """Guards against a host that holds a replica and never starts it."""
    storage = empty_host.storage
    monkeypatch.setattr(storage, "load", fail_once(storage.load))
    empty_host.initialise("cluster", first_membership(empty_host))
    assert empty_host.cluster_manager.describe().is_stopped
    await wait_until(host_leads(empty_host), "a leader")
