"""Simulates a deployment under load: callers, gateways, broker and engines.

Messages take the latency of the hops between zones, so the broker decides on
state that is as old as in a real fleet.
"""

import random
from collections.abc import Callable

from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
)
from marjoramyard.standin.experiment.crashing import CrashingRequests
from marjoramyard.standin.experiment.deployments import Deployment
from marjoramyard.standin.experiment.disturbances import schedule
from marjoramyard.standin.experiment.engine_model import (
    SimulatedEngine,
    SimulatedRequest,
)
from marjoramyard.standin.experiment.event_loop import EventLoop
from marjoramyard.standin.experiment.policies import POLICIES, Policy
from marjoramyard.standin.experiment.scoring import (
    Outcome,
    RequestRecord,
    score_run,
)
from marjoramyard.standin.experiment.shedding import Shedding
from marjoramyard.standin.experiment.simulation_run import (
    Attempt,
    ResourceUsage,
    SimulationRun,
)
from marjoramyard.standin.experiment.workloads import Request, Workload

CALLER_HOP_MS = 1.0
"""One-way latency between a caller and its gateway."""
GATEWAY_PROCESSING_MS = 1.0
"""Time that a gateway spends on a request before it asks the broker."""
DISPATCH_INTERVAL_MS = 100.0
"""Interval at which the broker dispatches and expires requests."""
DETECTION_MS = 100.0
"""Delay until the policy learns of an engine's crash or restart."""
DRAIN_MS = 20_000.0
"""Time simulated after the last arrival."""
RETRY_JITTER = 0.5
"""Width of the jitter of retry delays, relative to the delay."""
MIN_EVENTS = 8
"""Events after which a gateway reports the longest gap of a stream."""
MAX_SENDS = 2
"""How often a gateway sends an attempt that engines turn away."""
TURNED_AWAY_RETRY_MS = 400.0
"""The retry delay of a caller whose request engines have turned away."""
MAX_RETRY_WAIT_SHARE = 1 / 3
"""Upper limit of a retry delay, relative to the time until the deadline."""


class Simulation:
    """One run of a deployment under a placement policy.

    Attributes:
        attempts: Attempts whose end the broker does not know yet, by key.
        by_engine_request: Attempts by the id of their request at an engine.
        zones: Zone of each engine. The broker is in zone 0.
        down: Engines that have crashed.
        shedding: Engines that turn requests away, and gateways' pauses.
        crashing: Requests that crash engines, and what is refused for it.
        on_sent: Called with each attempt whose engine has been chosen.
    """

    def __init__(self, deployment: Deployment, policy: str, seed: int):
        self.deployment = deployment
        self.policy_name = policy
        self.rng = random.Random(seed + 1)
        self.loop = EventLoop()
        self.seed = seed
        self.attempt_count = 0
        self.records = [
            RequestRecord(request)
            for request in Workload(deployment, seed).requests()
        ]
        self.attempts: dict[str, Attempt] = {}
        self.by_engine_request: dict[int, Attempt] = {}
        self.engines = {
            f"e{number}": SimulatedEngine(
                f"e{number}",
                deployment.speeds,
                self.loop.at,
                self._on_event,
                self._on_end,
                deployment.step_factors[number % len(deployment.step_factors)],
            )
            for number in range(deployment.engines)
        }
        self.zones = {
            name: number % deployment.zones
            for number, name in enumerate(self.engines)
        }
        self.down: set[str] = set()
        self.shedding = Shedding(self.rng)
        self.usage = ResourceUsage()
        self.crashing = CrashingRequests(self)
        self.policy = self.new_policy()
        self.on_sent: Callable[[Attempt], None] = lambda _: None

    def new_policy(self) -> Policy:
        """Returns a policy without state beyond the usable engines."""
        policy = POLICIES.get(self.policy_name)(self.deployment, self.rng)
        policy.set_engines(
            name for name in self.engines if name not in self.down
        )
        return policy

    def run(self) -> SimulationRun:
        """Runs the simulation to its end and returns the result."""
        for record in self.records:
            self.loop.at(
                record.request.arrival_ms,
                lambda record=record: self.start_attempt(record),
            )
        for disturbance in self.deployment.disturbances:
            schedule(self, disturbance)
        end = self.deployment.seconds * 1000 + DRAIN_MS
        self._tick(end)
        self.loop.run(end)
        return self._result()

    def _tick(self, end: float) -> None:
        self.dispatch()
        if self.loop.now + DISPATCH_INTERVAL_MS < end:
            self.loop.after(DISPATCH_INTERVAL_MS, lambda: self._tick(end))

    def _result(self) -> SimulationRun:
        engine_ms = self.deployment.seconds * 1000 * len(self.engines)
        engines = self.engines.values()
        self.usage.prefill_utilisation = (
            sum(e.prefill_ms for e in engines) / engine_ms
        )
        self.usage.utilisation = sum(e.busy_ms for e in engines) / engine_ms
        self.usage.engine_deaths = self.crashing.deaths
        self.usage.preemptions = sum(e.preemptions for e in engines)
        self.usage.shared_prefilled_tokens = sum(
            e.shared_prefilled_tokens for e in engines
        )
        scores = score_run(self.records, self.deployment.tokens_per_s)
        return SimulationRun(self.seed, scores, self.usage, self.records)

    # Requests.

    def _zone_of(self, request: Request) -> int:
        return request.gateway % self.deployment.zones

    def _hop_ms(self, zone: int, other_zone: int) -> float:
        is_same = zone == other_zone
        return (
            self.deployment.hop_ms if is_same else self.deployment.cross_zone_ms
        )

    def _broker_ms(self, attempt: Attempt) -> float:
        return self._hop_ms(self._zone_of(attempt.record.request), 0)

    def start_attempt(self, record: RequestRecord) -> None:
        """Starts an attempt of a caller, unless it is refused at once."""
        record.attempts += 1
        if self.crashing.is_refused(record.request):
            self.usage.quarantined += 1
            record.outcome = Outcome.REFUSED
            return
        self.attempt_count += 1
        attempt = Attempt(self.attempt_count, record, self.loop.now)
        self.attempts[attempt.key] = attempt
        delay = CALLER_HOP_MS + GATEWAY_PROCESSING_MS + self._broker_ms(attempt)
        self.loop.after(delay, lambda: self.submit(attempt))

    def _submit_again(self, attempt: Attempt, excluded: str) -> None:
        """Asks for another engine, after the gateway has learnt why."""
        self.attempts.pop(attempt.key, None)
        self.attempt_count += 1
        attempt.renumber(self.attempt_count)
        attempt.excluded |= {excluded}
        self.attempts[attempt.key] = attempt
        delay = self._broker_ms(attempt)
        self.loop.after(delay, lambda: self.submit(attempt))

    def submit(self, attempt: Attempt) -> None:
        """Submits an attempt to the policy."""
        refusal = self.policy.submit(
            self._placement_request(attempt), self.loop.now
        )
        if refusal is not None:
            self._on_refusal(attempt, refusal)
        self.dispatch()

    def _placement_request(self, attempt: Attempt) -> PlacementRequest:
        request = attempt.record.request
        kind = request.kind
        arrived = attempt.started_at + CALLER_HOP_MS
        return PlacementRequest(
            key=attempt.key,
            workspace=request.workspace,
            parts=request.parts,
            output_tokens=request.max_output_tokens,
            first_token_due_at=arrived + kind.objective_ms,
            deadline_at=request.arrival_ms + kind.deadline_ms,
            submitted_at=self.loop.now,
            excluded_endpoints=attempt.excluded,
            router=str(request.gateway),
        )

    def dispatch(self) -> None:
        """Carries out the current decisions of the policy."""
        now = self.loop.now
        for decision in [*self.policy.expire(now), *self.policy.dispatch(now)]:
            attempt = self.attempts.get(decision.key)
            if attempt is None or attempt.is_over:
                self.policy.finish(decision.key)
            elif isinstance(decision, PlacementRefusal):
                self._on_refusal(attempt, decision)
            else:
                self._send(attempt, decision)

    def _on_refusal(self, attempt: Attempt, refusal: PlacementRefusal) -> None:
        self.usage.refusals += 1
        attempt.is_over = True
        self.attempts.pop(attempt.key, None)
        record = attempt.record
        request = record.request
        record.outcome = Outcome.REFUSED
        latency_ms = self._broker_ms(attempt) + CALLER_HOP_MS
        max_retries = request.kind.retries * (3 if request.is_impatient else 1)
        remaining_ms = (
            request.arrival_ms + request.kind.deadline_ms - self.loop.now
        )
        if record.attempts > max_retries or remaining_ms <= 0:
            return
        jitter = 1 + RETRY_JITTER * (self.rng.random() - 0.5)
        wait = min(
            refusal.retry_after_ms * jitter, remaining_ms * MAX_RETRY_WAIT_SHARE
        )
        if request.is_impatient:
            wait = 0.0
        self.loop.after(latency_ms + wait, lambda: self.start_attempt(record))

    def _send(self, attempt: Attempt, grant: PlacementGrant) -> None:
        request = attempt.record.request
        engine = self.engines[grant.endpoint]
        attempt.engine = engine
        self.on_sent(attempt)
        engine_request = SimulatedRequest(
            attempt.key,
            request.parts,
            max(1, request.output_tokens - attempt.tokens_made),
        )
        attempt.engine_request = engine_request
        self.by_engine_request[id(engine_request)] = attempt
        engine_zone = self.zones[engine.name]
        gateway_zone = self._zone_of(request)
        if engine_zone != gateway_zone:
            self.usage.cross_zone_mb += request.kind.body_kb / 1000
        delay = self._hop_ms(gateway_zone, engine_zone)
        if grant.fetch_from:
            delay += self._fetch(engine_request, engine, grant.fetch_from)
        self.loop.after(
            self._broker_ms(attempt),
            lambda: self._send_granted(attempt, engine, delay),
        )
        self.loop.at(
            request.arrival_ms + request.kind.deadline_ms,
            lambda: self._time_out(attempt),
        )

    def _send_granted(
        self, attempt: Attempt, engine: SimulatedEngine, delay: float
    ) -> None:
        """Sends a request at its gateway, unless the engine pauses by now."""
        if attempt.is_over:
            return
        gateway = attempt.record.request.gateway
        engine_request = attempt.engine_request
        if self.shedding.is_paused(gateway, engine.name, self.loop.now):
            self.usage.returned_grants += 1
            self._undo_grant(attempt)
            self._submit_again(attempt, engine.name)
            return
        self.loop.after(
            delay, lambda: self._arrive(attempt, engine_request, engine)
        )

    def _undo_grant(self, attempt: Attempt) -> None:
        """Tells the broker that an attempt is not at its engine."""
        self.by_engine_request.pop(id(attempt.engine_request), None)
        attempt.engine_request = None
        key = attempt.key
        delay = self._broker_ms(attempt)
        self.loop.after(delay, lambda: self.policy.finish(key))

    def _fetch(
        self,
        engine_request: SimulatedRequest,
        engine: SimulatedEngine,
        source: str,
    ) -> float:
        source_tokens = self.engines[source].memory.leading_tokens(
            engine_request.shared_parts
        )
        present_tokens = engine.memory.leading_tokens(
            engine_request.shared_parts
        )
        if source_tokens <= present_tokens:
            return 0.0
        tokens = source_tokens - present_tokens
        size = tokens * engine.parameters.token_bytes
        self.usage.fetched_gb += size / 1e9
        cached = []
        for part in engine_request.shared_parts:
            if part.digest not in self.engines[source].memory.parts:
                break
            cached.append(part)
        engine.memory.pin(cached)
        engine.memory.unpin(cached)
        return engine.parameters.fetch_ms(tokens)

    def _arrive(
        self,
        attempt: Attempt,
        engine_request: SimulatedRequest,
        engine: SimulatedEngine,
    ) -> None:
        if attempt.is_over:
            return
        if engine.name in self.down:
            self.finish(attempt, Outcome.FAILED)
            return
        pause_ms = self.shedding.turn_away(engine.name)
        if pause_ms is None:
            engine.submit(engine_request, self.loop.now)
            self.crashing.on_arrival(attempt)
            return
        self.usage.turned_away += 1
        zone = self._zone_of(attempt.record.request)
        self.loop.after(
            self._hop_ms(zone, self.zones[engine.name]),
            lambda: self._on_turned_away(attempt, engine, pause_ms),
        )

    def _on_turned_away(
        self, attempt: Attempt, engine: SimulatedEngine, pause_ms: float
    ) -> None:
        """Records the pause at the gateway, and sends the request elsewhere."""
        gateway = attempt.record.request.gateway
        until = self.loop.now + pause_ms
        if self.policy.honours_pauses:
            self.shedding.pause(gateway, engine.name, until)
            self.loop.after(
                self._broker_ms(attempt),
                lambda: self.policy.pause(str(gateway), engine.name, until),
            )
        if attempt.is_over:
            return
        self._undo_grant(attempt)
        attempt.sends += 1
        if attempt.sends < MAX_SENDS:
            self._submit_again(attempt, engine.name)
        else:
            refusal = PlacementRefusal(attempt.key, TURNED_AWAY_RETRY_MS, 0.0)
            self._on_refusal(attempt, refusal)

    def crash_engine(self, name: str) -> list[Attempt]:
        """Ends an engine; returns the attempts that were running there."""
        self.down.add(name)
        attempts = []
        for request in self.engines[name].crash():
            attempt = self.by_engine_request.pop(id(request), None)
            if attempt is not None:
                attempts.append(attempt)
                self._end_interrupted(attempt, name)
        self.loop.after(DETECTION_MS, self._update_engines)
        return attempts

    def _end_interrupted(self, attempt: Attempt, lost: str) -> None:
        """Resumes a stream whose engine was lost, at its version only."""
        is_resumable = (
            self.deployment.versions > 0
            and attempt.event_count > 0
            and not attempt.record.request.crashes
        )
        if not is_resumable:
            self.finish(attempt, Outcome.FAILED)
            return
        others = self._engines_of_other_versions(lost)
        if not self.engines.keys() - others - self.down:
            self.usage.broken_streams += 1
            self.finish(attempt, Outcome.FAILED)
            return
        self.usage.resumed_streams += 1
        attempt.tokens_made += attempt.engine_request.generated_tokens
        attempt.excluded |= others
        self._undo_grant(attempt)
        self._submit_again(attempt, lost)

    def _engines_of_other_versions(self, name: str) -> frozenset[str]:
        versions = {
            engine: number % self.deployment.versions
            for number, engine in enumerate(self.engines)
        }
        return frozenset(
            engine
            for engine, version in versions.items()
            if version != versions[name]
        )

    def restore_engine(self, name: str) -> None:
        """Starts an engine that has crashed."""
        self.down.discard(name)
        self.loop.after(DETECTION_MS, self._update_engines)

    def _update_engines(self) -> None:
        self.policy.set_engines(
            name for name in self.engines if name not in self.down
        )
        self.dispatch()

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.is_over and attempt.engine_request is not None:
            attempt.engine.cancel(attempt.engine_request)
            self.finish(attempt, Outcome.FAILED)

    def _on_event(self, engine_request: SimulatedRequest, now: float) -> None:
        attempt = self.by_engine_request[id(engine_request)]
        record = attempt.record
        if attempt.last_event_at:
            gap = now - attempt.last_event_at
            record.gap_ms = max(record.gap_ms, gap)
        else:
            record.first_ms = now - record.request.arrival_ms
            latency_ms = self._broker_ms(attempt) + self.deployment.hop_ms
            self.loop.after(latency_ms, lambda: self._first_token(attempt))
        attempt.last_event_at = now
        attempt.event_count += 1

    def _first_token(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            self.policy.record_first_token(attempt.key, self.loop.now)
            self.dispatch()

    def _on_end(self, engine_request: SimulatedRequest, now: float) -> None:
        attempt = self.by_engine_request.pop(id(engine_request))
        kind = attempt.record.request.kind
        if attempt.record.first_ms > kind.objective_ms:
            outcome = Outcome.LATE_FIRST
        elif attempt.record.gap_ms > kind.gap_ms:
            outcome = Outcome.LATE_GAP
        else:
            outcome = Outcome.ON_TIME
        self.finish(attempt, outcome)

    def finish(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt and reports the end to the broker."""
        attempt.is_over = True
        attempt.record.outcome = outcome
        self.crashing.on_end(attempt.record.request, outcome)
        latency_ms = self._broker_ms(attempt) + self.deployment.hop_ms
        self.loop.after(latency_ms, lambda: self._report_end(attempt))

    def _report_end(self, attempt: Attempt) -> None:
        self.attempts.pop(attempt.key, None)
        kind = attempt.record.request.kind
        if attempt.event_count >= MIN_EVENTS:
            self.policy.record_longest_gap(
                attempt.key, attempt.record.gap_ms / kind.gap_ms
            )
        self.policy.finish(attempt.key)
        self.dispatch()


def simulate(deployment: Deployment, policy: str, seed: int) -> SimulationRun:
    """Runs one simulation; all random numbers are drawn from the seed."""
    return Simulation(deployment, policy, seed).run()
