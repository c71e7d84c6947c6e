"""Reports deaths of endpoints, and responses to suspects, to control hosts."""

import asyncio
import time
from collections.abc import Callable, Sequence

import msgspec
from result import Err, Result

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    Command,
    HoldSuspect,
    ReleaseSuspect,
    Reply,
    ReportDeath,
)
from marjoramyard.coordination.governance.suspects import EndedRun
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

ATTEMPT_SECONDS = 0.5
"""Timeout of one attempt. Longer ones to a leader that was cut off would hold
up the responses that clear harmless requests."""
HOLD_TIMEOUT_SECONDS = 1.0
REPORT_SECONDS = 20.0
"""How long a report is sent while no control host leads."""
CLEARING_SECONDS = 0.02
"""Responses within this time are told together."""


class Death(msgspec.Struct, frozen=True):
    """The death of an endpoint, to be reported.

    Attributes:
        death_id: Identifies the death in the reports of all gateways.
        runs: The requests of this gateway that were running.
        died_at: On the monotonic clock, in seconds.
    """

    death_id: str
    runs: Sequence[EndedRun]
    died_at: float


class SuspectReports:
    """Sends a gateway's reports to the control leader, in their order.

    A response that follows a death must not be told before it.

    Attributes:
        addresses: Returns the internal addresses of the control hosts.
        answered: Suspects that were answered, until that has been sent.
        sending: Is held while a report is sent.
    """

    def __init__(
        self,
        control: ControlClient,
        tasks: TaskGroup,
        holder: str,
        addresses: Callable[[], set[str]],
    ):
        self.control = control
        self.tasks = tasks
        self.holder = holder
        self.addresses = addresses
        self.answered: set[str] = set()
        self.sending = asyncio.Lock()

    async def hold(self, fingerprint: Fingerprint) -> bool:
        """Requests the exclusive right to run a suspect."""
        command = HoldSuspect(fingerprint, self.holder)
        reply = await self._send(lambda: command, HOLD_TIMEOUT_SECONDS)
        return reply.is_ok() and reply.ok_value.granted

    def release(self, fingerprint: Fingerprint) -> None:
        """Ends a hold."""
        command = ReleaseSuspect(fingerprint, self.holder, False)
        self.tasks.spawn(self._send(lambda: command, REPORT_SECONDS))

    def clear(self, fingerprint: Fingerprint) -> None:
        """Tells that an endpoint has answered a suspect."""
        if not self.answered:
            self.tasks.spawn(self._clear_answered())
        self.answered.add(fingerprint)

    async def _clear_answered(self) -> None:
        await asyncio.sleep(CLEARING_SECONDS)
        async with self.sending:
            command = ClearSuspects(sorted(self.answered), self.holder)
            self.answered.clear()
            await self._send(lambda: command, REPORT_SECONDS)

    async def report(
        self, death: Death, select: Callable[[], list[EndedRun]]
    ) -> bool:
        """Reports a death; returns whether a control host has accepted it.

        Args:
            death: The death.
            select: Returns the requests that are suspects when it is sent.
        """

        def build() -> ReportDeath:
            seconds_ago = time.monotonic() - death.died_at
            return ReportDeath(
                death.death_id, runs=select(), seconds_ago=seconds_ago
            )

        async with self.sending:
            reply = await self._send(build, REPORT_SECONDS)
        return reply.is_ok()

    async def _send(
        self, build: Callable[[], Command], seconds: float
    ) -> Result[Reply, Failure]:
        known = self.addresses()
        if known:
            self.control.hosts = sorted(known)
        reply = await self.control.command_built_by(build, seconds)
        if isinstance(reply, Err):
            logger.warning(
                "suspect_command_failed", why=reply.err_value.message
            )
        return reply
