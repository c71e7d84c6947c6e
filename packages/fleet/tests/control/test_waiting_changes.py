"""Changes that wait for a quorum, and changes that are too large."""

import asyncio
from types import SimpleNamespace

import pytest
from control_host import control_host
from result import Err, Ok

from marjoramyard.coordination.consensus.messages import (
    AppendReply,
    Envelope,
    HardState,
    Membership,
    Snapshot,
    VoteReply,
)
from marjoramyard.coordination.governance.commands import (
    AcceptConfig,
    ConfigDocument,
)
from marjoramyard.fleet.control.log_limits import LogLimits
from marjoramyard.fleet.control.node import ControlNode
from marjoramyard.fleet.control.storage import open_storage
from marjoramyard.kernel.errors import FailureKind, Outcome
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until

LOG_BYTES = 4000
VOTERS = ("a", "b", "c")


@pytest.fixture
def leader(tmp_path):
    """The leader of three voters, of which the others do not answer."""
    metrics = Metrics("control", "a")
    transport = SimpleNamespace(
        enqueue=lambda *_: None, record_reply_addresses=lambda _: None
    )
    membership = Membership(VOTERS, (), {name: name for name in VOTERS})
    with open_storage(tmp_path) as storage:
        storage.create_identity("cluster", "a")
        storage.save_snapshot(Snapshot(1, 1, membership), HardState(1), [])
        node = ControlNode(
            storage, storage.load(), transport, metrics, LogLimits(9, LOG_BYTES)
        )
        yield node
    metrics.close()


async def elect(node):
    node.core._campaign(pre=False)
    node.receive([Envelope("b", "a", VoteReply(node.core.term, True))])
    acknowledge(node)

    async def serves():
        return node.core.can_serve_reads

    await wait_until(serves, "a leader")


def acknowledge(node):
    reply = AppendReply(node.core.term, True, node.core.log.last_index)
    node.receive([Envelope("b", "a", reply)])


def change(version, size=1000):
    return AcceptConfig(ConfigDocument(version, bytes(size)))


async def test_changes_are_refused_at_once_while_many_wait_for_a_quorum(leader):
    """Guards against a cut-off leader whose log grows without a bound."""
    await elect(leader)
    waiting = [
        asyncio.create_task(leader.execute(change(version), 60.0))
        for version in (1, 2)
    ]
    await asyncio.sleep(0)
    refused = await leader.execute(change(3), 60.0)
    assert refused.err_value.kind is FailureKind.NO_QUORUM
    assert refused.err_value.outcome == Outcome.NOT_RUN.value
    acknowledge(leader)
    assert all(isinstance(r, Ok) for r in await asyncio.gather(*waiting))
    again = asyncio.create_task(leader.execute(change(3), 60.0))
    await asyncio.sleep(0)
    acknowledge(leader)
    assert isinstance(await again, Ok)


async def test_a_change_that_the_log_can_not_hold_is_refused(tmp_path):
    """Guards against one configuration that fills the disk."""
    async with control_host(tmp_path, disk_mb=1) as host:
        refused = await host.service.put_config(
            ConfigDocument(1, bytes(200_000))
        )
        assert isinstance(refused, Err)
        assert refused.err_value.kind is FailureKind.TOO_LARGE
        accepted = await host.service.put_config(ConfigDocument(1, b"{}"))
        assert isinstance(accepted, Ok)
