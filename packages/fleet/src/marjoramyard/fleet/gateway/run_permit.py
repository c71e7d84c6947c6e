"""The permission to run a request that may crash endpoints."""

import asyncio
import time
from functools import cached_property

from marjoramyard.coordination.governance.suspects import Standing
from marjoramyard.coordination.serving.fingerprints import (
    MAX_SUSPECTED_PARTS,
    part_fingerprint,
)
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.refusals import suspect_held
from marjoramyard.kernel.errors import FleetError
from marjoramyard.kernel.ids import Fingerprint

HOLD_WAIT_SECONDS = 1.0
"""How long a suspect waits for its hold. Most are cleared in that time."""
HOLD_RETRY_SECONDS = 0.05


class RunPermit:
    """The permission to run one request, which a suspect needs.

    Attributes:
        identities: The fingerprints under which the request may be suspected:
            its own, and those of the shared parts of its prompt.
        held: Those for which this request has the exclusive right to run.
    """

    def __init__(
        self, suspects: GatewaySuspects, caller: CallerRequest, service: str
    ):
        self.suspects = suspects
        self.caller = caller
        self.service = service
        self.held: set[Fingerprint] = set()

    @cached_property
    def identities(self) -> list[Fingerprint]:
        """All fingerprints of the request, its own first."""
        parts = self.caller.shared_parts[:MAX_SUSPECTED_PARTS]
        return [
            self.caller.fingerprint,
            *(part_fingerprint(self.service, part.digest) for part in parts),
        ]

    @property
    def is_held(self) -> bool:
        """Whether this request has an exclusive right to run."""
        return bool(self.held)

    def check(self) -> None:
        """Checks right before a send that the request may run.

        Raises:
            FleetError: The request is in quarantine.
        """
        if self.suspects.is_empty:
            return
        convicted = self.suspects.with_standing(
            self.identities, Standing.CONVICTED
        )
        if convicted:
            raise FleetError(self.suspects.refusal(convicted))

    async def acquire(self) -> None:
        """Waits for the hold of a suspect; returns at once for others.

        Raises:
            FleetError: The request is in quarantine, or it runs elsewhere.
        """
        until = time.monotonic() + HOLD_WAIT_SECONDS
        while not self.suspects.is_empty:
            self.check()
            if await self._hold_suspects():
                return
            if time.monotonic() >= until:
                raise FleetError(suspect_held())
            await asyncio.sleep(HOLD_RETRY_SECONDS)

    async def _hold_suspects(self) -> bool:
        """Requests the holds that are missing; returns whether all are held."""
        suspects = self.suspects.with_standing(
            self.identities, Standing.SUSPECT
        )
        for fingerprint in suspects:
            if fingerprint in self.held:
                continue
            if not await self.suspects.reports.hold(fingerprint):
                return False
            self.held.add(fingerprint)
        return True

    def on_answered(self) -> None:
        """Notes that an endpoint has answered the request."""
        self.suspects.on_answered(self.identities)

    def release(self) -> None:
        """Ends the holds, if there are any."""
        held, self.held = self.held, set()
        for fingerprint in held:
            self.suspects.reports.release(fingerprint)
