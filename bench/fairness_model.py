"""Discrete-event model of the fair scheduler and two baselines.

It has engines with slots, entries with queues, heavy-tailed costs and delayed
totals, but neither network nor processes; bench/fleet_load.py measures a fleet
of processes.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from marjoramyard.coordination.fairness.scheduler import (
    FairnessPolicy,
    FairScheduler,
    OfferRow,
)
from marjoramyard.coordination.fairness.totals import Totals, TotalsSync
from marjoramyard.coordination.serving.prefixes import PrefixHistory

TOKENS_PER_SECOND = 40.0
"""Rate of each slot."""
PROMPTS = 6
"""Number of different prompts of each workspace."""
CACHED_PROMPTS = 24
"""Capacity of an engine's cache in prompts."""
PREFILL_SECONDS = 2.0
"""Time to prefill a prompt that is not cached."""
CHARGE_INTERVAL_SECONDS = 0.25
"""Interval at which the tokens of running requests are charged."""
WARM_UP_SECONDS = 60.0
"""Start-up time in which the average costs of workspaces are unknown."""


@dataclass
class Request:
    """One request; its cost in tokens is unknown to the scheduler."""

    workspace: str
    cost: float
    arrived_at: float
    prefix: str = ""
    started_at: float = -1.0
    ended_at: float = -1.0


@dataclass
class Scenario:
    """Parameters of a run.

    Attributes:
        slots: Slots of each engine.
        seconds: Duration of the run.
        max_cost: Largest cost of a request in tokens.
        sync_interval: Seconds between exchanges of totals.
        overload: Whether one workspace queues far more than the others.
        engine_crash_at: When one engine crashes, in seconds; 0 for never.
    """

    name: str
    engines: int
    slots: int = 8
    entries: int = 3
    workspaces: int = 15
    seconds: float = 540.0
    max_cost: float = 4000.0
    sync_interval: float = 0.5
    overload: bool = True
    engine_crash_at: float = 270.0
    policy: FairnessPolicy = field(default_factory=FairnessPolicy)
    seed: int = 7


@dataclass
class Outcome:
    """Measurements of a run.

    Attributes:
        worst_gap: Largest difference in tokens served to two workspaces.
        warm_gap: The same after the start-up time.
        utilisation: Busy slot time relative to what a single shared queue
            would achieve.
        probe_wait_p50: Median wait of the probe workspace in seconds.
        probe_wait_p95: 95th percentile of those waits.
    """

    worst_gap: float
    warm_gap: float
    utilisation: float
    probe_wait_p50: float
    probe_wait_p95: float


PROBE = "w0"
"""The workspace with low load whose waits are measured."""


class Model:
    """Base of the models: events, load, service and measurements."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.now = 0.0
        self.events = []
        self.event_numbers = itertools.count()
        self.names = [f"w{n}" for n in range(scenario.workspaces)]
        self.overloading = self.names[-1]
        self.queues = [
            {name: deque() for name in self.names}
            for _ in range(scenario.entries)
        ]
        self.free = [scenario.slots] * scenario.engines
        self.up = [True] * scenario.engines
        self.served = dict.fromkeys(self.names, 0.0)
        self.running = {}
        self.probe_waits = []
        self.busy = 0.0
        self.possible = 0.0
        self.worst_gap = 0.0
        self.warm_gap = 0.0
        self.recorded_until = 0.0

    # Events.

    def schedule(self, delay, action, *arguments):
        heapq.heappush(
            self.events,
            (self.now + delay, next(self.event_numbers), action, arguments),
        )

    def run(self):
        self.fill_queues()
        if self.scenario.engine_crash_at:
            self.schedule(self.scenario.engine_crash_at, self.crash_engine)
        self.schedule(CHARGE_INTERVAL_SECONDS, self.charge_all)
        self.set_up()
        while self.events and self.now < self.scenario.seconds:
            when, _, action, arguments = heapq.heappop(self.events)
            self.record_utilisation(when)
            self.now = when
            action(*arguments)
            self.dispatch()
        waits = sorted(self.probe_waits) or [0.0]
        return Outcome(
            self.worst_gap,
            self.warm_gap,
            self.busy / self.possible if self.possible else 1.0,
            waits[len(waits) // 2],
            waits[int(len(waits) * 0.95)],
        )

    def set_up(self):
        """Prepares the state of a model."""

    # Load.

    def draw_cost(self):
        """Draws a cost from a heavy-tailed distribution."""
        tail = self.rng.paretovariate(1.2) * 60.0
        return min(self.scenario.max_cost, tail)

    def fill_queues(self):
        # Each workspace sends most of its requests to one entry.
        for index, name in enumerate(self.names[1:], start=1):
            depth = (
                400
                if name == self.overloading and self.scenario.overload
                else 12
            )
            for n in range(depth):
                entry = index if n % 3 else n
                self.add(name, entry % self.scenario.entries)
        self.schedule(1.0, self.on_probe_arrival)

    def add(self, name, entry):
        prefix = f"{name} prompt {self.rng.randrange(PROMPTS)}"
        request = Request(name, self.draw_cost(), self.now, prefix)
        self.queues[entry][name].append(request)
        self.on_queued(name, entry)

    def on_probe_arrival(self):
        request = Request(PROBE, 100.0, self.now)
        entry = self.rng.randrange(self.scenario.entries)
        self.queues[entry][PROBE].append(request)
        self.on_queued(PROBE, entry)
        self.schedule(self.rng.uniform(1.0, 3.0), self.on_probe_arrival)

    def on_queued(self, name, entry):
        """Called when a request was queued."""

    # Serving.

    def start(self, engine, entry, name):
        request = self.queues[entry][name].popleft()
        request.started_at = self.now
        if name == PROBE:
            self.probe_waits.append(self.now - request.arrived_at)
        else:
            self.add(name, entry)
        self.free[engine] -= 1
        key = next(self.event_numbers)
        self.running[key] = [request, engine, entry, 0.0]
        seconds = request.cost / TOKENS_PER_SECOND
        self.schedule(seconds + self.prefill(engine, request), self.end, key)

    def prefill(self, engine, request):
        """Returns the seconds before the first token; 0 in this model."""
        return 0.0

    def end(self, key):
        run = self.running.pop(key, None)
        if run is None:
            return
        self.charge(run, run[0].cost - run[3])
        self.free[run[1]] += 1
        self.on_ended(run)

    def on_ended(self, run):
        """Called when a request has ended and its slot is free."""

    def charge(self, run, amount):
        run[3] += amount
        self.served[run[0].workspace] += amount
        self.on_charged(run, amount)

    def on_charged(self, run, amount):
        """Called when service was charged to a workspace."""

    def charge_all(self):
        step = CHARGE_INTERVAL_SECONDS * TOKENS_PER_SECOND
        for run in self.running.values():
            self.charge(run, min(step, run[0].cost - run[3]))
        self.record_gap()
        self.schedule(CHARGE_INTERVAL_SECONDS, self.charge_all)

    def crash_engine(self):
        """Requeues the requests of an engine; their charges stay."""
        self.up[0] = False
        self.free[0] = 0
        for key, run in list(self.running.items()):
            if run[1] == 0:
                del self.running[key]
                self.queues[run[2]][run[0].workspace].appendleft(run[0])
                self.on_queued(run[0].workspace, run[2])

    def dispatch(self):
        """Starts the requests that can start now."""
        raise NotImplementedError

    # Measures.

    def record_gap(self):
        service = [self.served[n] for n in self.names if n != PROBE]
        gap = max(service) - min(service)
        self.worst_gap = max(self.worst_gap, gap)
        if self.now > WARM_UP_SECONDS:
            self.warm_gap = max(self.warm_gap, gap)

    def record_utilisation(self, when):
        """Adds busy slot time and what a single shared queue would achieve."""
        elapsed = when - self.recorded_until
        self.recorded_until = when
        slots = sum(self.up) * self.scenario.slots
        queued = sum(len(q) for queue in self.queues for q in queue.values())
        self.busy += elapsed * len(self.running)
        self.possible += elapsed * min(slots, len(self.running) + queued)


class FirstComeFirstServed(Model):
    """Baseline: round robin to engines, each with a FIFO queue."""

    def set_up(self):
        self.engine_queues = [deque() for _ in self.free]
        self.turn = itertools.cycle(range(len(self.free)))
        for entry, queue in enumerate(self.queues):
            for name, items in queue.items():
                for _ in items:
                    self.on_queued(name, entry)

    def on_queued(self, name, entry):
        if not hasattr(self, "engine_queues"):
            return
        engine = next(self.turn)
        while not self.up[engine]:
            engine = next(self.turn)
        self.engine_queues[engine].append((entry, name))

    def crash_engine(self):
        super().crash_engine()
        for item in self.engine_queues[0]:
            self.on_queued(item[1], item[0])
        self.engine_queues[0].clear()

    def dispatch(self):
        for engine, queue in enumerate(self.engine_queues):
            while self.free[engine] > 0 and queue:
                entry, name = queue.popleft()
                self.start(engine, entry, name)


class PerEntryFair(Model):
    """Baseline: each entry is fair by its own counts only."""

    def set_up(self):
        self.counts = [dict.fromkeys(self.names, 0.0) for _ in self.queues]
        self.turn = 0

    def on_charged(self, run, amount):
        self.counts[run[2]][run[0].workspace] += amount

    def dispatch(self):
        for engine in range(len(self.free)):
            while self.free[engine] > 0:
                if not self.start_one(engine):
                    return

    def start_one(self, engine):
        for _ in self.queues:
            self.turn = (self.turn + 1) % len(self.queues)
            queue = self.queues[self.turn]
            ready = [name for name in self.names if queue[name]]
            if ready:
                counts = self.counts[self.turn]
                name = min(ready, key=lambda n: (counts[n], n))
                self.start(engine, self.turn, name)
                return True
        return False


class SharedTotals(Model):
    """The fair scheduler at each agent, with totals shared by the entries."""

    def set_up(self):
        policy = self.scenario.policy
        self.agents = [
            FairScheduler(
                Totals(f"agent-{n}"), f"z{n % 3}", lambda _: 1.0, policy
            )
            for n in range(len(self.free))
        ]
        self.entries = [Totals(f"entry-{n}") for n in range(len(self.queues))]
        self.syncs = {
            (a, e): (
                TotalsSync(agent.totals),
                TotalsSync(entry),
            )
            for a, agent in enumerate(self.agents)
            for e, entry in enumerate(self.entries)
        }
        self.sequence = 0
        self.reserved = {}
        self.exchange()

    def exchange(self):
        """Exchanges totals and offers between all agents and entries."""
        for (a, e), (agent_sync, entry_sync) in self.syncs.items():
            entry_sync.apply_delta(agent_sync.make_delta())
            agent_sync.apply_delta(entry_sync.make_delta())
            self.offer(a, e)
        self.schedule(self.scenario.sync_interval, self.exchange)

    def offer(self, a, e):
        self.sequence += 1
        scheduler = self.agents[a]
        scheduler.record_message(
            f"entry-{e}", f"z{e % 3}", self.sequence, self.now
        )
        rows = [
            OfferRow(n, len(q), q[0].prefix)
            for n, q in self.queues[e].items()
            if q
        ]
        scheduler.replace_offers(f"entry-{e}", rows)

    def on_queued(self, name, entry):
        if hasattr(self, "agents") and len(self.queues[entry][name]) == 1:
            for a in range(len(self.agents)):
                self.offer(a, entry)

    def warm_at(self, agent):
        """Returns which prompts are cached at an agent's engine; none here."""
        return lambda _: False

    def on_charged(self, run, amount):
        self.agents[run[1]].charge(run[0].workspace, amount)

    def on_ended(self, run):
        scheduler = self.agents[run[1]]
        scheduler.release(run[0].workspace, self.reserved.pop(id(run[0])))
        scheduler.record_finish(run[0].workspace, run[0].cost)

    def dispatch(self):
        for a, scheduler in enumerate(self.agents):
            while self.up[a] and self.free[a] > 0:
                choice = scheduler.choose(self.warm_at(a))
                if choice is None:
                    break
                scheduler.record_grant(choice)
                entry = int(choice.entry.partition("-")[2])
                if not self.queues[entry][choice.workspace]:
                    scheduler.withdraw_unused(choice)
                    continue
                request = self.queues[entry][choice.workspace][0]
                reserve = scheduler.record_start(choice.workspace)
                self.reserved[id(request)] = reserve
                self.start(a, entry, choice.workspace)


class CachingEngines(SharedTotals):
    """Shared totals with engines that have a limited prompt cache."""

    def set_up(self):
        self.caches = [PrefixHistory(CACHED_PROMPTS) for _ in self.free]
        self.hits = 0
        self.runs = 0
        super().set_up()

    def warm_at(self, agent):
        return self.caches[agent].is_warm

    def prefill(self, engine, request):
        cache = self.caches[engine]
        self.runs += 1
        is_hit = cache.is_warm(request.prefix)
        cache.record_run(request.prefix)
        self.hits += is_hit
        return 0.0 if is_hit else PREFILL_SECONDS


def gap_bound(scenario):
    """Returns the upper bound of the gap in tokens for equal shares of 1.

    It is the cost of one request in each slot, the service that peers do not
    know of yet and the configured slack.
    """
    slots = scenario.engines * scenario.slots
    unshared = scenario.sync_interval * slots * TOKENS_PER_SECOND
    slack = scenario.policy.prefix_slack + scenario.policy.zone_slack
    return slots * scenario.max_cost + unshared + slack
