"""Leases, bundle deltas, the directory and orders, in one long poll."""

import asyncio
import time

from marjoramyard.coordination.governance.directory import Directory
from marjoramyard.coordination.governance.lease import LEASE_SECONDS
from marjoramyard.fleet.control.node import ControlNode
from marjoramyard.fleet.messages import RenewReply, RenewRequest
from marjoramyard.kernel.errors import Failure, FleetError
from marjoramyard.kernel.ids import new_incarnation

MAX_WAIT_SECONDS = 3.0
MIN_WAIT_SECONDS = 1.2
_WAIT_SECONDS_PER_ROUTER = 0.001
"""A lease runs from when it was asked for. If the leader dies just before it
answers, two waits are gone from the lease's 8 s, and the rest must do for an
election and for finding the new leader. So routers wait no longer than their
number makes necessary."""
CONFIRM_SECONDS = 2.0
_SETTLE_SECONDS = 0.05
"""Directory changes that come in a burst are told together."""
_GAP_SECONDS_PER_ROUTER = 0.001
"""The least time between two wake-ups, for each waiting router. A renewal
takes a third of that (bench/slopes.py), so wake-ups take at most a third of
the leader's time however fast changes come: later ones travel together."""


class Renewals:
    """Answers routers once something changed, or after their wait."""

    def __init__(self, node: ControlNode):
        self.node = node
        self.waiters: set[asyncio.Event] = set()
        self.directory = Directory("", 0.0)
        self.suspects_seen = ""
        self.bundle_seen = 0
        self.orders_seen = 0
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_due = 0.0
        self.woken_at = 0.0
        self.gap = 0.0
        node.on_applied.append(self._on_applied)
        node.on_leadership.append(self._on_leadership)
        self._on_leadership(False)

    def _on_leadership(self, _: bool) -> None:
        """Starts the directory anew: it is soft and comes back in seconds."""
        epoch = new_incarnation(self.node.core.replica_id)
        self.directory = Directory(epoch, time.monotonic())
        self.wake()

    def _on_applied(self) -> None:
        state = self.node.state
        seen = (
            state.bundles.state.version,
            self.suspects_revision(),
            state.last_order,
        )
        known = (self.bundle_seen, self.suspects_seen, self.orders_seen)
        if seen != known:
            self.bundle_seen, self.suspects_seen, self.orders_seen = seen
            self._wake_within(0.0)

    def suspects_revision(self) -> str:
        """Names the present set of suspects."""
        parts = [
            f"{fingerprint}:{suspect.convicted_until > 0}"
            for fingerprint, suspect in self.node.state.suspects.records.items()
        ]
        return str(hash(tuple(parts))) if parts else "-"

    def wake(self) -> None:
        """Lets all waiting routers have their answers."""
        if self.wake_timer is not None:
            self.wake_timer.cancel()
            self.wake_timer = None
        self.gap = len(self.waiters) * _GAP_SECONDS_PER_ROUTER
        self.woken_at = time.monotonic()
        for waiter in self.waiters:
            waiter.set()

    def _wake_within(self, settle: float) -> None:
        """Wakes the routers soon, but not before the gap is over."""
        now = time.monotonic()
        due = max(now + settle, self.woken_at + self.gap)
        if due <= now:
            self.wake()
        elif self.wake_timer is None or self.wake_due > due:
            if self.wake_timer is not None:
                self.wake_timer.cancel()
            self.wake_due = due
            loop = asyncio.get_running_loop()
            self.wake_timer = loop.call_later(due - now, self.wake)

    def expire(self) -> None:
        """Takes silent processes out of the directory."""
        if self.directory.expire(time.monotonic()):
            self._wake_within(_SETTLE_SECONDS)

    async def renew(self, request: RenewRequest) -> RenewReply:
        """Renews one router's lease.

        The proof of leadership comes after the wait, so that the answer is
        never older than it, whatever happened to this host meanwhile.
        """
        if self.directory.announce(request.row, time.monotonic()):
            self._wake_within(_SETTLE_SECONDS)
        if not self._has_news(request):
            await self._wait(self.wait_seconds(request.wait_seconds))
        confirmed = await self.node.confirm(CONFIRM_SECONDS)
        if confirmed.is_err():
            raise FleetError(_as_failure(confirmed.err()))
        return self._reply(request)

    def wait_seconds(self, asked: float) -> float:
        """Returns how long a router without news waits for its answer."""
        needed = len(self.waiters) * _WAIT_SECONDS_PER_ROUTER
        return min(asked, MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, needed))

    async def _wait(self, seconds: float) -> None:
        waiter = asyncio.Event()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter.wait()
        except TimeoutError:
            pass
        finally:
            self.waiters.discard(waiter)

    def _has_news(self, request: RenewRequest) -> bool:
        state = self.node.state
        lacks_bundle = request.version != state.bundles.state.version
        lacks_rows = request.row.role == "entry" and (
            request.directory_epoch != self.directory.epoch
            or request.directory_version != self.directory.version
        )
        lacks_suspects = request.suspects_revision != self.suspects_revision()
        order = state.orders.get(request.row.endpoint)
        lacks_order = request.row.role == "agent" and (
            request.order_seen < (order.number if order else 0)
        )
        return lacks_bundle or lacks_rows or lacks_suspects or lacks_order

    def _reply(self, request: RenewRequest) -> RenewReply:
        state = self.node.state
        bundles = state.bundles
        reply = RenewReply(
            LEASE_SECONDS, bundles.state.version, bundles.state.chain
        )
        deltas = bundles.deltas_after(request.version, request.chain)
        if deltas is None:
            reply.rows = bundles.state.rows
        else:
            reply.deltas = deltas
        if request.row.role == "entry":
            reply.directory = self.directory.changes_since(
                request.directory_epoch,
                request.directory_version,
                time.monotonic(),
                "agent",
            )
        revision = self.suspects_revision()
        reply.suspects_revision = revision
        if revision != request.suspects_revision:
            known = state.suspects.records
            reply.suspects = list(known)
            reply.convicted = {
                fingerprint: suspect.convicted_until - state.now
                for fingerprint, suspect in known.items()
                if suspect.convicted_until > state.now
            }
        order = state.orders.get(request.row.endpoint)
        if request.row.role == "agent" and order is not None:
            reply.order = order
            reply.newest_order = order.number
        return reply


def _as_failure(reason: Failure | None) -> Failure:
    assert reason is not None
    return reason
