"""Disks that are full for a time, by other files than the log."""

import errno
from contextlib import contextmanager

import pytest
from control_host import control_host
from result import Ok

from marjoramyard.coordination.consensus.messages import (
    Append,
    AppendReply,
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    Membership,
    Snapshot,
    VoteRequest,
)
from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.control import storage as storage_module
from marjoramyard.fleet.control.log_limits import LogLimits
from marjoramyard.fleet.control.node import PROBE_TICKS, ControlNode
from marjoramyard.fleet.control.storage import (
    BatchRefusedError,
    open_storage,
)
from marjoramyard.kernel.errors import FailureKind, Outcome
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until

VOTERS = ("a", "b", "c")


@contextmanager
def full_disk(monkeypatch, only=""):
    """Refuses writes midway, to all files or to those with a name."""
    write_all = storage_module.write_all

    def refuse(file, data):
        if only not in str(file.name):
            return write_all(file, data)
        file.write(data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as patched:
        patched.setattr(storage_module, "write_all", refuse)
        yield


def document(version, size=2):
    return ConfigDocument(version, bytes(size))


async def is_writable(host):
    async def condition():
        return not host.running_node.is_read_only

    await wait_until(condition, "a writable disk")


async def test_a_leader_with_a_full_disk_serves_reads_and_refuses_changes(
    tmp_path, monkeypatch
):
    """Guards against control hosts that serve nothing while disks are full."""
    async with control_host(tmp_path) as host:
        assert isinstance(await host.service.put_config(document(1)), Ok)
        replica = host.running_node
        with full_disk(monkeypatch):
            for version in (2, 3):
                refused = await host.service.put_config(document(version))
                assert refused.err_value.kind is FailureKind.STORAGE_FULL
                assert refused.err_value.outcome == Outcome.NOT_RUN.value
            read = await host.service.read_config()
            assert read.ok_value.document == document(1)
            assert host.service.newest_config() == document(1)
        await is_writable(host)
        assert host.running_node is replica
        assert isinstance(await host.service.put_config(document(4)), Ok)
    async with control_host(tmp_path) as host:
        assert host.service.newest_config() == document(4)


async def test_a_compaction_without_room_is_made_up_for(tmp_path, monkeypatch):
    """Guards against a replica that stops, as no snapshot can be written."""
    async with control_host(tmp_path, snapshot_every=5) as host:
        replica = host.running_node
        with full_disk(monkeypatch, only="snapshot-"):
            for version in range(1, 12):
                result = await host.service.put_config(document(version))
                assert isinstance(result, Ok)
        assert host.running_node is replica
        assert host.storage.base_index == 1
        await host.service.put_config(document(12))
        assert host.storage.base_index == replica.core.applied_index
    async with control_host(tmp_path) as host:
        assert host.service.newest_config() == document(12)


async def test_a_start_on_a_full_disk_ends_by_itself(tmp_path, monkeypatch):
    """Guards against a process that ends as its log can't be opened."""
    async with control_host(tmp_path) as host:
        await host.service.put_config(document(1))

    def full(_, size):
        raise OSError(errno.ENOSPC, f"no space left for {size} bytes")

    failing = [True]
    truncate = storage_module.Storage._truncate

    def fail_once(storage, size):
        if failing:
            failing.clear()
            full(storage, size)
        truncate(storage, size)

    monkeypatch.setattr(storage_module.Storage, "_truncate", fail_once)
    async with control_host(tmp_path) as host:
        assert host.service.newest_config() == document(1)
    assert not failing


def test_nothing_of_a_refused_batch_is_read_again(tmp_path, monkeypatch):
    """Guards against an entry that was refused and comes back by a restart."""
    with open_storage(tmp_path) as storage:
        storage.load()
        storage.append(HardState(1, "a"), [entry(1)])
        with full_disk(monkeypatch), pytest.raises(BatchRefusedError):
            storage.append(None, [entry(2)])
        storage.append(None, [entry(2, "other")])
    with open_storage(tmp_path) as storage:
        assert storage.load().entries == [entry(1), entry(2, "other")]


def entry(index, data="first"):
    return LogEntry(index, 1, EntryKind.COMMAND, data)


class SentMessages:
    """Records what a replica sends."""

    def __init__(self):
        self.messages = []

    def record_reply_addresses(self, envelopes):
        pass

    def enqueue(self, envelopes, _):
        self.messages += [envelope.message for envelope in envelopes]


@pytest.fixture
def follower(tmp_path):
    """A follower with the entries 1 and 2 whose disk has refused a write."""
    metrics = Metrics("control", "a")
    membership = Membership(VOTERS, (), {name: name for name in VOTERS})
    with open_storage(tmp_path) as storage:
        storage.create_identity("cluster", "a")
        storage.save_snapshot(Snapshot(1, 1, membership), HardState(1), [])
        storage.append(None, [noop(2)])
        yield ControlNode(
            storage,
            storage.load(),
            SentMessages(),
            metrics,
            LogLimits(9, 1 << 20),
            is_read_only=True,
        )
    metrics.close()


def noop(index):
    return LogEntry(index, 1, EntryKind.NOOP)


async def sent_after(node, *messages):
    node.transport.messages.clear()
    node.receive([Envelope("b", "a", message) for message in messages])
    node._process()
    return node.transport.messages


async def test_a_follower_with_a_full_disk_confirms_its_leader(
    follower, monkeypatch
):
    """Guards against reads that fail, as followers' disks are full."""
    with full_disk(monkeypatch):
        for _ in range(PROBE_TICKS):
            follower._tick()
        append = Append(1, 2, 1, [noop(3)], 2, 7)
        sent = await sent_after(follower, append)
        assert sent == [AppendReply(1, True, 2, 7)]
        assert follower.core.commit_index == 2
    for _ in range(PROBE_TICKS):
        follower._tick()
    assert await sent_after(follower, append) == [AppendReply(1, True, 3, 7)]


async def test_a_follower_with_a_full_disk_neither_votes_nor_stands(
    follower, monkeypatch
):
    """Guards against two votes in one term, of which the first was lost."""
    with full_disk(monkeypatch):
        await sent_after(follower, Append(1, 2, 1, [], 2, 7))
        assert follower.core.leader == "b"
        vote = VoteRequest(9, 9, 1)
        assert not await sent_after(follower, vote, Append(2, 2, 1, [], 2, 7))
        assert follower.core.leader == ""
        for _ in range(100):
            follower._tick()
            assert not await sent_after(follower)
        assert follower.core.term == 1
    for _ in range(100):
        follower._tick()
    assert await sent_after(follower)
