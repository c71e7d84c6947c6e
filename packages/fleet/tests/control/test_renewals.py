"""Long polls: answered at once, but never faster than the leader can."""

import asyncio
from types import SimpleNamespace

from marjoramyard.coordination.governance.lease import LEASE_SECONDS
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.fleet.control.node import ELECTION_SECONDS
from marjoramyard.fleet.control.renewals import Renewals
from marjoramyard.fleet.membership import POLL_SECONDS


def make_renewals():
    node = SimpleNamespace(
        on_applied=[],
        on_leadership=[],
        core=SimpleNamespace(replica_id="control-1~a"),
        state=ControlState(),
    )
    return Renewals(node), node


async def test_a_change_wakes_waiting_routers_at_once():
    renewals, node = make_renewals()
    waiter = asyncio.Event()
    renewals.waiters.add(waiter)
    renewals.woken_at = renewals.gap = 0.0
    node.state.bundles.state.version = 1
    renewals._on_applied()
    assert waiter.is_set()


async def test_a_storm_of_changes_wakes_many_routers_only_now_and_then():
    """Changes come faster than thousands of routers can be answered.

    Waking them for each one would keep the leader busy with renewals until
    it missed its own heartbeats. They are woken for several at a time.
    """
    renewals, node = make_renewals()
    waiters = [asyncio.Event() for _ in range(60_000)]
    renewals.waiters.update(waiters)
    renewals.wake()
    for waiter in waiters:
        waiter.clear()
    for version in range(1, 20):
        node.state.bundles.state.version = version
        renewals._on_applied()
    assert not waiters[0].is_set()
    assert renewals.wake_timer is not None
    renewals.wake()
    assert waiters[0].is_set()
    assert renewals.wake_timer is None


def test_a_leaders_death_leaves_most_of_the_lease():
    """The leader dies just before it answers, when the lease is oldest.

    Two waits are gone then. With waits of 2.5 s, 3 s were left for an
    election of up to 2.4 s, and an entry refused work for a moment.
    """
    renewals, _ = make_renewals()
    used = 2 * renewals.wait_seconds(POLL_SECONDS)
    assert LEASE_SECONDS - used > 2 * ELECTION_SECONDS


def test_many_routers_wait_longer_but_within_their_poll():
    renewals, _ = make_renewals()
    renewals.waiters.update(asyncio.Event() for _ in range(8000))
    assert renewals.wait_seconds(POLL_SECONDS) == POLL_SECONDS
