"""The permission to run a request that may crash endpoints."""

import asyncio
import time

from marjoramyard.coordination.governance.suspects import Standing
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.refusals import suspect_held
from marjoramyard.kernel.errors import FleetError

HOLD_WAIT_SECONDS = 1.0
"""How long a suspect waits for its hold. Most are cleared in that time."""
HOLD_RETRY_SECONDS = 0.05


class RunPermit:
    """The permission to run one request, which a suspect needs.

    Attributes:
        is_held: Whether this request has the exclusive right to run.
    """

    def __init__(self, suspects: GatewaySuspects, caller: CallerRequest):
        self.suspects = suspects
        self.caller = caller
        self.is_held = False

    def check(self) -> None:
        """Checks right before a send that the request may run.

        Raises:
            FleetError: The request is in quarantine.
        """
        if self.suspects.is_empty:
            return
        fingerprint = self.caller.fingerprint
        if self.suspects.standing(fingerprint) is Standing.CONVICTED:
            raise FleetError(self.suspects.refusal(fingerprint))

    async def acquire(self) -> None:
        """Waits for the hold of a suspect; returns at once for others.

        Raises:
            FleetError: The request is in quarantine, or it runs elsewhere.
        """
        until = time.monotonic() + HOLD_WAIT_SECONDS
        while not self.suspects.is_empty:
            self.check()
            fingerprint = self.caller.fingerprint
            if self.is_held:
                return
            if self.suspects.standing(fingerprint) is Standing.CLEAR:
                return
            if await self.suspects.reports.hold(fingerprint):
                self.is_held = True
                return
            if time.monotonic() >= until:
                raise FleetError(suspect_held())
            await asyncio.sleep(HOLD_RETRY_SECONDS)

    def on_answered(self) -> None:
        """Notes that an endpoint has answered the request."""
        self.suspects.on_answered(self.caller.fingerprint)

    def release(self) -> None:
        """Ends the hold, if there is one."""
        if self.is_held:
            self.is_held = False
            self.suspects.reports.release(self.caller.fingerprint)
