"""The endpoints known to a control host, and what others lack of them.

Each heartbeat reaches one control host. The others need it in full only if it
differs from what they have, and gateways need none that is only a sign of life.
"""

import time
from collections.abc import Callable, Iterable

import msgspec

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    FormerVersion,
    Registration,
    Registrations,
)
from marjoramyard.fleet.sync_messages import (
    FindEndpoint,
    FoundEndpoint,
    SignOfLife,
)
from marjoramyard.kernel.ids import new_incarnation
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

MAX_REGISTRATIONS = 500
"""Registrations in one message. All of a large fleet, for many gateways at
once, would not fit into the memory of a small host."""


ROOM_MADE = 1000
"""How many endpoints are given up at a time when there are too many."""


class PendingUpdates(msgspec.Struct):
    """What a control host has yet to announce to another one.

    Attributes:
        full: Endpoints to announce in full.
        alive: Endpoints of which a sign of life is enough, unless the receiver
            lacks them.
        receiver_epoch: The receiver's table, to which all others have been
            announced; "" until it has been heard of.
    """

    full: set[str]
    alive: set[str]
    receiver_epoch: str = ""


class EndpointFeed:
    """The registered endpoints of a control host.

    Attributes:
        epoch: Names this table; cursors of another epoch are void.
        registrations: The endpoints.
        cursor: The number of changes of the table.
        changes: The cursor of each endpoint's last change, in order.
        urgent_changes: The same for changes that gateways must hear of from
            whichever control host knows them first.
        unresponsive: Endpoints without a recent heartbeat.
        unresponsive_revision: The number of changes of `unresponsive`, plus
            one.
        pending: What is to be announced, by control host.
        on_change: Called after a change.
    """

    def __init__(self, name: str, on_change: Callable[[], None]):
        self.epoch = new_incarnation(name)
        self.registrations = Registrations()
        self.cursor = 0
        self.changes: dict[str, int] = {}
        self.urgent_changes: dict[str, int] = {}
        self.unresponsive: set[str] = set()
        self.unresponsive_revision = 1
        self.pending: dict[str, PendingUpdates] = {}
        self.on_change = on_change

    # Heartbeats.

    def register(self, registration: Registration) -> None:
        """Applies a heartbeat received from its endpoint."""
        changed = self._merge(registration)
        for updates in self.pending.values():
            (updates.full if changed else updates.alive).add(
                registration.endpoint
            )

    def mark_departed(self, endpoint: str) -> None:
        """Marks an endpoint as departed, at its own request."""
        departed = self.registrations.mark_departed(endpoint, time.monotonic())
        if departed is not None:
            self._record_change(departed, None)
            self._announce_to_all(endpoint)

    def _announce_to_all(self, endpoint: str) -> None:
        for updates in self.pending.values():
            updates.full.add(endpoint)

    def merge_updates(
        self, updates: Iterable[Registration], alive: dict[str, SignOfLife]
    ) -> list[str]:
        """Merges what another control host announced.

        News of leaving endpoints is passed on: the announcing host may be lost
        before it has told the others, and the endpoint may not repeat it.

        Returns:
            The endpoints whose signs of life do not match the table, so that
            they must be announced in full.
        """
        for registration in updates:
            changed = self._merge(registration)
            if changed and registration.state is not EndpointState.READY:
                self._announce_to_all(registration.endpoint)
        now = time.monotonic()
        unmatched = []
        for endpoint, sign in alive.items():
            if self.registrations.confirm(
                endpoint, sign.sequence, sign.digest, now
            ):
                self._mark_responsive(endpoint, now)
            else:
                unmatched.append(endpoint)
        return unmatched

    def _merge(self, registration: Registration) -> bool:
        now = time.monotonic()
        before = self.registrations.by_endpoint.get(registration.endpoint)
        changed = self.registrations.merge(registration, now)
        self._mark_responsive(registration.endpoint, now)
        if changed:
            self._record_change(registration, before)
        return changed

    def _mark_responsive(self, endpoint: str, now: float) -> None:
        """Marks an endpoint as responsive if news of it came `now`."""
        is_news = self.registrations.received_at.get(endpoint) == now
        if is_news and endpoint in self.unresponsive:
            self.unresponsive.discard(endpoint)
            self.unresponsive_revision += 1
            self.on_change()

    def _record_change(
        self, registration: Registration, before: Registration | None
    ) -> None:
        self.cursor += 1
        endpoint = registration.endpoint
        self.changes.pop(endpoint, None)
        self.changes[endpoint] = self.cursor
        if _is_urgent(registration, before):
            self.urgent_changes.pop(endpoint, None)
            self.urgent_changes[endpoint] = self.cursor
        logger.info(
            "registration",
            endpoint=registration.endpoint,
            service=registration.service,
            address=registration.address,
            state=registration.state.value,
            sequence=registration.sequence,
            software_version=registration.software_version,
        )
        self.on_change()

    def detect_unresponsive(self, limit_seconds: float) -> None:
        """Determines the endpoints without a heartbeat within the limit."""
        now = time.monotonic()
        self.registrations.expire_departed(now)
        for changes in (self.changes, self.urgent_changes):
            for endpoint in changes.keys() - self.registrations.by_endpoint:
                del changes[endpoint]
        unresponsive = {
            registration.endpoint
            for registration in self.registrations.all()
            if registration.state is not EndpointState.DEPARTED
            and self.registrations.seconds_since_received(
                registration.endpoint, now
            )
            > limit_seconds
        }
        if self.registrations.is_full:
            unresponsive = self._make_room(unresponsive)
        if unresponsive != self.unresponsive:
            logger.info("endpoints_silent", endpoints=sorted(unresponsive))
            self.unresponsive = unresponsive
            self.unresponsive_revision += 1
            self.on_change()

    def _make_room(self, unresponsive: set[str]) -> set[str]:
        """Gives up the endpoints that have been silent for longest.

        Their registrations are removed when departures are no longer
        remembered, which makes room for as many others.

        Args:
            unresponsive: The endpoints without a recent heartbeat.

        Returns:
            Those that are not given up.
        """
        departed_count = sum(
            registration.state is EndpointState.DEPARTED
            for registration in self.registrations.all()
        )
        missing = ROOM_MADE - departed_count
        if missing <= 0 or not unresponsive:
            return unresponsive
        received_at = self.registrations.received_at
        oldest = sorted(unresponsive, key=received_at.__getitem__)[:missing]
        logger.warning("endpoints_given_up", count=len(oldest))
        for endpoint in oldest:
            self.mark_departed(endpoint)
        return unresponsive.difference(oldest)

    # Gateways.

    def last_change(self, urgent_only: bool) -> int:
        """Returns the cursor of the last (urgent) change; 0 for none."""
        changes = self.urgent_changes if urgent_only else self.changes
        return next(reversed(changes.values()), 0)

    def changes_since(
        self, epoch: str, cursor: int, urgent_only: bool = False
    ) -> tuple[list[Registration], int]:
        """Returns changed registrations, oldest change first.

        Args:
            epoch: The epoch of the cursor.
            cursor: The last change that the gateway has applied.
            urgent_only: Whether to return only urgent changes.

        Returns:
            At most `MAX_REGISTRATIONS`, and the cursor up to which there are
            no others.
        """
        changes = self.urgent_changes if urgent_only else self.changes
        after = cursor if epoch == self.epoch else 0
        changed = []
        for endpoint, changed_at in reversed(changes.items()):
            if changed_at <= after:
                break
            changed.append(endpoint)
        changed.reverse()
        page = changed[:MAX_REGISTRATIONS]
        is_complete = len(page) == len(changed)
        last = self.cursor if is_complete else changes[page[-1]]
        return [self.registrations.by_endpoint[name] for name in page], last

    # Other control hosts.

    def take_updates(
        self, peer: str
    ) -> tuple[list[Registration], dict[str, SignOfLife]]:
        """Returns what to announce to a control host, and clears it.

        For the first announcement to the host, and after one that failed,
        these are signs of life of all endpoints.
        """
        pending = self.pending.get(peer)
        table = self.registrations.by_endpoint
        if pending is None:
            pending = PendingUpdates(set(), set(table))
        full = sorted(pending.full & table.keys())
        later = set(full[MAX_REGISTRATIONS:])
        self.pending[peer] = PendingUpdates(
            later, set(), pending.receiver_epoch
        )
        signs = {
            endpoint: SignOfLife(
                table[endpoint].sequence, self.registrations.digest_of(endpoint)
            )
            for endpoint in pending.alive - pending.full
            if endpoint in table
        }
        return [table[name] for name in full[:MAX_REGISTRATIONS]], signs

    def announce_in_full(self, peer: str, endpoints: Iterable[str]) -> None:
        """Includes endpoints in the next announcement to a control host."""
        pending = self.pending.get(peer)
        if pending is not None:
            pending.full.update(endpoints)

    def announce_all(self, peer: str) -> None:
        """Includes all endpoints in the next announcement to a control host.

        Called after an announcement that failed.
        """
        self.pending.pop(peer, None)

    def list_former_versions(self) -> list[FormerVersion]:
        """Returns the versions that endpoints had before they restarted."""
        return self.registrations.list_former_versions(time.monotonic())

    def merge_former_versions(self, former: Iterable[FormerVersion]) -> None:
        """Merges the former versions that another control host knows."""
        self.registrations.merge_former_versions(former, time.monotonic())

    def on_find(self, message: FindEndpoint) -> FoundEndpoint:
        """Returns the registration in force of an endpoint."""
        return FoundEndpoint(
            self.registrations.by_endpoint.get(message.endpoint)
        )

    def on_heard(self, peer: str, epoch: str) -> None:
        """Announces all endpoints again to a control host that has restarted.

        No announcement has failed if it was back before the next one.

        Args:
            peer: The control host.
            epoch: The epoch of its table; "" if it did not say.
        """
        pending = self.pending.get(peer)
        if pending is None or not epoch:
            return
        if pending.receiver_epoch in ("", epoch):
            pending.receiver_epoch = epoch
            return
        logger.info("control_host_restarted", peer=peer)
        self.announce_all(peer)


def _is_urgent(registration: Registration, before: Registration | None) -> bool:
    """Returns whether an endpoint must get fewer or no requests at once."""
    was_cold = (
        before is not None
        and before.born == registration.born
        and before.cold_left_ms > 0
    )
    turns_cold = registration.cold_left_ms > 0 and not was_cold
    return registration.state is not EndpointState.READY or turns_cold
