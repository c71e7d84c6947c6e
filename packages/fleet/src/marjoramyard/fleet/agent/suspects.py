"""The agent's isolation of requests that may crash endpoints."""

from collections.abc import Sequence

from result import Err

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    HoldSuspect,
    ReleaseSuspect,
    ReportDeath,
)
from marjoramyard.coordination.governance.suspects import EndedRun
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.refusals import quarantined, suspect_held
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.ids import Fingerprint

_HOLD_TIMEOUT_SECONDS = 3.0
_REPORT_TIMEOUT_SECONDS = 20.0


class SuspectGuard:
    """Limits an agent to one suspect at a time, and a suspect to one agent.

    Attributes:
        held: The suspect that may run at this endpoint, if any.
    """

    def __init__(
        self,
        app: Application,
        membership: RouterMembership,
        control: ControlClient,
    ):
        self.app = app
        self.membership = membership
        self.control = control
        self.held: Fingerprint | None = None

    def suspected_identity(
        self,
        fingerprint: Fingerprint,
        parts: Sequence[Fingerprint],
        marked: bool,
    ) -> Fingerprint | None:
        """Returns for what a request must be isolated; None if it needn't be.

        A request is isolated after the first death under it, a part of its
        prompt only after its quarantine: others share it.

        Args:
            fingerprint: The request's fingerprint.
            parts: The fingerprints of the shared parts of its prompt.
            marked: Whether the entry marked it as a suspect.
        """
        for part in parts:
            if part in self.membership.held_parts:
                return part
        if marked or fingerprint in self.membership.suspects:
            return fingerprint
        return None

    async def hold(self, fingerprint: Fingerprint) -> Failure | None:
        """Requests a hold, which permits a suspect to run at this endpoint.

        If two suspects ran on one endpoint, its death could not be
        attributed to one of them.

        Returns:
            None if the hold is granted, else the refusal.
        """
        if self.held is not None:
            return suspect_held()
        self.held = fingerprint
        command = HoldSuspect(fingerprint, self.app.incarnation)
        reply = await self.control.command(command, _HOLD_TIMEOUT_SECONDS)
        if isinstance(reply, Err) or not reply.ok_value.granted:
            self.held = None
            seconds = self.membership.quarantine_seconds_left(fingerprint)
            return quarantined(seconds) if seconds else suspect_held()
        return None

    def release(self, fingerprint: Fingerprint, clear: bool) -> None:
        """Ends a hold.

        Args:
            fingerprint: The suspect's fingerprint.
            clear: Whether the request succeeded, so that it is no suspect
                any more.
        """
        self.held = None
        command = ReleaseSuspect(fingerprint, self.app.incarnation, clear)
        self.app.tasks.spawn(
            self.control.command(command, _REPORT_TIMEOUT_SECONDS)
        )

    def clear_parts(self, parts: Sequence[Fingerprint]) -> None:
        """Tells that the endpoint has answered a request with these parts."""
        suspects = self.membership.suspects.intersection(parts)
        if not suspects:
            return
        self.membership.suspects -= suspects
        command = ClearSuspects(sorted(suspects), self.app.incarnation)
        self.app.tasks.spawn(
            self.control.command(command, _REPORT_TIMEOUT_SECONDS)
        )

    async def report(self, death_id: str, runs: Sequence[EndedRun]) -> None:
        """Reports an endpoint's death and its requests to the control hosts.

        Args:
            death_id: Identifies the death, so that it counts once.
            runs: The requests that were running.
        """
        self.membership.suspects.update(
            Fingerprint(run.fingerprint) for run in runs
        )
        command = ReportDeath(death_id, runs=list(runs))
        await self.control.command(command, _REPORT_TIMEOUT_SECONDS)
        self.app.metrics.count("endpoint_deaths_reported")
