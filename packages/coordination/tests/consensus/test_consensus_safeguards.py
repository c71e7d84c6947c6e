"""Tests of the individual safety rules of the Raft core."""

import random
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import TIMINGS, Network  # noqa: E402

from marjoramyard.coordination.consensus.core import RaftCore  # noqa: E402
from marjoramyard.coordination.consensus.messages import (  # noqa: E402
    Append,
    AppendReply,
    EntryKind,
    Envelope,
    HardState,
    InstallSnapshot,
    LogEntry,
    Membership,
    Snapshot,
    StoredState,
    VoteReply,
)
from marjoramyard.coordination.consensus.replica import Role  # noqa: E402
from marjoramyard.coordination.consensus.replication import (  # noqa: E402
    RETRY_TICKS,
)

NAMES = ("a", "b", "c")
BASE = Snapshot(1, 1, Membership(NAMES, (), {n: n for n in NAMES}), "")


def make_core(entries=(), term=1, commit=None):
    stored = StoredState(HardState(term), BASE, list(entries))
    core = RaftCore("a", stored, TIMINGS, random.Random(1))
    if commit:
        core.commit_index = core.applied_index = commit
    return core


def entry(index, term, data="x"):
    return LogEntry(index, term, EntryKind.COMMAND, data)


def elect(core):
    core._campaign(pre=False)
    core.receive(Envelope("b", "a", VoteReply(core.term, True)))
    assert core.role is Role.LEADER
    core.take_ready()
    core.mark_synced()


def reply(core, index, sender="b"):
    core.receive(Envelope(sender, "a", AppendReply(core.term, True, index)))


def test_a_replica_that_lacks_committed_entries_is_not_elected():
    """Guards against: a new leader that overwrites committed entries."""
    net = Network(3)
    net.settle()
    leader = net.leader().name
    behind = next(n for n in net.replicas if n != leader)
    net.isolated = {behind}
    for _ in range(5):
        net.propose()
    net.settle(5)
    net.crash(leader)
    net.isolated = set()
    net.settle(60)
    assert net.leader().name != behind
    net.check_applied_logs()


def test_an_entry_of_an_older_term_is_not_committed_by_count():
    """Guards against: applying an entry that a later leader may overwrite.

    An entry of an earlier term is committed only by one of the leader's own.
    """
    core = make_core([entry(2, 2)], term=3)
    elect(core)
    reply(core, 2)
    assert core.commit_index == 1
    reply(core, 3)
    assert core.commit_index == 3


def test_a_duplicate_snapshot_removes_no_acknowledged_entry():
    """Guards against: losing entries acknowledged after the snapshot."""
    core = make_core([entry(n, 1) for n in range(2, 7)], commit=2)
    snapshot = Snapshot(4, 1, BASE.membership, "[]")
    core.receive(Envelope("b", "a", InstallSnapshot(1, snapshot)))
    assert core.log.last_index == 6


def test_a_leader_counts_itself_only_once_it_has_synced():
    """Guards against: committing an entry that is on a single disk."""
    core = make_core()
    elect(core)
    index = core.propose("x")
    core.flush()
    core.take_ready()
    reply(core, index)
    assert core.commit_index < index
    core.mark_synced()
    assert core.commit_index == index


def test_a_learner_that_lacks_entries_is_not_promoted():
    """Guards against: a quorum of voters that lack committed entries."""
    net = Network(3)
    net.settle()
    for _ in range(5):
        net.propose()
    net.settle(5)
    fresh = net.add_learner()
    net.isolated = {fresh}
    net.settle(10)
    assert not net.promote(fresh)
    net.isolated = set()
    net.settle(10)
    assert net.promote(fresh)


def test_a_second_membership_change_waits_for_the_first():
    """Guards against: concurrent changes whose quorums do not overlap."""
    core = make_core()
    elect(core)
    reply(core, core.log.last_index)
    one = core.membership.with_learner("d", "d")
    assert core.change_membership(one.promoted("d")) is not None
    two = core.membership.with_learner("e", "e").promoted("e")
    assert core.change_membership(two) is None
    reply(core, core.log.last_index)
    reply(core, core.log.last_index, "c")
    core.mark_synced()
    two = core.membership.with_learner("e", "e").promoted("e")
    assert core.change_membership(two) is not None


def test_a_replica_that_rejoins_does_not_depose_the_leader():
    """Guards against: terms raised during a partition (no pre-vote)."""
    net = Network(3)
    net.settle()
    leader = net.leader()
    isolated = next(n for n in net.replicas if n != leader.name)
    net.isolated = {isolated}
    net.settle(60)
    term = leader.core.term
    net.isolated = set()
    net.settle(20)
    assert net.leader().core.term == term


def test_a_new_leader_serves_no_read_before_its_own_entry_is_committed():
    """Guards against: stale reads from a new leader."""
    core = make_core([entry(2, 1)])
    elect(core)
    assert not core.can_serve_reads
    reply(core, core.log.last_index)
    assert core.can_serve_reads


def rounds_until_leader(net):
    for number in range(40):
        net.settle(rounds=1)
        if net.leader() is not None:
            return number + 1
    raise AssertionError("no leader elected in 40 rounds")


def test_a_leader_is_elected_quickly_after_a_full_restart():
    """Guards against: a full election timeout when all hosts restart."""
    rounds_taken = []
    for seed in range(20):
        net = Network(3)
        net.settle()
        for name in list(net.replicas):
            net.replicas[name].seed += 10 * seed
            net.crash(name)
        net.messages.clear()
        for name in list(net.replicas):
            net.restart(name)
        rounds_taken.append(rounds_until_leader(net))
    assert sorted(rounds_taken)[10] < TIMINGS.election_ticks
    assert max(rounds_taken) < 2 * TIMINGS.election_ticks


def test_a_short_first_election_timeout_deposes_no_leader():
    """Guards against: an election on each restart of a follower."""
    for seed in range(20):
        net = Network(3)
        net.settle()
        leader = net.leader()
        term = leader.core.term
        follower = next(n for n in net.replicas if n != leader.name)
        net.replicas[follower].seed += 10 * seed
        net.crash(follower)
        net.settle(rounds=2)
        net.restart(follower)
        for _ in range(2 * TIMINGS.first_election_ticks):
            net.tick(follower)
        net.settle()
        assert net.leader().name == leader.name
        assert net.leader().core.term == term


def test_entries_are_sent_again_once_after_a_loss_and_not_for_each_rejection():
    """Guards against: a host that returns from a cut is sent the same entries
    once for each append that was on its way, and its leader's memory is full.
    """
    core = make_core()
    elect(core)
    for number in range(12):
        core.propose(str(number))
        core.flush()
    core.take_ready()
    rejection = AppendReply(core.term, False, 1)
    for _ in range(12):
        core.receive(Envelope("b", "a", rejection))
    assert len(appended_entries(core, "b")) == TIMINGS.max_batch_entries


def test_entries_are_sent_again_if_the_first_retry_is_lost():
    """Guards against: a host that stays behind for good."""
    core = make_core()
    elect(core)
    core.propose("x")
    core.flush()
    rejection = AppendReply(core.term, False, 1)
    for _ in range(3):
        core.take_ready()
        core.receive(Envelope("b", "a", rejection))
        assert appended_entries(core, "b")
        for _ in range(RETRY_TICKS):
            core.tick()


def test_a_host_that_lacks_more_than_was_thought_gets_it_at_once():
    """Guards against: a wait after each step back to the common entry."""
    core = make_core([entry(n, 1) for n in range(2, 7)])
    elect(core)
    core.take_ready()
    for last in (5, 4, 3):
        core.receive(Envelope("b", "a", AppendReply(core.term, False, last)))
        assert appended_entries(core, "b")[0] == last + 1
        core.take_ready()


def test_an_append_and_what_is_on_its_way_are_bounded_by_their_size():
    """Guards against: large entries whose copies fill the memory of a leader,
    and of a host that returns.
    """
    core = make_core()
    core.timings = msgspec.structs.replace(TIMINGS, max_batch_size=100)
    elect(core)
    core.take_ready()
    for _ in range(6):
        core.propose("x" * 40)
    core.flush()
    core.flush()
    core.flush()
    sent = appended_entries(core, "b")
    assert len(sent) == 4
    core.take_ready()
    core.receive(Envelope("b", "a", AppendReply(core.term, True, sent[-1])))
    assert appended_entries(core, "b") == [sent[-1] + 1, sent[-1] + 2]


def test_an_entry_larger_than_a_whole_append_is_sent_alone():
    """Guards against: a large entry that is never sent."""
    core = make_core()
    core.timings = msgspec.structs.replace(TIMINGS, max_batch_size=100)
    elect(core)
    core.take_ready()
    first = core.propose("x" * 400)
    core.propose("y")
    core.flush()
    assert appended_entries(core, "b") == [first]


def appended_entries(core, receiver):
    """Returns the indices of the entries that are being sent."""
    return [
        sent.index
        for envelope in core.outbox
        if envelope.receiver == receiver
        and isinstance(envelope.message, Append)
        for sent in envelope.message.entries
    ]
