"""Drives a replica: ticks, group commit, sending, applying, snapshots."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.consensus.core import RaftCore
from marjoramyard.coordination.consensus.messages import (
    EntryKind,
    Envelope,
    HardState,
    Membership,
    Ready,
    Snapshot,
    StoredState,
)
from marjoramyard.coordination.consensus.replica import RaftTimings, Role
from marjoramyard.coordination.governance.commands import Command, Reply
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.fleet.control.links import PeerLinks
from marjoramyard.fleet.control.storage import Storage
from marjoramyard.kernel.errors import Failure, Kind, Outcome, failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

TICK_SECONDS = 0.1
TIMINGS = RaftTimings(
    election_ticks=12, heartbeat_ticks=4, first_election_ticks=2
)
"""In ticks. Hosts that start together are there within some 0.2 s of each
other; a vote takes two round trips and a sync, about 20 ms."""
ELECTION_SECONDS = 2 * TIMINGS.election_ticks * TICK_SECONDS
"""The longest wait before an election; callers are told to wait as long."""
MAX_TICKS_AT_ONCE = 3


class Pending(msgspec.Struct):
    """A proposal that waits to be applied."""

    term: int
    future: asyncio.Future


class ReadRound(msgspec.Struct):
    """A reader that waits for proof that we still lead."""

    term: int
    round: int
    future: asyncio.Future


class ControlNode:
    """One control host's replica and the state that it applies."""

    def __init__(
        self,
        storage: Storage,
        stored: StoredState,
        links: PeerLinks,
        metrics: Metrics,
        snapshot_every: int,
    ):
        self.storage = storage
        self.links = links
        self.metrics = metrics
        self.snapshot_every = snapshot_every
        self.core = RaftCore(
            storage.identity.replica, stored, TIMINGS, random.Random()
        )
        self.state = ControlState.restore(stored.snapshot.data)
        self.pending: dict[int, Pending] = {}
        self.readers: list[ReadRound] = []
        self.pump_scheduled = False
        self.applied_since_snapshot = 0
        self.known_role = self.core.role
        self.on_applied: list[Callable[[], None]] = []
        self.on_leadership: list[Callable[[bool], None]] = []
        self.on_storage_failed: Callable[[OSError], None] | None = None
        self.stopped = False

    def stop(self) -> None:
        """Ends the replica; who waits for it learns that it can't tell."""
        self.stopped = True
        for pending in self.pending.values():
            if not pending.future.done():
                pending.future.set_result(Err(no_quorum(Outcome.UNKNOWN)))
        for reader in self.readers:
            if not reader.future.done():
                reader.future.set_result(False)

    # Inputs.

    async def tick_forever(self) -> None:
        """Feeds time to the replica.

        After a freeze many ticks are due at once. Feeding them all would
        start an election before the messages that wait have been read.
        """
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += TICK_SECONDS
            await asyncio.sleep(max(0.0, due - loop.time()))
            behind = loop.time() - due
            if behind > MAX_TICKS_AT_ONCE * TICK_SECONDS:
                due = loop.time()
            self.core.tick()
            self.schedule_pump()

    def receive(self, envelopes: list[Envelope]) -> None:
        """Takes in messages of other replicas."""
        self.links.hear(envelopes)
        for envelope in envelopes:
            self.core.receive(envelope)
        self.schedule_pump()

    async def execute(
        self, command: Command, timeout: float
    ) -> Result[Reply, Failure]:
        """Replicates a command and returns what it came to."""
        index = self.core.propose(msgspec.json.encode(command).decode())
        if index is None:
            return Err(self.not_leader())
        return await self._await_applied(index, timeout)

    async def change_membership(
        self, membership: Membership, timeout: float
    ) -> Result[Reply, Failure]:
        """Replicates a change by one member."""
        index = self.core.change_membership(membership)
        if index is None:
            if self.core.role is not Role.LEADER:
                return Err(self.not_leader())
            return Err(
                failure(
                    Kind.CONFLICT,
                    "another change of the membership is not committed yet; "
                    "try again in a moment",
                )
            )
        return await self._await_applied(index, timeout)

    async def _await_applied(
        self, index: int, timeout: float
    ) -> Result[Reply, Failure]:
        future = asyncio.get_running_loop().create_future()
        self.pending[index] = Pending(self.core.term, future)
        self.schedule_pump()
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return Err(no_quorum(Outcome.UNKNOWN))
        finally:
            self.pending.pop(index, None)

    async def confirm(self, timeout: float) -> Result[int, Failure]:
        """Proves that we still lead, so that the state may be read.

        A leader that was cut off or frozen and does not know it can't get
        this proof, so it never hands out an old state.
        """
        if not self.core.can_serve_reads:
            return Err(self.not_leader())
        term = self.core.term
        wanted = self.core.request_round()
        future = asyncio.get_running_loop().create_future()
        self.readers.append(ReadRound(term, wanted, future))
        self.schedule_pump()
        try:
            async with asyncio.timeout(timeout):
                if await future:
                    return Ok(self.core.applied_index)
        except TimeoutError:
            return Err(no_quorum())
        return Err(self.not_leader())

    def not_leader(self) -> Failure:
        """Returns the failure that leads a caller to the leader."""
        leader = self.core.leader
        address = self.core.membership.addresses.get(leader)
        if leader == self.core.replica_id:
            address = None
        reason = failure(
            Kind.NOT_LEADER,
            "this control host does not lead; ask the leader named here",
            retry_after=ELECTION_SECONDS,
        )
        return msgspec.structs.replace(reason, leader=address)

    # The pump.

    def schedule_pump(self) -> None:
        """Runs the pump once after all input of this turn of the loop.

        What arrives in one turn is synced together: one sync for a batch
        is what makes many commands a second affordable on one loop.
        """
        if not self.pump_scheduled:
            self.pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self.pump_scheduled = False
        if self.stopped:
            return
        try:
            self._drain_core()
        except OSError as error:
            if self.on_storage_failed is None:
                raise
            self.on_storage_failed(error)

    def _drain_core(self) -> None:
        self.core.flush()
        while not (ready := self.core.take_ready()).is_empty:
            self._store(ready)
            self.core.mark_synced()
            self.links.send(ready.messages, self.core.membership.addresses)
            self._apply(ready)
        self._settle_rounds()
        self._note_role()

    def _store(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            hard = HardState(self.core.term, self.core.vote)
            self.storage.save_snapshot(ready.snapshot, hard, [])
            self.state = ControlState.restore(ready.snapshot.data)
            logger.info("snapshot_installed", index=ready.snapshot.index)
        if ready.hard_state is not None or ready.entries:
            self.storage.write(ready.hard_state, ready.entries)

    def _apply(self, ready: Ready) -> None:
        for entry in ready.committed:
            reply = Reply()
            if entry.kind is EntryKind.COMMAND:
                reply = self.state.apply_encoded(entry.data)
            pending = self.pending.get(entry.index)
            if pending is not None and not pending.future.done():
                if pending.term == entry.term:
                    pending.future.set_result(Ok(reply))
                else:
                    # Another leader's entry took the place of ours.
                    pending.future.set_result(Err(self.not_leader()))
        if ready.committed or ready.snapshot is not None:
            self.applied_since_snapshot += len(ready.committed)
            for listener in self.on_applied:
                listener()
            self._snapshot_if_due()

    def _snapshot_if_due(self) -> None:
        if self.applied_since_snapshot < self.snapshot_every:
            return
        self.applied_since_snapshot = 0
        snapshot: Snapshot = self.core.compact(
            self.core.applied_index, self.state.snapshot()
        )
        hard = HardState(self.core.term, self.core.vote)
        self.storage.save_snapshot(snapshot, hard, self.core.log.entries)
        self.metrics.count("snapshots_taken")

    def _settle_rounds(self) -> None:
        core = self.core
        leads = core.role is Role.LEADER
        confirmed = core.confirmed_round if leads else 0
        waiting = []
        for reader in self.readers:
            if reader.future.done():
                continue
            if not leads or core.term != reader.term:
                reader.future.set_result(False)
            elif (
                confirmed >= reader.round
                and core.applied_index >= core.commit_index
            ):
                reader.future.set_result(True)
            else:
                waiting.append(reader)
        self.readers = waiting

    def _note_role(self) -> None:
        if self.core.role is self.known_role:
            return
        was_leader = self.known_role is Role.LEADER
        self.known_role = self.core.role
        leads = self.known_role is Role.LEADER
        if leads or was_leader:
            logger.info("leadership", leads=leads, term=self.core.term)
            self.metrics.count("leadership_changes")
            for listener in self.on_leadership:
                listener(leads)
        if not leads:
            for pending in self.pending.values():
                if not pending.future.done():
                    pending.future.set_result(Err(no_quorum(Outcome.UNKNOWN)))


def no_quorum(outcome: Outcome = Outcome.NOT_RUN) -> Failure:
    """Returns the failure of a command that no quorum has taken."""
    return failure(
        Kind.NO_QUORUM,
        "no quorum of control hosts answered; look at `marjoramctl status`, "
        "then send it again",
        outcome,
        ELECTION_SECONDS,
    )
