"""A router's lease, bundle, directory, orders and suspects."""

import asyncio

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.directory import (
    DirectoryRow,
    DirectoryUpdate,
)
from marjoramyard.coordination.governance.lifecycle import Delta
from marjoramyard.coordination.governance.orders import FencingGuard
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import RenewReply
from marjoramyard.kernel.errors import FailureKind, failure

ROW = DirectoryRow("entry-1~a", "entry", "zone-a", "127.0.0.1:1")
SERVICE = {"kind": "engine"}


class CountingMetrics:
    def __init__(self):
        self.counts = []

    def count(self, name, *_, **__):
        self.counts.append(name)

    def gauge(self, *_):
        pass


class FakeControl:
    """Answers renewals from a list and records deselected hosts."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.leader = "127.0.0.1:9001"
        self.deselected_hosts = []
        self.requests = []
        self.client = self

    async def call(self, _, __, request, *___):
        self.requests.append(request)
        return self.answers.pop(0)

    def select_another_host(self, address):
        self.deselected_hosts.append(address)


def reply(version, chain, **fields):
    return Ok(RenewReply(8.0, version, chain, **fields))


def snapshot(version, chain, services=("chat",)):
    rows = {f"services/{name}": SERVICE for name in services}
    return reply(version, chain, rows=rows)


def make_router(*answers):
    control = FakeControl(answers)
    return RouterMembership(control, CountingMetrics(), lambda: ROW), control


async def test_a_snapshot_then_deltas_are_installed_and_renew_the_lease():
    delta = Delta(2, "c2", {"services/shop": SERVICE}, [])
    router, _ = make_router(snapshot(1, "c1"), reply(2, "c2", deltas=[delta]))
    assert not router.holds_lease()
    assert await router._renew_once()
    assert await router._renew_once()
    assert router.holds_lease()
    assert set(router.bundle.services) == {"chat", "shop"}


async def test_an_older_version_neither_is_installed_nor_renews_the_lease():
    """Guards against reverting to an older state of the control hosts."""
    router, _ = make_router(
        snapshot(5, "c5", ("new",)), snapshot(4, "c4", ("old",))
    )
    await router._renew_once()
    valid_until = router.lease.valid_until
    assert not await router._renew_once()
    assert set(router.bundle.services) == {"new"}
    assert router.lease.valid_until == valid_until
    assert "older_bundles_refused" in router.metrics.counts


async def test_deltas_with_a_wrong_digest_are_followed_by_a_snapshot():
    """Guards against a bundle that differs from the leader's."""
    delta = Delta(2, "other", {"services/shop": SERVICE}, [])
    router, control = make_router(
        snapshot(1, "c1"), reply(2, "c2", deltas=[delta]), snapshot(2, "c2")
    )
    await router._renew_once()
    assert not await router._renew_once()
    assert await router._renew_once()
    assert control.requests[2].chain == ""
    assert set(router.bundle.services) == {"chat"}


async def test_without_replies_the_lease_ends_and_refusals_have_a_delay(
    monkeypatch,
):
    lost = Err(failure(FailureKind.NO_ENDPOINT, "gone"))
    router, control = make_router(snapshot(1, "c1"), lost)
    await router._renew_once()
    assert router.refusal() is None
    assert not await router._renew_once()
    assert control.deselected_hosts == ["127.0.0.1:9001"]
    router.lease.valid_until -= 9.0
    refusal = router.refusal()
    assert refusal.kind is FailureKind.NO_LEASE
    assert refusal.retry_after > 0


async def test_the_lease_runs_from_the_time_of_the_request():
    """Guards against a delayed reply that extends the use of an old bundle."""
    router, _ = make_router()
    router._apply(snapshot(1, "c1").ok(), sent_at=-100.0)
    assert not router.holds_lease()


async def test_a_follower_redirects_to_the_leader():
    refusal = failure(FailureKind.NOT_LEADER, "not me")
    refusal = type(refusal)(
        refusal.code, refusal.message, refusal.outcome, None, "127.0.0.1:9002"
    )
    router, control = make_router(Err(refusal))
    await router._renew_once()
    assert control.leader == "127.0.0.1:9002"
    assert control.deselected_hosts == []


def agent(name, state="ready"):
    return DirectoryRow(
        name, "agent", "zone-a", "127.0.0.1:2", "chat", state, 8
    )


async def test_a_new_leaders_incomplete_directory_removes_no_agents():
    """Guards against dropping agents that a new leader does not know yet."""
    updates = [
        DirectoryUpdate("e1", 2, [agent("a"), agent("b")], True),
        DirectoryUpdate("e2", 1, [agent("a")], False),
        DirectoryUpdate("e2", 2, [], True),
    ]
    router, _ = make_router()
    router._apply_directory(updates[0])
    router._apply_directory(updates[1])
    assert set(router.agents) == {"a", "b"}
    router._apply_directory(updates[2])
    assert set(router.agents) == {"a"}
    gone = DirectoryUpdate("e2", 3, [agent("a", "gone")], True)
    router._apply_directory(gone)
    assert router.agents == {}


def test_an_agent_admits_no_order_before_it_knows_the_newest():
    """Guards against an old order after a restart of the agent."""
    guard = FencingGuard()
    assert guard.admit(3).kind is FailureKind.STALE_FENCING_NUMBER
    guard.observe(5)
    assert guard.admit(4).kind is FailureKind.STALE_FENCING_NUMBER
    assert guard.admit(5) is None


async def test_a_change_of_state_is_announced_without_waiting(monkeypatch):
    """Guards against new work for an agent that is being stopped."""
    router, control = make_router()
    pending_reply = asyncio.get_running_loop().create_future()

    async def never_reply(*_):
        await pending_reply

    control.call = never_reply
    poll = asyncio.ensure_future(router._renew_once())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    router.announce_now()
    assert await poll


@pytest.mark.parametrize("seconds_left", [5.0, -1.0])
def test_a_quarantine_ends(seconds_left):
    router, _ = make_router()
    router._apply_suspects(
        RenewReply(8.0, 1, "c", suspects=["f"], convicted={"f": seconds_left})
    )
    assert (router.quarantine_seconds_left("f") is not None) == (
        seconds_left > 0
    )
