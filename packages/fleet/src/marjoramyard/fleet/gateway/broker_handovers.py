"""The handover of brokers to their successors, at the side of the brokers.

A broker announces what it has learnt to a few gateways, and adopts what
gateways hold from its predecessor.
"""

from collections import Counter
from collections.abc import Collection, Mapping

import msgspec

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.handover import (
    ANNOUNCE_INTERVAL_MS,
    Handover,
)
from marjoramyard.coordination.placement.snapshots import (
    EMPTY_SNAPSHOT,
    BrokerSnapshot,
    changes_between,
    merged,
    take_snapshot,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    HANDOVER_PROTOCOL,
    SnapshotAnnouncement,
    SnapshotHandover,
    includes,
)
from marjoramyard.fleet.gateway.gateway_connection import GatewayConnection
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Labels

logger = get_logger(__name__)

MAX_SNAPSHOT_HOLDERS = 4
"""The number of gateways that hold a broker's snapshot."""
FULL_INTERVAL = 30
"""Of so many announcements one is full, so that engines that are gone are
forgotten."""
UNUSED_MS = 1000.0
"""Gateways without a connection to a broker for so long use another one."""


def choose_holders(
    current: Collection[GatewayConnection],
    gateways: Collection[GatewayConnection],
) -> list[GatewayConnection]:
    """Returns the gateways that are to hold a snapshot.

    They are in different availability zones if possible, preferably on other
    hosts than the broker, and preferably current holders.

    Args:
        current: Those that hold it.
        gateways: Those that may hold it.
    """
    holders: list[GatewayConnection] = []
    zones: Counter[str] = Counter()
    remaining = list(gateways)
    while remaining and len(holders) < MAX_SNAPSHOT_HOLDERS:
        best = min(
            remaining,
            key=lambda gateway: (
                zones[gateway.zone],
                gateway.is_local,
                gateway not in current,
                gateway.number,
            ),
        )
        remaining.remove(best)
        zones[best.zone] += 1
        holders.append(best)
    return holders


class SnapshotAnnouncer:
    """Announces the snapshots of one broker.

    Attributes:
        service: The broker's service.
        announced: What its holders know.
        holders: The gateways that hold it.
        due_at: When the next announcement is due, in ms.
        count: The number of announcements.
    """

    def __init__(self, service: str, now: float):
        self.service = service
        self.announced: BrokerSnapshot = EMPTY_SNAPSHOT
        self.holders: list[GatewayConnection] = []
        self.due_at = now + ANNOUNCE_INTERVAL_MS
        self.count = 0

    def announce(
        self,
        broker: Broker,
        gateways: Collection[GatewayConnection],
        now: float,
    ) -> None:
        """Queues announcements for the holders.

        An announcement without changes says that the snapshot still holds.

        Args:
            broker: The broker.
            gateways: The gateways that may hold its snapshot.
            now: The time in ms.
        """
        current = take_snapshot(broker)
        changes = changes_between(self.announced, current)
        is_full = self.count % FULL_INTERVAL == 0
        self.announced = current if is_full else merged(self.announced, changes)
        if self.announced == EMPTY_SNAPSHOT == changes:
            return
        self.count += 1
        previous, self.holders = (
            self.holders,
            choose_holders(self.holders, gateways),
        )
        for gateway in self.holders:
            full = is_full or gateway not in previous
            gateway.outbox.append(
                SnapshotAnnouncement(
                    self.service,
                    self.announced if full else changes,
                    int(now),
                    full,
                )
            )


class ServiceHandover(msgspec.Struct):
    """The handover from and to the broker of one service.

    Attributes:
        handover: What the broker adopts.
        announcer: What it announces.
        used_at: When gateways of other hosts last used it, in ms.
    """

    handover: Handover
    announcer: SnapshotAnnouncer
    used_at: float


class BrokerHandovers:
    """The handovers of all brokers of a host.

    All times are in ms of the broker's clock.

    Attributes:
        brokers: The brokers, by service.
        gateways: The open connections, by number.
        services: The handovers, by service.
    """

    def __init__(
        self,
        brokers: Mapping[str, Broker],
        gateways: Mapping[int, GatewayConnection],
    ):
        self.brokers = brokers
        self.gateways = gateways
        self.services: dict[str, ServiceHandover] = {}

    def add(self, service: str, broker: Broker, now: float) -> None:
        """Adds a new broker."""
        self.services[service] = ServiceHandover(
            Handover(broker, now), SnapshotAnnouncer(service, now), now
        )

    def refresh(self, now: float) -> None:
        """Notices brokers that come into use again, after another was used.

        A broker that was suspended counts as unused meanwhile.
        """
        for service, state in self.services.items():
            if self._is_used(service):
                if now - state.used_at > UNUSED_MS:
                    state.handover.reopen(now, state.used_at)
                    state.announcer = SnapshotAnnouncer(service, now)
                state.used_at = now
            state.handover.close_if_over(now)

    def _is_used(self, service: str) -> bool:
        """Returns whether gateways of other hosts use a broker.

        The gateway of its own host stays when the host is cut off.
        """
        return any(
            not gateway.is_local and gateway.service in ("", service)
            for gateway in self.gateways.values()
        )

    def apply_estimates(self, service: str) -> None:
        """Has engines that were added adopt their estimates."""
        self.services[service].handover.apply_estimates()

    def adopt(self, message: SnapshotHandover, now: float) -> None:
        """Adopts a snapshot that a gateway holds; ignores unknown services."""
        state = self.services.get(message.service)
        if state is None:
            return
        adoption = state.handover.adopt(message.snapshot, message.age_ms, now)
        if adoption is None or not (adoption.engines or adoption.workspaces):
            return
        logger.info(
            "broker_snapshot_adopted",
            service=message.service,
            age_ms=round(message.age_ms),
            engines=adoption.engines,
            workspaces=adoption.workspaces,
        )

    def announce(self, now: float) -> None:
        """Queues the announcements that are due."""
        for service, state in self.services.items():
            announcer = state.announcer
            if now < announcer.due_at:
                continue
            announcer.due_at = now + ANNOUNCE_INTERVAL_MS
            announcer.announce(
                self.brokers[service], self._possible_holders(service), now
            )

    def _possible_holders(self, service: str) -> list[GatewayConnection]:
        return [
            gateway
            for gateway in self.gateways.values()
            if gateway.service == service
            and includes(gateway.socket.ws_protocol, HANDOVER_PROTOCOL)
        ]

    def holder_counts(self) -> list[tuple[float, Labels]]:
        """Returns how many gateways hold a snapshot, by service."""
        return [
            (float(len(state.announcer.holders)), {"service": service})
            for service, state in self.services.items()
        ]
