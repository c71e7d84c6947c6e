"""Operators' orders to send no requests to an availability zone."""

import msgspec

from marjoramyard.kernel.errors import Failure, FailureKind, failure

MAX_RECORDS = 1000
"""Older records of the history are evicted."""


class ZoneState(msgspec.Struct, frozen=True):
    """The newest order on one zone.

    Attributes:
        is_evacuated: Whether endpoints in the zone get no new requests.
        revision: How often this has changed; 0 for a zone without orders.
        operator: Who gave the order.
        at: When it was given, in seconds since the Unix epoch.
    """

    is_evacuated: bool = False
    revision: int = 0
    operator: str = ""
    at: float = 0.0


class EvacuationRecord(msgspec.Struct, frozen=True):
    """One order in the history.

    Attributes:
        revision: The number of the order, counted over all zones.
        zone: The availability zone.
        state: The state of the zone from then on.
    """

    revision: int
    zone: str
    state: ZoneState


class EvacuationState(msgspec.Struct):
    """The stored form of `Evacuations`.

    Attributes:
        zones: The zones with orders, by name.
        revision: The number of changes, over all zones.
        history: The newest orders, oldest first.
    """

    zones: dict[str, ZoneState] = {}
    revision: int = 0
    history: list[EvacuationRecord] = []


class Evacuations:
    """Applies evacuation orders in the order of the replicated log."""

    def __init__(self, stored: EvacuationState):
        self.stored = stored

    @property
    def revision(self) -> int:
        """The number of changes, over all zones."""
        return self.stored.revision

    def zone(self, name: str) -> ZoneState:
        """Returns the state of a zone."""
        return self.stored.zones.get(name, ZoneState())

    def evacuated_zones(self) -> list[str]:
        """Returns the names of the evacuated zones, sorted."""
        return sorted(
            name
            for name, zone in self.stored.zones.items()
            if zone.is_evacuated
        )

    def change(
        self,
        name: str,
        is_evacuated: bool,
        expected_revision: int,
        operator: str,
        at: float,
    ) -> Failure | None:
        """Evacuates or restores a zone.

        An order that asks for the present state changes nothing.

        Args:
            name: The availability zone.
            is_evacuated: The state to set.
            expected_revision: The zone's revision when the order was received.
            operator: Who gave the order.
            at: When, in seconds since the Unix epoch.

        Returns:
            None, or a failure if the zone has changed since the order was
            received. Otherwise an order that was delayed on its way would undo
            a newer one.
        """
        known = self.zone(name)
        if known.is_evacuated == is_evacuated:
            return None
        if known.revision != expected_revision:
            return failure(
                FailureKind.CONFLICT,
                f"zone {name!r} has changed since the order was received; look "
                "at `marjoramctl zone list`, then send it again",
            )
        changed = ZoneState(is_evacuated, known.revision + 1, operator, at)
        stored = self.stored
        stored.zones[name] = changed
        stored.revision += 1
        stored.history.append(EvacuationRecord(stored.revision, name, changed))
        del stored.history[:-MAX_RECORDS]
        return None
