"""Runs a Raft replica: ticks, storage, messages and the state machine."""

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
from marjoramyard.fleet.control.log_limits import LogLimits
from marjoramyard.fleet.control.raft_transport import RaftTransport
from marjoramyard.fleet.control.storage import Storage
from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

TICK_SECONDS = 0.1
TIMINGS = RaftTimings(
    election_ticks=12, heartbeat_ticks=4, first_election_ticks=2
)
"""In ticks of `TICK_SECONDS`. Hosts that start together are there within some
0.2 s of each other; a vote takes two round trips and a sync, about 20 ms."""
MAX_ELECTION_SECONDS = 2 * TIMINGS.election_ticks * TICK_SECONDS
"""The longest election timeout; also the retry delay given to callers."""
MAX_CATCH_UP_TICKS = 3


class PendingProposal(msgspec.Struct):
    """A proposed log entry that is not applied yet.

    Attributes:
        term: The term in which it was proposed.
        future: Resolves to the result of the command.
    """

    term: int
    future: asyncio.Future


class PendingRead(msgspec.Struct):
    """A linearizable read that waits for a confirmation of leadership.

    Attributes:
        term: The term in which the read was requested.
        round: The heartbeat round that a quorum must confirm.
        future: Resolves to whether leadership was confirmed.
    """

    term: int
    round: int
    future: asyncio.Future


class ControlNode:
    """The Raft replica of a control host and its state machine."""

    def __init__(
        self,
        storage: Storage,
        stored: StoredState,
        transport: RaftTransport,
        metrics: Metrics,
        limits: LogLimits,
    ):
        self.storage = storage
        self.transport = transport
        self.metrics = metrics
        self.limits = limits
        timings = msgspec.structs.replace(
            TIMINGS, max_batch_size=limits.log_bytes
        )
        self.core = RaftCore(
            storage.identity.replica, stored, timings, random.Random()
        )
        self.state = ControlState.restore(stored.snapshot.data)
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.pending_reads: list[PendingRead] = []
        self.processing_scheduled = False
        self.applied_since_snapshot = 0
        self.reported_role = self.core.role
        self.on_applied: list[Callable[[], None]] = []
        self.on_leadership: list[Callable[[bool], None]] = []
        self.on_storage_failed: Callable[[OSError], None] | None = None
        self.stopped = False

    def stop(self) -> None:
        """Stops the replica.

        Pending proposals fail with an unknown outcome, pending reads as
        unconfirmed.
        """
        self.stopped = True
        for pending in self.pending_proposals.values():
            if not pending.future.done():
                pending.future.set_result(Err(no_quorum(Outcome.UNKNOWN)))
        for read in self.pending_reads:
            if not read.future.done():
                read.future.set_result(False)

    # Inputs.

    async def tick_forever(self) -> None:
        """Ticks the replica until cancelled.

        Ticks missed while the process was suspended are skipped: delivering
        them at once would start an election before the queued messages of
        the leader are read.
        """
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += TICK_SECONDS
            await asyncio.sleep(max(0.0, due - loop.time()))
            behind = loop.time() - due
            if behind > MAX_CATCH_UP_TICKS * TICK_SECONDS:
                logger.info("event_loop_late", seconds=round(behind, 3))
                due = loop.time()
            self.core.tick()
            self.schedule_processing()

    def receive(self, envelopes: list[Envelope]) -> None:
        """Passes messages of other replicas to the core."""
        self.transport.record_reply_addresses(envelopes)
        for envelope in envelopes:
            self.core.receive(envelope)
        self.schedule_processing()

    async def execute(
        self, command: Command, timeout: float
    ) -> Result[Reply, Failure]:
        """Replicates a command and returns its result once it is applied.

        Args:
            command: The command for the state machine.
            timeout: In seconds; after it, the outcome is unknown.
        """
        data = msgspec.json.encode(command).decode()
        refusal = self._refusal_of(len(data))
        if refusal is not None:
            return Err(refusal)
        index = self.core.propose(data)
        if index is None:
            return Err(self.not_leader())
        return await self._await_applied(index, timeout)

    def _refusal_of(self, size: int) -> Failure | None:
        """Returns why the log has no room for a command; None if it has."""
        limit = self.limits.log_bytes
        if size > limit:
            return failure(
                FailureKind.TOO_LARGE,
                f"the change takes {size} bytes of the log, and {limit} are "
                "allowed by disk_mb and memory_mb; send a smaller one",
            )
        log = self.core.log
        waiting = log.size_between(self.core.commit_index, log.last_index)
        if waiting + size > limit:
            return failure(
                FailureKind.NO_QUORUM,
                f"changes of {waiting} bytes wait for a quorum already; look "
                "at `marjoramctl status`, then send it again",
                retry_after=MAX_ELECTION_SECONDS,
            )
        return None

    async def change_membership(
        self, membership: Membership, timeout: float
    ) -> Result[Reply, Failure]:
        """Replicates a membership change.

        Only one change may be uncommitted at a time; another one fails with
        `FailureKind.CONFLICT`.

        Args:
            membership: The new membership; at most one voter differs.
            timeout: In seconds; after it, the outcome is unknown.
        """
        index = self.core.change_membership(membership)
        if index is None:
            if self.core.role is not Role.LEADER:
                return Err(self.not_leader())
            return Err(
                failure(
                    FailureKind.CONFLICT,
                    "another membership change is not committed yet; try "
                    "again in a moment",
                )
            )
        return await self._await_applied(index, timeout)

    async def _await_applied(
        self, index: int, timeout: float
    ) -> Result[Reply, Failure]:
        future = asyncio.get_running_loop().create_future()
        self.pending_proposals[index] = PendingProposal(self.core.term, future)
        self.schedule_processing()
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return Err(no_quorum(Outcome.UNKNOWN))
        finally:
            self.pending_proposals.pop(index, None)

    async def confirm_leadership(self, timeout: float) -> Result[int, Failure]:
        """Confirms leadership with a quorum before a linearizable read.

        Args:
            timeout: In seconds.

        Returns:
            The applied index that the read may rely on, or a failure if this
            replica does not lead or no quorum responded in time.
        """
        if not self.core.can_serve_reads:
            return Err(self.not_leader())
        term = self.core.term
        wanted = self.core.request_round()
        future = asyncio.get_running_loop().create_future()
        self.pending_reads.append(PendingRead(term, wanted, future))
        self.schedule_processing()
        try:
            async with asyncio.timeout(timeout):
                if await future:
                    return Ok(self.core.applied_index)
        except TimeoutError:
            return Err(no_quorum())
        return Err(self.not_leader())

    def not_leader(self) -> Failure:
        """Returns a failure that names the leader's address, if known."""
        leader = self.core.leader
        address = self.core.membership.addresses.get(leader)
        if leader == self.core.replica_id:
            address = None
        reason = failure(
            FailureKind.NOT_LEADER,
            "this control host is not the leader; use the leader named here",
            retry_after=MAX_ELECTION_SECONDS,
        )
        return msgspec.structs.replace(reason, leader=address)

    # Processing of the core's output.

    def schedule_processing(self) -> None:
        """Schedules processing for the next iteration of the event loop.

        Entries that arrive within one iteration are written and synced as
        one batch (group commit).
        """
        if not self.processing_scheduled:
            self.processing_scheduled = True
            asyncio.get_running_loop().call_soon(self._process)

    def _process(self) -> None:
        self.processing_scheduled = False
        if self.stopped:
            return
        try:
            self._process_output()
        except OSError as error:
            if self.on_storage_failed is None:
                raise
            self.on_storage_failed(error)

    def _process_output(self) -> None:
        self.core.flush()
        while not (ready := self.core.take_ready()).is_empty:
            self._store(ready)
            self.core.mark_synced()
            self.transport.enqueue(
                ready.messages, self.core.membership.addresses
            )
            self._apply(ready)
        self._resolve_reads()
        self._report_role_change()

    def _store(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            hard = HardState(self.core.term, self.core.vote)
            self.storage.save_snapshot(ready.snapshot, hard, [])
            self.state = ControlState.restore(ready.snapshot.data)
            logger.info("snapshot_installed", index=ready.snapshot.index)
        if ready.hard_state is not None or ready.entries:
            self.storage.append(ready.hard_state, ready.entries)

    def _apply(self, ready: Ready) -> None:
        for entry in ready.committed:
            reply = Reply()
            if entry.kind is EntryKind.COMMAND:
                reply = self.state.apply_encoded(entry.data)
            pending = self.pending_proposals.get(entry.index)
            if pending is not None and not pending.future.done():
                if pending.term == entry.term:
                    pending.future.set_result(Ok(reply))
                else:
                    # Another leader's entry has replaced the proposal.
                    pending.future.set_result(Err(self.not_leader()))
        if ready.committed or ready.snapshot is not None:
            self.applied_since_snapshot += len(ready.committed)
            for listener in self.on_applied:
                listener()
            self._snapshot_if_due()

    def _snapshot_if_due(self) -> None:
        is_due = (
            self.applied_since_snapshot >= self.limits.entries
            or self.storage.appended_bytes > self.limits.log_bytes
        )
        if not is_due or self.core.applied_index <= self.storage.base_index:
            return
        self.applied_since_snapshot = 0
        snapshot: Snapshot = self.core.compact(
            self.core.applied_index, self.state.snapshot()
        )
        hard = HardState(self.core.term, self.core.vote)
        self.storage.save_snapshot(snapshot, hard, self.core.log.entries)
        self.metrics.count("snapshots_taken")

    def _resolve_reads(self) -> None:
        core = self.core
        is_leader = core.role is Role.LEADER
        confirmed = core.confirmed_round if is_leader else 0
        unresolved = []
        for read in self.pending_reads:
            if read.future.done():
                continue
            if not is_leader or core.term != read.term:
                read.future.set_result(False)
            elif (
                confirmed >= read.round
                and core.applied_index >= core.commit_index
            ):
                read.future.set_result(True)
            else:
                unresolved.append(read)
        self.pending_reads = unresolved

    def _report_role_change(self) -> None:
        if self.core.role is self.reported_role:
            return
        was_leader = self.reported_role is Role.LEADER
        self.reported_role = self.core.role
        is_leader = self.reported_role is Role.LEADER
        if is_leader or was_leader:
            logger.info("leadership", leads=is_leader, term=self.core.term)
            self.metrics.count("leadership_changes")
            for listener in self.on_leadership:
                listener(is_leader)
        if not is_leader:
            for pending in self.pending_proposals.values():
                if not pending.future.done():
                    pending.future.set_result(Err(no_quorum(Outcome.UNKNOWN)))


def no_quorum(outcome: Outcome = Outcome.NOT_RUN) -> Failure:
    """Returns the failure of a command that no quorum has acknowledged."""
    return failure(
        FailureKind.NO_QUORUM,
        "no quorum of control hosts answered; look at `marjoramctl status`, "
        "then send it again",
        outcome,
        MAX_ELECTION_SECONDS,
    )
