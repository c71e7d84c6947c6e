"""Requests that crash each engine that begins to run them."""

from typing import TYPE_CHECKING

from marjoramyard.coordination.governance.suspects import (
    QUARANTINE_SECONDS,
    EndedRun,
    Standing,
    Suspects,
)
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.deployments import Disturbance
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
PROMPT_TOKENS = 500
OUTPUT_TOKENS = 1000
"""More than an engine generates before it ends."""


class CrashingRequests:
    """Sends crashing requests, and decides which requests are refused.

    Attributes:
        suspects: The fleet's decisions, by the real decision code.
        deaths: How many engines have ended under such requests.
    """

    def __init__(self, simulation: "Simulation"):
        self.simulation = simulation
        self.loop = simulation.loop
        self.suspects = Suspects({}, [])
        self.deaths = 0

    def start(self, disturbance: Disturbance) -> None:
        """Begins to send requests, each every `factor` seconds."""
        until = self.loop.now + disturbance.lasts * 1000
        for number in range(disturbance.count):
            name = f"crash-{disturbance.at:g}-{number}"
            self._send(name, until, disturbance.factor * 1000)

    def _send(self, name: str, until: float, gap_ms: float) -> None:
        if self.loop.now >= until:
            return
        self.loop.after(gap_ms, lambda: self._send(name, until, gap_ms))
        deployment = self.simulation.deployment
        request = Request(
            number=0,
            arrival_ms=self.loop.now,
            kind=deployment.kinds[0],
            workspace="w0",
            gateway=self.simulation.rng.randrange(deployment.gateways),
            parts=(PromptPart(name, PROMPT_TOKENS),),
            output_tokens=OUTPUT_TOKENS,
            max_output_tokens=OUTPUT_TOKENS,
            hint_tokens=OUTPUT_TOKENS,
            crashes=name,
        )
        self.simulation.start_attempt(RequestRecord(request))

    def is_refused(self, request: Request) -> bool:
        """Whether gateways refuse a request as one that crashes engines."""
        if not self.simulation.policy.quarantines:
            return False
        now = self.loop.now / 1000
        standing = self.suspects.standing(request.fingerprint, now)
        return standing is Standing.CONVICTED

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
        runs = [
            EndedRun(
                lost.record.request.fingerprint,
                (self.loop.now - lost.started_at) / 1000,
            )
            for lost in interrupted
        ]
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

    def on_end(self, request: Request, outcome: Outcome) -> None:
        """Clears a request that was answered."""
        if outcome is not Outcome.FAILED:
            self.suspects.clear(request.fingerprint)
