"""Each safeguard of the replica, in the smallest story that needs it."""

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from replica_network import TIMINGS, Network  # noqa: E402

from marjoramyard.coordination.consensus.core import RaftCore  # noqa: E402
from marjoramyard.coordination.consensus.messages import (  # noqa: E402
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
    """r2 is cut off while bundles are accepted; then the leader dies.

    r2 comes back and asks for votes. If it won, it would overwrite what
    operators were told is accepted.
    """
    net = Network(3)
    net.settle()
    leader = net.leader().name
    behind = next(n for n in net.replicas if n != leader)
    net.cut = {behind}
    for _ in range(5):
        net.propose()
    net.settle(5)
    net.crash(leader)
    net.cut = set()
    net.settle(60)
    assert net.leader().name != behind
    net.check_applied_agree()


def test_an_entry_of_an_older_term_is_not_committed_by_count():
    """A leader of term 2 left an entry on a minority before it died.

    A later leader copies it to a majority and dies before its own entry
    arrives. A third one, elected with a newer log, may still overwrite the
    old entry, so it must not have been applied.
    """
    core = make_core([entry(2, 2)], term=3)
    elect(core)
    reply(core, 2)
    assert core.commit_index == 1
    reply(core, 3)
    assert core.commit_index == 3


def test_a_late_snapshot_takes_back_no_acknowledged_entry():
    """A snapshot message is repeated by the network long after it was sent.

    The follower has acknowledged entries behind it since; the leader may
    have committed them on that word.
    """
    core = make_core([entry(n, 1) for n in range(2, 7)], commit=2)
    snapshot = Snapshot(4, 1, BASE.membership, "[]")
    core.receive(Envelope("b", "a", InstallSnapshot(1, snapshot)))
    assert core.log.last_index == 6


def test_a_leader_counts_itself_only_once_it_has_synced():
    """The leader loses power after one follower acknowledged, not more.

    Had it counted its own unsynced copy, the entry would be on one disk
    only and yet reported as accepted.
    """
    core = make_core()
    elect(core)
    index = core.propose("x")
    core.flush()
    core.take_ready()
    reply(core, index)
    assert core.commit_index < index
    core.mark_synced()
    assert core.commit_index == index


def test_a_learner_that_lacks_entries_gets_no_vote():
    """An operator is in a hurry after a lost disk.

    With a vote the empty host could form a quorum with another one that
    lacks the newest entries, and they would be gone.
    """
    net = Network(3)
    net.settle()
    for _ in range(5):
        net.propose()
    net.settle(5)
    fresh = net.add_learner()
    net.cut = {fresh}
    net.settle(10)
    assert not net.promote(fresh)
    net.cut = set()
    net.settle(10)
    assert net.promote(fresh)


def test_a_second_membership_change_waits_for_the_first():
    """Two repairs run at once; each alone moves the quorum by one.

    Together they could leave two quorums without a common member.
    """
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


def test_a_replica_back_from_a_cut_does_not_depose_the_leader():
    """It heard nobody, and asks for votes over and over.

    Without the pre-vote its term would have risen far, and the first
    message after the heal would stop a leader that everybody follows.
    """
    net = Network(3)
    net.settle()
    leader = net.leader()
    away = next(n for n in net.replicas if n != leader.name)
    net.cut = {away}
    net.settle(60)
    term = leader.core.term
    net.cut = set()
    net.settle(20)
    assert net.leader().core.term == term


def test_a_new_leader_answers_no_read_before_its_own_entry_is_committed():
    """It may not know yet all that its predecessor committed."""
    core = make_core([entry(2, 1)])
    elect(core)
    assert not core.can_serve_reads
    reply(core, core.log.last_index)
    assert core.can_serve_reads


def rounds_until_a_leader(net):
    for number in range(40):
        net.settle(rounds=1)
        if net.leader() is not None:
            return number + 1
    raise AssertionError("no leader")


def test_after_a_power_loss_there_is_soon_a_leader_again():
    """All callers with a key are refused until a leader is there.

    All hosts lose power at once and are back together. Each waits to hear
    a leader, and there is none to hear.
    """
    taken = []
    for seed in range(20):
        net = Network(3)
        net.settle()
        for name in list(net.replicas):
            net.replicas[name].seed += 10 * seed
            net.crash(name)
        net.messages.clear()
        for name in list(net.replicas):
            net.restart(name)
        taken.append(rounds_until_a_leader(net))
    assert sorted(taken)[10] < TIMINGS.election_ticks
    assert max(taken) < 2 * TIMINGS.election_ticks


def test_a_replica_that_starts_in_haste_deposes_nobody():
    """Each restart of a host would cost an election.

    A follower starts again and asks for votes before it has heard the
    leader. The others hear the leader and turn it down.
    """
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
