"""Safety of the replicated log under any order of faults."""

import random
import sys
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import Network  # noqa: E402

_pick = st.integers(0, 9)


def chaos(net, rng, steps):
    """Makes many small steps, most of them progress, some of them faults."""
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
            net.cut = {name} if not net.cut else set()
        elif kind < 0.92 and name not in net.down:
            net.crash(name)
        elif kind < 0.96 and net.down:
            net.restart(rng.choice(sorted(net.down)))
        elif kind < 0.98 and name not in net.down:
            net.replicas[name].compact()
        elif net.messages:
            net.messages.pop(rng.randrange(len(net.messages)))


class ConsensusMachine(RuleBasedStateMachine):
    """Loss, repetition, reordering, cuts, crashes, restarts, lost disks.

    A caller must never see a committed entry change or vanish, whatever
    happens in whatever order: it is what bundles and the ledger rest on.
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

    @rule(place=st.integers(0, 50), keep=st.booleans())
    def message_arrives(self, place, keep):
        self.net.deliver(place, keep)

    @rule(count=st.integers(1, 20))
    def messages_arrive_in_order(self, count):
        for _ in range(count):
            self.net.deliver(0)

    @rule(place=st.integers(0, 50))
    def message_is_lost(self, place):
        if self.net.messages:
            self.net.messages.pop(place % len(self.net.messages))

    @rule(count=st.integers(1, 5))
    def caller_proposes(self, count):
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
            self.net.pump(name, crash_before_sync=True)

    @rule(pick=_pick)
    def replica_restarts(self, pick):
        self.net.restart(self.name(pick))

    @rule(pick=_pick)
    def replica_is_cut_off(self, pick):
        self.net.cut = {self.name(pick)}

    @rule()
    def cut_heals(self):
        self.net.cut = set()

    @rule(pick=_pick)
    def snapshot_is_taken(self, pick):
        name = self.name(pick)
        if name not in self.net.down:
            self.net.replicas[name].compact()

    @rule()
    def learner_joins(self):
        if self.net.made < 6 and self.net.leader() is not None:
            self.learners.append(self.net.add_learner())

    @rule()
    def learner_gets_a_vote(self):
        if self.learners:
            self.net.promote(self.learners[-1])

    @rule(pick=_pick)
    def voter_is_removed(self, pick):
        leader = self.net.leader()
        if leader and len(leader.core.membership.voters) > 3:
            self.net.remove(self.name(pick))

    @rule(seed=st.integers(0, 10_000), steps=st.integers(20, 120))
    def faults_come_thick_and_fast(self, seed, steps):
        chaos(self.net, random.Random(seed), steps)

    @rule()
    def all_work_undisturbed(self):
        self.net.cut = set()
        self.net.settle(30)

    @invariant()
    def applied_logs_agree(self):
        self.net.check_applied_agree()

    def teardown(self):
        """Once faults end, the log goes on and loses nothing committed."""
        self.net.cut = set()
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


def test_a_wiped_host_replaced_then_a_second_one_lost_loses_nothing():
    """A control host loses its disk and is replaced; another one dies.

    The new host gets a vote only after it has synced all entries, and the
    lost one goes out after that, so the two that remain hold everything.
    """
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


def test_a_wiped_replica_drops_what_is_meant_for_its_old_identity():
    """A host votes, loses its disk, and comes up with an empty folder.

    A candidate of the same term still asks the old identity for its vote.
    Answering would be a second vote in one term, and two leaders.
    """
    net = Network(3)
    net.settle()
    net.wipe("r2")
    fresh = net.add_learner()
    net.messages.clear()
    net.replicas["r0"].core._campaign(pre=False)
    net.pump("r0")
    asked = [m for m in net.messages if m.receiver == "r2"]
    assert asked
    for envelope in asked:
        net.replicas[fresh].core.receive(envelope)
        net.pump(fresh)
    assert not [m for m in net.messages if m.sender == fresh]


def test_a_cut_off_leader_steps_down_and_confirms_no_read():
    """Silent network cut: the leader's host hears nobody.

    Its routers would take its word for the bundle in force. It must get no
    confirmation for a read, and notice by itself that it leads nobody.
    """
    net = Network(3)
    net.settle()
    old = net.leader()
    net.cut = {old.name}
    wanted = old.core.request_round()
    net.settle(20)
    assert old.core.role.value != "leader"
    assert old.core.confirmed_round < wanted or old.core.leader == ""
    assert net.leader() is not None
    assert net.leader().name != old.name
