"""Keeps requests that crash endpoints away from them."""

import asyncio
import time
from collections.abc import Iterable, Sequence

from marjoramyard.coordination.governance.recent_answers import RecentAnswers
from marjoramyard.coordination.governance.suspects import (
    QUARANTINE_SECONDS,
    EndedRun,
    Standing,
    Suspects,
)
from marjoramyard.fleet.gateway.suspect_reports import Death, SuspectReports
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.refusals import quarantined
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

OWN_DECISION_SECONDS = 0.5
"""When no control host has accepted a report for so long, the gateway decides
alone."""
ANNOUNCEMENT_SECONDS = 1.0
"""How long control hosts take to announce what a report has changed."""


class GatewaySuspects:
    """What a gateway knows of requests that crash endpoints.

    The control hosts decide for the fleet. As long as they have not accepted a
    report, the gateway decides by its own reports alone.

    Attributes:
        known: The suspects that the control hosts have announced.
        own: The decisions by reports that no control host has accepted yet.
        answered: The requests and parts that were answered lately.
    """

    def __init__(
        self,
        view: FleetView,
        reports: SuspectReports,
        tasks: TaskGroup,
        metrics: Metrics,
    ):
        self.known = view.suspects
        self.known.on_update = self._clear_answered
        self.reports = reports
        self.tasks = tasks
        self.metrics = metrics
        self.own = Suspects({}, [])
        self.answered = RecentAnswers()

    @property
    def is_empty(self) -> bool:
        """Whether there is no suspect, as most of the time."""
        return self.known.is_empty and not self.own.records

    def with_standing(
        self, identities: Iterable[Fingerprint], standing: Standing
    ) -> list[Fingerprint]:
        """Returns the identities of a request that have a status.

        Args:
            identities: All identities of a request; most are no suspects.
            standing: The status, other than clear.
        """
        suspects = self.known.quarantined_until
        return [
            one
            for one in identities
            if (one in suspects or one in self.own.records)
            and self.standing(one) is standing
        ]

    def standing(self, fingerprint: Fingerprint) -> Standing:
        """Returns the status of an identity of a request."""
        now = time.monotonic()
        found = {self.known.standing(fingerprint, now)}
        if self.own.must_hold(fingerprint):
            found.add(self.own.standing(fingerprint, now))
        for standing in (Standing.CONVICTED, Standing.SUSPECT):
            if standing in found:
                return standing
        return Standing.CLEAR

    def refusal(self, convicted: Sequence[Fingerprint]) -> Failure:
        """Returns the failure of a request in quarantine.

        Args:
            convicted: Its identities that are in quarantine.
        """
        self.metrics.count("quarantined_requests")
        now = time.monotonic()
        return quarantined(
            max(
                max(
                    self.known.seconds_left(fingerprint, now),
                    self.own.quarantine_seconds(fingerprint, now),
                )
                for fingerprint in convicted
            )
        )

    def on_answered(self, identities: Iterable[Fingerprint]) -> None:
        """Notes that an endpoint has answered a request, and clears it."""
        now = time.monotonic()
        for fingerprint in identities:
            self.answered.record(fingerprint, now)
            if not self.is_empty:
                self._clear(fingerprint)

    def _clear_answered(self) -> None:
        """Clears announced suspects that this gateway knows to be harmless."""
        now = time.monotonic()
        for fingerprint in self.known.fingerprints():
            if self.answered.contains(fingerprint, now):
                self._clear(fingerprint)

    def _clear(self, fingerprint: Fingerprint) -> None:
        is_known = self.known.forget(fingerprint)
        if self.own.clear(fingerprint) or is_known:
            self.metrics.count("suspects_cleared")
            self.reports.clear(fingerprint)

    def report_death(
        self, death_id: str, runs: Sequence[EndedRun], died_at: float
    ) -> None:
        """Reports an endpoint's death to the control hosts.

        Args:
            death_id: Identifies the death in the reports of all gateways.
            runs: The requests of this gateway that were running.
            died_at: On the monotonic clock, in seconds.
        """
        suspects = self._unanswered(runs)
        self.metrics.count("endpoint_deaths_reported")
        logger.warning(
            "endpoint_died",
            death=death_id,
            fingerprints=[run.fingerprint for run in suspects],
        )
        if suspects:
            death = Death(death_id, suspects, died_at)
            self.tasks.spawn(self._report(death))

    def _unanswered(self, runs: Sequence[EndedRun]) -> list[EndedRun]:
        now = time.monotonic()
        return [
            run
            for run in runs
            if not self.answered.contains(run.fingerprint, now)
        ]

    async def _report(self, death: Death) -> None:
        report = self.tasks.spawn(
            self.reports.report(death, lambda: self._unanswered(death.runs))
        )
        done, _ = await asyncio.wait([report], timeout=OWN_DECISION_SECONDS)
        if done:
            return
        self.own.report_death(
            death.death_id,
            self._unanswered(death.runs),
            death.died_at,
            QUARANTINE_SECONDS,
        )
        if await report:
            await asyncio.sleep(ANNOUNCEMENT_SECONDS)
            for run in death.runs:
                self.own.clear(run.fingerprint)
