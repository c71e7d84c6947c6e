"""Requests, and prompt parts, that crash each engine that runs them."""

import itertools
from typing import TYPE_CHECKING

from marjoramyard.coordination.governance.recent_answers import RecentAnswers
from marjoramyard.coordination.governance.suspects import (
    QUARANTINE_SECONDS,
    EndedRun,
    Standing,
    Suspects,
)
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.deployments import (
    Disturbance,
    DisturbanceKind,
)
from marjoramyard.standin.experiment.scoring import Outcome, RequestRecord
from marjoramyard.standin.experiment.simulation_run import Attempt
from marjoramyard.standin.experiment.workloads import Request

if TYPE_CHECKING:
    from marjoramyard.standin.experiment.simulation import Simulation

CRASH_MS = 100.0
"""How long such a request runs before its engine ends."""
RESTART_MS = 3300.0
ANNOUNCEMENT_MS = 50.0
"""Delay until all gateways know what a death has changed."""
PROMPT_TOKENS = 400
OWN_TOKENS = 100
OUTPUT_TOKENS = 1000
"""More than an engine generates before it ends."""


class CrashingRequests:
    """Sends crashing requests, and decides which requests are refused.

    Attributes:
        suspects: The fleet's decisions, by the real decision code.
        answered: What was answered lately, at any gateway.
        deaths: How many engines have ended under such requests.
    """

    def __init__(self, simulation: "Simulation"):
        self.simulation = simulation
        self.loop = simulation.loop
        self.suspects = Suspects({}, [])
        self.answered = RecentAnswers()
        self.numbers = itertools.count(-1, -1)
        self.deaths = 0

    def start(self, disturbance: Disturbance) -> None:
        """Begins to send requests, each every `factor` seconds."""
        until = self.loop.now + disturbance.lasts * 1000
        for number in range(disturbance.count):
            name = f"crash-{disturbance.at:g}-{number}"
            is_unique = disturbance.kind is DisturbanceKind.CRASHING_PART
            gap_ms = disturbance.factor * 1000
            self._send(name, is_unique, until, gap_ms)

    def _send(
        self, name: str, is_unique: bool, until: float, gap_ms: float
    ) -> None:
        if self.loop.now >= until:
            return
        self.loop.after(
            gap_ms, lambda: self._send(name, is_unique, until, gap_ms)
        )
        number = next(self.numbers)
        deployment = self.simulation.deployment
        request = Request(
            number=number,
            arrival_ms=self.loop.now,
            kind=deployment.kinds[0],
            workspace="w0",
            gateway=self.simulation.rng.randrange(deployment.gateways),
            parts=(
                PromptPart(name, PROMPT_TOKENS),
                PromptPart(f"own{number}", OWN_TOKENS),
            ),
            output_tokens=OUTPUT_TOKENS,
            max_output_tokens=OUTPUT_TOKENS,
            hint_tokens=OUTPUT_TOKENS,
            crashes=name,
            is_unique=is_unique,
        )
        self.simulation.start_attempt(RequestRecord(request))

    def is_refused(self, request: Request) -> bool:
        """Whether gateways refuse a request as one that crashes engines."""
        if not self.simulation.policy.quarantines:
            return False
        now = self.loop.now / 1000
        return any(
            self.suspects.standing(identity, now) is Standing.CONVICTED
            for identity in _identities(request)
        )

    def on_arrival(self, attempt: Attempt) -> None:
        """Ends the engine of a crashing request after a while."""
        if attempt.record.request.crashes:
            self.loop.after(CRASH_MS, lambda: self._crash(attempt))

    def _crash(self, attempt: Attempt) -> None:
        simulation, engine = self.simulation, attempt.engine
        if attempt.is_over or engine.name in simulation.down:
            return
        self.deaths += 1
        interrupted = simulation.crash_engine(engine.name)
        runs = [run for lost in interrupted for run in self._ended(lost)]
        death_id, died_at = f"{engine.name}-{self.deaths}", self.loop.now
        self.loop.after(
            ANNOUNCEMENT_MS,
            lambda: self.suspects.report_death(
                death_id, runs, died_at / 1000, QUARANTINE_SECONDS
            ),
        )
        self.loop.after(
            RESTART_MS, lambda: simulation.restore_engine(engine.name)
        )

    def _ended(self, lost: Attempt) -> list[EndedRun]:
        """Returns the identities under which a request may be the cause."""
        request = lost.record.request
        now = self.loop.now / 1000
        seconds = now - lost.started_at / 1000
        own, *parts = _identities(request)
        return [EndedRun(own, seconds)] + [
            EndedRun(part, seconds, request=own)
            for part in parts
            if not self.answered.contains(part, now)
        ]

    def on_end(self, request: Request, outcome: Outcome) -> None:
        """Clears a request that was answered."""
        if outcome is Outcome.FAILED:
            return
        for identity in _identities(request):
            self.suspects.clear(identity)
            self.answered.record(identity, self.loop.now / 1000)


def _identities(request: Request) -> list[str]:
    """Returns a request's own identity and those of its shared parts."""
    return [request.fingerprint, *(part.digest for part in request.parts[:-1])]
