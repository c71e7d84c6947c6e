"""A small event model that drives the real scheduler and two baselines.

Engines with slots, entries with queues, costs with a heavy tail, rough
hints, totals that arrive late. No network, no processes: what is measured
here is the decision alone; bench/fleet_load.py measures the processes.
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
"""One slot's rate."""
PROMPTS = 6
"""Prompts that each workspace uses again and again."""
CACHED_PROMPTS = 24
"""How many prompts an engine's cache holds."""
PREFILL_SECONDS = 2.0
"""What a prompt that is not in the cache costs a slot."""
CHARGE_SECONDS = 0.25
"""How often a running request's tokens are charged in the model."""


WARM_SECONDS = 60.0
"""Until then no workspace's average cost is known, and all begin at once."""


@dataclass
class Request:
    """One request; its cost is known only when it ends."""

    workspace: str
    cost: float
    arrived: float
    prefix: str = ""
    started: float = -1.0
    ended: float = -1.0


@dataclass
class Scenario:
    """What is served, by whom, and what happens.

    Attributes:
        backlog: Requests that each workspace keeps waiting; 0 for the
            counter, which sends one at a time.
        engine_lost_at: One engine is lost then; 0 for never.
        staleness: Seconds between exchanges of totals.
    """

    name: str
    engines: int
    slots: int = 8
    entries: int = 3
    workspaces: int = 15
    seconds: float = 540.0
    max_cost: float = 4000.0
    staleness: float = 0.5
    flood: bool = True
    engine_lost_at: float = 270.0
    policy: FairnessPolicy = field(default_factory=FairnessPolicy)
    seed: int = 7


@dataclass
class Outcome:
    """What a run came to."""

    worst_gap: float
    warm_gap: float
    utilisation: float
    counter_p50: float
    counter_p95: float


COUNTER = "w0"
"""The small workspace whose waiting time is measured."""


class Model:
    """Shared parts of the three ways to choose."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.names = [f"w{n}" for n in range(scenario.workspaces)]
        self.flooder = self.names[-1]
        self.queues = [
            {name: deque() for name in self.names}
            for _ in range(scenario.entries)
        ]
        self.free = [scenario.slots] * scenario.engines
        self.up = [True] * scenario.engines
        self.served = dict.fromkeys(self.names, 0.0)
        self.running = {}
        self.counter_waits = []
        self.busy = 0.0
        self.possible = 0.0
        self.worst_gap = 0.0
        self.warm_gap = 0.0
        self.accounted = 0.0

    # Events.

    def at(self, delay, action, *arguments):
        heapq.heappush(
            self.events,
            (self.now + delay, next(self.order), action, arguments),
        )

    def run(self):
        self.arrivals()
        if self.scenario.engine_lost_at:
            self.at(self.scenario.engine_lost_at, self.lose_engine)
        self.at(CHARGE_SECONDS, self.charge_all)
        self.begin()
        while self.events and self.now < self.scenario.seconds:
            when, _, action, arguments = heapq.heappop(self.events)
            self.account(when)
            self.now = when
            action(*arguments)
            self.dispatch()
        waits = sorted(self.counter_waits) or [0.0]
        return Outcome(
            self.worst_gap,
            self.warm_gap,
            self.busy / self.possible if self.possible else 1.0,
            waits[len(waits) // 2],
            waits[int(len(waits) * 0.95)],
        )

    def begin(self):
        """Starts what one way needs besides."""

    # Load.

    def cost(self):
        """A heavy tail: most are short, some are a hundred times longer."""
        tail = self.rng.paretovariate(1.2) * 60.0
        return min(self.scenario.max_cost, tail)

    def arrivals(self):
        # Large workspaces sit at one entry more than at others.
        for place, name in enumerate(self.names[1:], start=1):
            deep = 400 if name == self.flooder and self.scenario.flood else 12
            for n in range(deep):
                entry = place if n % 3 else n
                self.add(name, entry % self.scenario.entries)
        self.at(1.0, self.counter_arrives)

    def add(self, name, entry):
        prefix = f"{name} prompt {self.rng.randrange(PROMPTS)}"
        request = Request(name, self.cost(), self.now, prefix)
        self.queues[entry][name].append(request)
        self.on_queued(name, entry)

    def counter_arrives(self):
        request = Request(COUNTER, 100.0, self.now)
        entry = self.rng.randrange(self.scenario.entries)
        self.queues[entry][COUNTER].append(request)
        self.on_queued(COUNTER, entry)
        self.at(self.rng.uniform(1.0, 3.0), self.counter_arrives)

    def on_queued(self, name, entry):
        """Tells the way that something waits."""

    # Serving.

    def start(self, engine, entry, name):
        request = self.queues[entry][name].popleft()
        request.started = self.now
        if name == COUNTER:
            self.counter_waits.append(self.now - request.arrived)
        else:
            self.add(name, entry)
        self.free[engine] -= 1
        key = next(self.order)
        self.running[key] = [request, engine, entry, 0.0]
        seconds = request.cost / TOKENS_PER_SECOND
        self.at(seconds + self.prefill(engine, request), self.end, key)

    def prefill(self, engine, request):
        """Returns the seconds before the first token; none in this model."""
        return 0.0

    def end(self, key):
        run = self.running.pop(key, None)
        if run is None:
            return
        self.charge(run, run[0].cost - run[3])
        self.free[run[1]] += 1
        self.on_ended(run)

    def on_ended(self, run):
        """Tells the way that a slot is free."""

    def charge(self, run, amount):
        run[3] += amount
        self.served[run[0].workspace] += amount
        self.on_charged(run, amount)

    def on_charged(self, run, amount):
        """Tells the way of service given."""

    def charge_all(self):
        step = CHARGE_SECONDS * TOKENS_PER_SECOND
        for run in self.running.values():
            self.charge(run, min(step, run[0].cost - run[3]))
        self.note_gap()
        self.at(CHARGE_SECONDS, self.charge_all)

    def lose_engine(self):
        """What ran on it is run again; it was paid for already."""
        self.up[0] = False
        self.free[0] = 0
        for key, run in list(self.running.items()):
            if run[1] == 0:
                del self.running[key]
                self.queues[run[2]][run[0].workspace].appendleft(run[0])
                self.on_queued(run[0].workspace, run[2])

    def dispatch(self):
        """Starts what may start now."""
        raise NotImplementedError

    # Measures.

    def note_gap(self):
        levels = [self.served[n] for n in self.names if n != COUNTER]
        gap = max(levels) - min(levels)
        self.worst_gap = max(self.worst_gap, gap)
        if self.now > WARM_SECONDS:
            self.warm_gap = max(self.warm_gap, gap)

    def account(self, when):
        """Busy slots against those a single queue would keep busy."""
        passed = when - self.accounted
        self.accounted = when
        slots = sum(self.up) * self.scenario.slots
        waiting = sum(len(q) for queue in self.queues for q in queue.values())
        self.busy += passed * len(self.running)
        self.possible += passed * min(slots, len(self.running) + waiting)


class FirstCome(Model):
    """Baseline 1: round robin to engines, first come first served there."""

    def begin(self):
        self.lines = [deque() for _ in self.free]
        self.turn = itertools.cycle(range(len(self.free)))
        for entry, queue in enumerate(self.queues):
            for name, items in queue.items():
                for _ in items:
                    self.on_queued(name, entry)

    def on_queued(self, name, entry):
        if not hasattr(self, "lines"):
            return
        engine = next(self.turn)
        while not self.up[engine]:
            engine = next(self.turn)
        self.lines[engine].append((entry, name))

    def lose_engine(self):
        super().lose_engine()
        for item in self.lines[0]:
            self.on_queued(item[1], item[0])
        self.lines[0].clear()

    def dispatch(self):
        for engine, line in enumerate(self.lines):
            while self.free[engine] > 0 and line:
                entry, name = line.popleft()
                self.start(engine, entry, name)


class EntryFair(Model):
    """Baseline 2: each entry is fair by its own counts, and sends on."""

    def begin(self):
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


class Shared(Model):
    """The fleet's own scheduler at each agent, with shared totals."""

    def begin(self):
        policy = self.scenario.policy
        self.agents = [
            FairScheduler(
                Totals(f"agent-{n}"), f"z{n % 3}", lambda _: 1.0, policy
            )
            for n in range(len(self.free))
        ]
        self.entries = [Totals(f"entry-{n}") for n in range(len(self.queues))]
        self.links = {
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
        """What offers carry: backlogs now, totals as of the last time."""
        for (a, e), (agent_link, entry_link) in self.links.items():
            entry_link.apply_delta(agent_link.make_delta())
            agent_link.apply_delta(entry_link.make_delta())
            self.tell(a, e)
        self.at(self.scenario.staleness, self.exchange)

    def tell(self, a, e):
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
                self.tell(a, entry)

    def warm_at(self, agent):
        """Returns which prompts an agent takes for warm; here none."""
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


class Cached(Shared):
    """Shared, before engines that keep prompts in a limited cache."""

    def begin(self):
        self.caches = [PrefixHistory(CACHED_PROMPTS) for _ in self.free]
        self.hits = 0
        self.runs = 0
        super().begin()

    def warm_at(self, agent):
        return self.caches[agent].is_warm

    def prefill(self, engine, request):
        cache = self.caches[engine]
        self.runs += 1
        is_hit = cache.is_warm(request.prefix)
        cache.record_run(request.prefix)
        self.hits += is_hit
        return 0.0 if is_hit else PREFILL_SECONDS


def bound(scenario):
    """(N L + unseen) / share, plus the slack of the knobs."""
    slots = scenario.engines * scenario.slots
    unseen = scenario.staleness * slots * TOKENS_PER_SECOND
    slack = scenario.policy.prefix_slack + scenario.policy.zone_slack
    return slots * scenario.max_cost + unseen + slack
