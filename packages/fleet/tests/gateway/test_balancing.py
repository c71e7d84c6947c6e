"""Which prompts an overloaded gateway serves, forwards and refuses."""

import time

import pytest

from marjoramyard.fleet.gateway.balancing import (
    BUSY_SHARE,
    MIN_OWN_LIMIT,
    BalancingPolicy,
    Decision,
    GatewayLoad,
)
from marjoramyard.fleet.gateway.demand import GatewayDemand
from marjoramyard.fleet.gateway.overload import LATE_SECONDS, MIN_LIMIT
from marjoramyard.fleet.util.rates import RateMeter

LATE = 2 * LATE_SECONDS


def load_of(**changes):
    values = {
        "limit": 40.0,
        "active": 30,
        "forwarded": 0,
        "max_forwarded": 100.0,
        "processor_share": 0.2,
        "has_peers": True,
        "is_overloaded": True,
    }
    return GatewayLoad(**(values | changes))


@pytest.fixture
def policy():
    instance = BalancingPolicy()
    instance.on_wake_up(0.0, load_of())
    return instance


def test_a_gateway_with_room_serves_all():
    policy = BalancingPolicy()
    load = load_of(is_overloaded=False, processor_share=0.99)
    policy.on_wake_up(0.0, load)
    assert policy.decide(load, True, True) is Decision.SERVE


def test_a_dominant_workspace_is_forwarded_before_the_limit_is_reached(policy):
    """Guards against a gateway that fills up to its limit and then has no
    processor left to forward.
    """
    assert policy.decide(load_of(), True, True) is Decision.FORWARD
    assert policy.decide(load_of(), True, False) is Decision.SERVE


def test_an_overloaded_gateway_serves_what_its_processor_is_left_for(policy):
    idle = load_of(active=5)
    assert policy.decide(idle, True, True) is Decision.SERVE
    busy = load_of(active=5, processor_share=BUSY_SHARE)
    assert policy.decide(busy, True, True) is Decision.FORWARD


def test_without_peers_all_admitted_prompts_are_served(policy):
    load = load_of(has_peers=False)
    assert policy.decide(load, True, True) is Decision.SERVE
    assert policy.decide(load, False, True) is Decision.REFUSE


def test_other_workspaces_are_served_while_a_dominant_one_is_refused(policy):
    """Guards against a flood that takes the share of others."""
    load = load_of(forwarded=100, max_forwarded=100)
    assert policy.decide(load, True, False) is Decision.SERVE
    assert policy.decide(load, True, True) is Decision.REFUSE
    few = load_of(forwarded=100, max_forwarded=100, active=5)
    assert policy.decide(few, True, True) is Decision.SERVE


def test_prompts_beyond_the_limit_are_forwarded_for_any_workspace(policy):
    assert policy.decide(load_of(), False, False) is Decision.FORWARD


def test_a_late_gateway_serves_fewer_prompts_of_a_dominant_workspace(policy):
    before = policy.own_limit
    policy.on_wake_up(LATE, load_of())
    assert policy.own_limit < before
    for _ in range(20):
        policy.on_wake_up(LATE, load_of(active=0))
    assert policy.own_limit == MIN_OWN_LIMIT
    for _ in range(10):
        policy.on_wake_up(0.0, load_of(processor_share=BUSY_SHARE))
    assert policy.own_limit == MIN_OWN_LIMIT
    for _ in range(10):
        policy.on_wake_up(0.0, load_of())
    assert policy.own_limit > MIN_OWN_LIMIT


@pytest.fixture
def demand():
    instance = GatewayDemand(cores=0.25)
    instance.max_forwarded = 300
    instance.max_outgoing = 350
    instance.processor.measure = lambda: None
    return instance


def test_a_late_gateway_serves_fewer_before_it_forwards_fewer(demand):
    """Guards against a gateway that stops to forward, which is cheap, because
    of the prompts that it serves.
    """
    for _ in range(60):
        demand.limit.enter("large")
    for _ in range(200):
        demand.on_forwarded("large", "p")
    demand.on_wake_up(LATE)
    assert demand.limit.limit < 60
    assert demand.forwarding_limit.limit == float("inf")
    for _ in range(60 - int(MIN_OWN_LIMIT)):
        demand.limit.leave("large")
    demand.on_wake_up(LATE)
    assert demand.forwarding_limit.limit < 200


def test_prompts_of_others_do_not_keep_a_late_gateway_forwarding(demand):
    """Guards against long prompts of other workspaces that keep the limit on
    forwarded prompts from being decreased.
    """
    for _ in range(2 * int(MIN_OWN_LIMIT)):
        demand.limit.enter("other")
    for _ in range(400):
        demand.on_forwarded("large", "p")
    while demand.policy.own_limit > MIN_OWN_LIMIT:
        demand.on_wake_up(LATE)
    assert demand.forwarding_limit.limit == float("inf")
    demand.on_wake_up(LATE)
    assert demand.forwarding_limit.limit < 400


@pytest.mark.parametrize(
    ("cores", "share"), [(0.5, 1.6), (1.0, 0.8), (4.0, 0.8)]
)
def test_an_event_loop_uses_one_core_at_the_most(demand, cores, share):
    """Guards against a large gateway that takes itself for nearly idle."""
    demand.cores = cores
    demand.processor.rate = 0.8
    assert demand.processor_share == share


def test_a_gateway_without_processor_cores_has_a_processor_share(demand):
    """Guards against requests that fail because of the settings."""
    demand.cores = 0.0
    demand.processor.rate = 0.5
    assert demand.processor_share > 1.0
    assert demand.decide("large", has_peers=True) is Decision.SERVE


def test_forwarded_and_served_prompts_share_the_connections(demand):
    """Guards against running out of file descriptors: a served prompt needs a
    connection to an endpoint, a forwarded one to a peer.
    """
    for _ in range(100):
        demand.limit.enter("large")
    assert demand.load(True).max_forwarded == 250
    for _ in range(250):
        demand.on_forwarded("large", "p")
    assert not demand.load(True).can_forward


def test_forwarded_prompts_leave_callers_their_connections(demand):
    """Guards against running out of file descriptors: a forwarded prompt keeps
    its caller's connection, which is not free for another caller.
    """
    free = 2
    demand.free_callers = lambda: free - demand.forwarding_limit.total
    demand.on_forwarded("large", "p")
    assert demand.load(True).can_forward
    demand.on_forwarded("large", "p")
    assert not demand.load(True).can_forward


def test_a_workspace_is_dominant_by_its_forwarded_prompts_too(demand):
    """Guards against a flood that no longer counts as one once it is
    forwarded.
    """
    demand.limit.enter("small")
    demand.limit.enter("large")
    for _ in range(int(MIN_LIMIT)):
        demand.on_forwarded("large", "p")
    forwarded = demand.forwarding_limit.active
    assert demand.limit.is_dominant("large", forwarded)
    assert not demand.limit.is_dominant("small", forwarded)
    for _ in range(int(MIN_LIMIT)):
        demand.on_ended("large")
    assert not demand.limit.is_dominant("large", forwarded)


SERVICE_SECONDS = 0.006
FORWARDING_SECONDS = 0.001
REFUSAL_SECONDS = 0.0001
DURATION_SECONDS = 1.0
"""How long a prompt is in progress; its processor time is spread over it."""
TICK_SECONDS = 0.01
WAKE_UP_TICKS = 5


class SmallGateway:
    """A model of a small gateway that one workspace floods.

    Work that exceeds its processor is left for later, which makes its event
    loop late.

    Attributes:
        cores: Its processor cores.
        left_over: Seconds of processor time that are still to be done.
        running: The ends of prompts in progress, by whether they are served.
    """

    def __init__(self, cores=0.25, has_peers=True):
        self.clock = 0.0
        self.has_peers = has_peers
        self.demand = GatewayDemand(cores)
        self.demand.max_forwarded = 300
        self.demand.max_outgoing = 350
        self.cores = cores
        self.left_over = 0.0
        self.used = 0.0
        self.running = {True: [], False: []}
        self.results = dict.fromkeys(Decision, 0)
        self.demand.processor = self.meter(lambda: self.used)
        self.demand.excess = self.meter(lambda: self.demand.beyond_count)

    def meter(self, read_total):
        return RateMeter(read_total, 0.3, lambda: self.clock)

    def run(self, seconds, prompts_per_second):
        """Returns the decisions on the prompts of the time."""
        self.results = dict.fromkeys(Decision, 0)
        due = 0.0
        for tick in range(round(seconds / TICK_SECONDS)):
            self.clock += TICK_SECONDS
            self.end_prompts()
            due += prompts_per_second * TICK_SECONDS
            while due >= 1.0:
                due -= 1.0
                self.start_prompt()
            self.work()
            if tick % WAKE_UP_TICKS == 0:
                self.demand.on_wake_up(self.left_over / self.cores)
        return self.results

    def start_prompt(self):
        decision = self.demand.decide("large", self.has_peers)
        self.results[decision] += 1
        end = self.clock + DURATION_SECONDS
        if decision is Decision.SERVE:
            self.demand.limit.enter("large")
            self.running[True].append(end)
        elif decision is Decision.FORWARD:
            self.demand.on_forwarded("large", "p")
            self.running[False].append(end)
        else:
            self.demand.note_excess()
            self.left_over += REFUSAL_SECONDS

    def end_prompts(self):
        for is_served, ends in self.running.items():
            while ends and ends[0] <= self.clock:
                ends.pop(0)
                limit = self.demand.limit
                (limit.leave if is_served else self.demand.on_ended)("large")

    def work(self):
        share = TICK_SECONDS / DURATION_SECONDS
        self.left_over += len(self.running[True]) * SERVICE_SECONDS * share
        self.left_over += len(self.running[False]) * FORWARDING_SECONDS * share
        done = min(self.left_over, self.cores * TICK_SECONDS)
        self.left_over -= done
        self.used += done


@pytest.fixture
def model(monkeypatch):
    def build(**options):
        gateway = SmallGateway(**options)
        monkeypatch.setattr(time, "monotonic", lambda: gateway.clock)
        return gateway

    return build


def share_refused(results):
    return results[Decision.REFUSE] / sum(results.values())


@pytest.mark.parametrize("times", [1.5, 3.0, 5.0])
def test_a_flood_of_one_workspace_is_answered_while_peers_have_room(
    model, times
):
    """Guards against the loss of the load of a workspace at one small host
    while the fleet idles.

    Forwarding alone takes five sixths of the processor at five times the load
    that the gateway can serve.
    """
    gateway = model()
    rate = times * gateway.cores / SERVICE_SECONDS
    gateway.run(5.0, rate)
    assert share_refused(gateway.run(20.0, rate)) < 0.05
    assert gateway.left_over / gateway.cores < LATE_SECONDS


def test_a_flood_without_peers_is_served_up_to_the_processor(model):
    gateway = model(has_peers=False)
    capacity = gateway.cores / SERVICE_SECONDS
    gateway.run(10.0, 3 * capacity)
    results = gateway.run(20.0, 3 * capacity)
    assert results[Decision.FORWARD] == 0
    assert results[Decision.SERVE] > 0.5 * 20 * capacity


def test_a_gateway_serves_all_again_after_a_flood(model):
    """Guards against forwarding that outlasts its reason."""
    gateway = model()
    capacity = gateway.cores / SERVICE_SECONDS
    gateway.run(10.0, 4 * capacity)
    gateway.run(10.0, 0.3 * capacity)
    results = gateway.run(5.0, 0.3 * capacity)
    assert results[Decision.FORWARD] == 0
    assert results[Decision.REFUSE] == 0


def test_prompts_that_are_read_together_count_before_they_are_handled(demand):
    """Guards against prompts that a gateway wants to serve and then refuses:
    after a pause it reads many of them before it handles the first.
    """
    demand.limit.limit = 20.0
    decisions = []
    for _ in range(30):
        decisions.append(demand.decide("large", has_peers=True))
        if decisions[-1] is Decision.SERVE:
            demand.expect("large")
    assert decisions == [Decision.SERVE] * 20 + [Decision.FORWARD] * 10
    for _ in range(20):
        demand.unexpect("large")
    assert not demand.expected
