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
from marjoramyard.fleet.control.read_only import storage_full, without_writes
from marjoramyard.fleet.control.storage import BatchRefusedError, Storage
from marjoramyard.fleet.util.lag import log_late_wake_up
from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.thread_times import thread_clock

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
PROBE_TICKS = 5
"""How often a disk that refuses writes is tried."""


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
    """The Raft replica of a control host and its state machine.

    Attributes:
        is_read_only: Whether the disk refuses writes; tested now and then.
    """

    def __init__(
        self,
        storage: Storage,
        stored: StoredState,
        transport: RaftTransport,
        metrics: Metrics,
        limits: LogLimits,
        is_read_only: bool = False,
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
        self.is_read_only = is_read_only
        self.ticks = 0

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
        with thread_clock() as clock:
            while True:
                due += TICK_SECONDS
                times_before = clock.read()
                await asyncio.sleep(max(0.0, due - loop.time()))
                behind = loop.time() - due
                if behind > MAX_CATCH_UP_TICKS * TICK_SECONDS:
                    log_late_wake_up(behind, times_before, clock.read())
                    due = loop.time()
                self._tick()
                self.schedule_processing()

    def _tick(self) -> None:
        self.ticks += 1
        if self.is_read_only and self.ticks % PROBE_TICKS == 0:
            self._leave_read_only_if_writable()
        # A replica that can't store its vote does not stand for election.
        if not self.is_read_only or self.core.role is Role.LEADER:
            self.core.tick()

    def _leave_read_only_if_writable(self) -> None:
        try:
            self.storage.check_writable()
        except OSError as error:
            logger.warning("storage_still_failing", error=str(error))
            return
        self.is_read_only = False
        logger.info("storage_writable")

    def receive(self, envelopes: list[Envelope]) -> None:
        """Passes messages of other replicas to the core."""
        self.transport.record_reply_addresses(envelopes)
        if self.is_read_only:
            envelopes = without_writes(self.core, envelopes)
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
        refusal = self.refusal_of(len(data))
        if refusal is not None:
            return Err(refusal)
        index = self.core.propose(data)
        if index is None:
            return Err(self.not_leader())
        return await self._await_applied(index, timeout)

    def refusal_of(self, size: int) -> Failure | None:
        """Returns why the log has no room for a command; None if it has."""
        if self.core.role is not Role.LEADER:
            return self.not_leader()
        if self.is_read_only:
            return storage_full(MAX_ELECTION_SECONDS)
        return self.limits.refusal(self.core, size, MAX_ELECTION_SECONDS)

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
        refusal = self.refusal_of(0)
        if refusal is not None:
            return Err(refusal)
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
            try:
                self._store(ready)
            except BatchRefusedError as error:
                self._withdraw_proposals(ready, error)
            else:
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

    def _withdraw_proposals(
        self, ready: Ready, error: BatchRefusedError
    ) -> None:
        """Takes back what this leader has proposed and could not store.

        Nothing of it was sent, so it leads on, and serves reads.

        Raises:
            BatchRefusedError: The output holds more than proposals of a leader.
        """
        if (
            not self.core.can_serve_reads
            or ready.hard_state is not None
            or ready.snapshot is not None
        ):
            raise error
        logger.error("changes_refused", error=str(error))
        self.metrics.count("storage_failures")
        self.is_read_only = True
        self.core.withdraw_unsynced()
        for index, pending in self.pending_proposals.items():
            is_withdrawn = index > self.core.log.last_index
            if is_withdrawn and not pending.future.done():
                pending.future.set_result(
                    Err(storage_full(MAX_ELECTION_SECONDS))
                )
        self.core.transfer_leadership()

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
        has_applied = self.core.applied_index > self.storage.base_index
        if is_due and has_applied and not self.is_read_only:
            self._compact()

    def _compact(self) -> None:
        snapshot: Snapshot = self.core.compact(
            self.core.applied_index, self.state.snapshot()
        )
        try:
            self.storage.write_snapshot(snapshot)
        except OSError as error:
            # The log goes on, and the next change tries again.
            logger.warning("compaction_failed", error=str(error))
            return
        hard = HardState(self.core.term, self.core.vote)
        self.storage.start_log(hard, snapshot, self.core.log.entries)
        self.applied_since_snapshot = 0
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
