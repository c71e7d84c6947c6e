"""Property tests for the safety and liveness of the replicated log."""

import random
import sys
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import Network  # noqa: E402

_pick = st.integers(0, 9)


def run_random_steps(net, rng, steps):
    """Runs random steps, mostly progress and some faults."""
    for _ in range(steps):
        name = rng.choice(sorted(net.replicas))
        kind = rng.random()
        if kind < 0.35:
            net.deliver(0)
        elif kind < 0.55:
            net.deliver(rng.randrange(60), rng.random() < 0.2)
        elif kind < 0.75:
            net.tick(name, rng.randint(1, 4))
        elif kind < 0.85:
            net.propose()
        elif kind < 0.88:
            net.isolated = {name} if not net.isolated else set()
        elif kind < 0.92 and name not in net.down:
            net.crash(name)
        elif kind < 0.96 and net.down:
            net.restart(rng.choice(sorted(net.down)))
        elif kind < 0.98 and name not in net.down:
            net.replicas[name].compact()
        elif net.messages:
            net.messages.pop(rng.randrange(len(net.messages)))


class ConsensusMachine(RuleBasedStateMachine):
    """Random message faults, partitions, crashes and membership changes.

    Guards against committed entries that are changed or lost.
    """

    def __init__(self):
        super().__init__()
        self.net = Network(3)
        self.learners = []
        self.net.settle(30)

    def name(self, pick):
        names = sorted(self.net.replicas)
        return names[pick % len(names)]

    @rule(pick=_pick, times=st.integers(1, 15))
    def time_passes(self, pick, times):
        self.net.tick(self.name(pick), times)

    @rule(position=st.integers(0, 50), keep=st.booleans())
    def message_arrives(self, position, keep):
        self.net.deliver(position, keep)

    @rule(count=st.integers(1, 20))
    def messages_arrive_in_order(self, count):
        for _ in range(count):
            self.net.deliver(0)

    @rule(position=st.integers(0, 50))
    def message_is_lost(self, position):
        if self.net.messages:
            self.net.messages.pop(position % len(self.net.messages))

    @rule(count=st.integers(1, 5))
    def client_proposes(self, count):
        for _ in range(count):
            self.net.propose()

    @rule(pick=_pick)
    def replica_crashes(self, pick):
        self.net.crash(self.name(pick))

    @rule(pick=_pick)
    def replica_crashes_before_its_sync(self, pick):
        name = self.name(pick)
        if name not in self.net.down:
            self.net.replicas[name].core.tick()
            self.net.process_output(name, crash_before_sync=True)

    @rule(pick=_pick)
    def replica_restarts(self, pick):
        self.net.restart(self.name(pick))

    @rule(pick=_pick)
    def replica_is_isolated(self, pick):
        self.net.isolated = {self.name(pick)}

    @rule()
    def partition_heals(self):
        self.net.isolated = set()

    @rule(pick=_pick)
    def snapshot_is_taken(self, pick):
        name = self.name(pick)
        if name not in self.net.down:
            self.net.replicas[name].compact()

    @rule()
    def learner_joins(self):
        if self.net.created < 6 and self.net.leader() is not None:
            self.learners.append(self.net.add_learner())

    @rule()
    def learner_is_promoted(self):
        if self.learners:
            self.net.promote(self.learners[-1])

    @rule(pick=_pick)
    def voter_is_removed(self, pick):
        leader = self.net.leader()
        if leader and len(leader.core.membership.voters) > 3:
            self.net.remove(self.name(pick))

    @rule(seed=st.integers(0, 10_000), steps=st.integers(20, 120))
    def many_faults_occur(self, seed, steps):
        run_random_steps(self.net, random.Random(seed), steps)

    @rule()
    def faults_end(self):
        self.net.isolated = set()
        self.net.settle(30)

    @invariant()
    def applied_logs_agree(self):
        self.net.check_applied_logs()

    def teardown(self):
        """Checks that once faults end, commits resume and none was lost."""
        self.net.isolated = set()
        for name in list(self.net.down):
            self.net.restart(name)
        self.net.settle(60)
        leader = self.net.leader()
        assert leader is not None
        before = leader.core.commit_index
        self.net.propose()
        self.net.settle(20)
        leader = self.net.leader()
        assert leader.core.commit_index > before
        held = {index: (t, d) for index, t, d in leader.applied}
        assert all(held[i] == v for i, v in self.net.committed.items())


TestConsensus = ConsensusMachine.TestCase
TestConsensus.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None
)


def test_replacing_a_wiped_host_tolerates_the_loss_of_another():
    """Guards against: entries lost when the leader crashes afterwards."""
    net = Network(3)
    net.settle()
    for _ in range(10):
        net.propose()
    net.settle(5)
    lost = next(n for n in net.replicas if n != net.leader().name)
    net.wipe(lost)
    new = net.add_learner()
    net.settle(10)
    assert net.promote(new)
    net.settle(10)
    net.remove(lost)
    net.settle(10)
    net.crash(net.leader().name)
    net.settle(60)
    leader = net.leader()
    assert leader is not None
    held = {index: (t, d) for index, t, d in leader.applied}
    assert all(held[i] == v for i, v in net.committed.items())


def test_a_wiped_replica_ignores_messages_to_its_old_identity():
    """Guards against: a second vote in one term after a disk was lost."""
    net = Network(3)
    net.settle()
    net.wipe("r2")
    fresh = net.add_learner()
    net.messages.clear()
    net.replicas["r0"].core._campaign(pre=False)
    net.process_output("r0")
    asked = [m for m in net.messages if m.receiver == "r2"]
    assert asked
    for envelope in asked:
        net.replicas[fresh].core.receive(envelope)
        net.process_output(fresh)
    assert not [m for m in net.messages if m.sender == fresh]


def test_an_isolated_leader_steps_down_and_confirms_no_read():
    """Guards against: stale reads from a leader that lost its quorum."""
    net = Network(3)
    net.settle()
    old = net.leader()
    net.isolated = {old.name}
    wanted = old.core.request_round()
    net.settle(20)
    assert old.core.role.value != "leader"
    assert old.core.confirmed_round < wanted or old.core.leader == ""
    assert net.leader() is not None
    assert net.leader().name != old.name
