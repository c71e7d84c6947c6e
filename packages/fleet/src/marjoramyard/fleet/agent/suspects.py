"""The agent's part in finding requests that crash endpoints."""

import random

from result import Err

from marjoramyard.coordination.governance.commands import (
    HoldSuspect,
    ReleaseSuspect,
    ReportDeath,
)
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import Membership
from marjoramyard.fleet.refusals import quarantined
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.kernel.errors import Failure, Kind, failure
from marjoramyard.kernel.ids import Fingerprint

_HOLD_SECONDS = 3.0
_REPORT_SECONDS = 20.0


class SuspectGuard:
    """Runs one suspect at a time here, and each at one agent at a time."""

    def __init__(
        self, app: Application, membership: Membership, control: ControlClient
    ):
        self.app = app
        self.membership = membership
        self.control = control
        self.held: Fingerprint | None = None

    def is_suspect(self, fingerprint: Fingerprint, marked: bool) -> bool:
        """Returns whether a request must be held apart."""
        return marked or fingerprint in self.membership.suspects

    async def hold(self, fingerprint: Fingerprint) -> Failure | None:
        """Gets leave to run a suspect here; returns why not.

        Two suspects on one endpoint could not be told apart when it dies,
        and one suspect on two endpoints could cost both.
        """
        if self.held is not None:
            return _later()
        self.held = fingerprint
        command = HoldSuspect(fingerprint, self.app.incarnation)
        reply = await self.control.command(command, _HOLD_SECONDS)
        if isinstance(reply, Err) or not reply.ok_value.granted:
            self.held = None
            left = self.membership.is_convicted(fingerprint)
            return quarantined(left) if left else _later()
        return None

    def release(self, fingerprint: Fingerprint, clear: bool) -> None:
        """Ends a hold; a request that ended well is no suspect any more."""
        self.held = None
        command = ReleaseSuspect(fingerprint, self.app.incarnation, clear)
        self.app.tasks.spawn(self.control.command(command, _REPORT_SECONDS))

    async def report(
        self, death_id: str, fingerprints: list[Fingerprint]
    ) -> None:
        """Tells the control hosts which requests an endpoint died under."""
        self.membership.suspects.update(fingerprints)
        command = ReportDeath(death_id, list(fingerprints))
        await self.control.command(command, _REPORT_SECONDS)
        self.app.metrics.count("endpoint_deaths_reported")


def _later() -> Failure:
    return failure(
        Kind.SUSPECT_HELD,
        "this request ran when an endpoint died; it runs again as soon as "
        "it can run apart from other such requests",
        retry_after=random.uniform(0.5, 1.5),
    )
