"""Renewals are answered promptly, within the leader's capacity."""

import asyncio
from types import SimpleNamespace

from marjoramyard.coordination.governance.lease import LEASE_SECONDS
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.fleet.control.node import MAX_ELECTION_SECONDS
from marjoramyard.fleet.control.renewal_server import RenewalServer
from marjoramyard.fleet.membership import RENEWAL_WAIT_SECONDS


def make_server():
    node = SimpleNamespace(
        on_applied=[],
        on_leadership=[],
        core=SimpleNamespace(replica_id="control-1~a"),
        state=ControlState(),
    )
    return RenewalServer(node), node


async def test_a_change_wakes_waiting_routers_at_once():
    server, node = make_server()
    waiter = asyncio.Event()
    server.waiters.add(waiter)
    server.last_woken_at = server.min_wake_interval = 0.0
    node.state.bundles.state.version = 1
    server._on_applied()
    assert waiter.is_set()


async def test_frequent_changes_wake_many_routers_at_a_limited_rate():
    """Guards against a leader that misses heartbeats because of renewals.

    Changes come faster than thousands of routers can be answered.
    """
    server, node = make_server()
    waiters = [asyncio.Event() for _ in range(60_000)]
    server.waiters.update(waiters)
    server.wake()
    for waiter in waiters:
        waiter.clear()
    for version in range(1, 20):
        node.state.bundles.state.version = version
        server._on_applied()
    assert not waiters[0].is_set()
    assert server.wake_timer is not None
    server.wake()
    assert waiters[0].is_set()
    assert server.wake_timer is None


def test_a_lease_outlasts_an_election_after_a_leader_failure():
    """Guards against leases that expire before a new leader is found.

    The leader fails just before it answers; two waits of the lease have
    passed by then.
    """
    server, _ = make_server()
    used = 2 * server.wait_seconds(RENEWAL_WAIT_SECONDS)
    assert LEASE_SECONDS - used > 2 * MAX_ELECTION_SECONDS


def test_many_routers_wait_longer_but_within_their_request():
    server, _ = make_server()
    server.waiters.update(asyncio.Event() for _ in range(8000))
    assert server.wait_seconds(RENEWAL_WAIT_SECONDS) == RENEWAL_WAIT_SECONDS
