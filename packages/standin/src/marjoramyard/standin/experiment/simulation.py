"""Plays a deployment's load: callers, gateways, a broker, engines.

What travels takes the time of the hops between zones, so the broker decides
with news as old as in a real fleet.
"""

import random

from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
)
from marjoramyard.standin.experiment.deployments import Deployment
from marjoramyard.standin.experiment.disturbances import schedule
from marjoramyard.standin.experiment.engine_model import ModelEngine, ModelRun
from marjoramyard.standin.experiment.event_loop import EventLoop
from marjoramyard.standin.experiment.policies import POLICIES, Policy
from marjoramyard.standin.experiment.scoring import (
    Outcome,
    Record,
    count,
)
from marjoramyard.standin.experiment.simulation_run import Attempt, Play, Tally
from marjoramyard.standin.experiment.workloads import Request, Workload

CALLER_MS = 1.0
"""One way between a caller and its gateway."""
HANDLING_MS = 1.0
"""What a gateway takes for a request."""
BEAT_MS = 100.0
"""A broker looks at the clock so often."""
SETTLE_MS = 20_000.0
"""After the last arrival the play goes on for so long."""
RETRY_SPREAD = 0.5
"""Refused callers return over this share around what they are told."""
PATIENCE_SHARE = 1 / 3
"""Callers wait no longer than this part of the time that they have."""


class Simulation:
    """Callers, gateways, one broker and its engines."""

    def __init__(self, deployment: Deployment, policy: str, seed: int):
        self.deployment = deployment
        self.policy_name = policy
        self.rng = random.Random(seed + 1)
        self.loop = EventLoop()
        self.seed = seed
        self.numbers = 0
        self.records = [
            Record(request) for request in Workload(deployment, seed).requests()
        ]
        self.attempts: dict[str, Attempt] = {}
        self.by_run: dict[int, Attempt] = {}
        self.engines = {
            f"e{number}": ModelEngine(
                f"e{number}",
                deployment.speeds,
                self.loop.at,
                self._on_event,
                self._on_end,
            )
            for number in range(deployment.engines)
        }
        self.zones = {
            name: number % deployment.zones
            for number, name in enumerate(self.engines)
        }
        self.down: set[str] = set()
        self.tally = Tally()
        self.policy = self.new_policy()

    def new_policy(self) -> Policy:
        """Returns a policy that knows only which engines there are."""
        policy = POLICIES.get(self.policy_name)(self.deployment, self.rng)
        policy.set_engines(
            name for name in self.engines if name not in self.down
        )
        return policy

    def play(self) -> Play:
        """Plays to the end and adds up."""
        for record in self.records:
            self.loop.at(
                record.request.at,
                lambda record=record: self._attempt(record),
            )
        for disturbance in self.deployment.disturbances:
            schedule(self, disturbance)
        end = self.deployment.seconds * 1000 + SETTLE_MS
        self._beat(end)
        self.loop.run(end)
        return self._result()

    def _beat(self, end: float) -> None:
        self.pump()
        if self.loop.now + BEAT_MS < end:
            self.loop.after(BEAT_MS, lambda: self._beat(end))

    def _result(self) -> Play:
        span = self.deployment.seconds * 1000 * len(self.engines)
        engines = self.engines.values()
        self.tally.reading_share = sum(e.reading_ms for e in engines) / span
        self.tally.busy_share = sum(e.busy_ms for e in engines) / span
        self.tally.preempted = sum(e.preempted for e in engines)
        self.tally.shared_tokens_read = sum(
            e.shared_tokens_read for e in engines
        )
        credits = count(self.records, self.deployment.tokens_per_s)
        return Play(self.seed, credits, self.tally, self.records)

    # Requests.

    def _zone_of(self, request: Request) -> int:
        return request.gateway % self.deployment.zones

    def _hop_ms(self, one: int, other: int) -> float:
        same = one == other
        return self.deployment.hop_ms if same else self.deployment.cross_zone_ms

    def _broker_ms(self, attempt: Attempt) -> float:
        return self._hop_ms(self._zone_of(attempt.record.request), 0)

    def _attempt(self, record: Record) -> None:
        record.attempts += 1
        self.numbers += 1
        attempt = Attempt(self.numbers, record, self.loop.now)
        self.attempts[attempt.key] = attempt
        delay = CALLER_MS + HANDLING_MS + self._broker_ms(attempt)
        self.loop.after(delay, lambda: self.ask(attempt))

    def ask(self, attempt: Attempt) -> None:
        """Asks the policy for a place."""
        refused = self.policy.submit(self._to_ask(attempt), self.loop.now)
        if refused is not None:
            self._tell_refusal(attempt, refused)
        self.pump()

    def _to_ask(self, attempt: Attempt) -> PlacementRequest:
        request = attempt.record.request
        kind = request.kind
        arrived = attempt.began_at + CALLER_MS
        return PlacementRequest(
            key=attempt.key,
            workspace=request.workspace,
            parts=request.parts,
            output_tokens=request.most_tokens,
            first_token_due_at=arrived + kind.objective_ms,
            deadline_at=request.at + kind.deadline_ms,
            submitted_at=self.loop.now,
        )

    def pump(self) -> None:
        """Carries out what the policy decides now."""
        now = self.loop.now
        for told in [*self.policy.expire(now), *self.policy.dispatch(now)]:
            attempt = self.attempts.get(told.key)
            if attempt is None or attempt.is_over:
                self.policy.finish(told.key)
            elif isinstance(told, PlacementRefusal):
                self._tell_refusal(attempt, told)
            else:
                self._send(attempt, told)

    def _tell_refusal(
        self, attempt: Attempt, refused: PlacementRefusal
    ) -> None:
        self.tally.refused += 1
        attempt.is_over = True
        self.attempts.pop(attempt.key, None)
        record = attempt.record
        request = record.request
        record.outcome = Outcome.REFUSED
        way = self._broker_ms(attempt) + CALLER_MS
        most = request.kind.retries * (3 if request.is_impatient else 1)
        left = request.at + request.kind.deadline_ms - self.loop.now
        if record.attempts > most or left <= 0:
            return
        spread = 1 + RETRY_SPREAD * (self.rng.random() - 0.5)
        wait = min(refused.retry_after_ms * spread, left * PATIENCE_SHARE)
        if request.is_impatient:
            wait = 0.0
        self.loop.after(way + wait, lambda: self._attempt(record))

    def _send(self, attempt: Attempt, granted: PlacementGrant) -> None:
        request = attempt.record.request
        engine = self.engines[granted.endpoint]
        attempt.engine = engine
        run = ModelRun(attempt.key, request.parts, request.output_tokens)
        attempt.run = run
        self.by_run[id(run)] = attempt
        engine_zone = self.zones[engine.name]
        gateway_zone = self._zone_of(request)
        if engine_zone != gateway_zone:
            self.tally.cross_zone_mb += request.kind.body_kb / 1000
        delay = self._broker_ms(attempt) + self._hop_ms(
            gateway_zone, engine_zone
        )
        if granted.fetch_from:
            delay += self._fetch(run, engine, granted.fetch_from)
        self.loop.after(delay, lambda: self._arrive(attempt, run, engine))
        self.loop.at(
            request.at + request.kind.deadline_ms,
            lambda: self._give_up(attempt),
        )

    def _fetch(self, run: ModelRun, engine: ModelEngine, source: str) -> float:
        there = self.engines[source].memory.leading_tokens(run.shared)
        here = engine.memory.leading_tokens(run.shared)
        if there <= here:
            return 0.0
        tokens = there - here
        size = tokens * engine.speeds.token_bytes
        self.tally.fetched_gb += size / 1e9
        kept = []
        for part in run.shared:
            if part.digest not in self.engines[source].memory.parts:
                break
            kept.append(part)
        engine.memory.hold(kept)
        engine.memory.release(kept)
        return engine.speeds.fetch_ms(tokens)

    def _arrive(
        self, attempt: Attempt, run: ModelRun, engine: ModelEngine
    ) -> None:
        if attempt.is_over:
            return
        if engine.name in self.down:
            self.end(attempt, Outcome.FAILED)
            return
        engine.submit(run, self.loop.now)

    def _give_up(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            attempt.engine.cancel(attempt.run)
            self.end(attempt, Outcome.FAILED)

    def _on_event(self, run: ModelRun, now: float) -> None:
        attempt = self.by_run[id(run)]
        record = attempt.record
        if attempt.last_event_at:
            gap = now - attempt.last_event_at
            record.gap_ms = max(record.gap_ms, gap)
        else:
            record.first_ms = now - record.request.at
            way = self._broker_ms(attempt) + self.deployment.hop_ms
            self.loop.after(way, lambda: self._first_token(attempt))
        attempt.last_event_at = now

    def _first_token(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            self.policy.record_first_token(attempt.key, self.loop.now)
            self.pump()

    def _on_end(self, run: ModelRun, now: float) -> None:
        attempt = self.by_run.pop(id(run))
        kind = attempt.record.request.kind
        if attempt.record.first_ms > kind.objective_ms:
            outcome = Outcome.LATE_FIRST
        elif attempt.record.gap_ms > kind.gap_ms:
            outcome = Outcome.LATE_GAP
        else:
            outcome = Outcome.ON_TIME
        self.end(attempt, outcome)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt for good."""
        attempt.is_over = True
        attempt.record.outcome = outcome
        way = self._broker_ms(attempt) + self.deployment.hop_ms
        self.loop.after(way, lambda: self._tell_end(attempt))

    def _tell_end(self, attempt: Attempt) -> None:
        self.attempts.pop(attempt.key, None)
        self.policy.finish(attempt.key)
        self.pump()


def play(deployment: Deployment, policy: str, seed: int) -> Play:
    """Plays one seed."""
    return Simulation(deployment, policy, seed).play()
