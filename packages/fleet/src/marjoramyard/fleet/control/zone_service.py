"""Replicates operators' orders on availability zones."""

import time
from collections.abc import Callable

from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import ChangeZone
from marjoramyard.coordination.governance.evacuations import ZoneState
from marjoramyard.fleet import paths
from marjoramyard.fleet.control.leader_calls import (
    COMMIT_TIMEOUT_SECONDS,
    CONFIRM_TIMEOUT_SECONDS,
    LeaderCalls,
)
from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.sync_messages import ZoneStates
from marjoramyard.kernel.errors import Failure, FailureKind, failure
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)


class ZoneService:
    """Evacuates zones and ends their evacuations.

    Orders are idempotent, and may reach any control host several times.
    """

    def __init__(self, role, calls: LeaderCalls):
        self.role = role
        self.known_zones = frozenset(role.settings.availability_zones)
        self.calls = calls

    async def change(
        self,
        zone: str,
        is_evacuated: bool,
        operator: str,
        is_awaited: Callable[[], bool],
    ) -> Result[None, Failure]:
        """Evacuates or restores a zone; returns once that is committed.

        The zone's revision is read first and checked when the order is
        applied. So an order that was delayed in this host, and which its
        operator has meanwhile sent to another one, has no effect.

        Args:
            zone: The availability zone.
            is_evacuated: The state to set.
            operator: Who gave the order.
            is_awaited: Whether the operator still waits for the reply.
        """
        if self.known_zones and zone not in self.known_zones:
            return Err(self._unknown_zone(zone))
        started_at = time.monotonic()
        result = await self._change(zone, is_evacuated, operator, is_awaited)
        logger.info(
            "zone_order",
            zone=zone,
            evacuated=is_evacuated,
            operator=operator,
            outcome="accepted"
            if isinstance(result, Ok)
            else result.err_value.code,
            seconds=round(time.monotonic() - started_at, 3),
        )
        return result

    async def _change(
        self,
        zone: str,
        is_evacuated: bool,
        operator: str,
        is_awaited: Callable[[], bool],
    ) -> Result[None, Failure]:
        states = await self.read()
        if isinstance(states, Err):
            return states
        known = states.ok_value.zones.get(zone, ZoneState())
        if known.is_evacuated == is_evacuated:
            return Ok(None)
        if not is_awaited():
            return Err(no_quorum())
        command = ChangeZone(
            zone, is_evacuated, known.revision, operator, time.time()
        )
        changed = await self.calls.call(
            self._change_locally, paths.CHANGE_ZONE_PATH, command, Empty
        )
        return changed if isinstance(changed, Err) else Ok(None)

    def _unknown_zone(self, zone: str) -> Failure:
        known = ", ".join(sorted(self.known_zones))
        return failure(
            FailureKind.NOT_FOUND, f"unknown zone {zone!r}; use {known}"
        )

    async def read(self) -> Result[ZoneStates, Failure]:
        """Returns all zones with orders, confirmed by a quorum."""
        return await self.calls.call(
            self._read_locally, paths.READ_ZONES_PATH, Empty(), ZoneStates
        )

    async def _read_locally(self, _: Empty) -> Result[ZoneStates, Failure]:
        node = self.role.running_node
        confirmed = await node.confirm_leadership(CONFIRM_TIMEOUT_SECONDS)
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(ZoneStates(node.state.evacuations.stored.zones))

    async def _change_locally(
        self, command: ChangeZone
    ) -> Result[Empty, Failure]:
        node = self.role.running_node
        result = await node.execute(command, COMMIT_TIMEOUT_SECONDS)
        if isinstance(result, Err):
            return result
        refused = result.ok_value.failure
        return Err(refused) if refused is not None else Ok(Empty())

    async def on_read(self, message: Empty) -> Result[ZoneStates, Failure]:
        """Reads the zones for another control host."""
        return await self.calls.run_for_peer(self._read_locally, message)

    async def on_change(self, command: ChangeZone) -> Result[Empty, Failure]:
        """Applies an order that another control host received."""
        return await self.calls.run_for_peer(self._change_locally, command)
