"""A disk that refuses writes, and takes them again."""

import errno
from types import SimpleNamespace

import pytest
from result import Err, Ok

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.control import role as control
from marjoramyard.fleet.control.storage import open_storage
from marjoramyard.fleet.settings import ControlSettings
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until


@pytest.fixture
async def host(tmp_path, monkeypatch):
    monkeypatch.setattr(control, "_REOPEN_SECONDS", 0.01)
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
                running = control.ControlRole(app, storage)
                me = ReplicaId(running.spare_id)
                running.initialise(
                    "cluster", Membership((me,), (), {me: "127.0.0.1:9"})
                )

                async def leads():
                    return running.leads()

                await wait_until(leads, "a leader")
                yield running
    finally:
        metrics.close()


def refuse_writes(storage, monkeypatch):
    def full(*_):
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(storage, "write", full)
    monkeypatch.setattr(storage, "probe", full)


async def test_a_full_disk_refuses_and_loses_nothing(host, monkeypatch):
    """An operator would be told yes for a change that is on no disk.

    A change is acknowledged, then the disk takes no more bytes. The next
    change gets no acknowledgement; the first is still there once the disk
    takes writes again, and so is service, without a restart.
    """
    first, second = ConfigDocument(1, b"one"), ConfigDocument(2, b"two")
    assert isinstance(await host.service.accept(first), Ok)
    with monkeypatch.context() as patched:
        refuse_writes(host.storage, patched)
        assert isinstance(await host.service.accept(second), Err)
        assert not host.leads()
        assert host.running is None

    async def leads():
        return host.leads()

    await wait_until(leads, "the replica to start anew")
    read = await host.service.read()
    assert read.ok_value.document in (first, second)
    assert isinstance(await host.service.accept(second), Ok)
    assert host.service.newest() == second
