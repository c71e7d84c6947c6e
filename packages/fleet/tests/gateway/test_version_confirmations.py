"""How a gateway confirms which software versions services have."""

import asyncio

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.version_confirmations import (
    VersionConfirmations,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import ConfirmedVersions
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.errors import FailureKind, failure
from marjoramyard.kernel.metrics import Metrics

V1 = ServiceVersion("api", "v1")
V2 = ServiceVersion("api", "v2")
SOON_SECONDS = 5.0


class LeaderStub:
    """A leader that replies when the test says so.

    Attributes:
        requests: The requests received.
        replies: The replies that are still to be sent, by request.
    """

    def __init__(self):
        self.requests = []
        self.replies = []
        self.arrived = asyncio.Event()

    async def call_leader(self, _path, build, _reply, _timeout):
        reply = asyncio.get_running_loop().create_future()
        self.requests.append(build())
        self.replies.append(reply)
        self.arrived.set()
        return await reply

    async def wait_for_request(self):
        async with asyncio.timeout(SOON_SECONDS):
            await self.arrived.wait()
        self.arrived.clear()


@pytest.fixture
async def confirmations():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 60.0)
    metrics = Metrics("gateway", "g0")
    async with task_group() as tasks:
        yield VersionConfirmations(view, LeaderStub(), tasks, metrics)
    metrics.close()


def confirm(confirmations, service="api", seconds=SOON_SECONDS):
    return asyncio.create_task(confirmations.confirm(service, seconds))


async def test_a_call_that_has_started_confirms_no_later_stream(confirmations):
    """Guards against replies confirmed before a stream was taken up."""
    leader = confirmations.to_leader
    first = confirm(confirmations)
    await leader.wait_for_request()
    later = confirm(confirmations)
    leader.replies[0].set_result(Ok(ConfirmedVersions(0, 1, [V1])))
    await first
    await leader.wait_for_request()
    assert not later.done()
    leader.replies[1].set_result(Ok(ConfirmedVersions(0, 2, [V1, V2])))
    assert (await later).versions_revision == 2
    assert confirmations.view.versions.by_service == {"api": {"v1", "v2"}}


async def test_streams_that_wait_share_a_call(confirmations):
    """Guards against a call for each stream after a loss of power."""
    leader = confirmations.to_leader
    first = confirm(confirmations)
    await leader.wait_for_request()
    waiting = [confirm(confirmations, name) for name in ("a", "b", "a", "b")]
    await leader.wait_for_request()
    assert leader.requests[1].services == ["a", "b"]
    leader.replies[1].set_result(Ok(ConfirmedVersions(0, 1, [])))
    assert len(set(map(id, await asyncio.gather(*waiting)))) == 1
    assert len(leader.requests) == 2
    first.cancel()


async def test_a_leader_that_does_not_reply_confirms_nothing(confirmations):
    """Guards against streams that wait for a suspended leader."""
    assert await confirmations.confirm("api", 0.05) is None


async def test_without_a_leader_nothing_is_confirmed(confirmations):
    """Guards against a failed call that counts as a confirmation."""
    leader = confirmations.to_leader
    waiting = confirm(confirmations)
    await leader.wait_for_request()
    why = failure(FailureKind.NO_QUORUM, "no quorum")
    leader.replies[0].set_result(Err(why))
    assert await waiting is None
