"""A router's lease and bundle: never back, never longer than granted."""

import asyncio

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.directory import (
    DirectoryRow,
    DirectoryUpdate,
)
from marjoramyard.coordination.governance.lifecycle import Delta
from marjoramyard.coordination.governance.orders import FencingGuard
from marjoramyard.fleet.membership import Membership
from marjoramyard.fleet.messages import RenewReply
from marjoramyard.kernel.errors import Kind, failure

ROW = DirectoryRow("entry-1~a", "entry", "zone-a", "127.0.0.1:1")
SERVICE = {"kind": "engine"}


class NoMetrics:
    def __init__(self):
        self.counts = []

    def count(self, name, *_, **__):
        self.counts.append(name)

    def gauge(self, *_):
        pass


class FakeControl:
    """Answers renewals from a list, and notes who was passed over."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.leader = "127.0.0.1:9001"
        self.passed_over = []
        self.requests = []
        self.client = self

    async def call(self, _, __, request, *___):
        self.requests.append(request)
        return self.answers.pop(0)

    def select_another_host(self, address):
        self.passed_over.append(address)


def reply(version, chain, **more):
    return Ok(RenewReply(8.0, version, chain, **more))


def snapshot(version, chain, services=("chat",)):
    rows = {f"services/{name}": SERVICE for name in services}
    return reply(version, chain, rows=rows)


def make(*answers):
    control = FakeControl(answers)
    return Membership(control, NoMetrics(), lambda: ROW), control


async def test_a_snapshot_then_deltas_are_installed_and_renew_the_lease():
    delta = Delta(2, "c2", {"services/shop": SERVICE}, [])
    router, _ = make(snapshot(1, "c1"), reply(2, "c2", deltas=[delta]))
    assert not router.holds_lease()
    assert await router._renew_once()
    assert await router._renew_once()
    assert router.holds_lease()
    assert set(router.bundle.services) == {"chat", "shop"}


async def test_an_older_version_is_neither_installed_nor_a_renewal():
    """Control was set back by hand, or a host answers that must not.

    The router keeps what it has. It takes no renewal either, so it stops
    by itself rather than going on under a line that nobody leads.
    """
    router, _ = make(snapshot(5, "c5", ("new",)), snapshot(4, "c4", ("old",)))
    await router._renew_once()
    until = router.lease.valid_until
    assert not await router._renew_once()
    assert set(router.bundle.services) == {"new"}
    assert router.lease.valid_until == until
    assert "older_bundles_refused" in router.metrics.counts


async def test_deltas_that_lead_elsewhere_are_followed_by_a_snapshot():
    """One delta was made against another line; the digest tells."""
    delta = Delta(2, "other", {"services/shop": SERVICE}, [])
    router, control = make(
        snapshot(1, "c1"), reply(2, "c2", deltas=[delta]), snapshot(2, "c2")
    )
    await router._renew_once()
    assert not await router._renew_once()
    assert await router._renew_once()
    assert control.requests[2].chain == ""
    assert set(router.bundle.services) == {"chat"}


async def test_without_answers_the_lease_ends_and_the_refusal_says_when(
    monkeypatch,
):
    lost = Err(failure(Kind.NO_ENDPOINT, "gone"))
    router, control = make(snapshot(1, "c1"), lost)
    await router._renew_once()
    assert router.refusal() is None
    assert not await router._renew_once()
    assert control.passed_over == ["127.0.0.1:9001"]
    router.lease.valid_until -= 9.0
    refusal = router.refusal()
    assert refusal.kind is Kind.NO_LEASE
    assert refusal.retry_after > 0


async def test_the_lease_runs_from_when_it_was_asked_for():
    """The answer is held up on its way for longer than the lease.

    Counting from its arrival would let a router work by a bundle that the
    leader has long replaced everywhere else.
    """
    router, _ = make()
    router._take(snapshot(1, "c1").ok(), sent_at=-100.0)
    assert not router.holds_lease()


async def test_a_follower_names_the_leader():
    hint = failure(Kind.NOT_LEADER, "not me")
    hint = type(hint)(
        hint.code, hint.message, hint.outcome, None, "127.0.0.1:9002"
    )
    router, control = make(Err(hint))
    await router._renew_once()
    assert control.leader == "127.0.0.1:9002"
    assert control.passed_over == []


def agent(name, state="ready"):
    return DirectoryRow(
        name, "agent", "zone-a", "127.0.0.1:2", "chat", state, 8
    )


async def test_a_new_leaders_bare_directory_takes_no_endpoint_away():
    """All control hosts restart; the directory comes back bit by bit.

    An entry that believed the first answers would drop endpoints that
    serve, and refuse work they have room for.
    """
    updates = [
        DirectoryUpdate("e1", 2, [agent("a"), agent("b")], True),
        DirectoryUpdate("e2", 1, [agent("a")], False),
        DirectoryUpdate("e2", 2, [], True),
    ]
    router, _ = make()
    router._take_directory(updates[0])
    router._take_directory(updates[1])
    assert set(router.agents) == {"a", "b"}
    router._take_directory(updates[2])
    assert set(router.agents) == {"a"}
    gone = DirectoryUpdate("e2", 3, [agent("a", "gone")], True)
    router._take_directory(gone)
    assert router.agents == {}


def test_an_agent_passes_no_order_before_it_knows_the_newest():
    """It was restarted with no memory and is handed an old order."""
    guard = FencingGuard()
    assert guard.admit(3).kind is Kind.STALE_FENCING_NUMBER
    guard.observe(5)
    assert guard.admit(4).kind is Kind.STALE_FENCING_NUMBER
    assert guard.admit(5) is None


async def test_a_change_of_state_is_announced_without_waiting(monkeypatch):
    """An agent that is told to stop must be known as leaving at once."""
    router, control = make()
    hanging = asyncio.get_running_loop().create_future()

    async def hang(*_):
        await hanging

    control.call = hang
    poll = asyncio.ensure_future(router._renew_once())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    router.announce_soon()
    assert await poll


@pytest.mark.parametrize("left", [5.0, -1.0])
def test_a_conviction_ends_with_its_quarantine(left):
    router, _ = make()
    router._take_suspects(
        RenewReply(8.0, 1, "c", suspects=["f"], convicted={"f": left})
    )
    assert (router.is_convicted("f") is not None) == (left > 0)
