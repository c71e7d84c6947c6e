"""Keeps requests that crash endpoints away from them."""

import asyncio
import time
from collections.abc import Callable, Sequence

from result import Err, Result

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    Command,
    HoldSuspect,
    ReleaseSuspect,
    Reply,
    ReportDeath,
)
from marjoramyard.coordination.governance.suspects import (
    QUARANTINE_SECONDS,
    EndedRun,
    Standing,
    Suspects,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.refusals import quarantined, suspect_held
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.errors import Failure, FleetError
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

HOLD_WAIT_SECONDS = 1.0
"""How long a suspect waits for its hold. Most are cleared in that time."""
HOLD_RETRY_SECONDS = 0.05
REPORT_SECONDS = 20.0
"""How long a death is reported while no control host leads."""
ANNOUNCEMENT_SECONDS = 1.0
"""How long control hosts take to announce what a report has changed."""
CLEARING_SECONDS = 0.1
"""Requests that were answered within this time are cleared together."""
REPORTED_SECONDS = 60.0
"""How long a gateway looks for responses to requests that it has reported."""
MAX_REPORTED = 2000


class GatewaySuspects:
    """What a gateway knows of requests that crash endpoints.

    The control hosts decide for the fleet. As long as they have not accepted a
    report, the gateway decides by its own reports alone.

    Attributes:
        own: The decisions by reports that no control host has accepted yet.
        reported: The requests that this gateway has reported, and until when
            a response to them is worth telling.
        answered: The suspects that were answered and are not cleared yet.
    """

    def __init__(
        self,
        view: FleetView,
        control: ControlClient,
        tasks: TaskGroup,
        metrics: Metrics,
        holder: str,
    ):
        self.view = view
        self.control = control
        self.tasks = tasks
        self.metrics = metrics
        self.holder = holder
        self.own = Suspects({}, [])
        self.reported: dict[str, float] = {}
        self.answered: set[str] = set()

    @property
    def is_empty(self) -> bool:
        """Whether there is no suspect at all, as most of the time."""
        return not (
            self.view.suspects.quarantined_until
            or self.own.records
            or self.reported
        )

    def standing(self, fingerprint: Fingerprint) -> Standing:
        """Returns the status of a request."""
        now = time.monotonic()
        found = {self.view.suspects.standing(fingerprint, now)}
        if self.own.must_hold(fingerprint):
            found.add(self.own.standing(fingerprint, now))
        for standing in (Standing.CONVICTED, Standing.SUSPECT):
            if standing in found:
                return standing
        return Standing.CLEAR

    def refusal(self, fingerprint: Fingerprint) -> Failure:
        """Returns the failure of a request in quarantine."""
        self.metrics.count("quarantined_requests")
        now = time.monotonic()
        return quarantined(
            max(
                self.view.suspects.seconds_left(fingerprint, now),
                self.own.quarantine_seconds(fingerprint, now),
            )
        )

    async def hold(self, fingerprint: Fingerprint) -> bool:
        """Requests the exclusive right to run a suspect."""
        command = HoldSuspect(fingerprint, self.holder)
        reply = await self._command(command, HOLD_WAIT_SECONDS)
        return reply.is_ok() and reply.ok_value.granted

    def release(self, fingerprint: Fingerprint) -> None:
        """Ends a hold."""
        command = ReleaseSuspect(fingerprint, self.holder, False)
        self.tasks.spawn(self._command(command, REPORT_SECONDS))

    def on_answered(self, fingerprint: Fingerprint) -> None:
        """Clears a request that an endpoint has answered."""
        was_reported = self.reported.pop(fingerprint, None) is not None
        was_suspect = self.standing(fingerprint) is not Standing.CLEAR
        if not was_reported and not was_suspect:
            return
        self.own.clear(fingerprint)
        self.view.suspects.quarantined_until.pop(fingerprint, None)
        self.metrics.count("suspects_cleared")
        if not self.answered:
            self.tasks.spawn(self._clear_answered())
        self.answered.add(fingerprint)

    async def _clear_answered(self) -> None:
        await asyncio.sleep(CLEARING_SECONDS)
        command = ClearSuspects(sorted(self.answered), self.holder)
        self.answered.clear()
        await self._command(command, REPORT_SECONDS)

    def report_death(
        self, death_id: str, runs: Sequence[EndedRun], died_at: float
    ) -> None:
        """Records an endpoint's death, and reports it to the control hosts.

        Args:
            death_id: Identifies the death in the reports of all gateways.
            runs: The requests of this gateway that were running.
            died_at: On the monotonic clock, in seconds.
        """
        self.own.report_death(death_id, runs, died_at, QUARANTINE_SECONDS)
        self._note_reported(runs)
        self.metrics.count("endpoint_deaths_reported")
        logger.warning(
            "endpoint_died",
            death=death_id,
            fingerprints=[run.fingerprint for run in runs],
        )
        self.tasks.spawn(self._report(death_id, list(runs), died_at))

    def _note_reported(self, runs: Sequence[EndedRun]) -> None:
        until = time.monotonic() + REPORTED_SECONDS
        for run in runs:
            self.reported.pop(run.fingerprint, None)
            self.reported[run.fingerprint] = until
        while len(self.reported) > MAX_REPORTED:
            del self.reported[next(iter(self.reported))]
        self.tasks.spawn(self._forget_reported())

    async def _forget_reported(self) -> None:
        await asyncio.sleep(REPORTED_SECONDS)
        now = time.monotonic()
        for fingerprint, until in list(self.reported.items()):
            if until <= now:
                del self.reported[fingerprint]

    async def _report(
        self, death_id: str, runs: list[EndedRun], died_at: float
    ) -> None:
        reply = await self._command_built_by(
            lambda: ReportDeath(
                death_id, runs=runs, seconds_ago=time.monotonic() - died_at
            ),
            REPORT_SECONDS,
        )
        if isinstance(reply, Err):
            logger.warning("death_not_reported", death=death_id)
            return
        await asyncio.sleep(ANNOUNCEMENT_SECONDS)
        for run in runs:
            self.own.clear(run.fingerprint)

    async def _command(
        self, command: Command, seconds: float
    ) -> Result[Reply, Failure]:
        return await self._command_built_by(lambda: command, seconds)

    async def _command_built_by(
        self, build: Callable[[], Command], seconds: float
    ) -> Result[Reply, Failure]:
        if self.view.control_addresses:
            self.control.hosts = sorted(self.view.control_addresses)
        reply = await self.control.command_built_by(build, seconds)
        if isinstance(reply, Err):
            logger.info("suspect_command_failed", why=reply.err_value.message)
        return reply


class RunPermit:
    """The permission to run one request, which a suspect needs.

    Attributes:
        is_held: Whether this request has the exclusive right to run.
    """

    def __init__(self, suspects: GatewaySuspects, caller):
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
            if await self.suspects.hold(fingerprint):
                self.is_held = True
                return
            if time.monotonic() >= until:
                raise FleetError(suspect_held())
            await asyncio.sleep(HOLD_RETRY_SECONDS)

    def on_answered(self) -> None:
        """Clears the request, which an endpoint has answered."""
        if not self.suspects.is_empty:
            self.suspects.on_answered(self.caller.fingerprint)

    def release(self) -> None:
        """Ends the hold, if there is one."""
        if self.is_held:
            self.is_held = False
            self.suspects.release(self.caller.fingerprint)
