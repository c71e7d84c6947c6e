"""A simulated network of replicas with disks, for tests."""

import random

import msgspec

from marjoramyard.coordination.consensus.core import RaftCore
from marjoramyard.coordination.consensus.log import ReplicatedLog
from marjoramyard.coordination.consensus.messages import (
    EntryKind,
    Envelope,
    HardState,
    Membership,
    Snapshot,
    StoredState,
)
from marjoramyard.coordination.consensus.replica import RaftTimings, Role

TIMINGS = RaftTimings(
    election_ticks=6,
    heartbeat_ticks=2,
    max_batch_entries=3,
    max_batch_size=6,
    first_election_ticks=2,
)


class Replica:
    """A replica with its in-memory state and its synced disk state."""

    def __init__(self, name, disk, seed):
        self.name = name
        self.disk = disk
        self.seed = seed
        self.core = None
        self.applied = []
        self.start()

    def start(self):
        self.seed += 1
        stored = msgspec.json.decode(
            msgspec.json.encode(self.disk), type=StoredState
        )
        rng = random.Random(f"{self.name}{self.seed}")
        self.core = RaftCore(self.name, stored, TIMINGS, rng)
        data = stored.snapshot.data
        self.applied = msgspec.json.decode(data) if data else []

    def sync(self, ready):
        disk = self.disk
        if ready.snapshot is not None:
            disk.snapshot = ready.snapshot
            disk.entries = []
            self.applied = msgspec.json.decode(ready.snapshot.data or "[]")
        if ready.hard_state is not None:
            disk.hard = ready.hard_state
        if ready.entries:
            log = ReplicatedLog(disk.snapshot, disk.entries)
            log.append(ready.entries)
            disk.entries = log.entries

    def compact(self):
        if self.core.applied_index <= self.core.log.snapshot.index:
            return
        data = msgspec.json.encode(self.applied).decode()
        snapshot = self.core.compact(self.core.applied_index, data)
        self.disk.snapshot = snapshot
        self.disk.entries = list(self.core.log.entries)


class Network:
    """Delivers, reorders or drops messages, and checks safety properties."""

    def __init__(self, count):
        names = [f"r{n}" for n in range(count)]
        addresses = {name: name for name in names}
        membership = Membership(tuple(names), (), addresses)
        first = Snapshot(1, 1, membership, "")
        self.replicas = {
            name: Replica(name, StoredState(HardState(1), first, []), 0)
            for name in names
        }
        self.down = set()
        self.isolated = set()
        self.messages: list[Envelope] = []
        self.leaders = {}
        self.committed = {}
        self.votes = {}
        self.proposed = 0
        self.created = count

    def process_output(self, name, crash_before_sync=False):
        """Processes a replica's output, optionally crashing before the sync."""
        replica = self.replicas[name]
        replica.core.flush()
        while not (ready := replica.core.take_ready()).is_empty:
            if crash_before_sync:
                self.crash(name)
                return
            replica.sync(ready)
            replica.core.mark_synced()
            self.messages += ready.messages
            self.check_votes(ready.messages)
            for entry in ready.committed:
                self.check_committed(entry)
                replica.applied.append([entry.index, entry.term, entry.data])
        self.check_leader(replica)

    def check_votes(self, messages):
        for envelope in messages:
            message = envelope.message
            if getattr(message, "granted", False) and not message.pre:
                key = (envelope.sender, message.term)
                known = self.votes.setdefault(key, envelope.receiver)
                assert known == envelope.receiver, f"{key} granted two votes"

    def check_committed(self, entry):
        value = (entry.term, entry.data)
        known = self.committed.setdefault(entry.index, value)
        assert known == value, f"committed entry {entry.index} changed"

    def check_leader(self, replica):
        core = replica.core
        if core.role is Role.LEADER:
            known = self.leaders.setdefault(core.term, replica.name)
            assert known == replica.name, f"two leaders in term {core.term}"

    def tick(self, name, times=1):
        if name in self.down:
            return
        for _ in range(times):
            self.replicas[name].core.tick()
            self.process_output(name)

    def deliver(self, position, keep=False):
        """Delivers one message; with `keep` it can be delivered again."""
        if not self.messages:
            return
        position %= len(self.messages)
        envelope = self.messages[position]
        if not keep:
            self.messages.pop(position)
        receiver = envelope.receiver
        if receiver not in self.replicas or receiver in self.down:
            return
        if {envelope.sender, receiver} & self.isolated:
            return
        self.replicas[receiver].core.receive(envelope)
        self.process_output(receiver)

    def settle(self, rounds=40):
        """Ticks all running replicas and delivers their messages in order."""
        for _ in range(rounds):
            for name in list(self.replicas):
                self.tick(name)
            for _ in range(200):
                if not self.messages:
                    break
                self.deliver(0)

    def crash(self, name):
        self.down.add(name)

    def restart(self, name):
        self.down.discard(name)
        self.replicas[name].start()

    def leader(self):
        found = [
            r
            for n, r in self.replicas.items()
            if n not in self.down | self.isolated and r.core.role is Role.LEADER
        ]
        return max(found, key=lambda r: r.core.term, default=None)

    def propose(self):
        leader = self.leader()
        if leader is not None:
            self.proposed += 1
            leader.core.propose(f"value-{self.proposed}")
            self.process_output(leader.name)

    def add_learner(self):
        """Adds an empty replica with a new identity as a learner."""
        name = f"r{self.created}"
        self.created += 1
        self.replicas[name] = Replica(name, StoredState(), 0)
        leader = self.leader()
        if leader is not None:
            membership = leader.core.membership
            leader.core.change_membership(membership.with_learner(name, name))
            self.process_output(leader.name)
        return name

    def promote(self, name):
        leader = self.leader()
        if leader is None:
            return False
        membership = leader.core.membership
        if name not in membership.learners:
            return False
        if not leader.core.is_caught_up(name):
            return False
        done = leader.core.change_membership(membership.promoted(name))
        self.process_output(leader.name)
        return done is not None

    def remove(self, name):
        leader = self.leader()
        if leader is None or name not in leader.core.membership.voters:
            return
        leader.core.change_membership(leader.core.membership.without(name))
        self.process_output(leader.name)

    def wipe(self, name):
        """Removes a replica and its disk; its identity is never reused."""
        self.crash(name)
        del self.replicas[name]

    def check_applied_logs(self):
        for name, replica in self.replicas.items():
            for index, term, data in replica.applied:
                known = self.committed.get(index)
                assert known == (term, data), (
                    f"{name} applied a different entry at {index}"
                )

    @staticmethod
    def is_command(entry):
        return entry.kind is EntryKind.COMMAND
