"""Serves the long poll that renews routers' leases.

A renewal also brings bundle deltas, directory changes, suspects and orders.
"""

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
"""Limits the rate of renewals. Waits are kept short because a lease runs from
the time of its request: after a leader failure, the rest of the lease must
cover an election and the search for the new leader."""
CONFIRM_TIMEOUT_SECONDS = 2.0
_BATCH_SECONDS = 0.05
"""Directory changes within this time are sent in one reply."""
_WAKE_INTERVAL_SECONDS_PER_ROUTER = 0.001
"""The least time between two wake-ups, per waiting router. Bounds the leader's
load when changes are frequent: a renewal takes a third of it, so wake-ups take
at most a third of the leader's time."""


class RenewalServer:
    """Answers renewals of routers when something changes or a wait ends.

    Attributes:
        waiters: One event for each waiting router.
        directory: The processes that have announced themselves.
        notified_suspects: The suspects' revision at the last wake-up.
        notified_bundle: The bundle version at the last wake-up.
        notified_order: The newest order number at the last wake-up.
        notified_zones: The revision of evacuated zones at the last wake-up.
        wake_timer: The timer of the next wake-up, if one is scheduled.
        wake_timer_at: When it fires (monotonic).
        last_woken_at: The time of the last wake-up (monotonic).
        min_wake_interval: The least time to the next wake-up, in seconds.
    """

    def __init__(self, node: ControlNode):
        self.node = node
        self.waiters: set[asyncio.Event] = set()
        self.directory = Directory("", 0.0)
        self.notified_suspects = ""
        self.notified_bundle = 0
        self.notified_order = 0
        self.notified_zones = 0
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_timer_at = 0.0
        self.last_woken_at = 0.0
        self.min_wake_interval = 0.0
        node.on_applied.append(self._on_applied)
        node.on_leadership.append(self._on_leadership_change)
        self._on_leadership_change(False)

    def _on_leadership_change(self, _: bool) -> None:
        """Starts an empty directory, which routers' renewals fill again."""
        epoch = new_incarnation(self.node.core.replica_id)
        self.directory = Directory(epoch, time.monotonic())
        self.wake()

    def _on_applied(self) -> None:
        state = self.node.state
        current = (
            state.bundles.state.version,
            self.suspects_revision(),
            state.last_order,
            state.evacuations.revision,
        )
        notified = (
            self.notified_bundle,
            self.notified_suspects,
            self.notified_order,
            self.notified_zones,
        )
        if current != notified:
            (
                self.notified_bundle,
                self.notified_suspects,
                self.notified_order,
                self.notified_zones,
            ) = current
            self._schedule_wake(0.0)

    def suspects_revision(self) -> str:
        """Returns a revision of the current set of suspects."""
        parts = [
            f"{fingerprint}:{suspect.convicted_until > 0}"
            for fingerprint, suspect in self.node.state.suspects.records.items()
        ]
        return str(hash(tuple(parts))) if parts else "-"

    def wake(self) -> None:
        """Ends the wait of all routers."""
        if self.wake_timer is not None:
            self.wake_timer.cancel()
            self.wake_timer = None
        self.min_wake_interval = (
            len(self.waiters) * _WAKE_INTERVAL_SECONDS_PER_ROUTER
        )
        self.last_woken_at = time.monotonic()
        for waiter in self.waiters:
            waiter.set()

    def _schedule_wake(self, delay: float) -> None:
        """Wakes all routers after a delay, or after the minimum interval.

        Args:
            delay: In seconds; the later of the two applies.
        """
        now = time.monotonic()
        due = max(now + delay, self.last_woken_at + self.min_wake_interval)
        if due <= now:
            self.wake()
        elif self.wake_timer is None or self.wake_timer_at > due:
            if self.wake_timer is not None:
                self.wake_timer.cancel()
            self.wake_timer_at = due
            loop = asyncio.get_running_loop()
            self.wake_timer = loop.call_later(due - now, self.wake)

    def expire(self) -> None:
        """Removes processes without a recent renewal from the directory."""
        if self.directory.expire(time.monotonic()):
            self._schedule_wake(_BATCH_SECONDS)

    async def renew(self, request: RenewRequest) -> RenewReply:
        """Renews one router's lease.

        Leadership is confirmed after the wait, so that the reply is never
        based on the state of a former leader.

        Raises:
            FleetError: This host does not lead, or no quorum responded.
        """
        if self.directory.announce(request.row, time.monotonic()):
            self._schedule_wake(_BATCH_SECONDS)
        if not self._has_changes(request):
            await self._wait(self.wait_seconds(request.wait_seconds))
        confirmed = await self.node.confirm_leadership(CONFIRM_TIMEOUT_SECONDS)
        if confirmed.is_err():
            raise FleetError(_require_failure(confirmed.err()))
        return self._reply(request)

    def wait_seconds(self, requested: float) -> float:
        """Returns the wait in seconds of a router that has no changes to get.

        Args:
            requested: The wait that the router requests, in seconds.
        """
        needed = len(self.waiters) * _WAIT_SECONDS_PER_ROUTER
        return min(requested, MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, needed))

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

    def _has_changes(self, request: RenewRequest) -> bool:
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
        lacks_zones = request.zone_revision < state.evacuations.revision
        return (
            lacks_bundle
            or lacks_rows
            or lacks_suspects
            or lacks_order
            or lacks_zones
        )

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
            records = state.suspects.records
            reply.suspects = list(records)
            reply.convicted = {
                fingerprint: suspect.convicted_until - state.now
                for fingerprint, suspect in records.items()
                if suspect.convicted_until > state.now
            }
            reply.held_parts = state.suspects.held_parts()
        order = state.orders.get(request.row.endpoint)
        if request.row.role == "agent" and order is not None:
            reply.order = order
            reply.newest_order = order.number
        reply.zone_revision = state.evacuations.revision
        reply.evacuated_zones = state.evacuations.evacuated_zones()
        return reply


def _require_failure(reason: Failure | None) -> Failure:
    assert reason is not None
    return reason
