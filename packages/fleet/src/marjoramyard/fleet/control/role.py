"""The control role: its HTTP service and its parts wired together."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
    contextmanager,
)
from pathlib import Path

import msgspec
from aiohttp import web
from result import Err

from marjoramyard.coordination.consensus.messages import (
    Envelope,
    HardState,
    Membership,
    Snapshot,
)
from marjoramyard.coordination.consensus.replica import Role as RaftRole
from marjoramyard.coordination.governance import commands
from marjoramyard.fleet import paths
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.control.dialects import OPERATOR_DIALECTS
from marjoramyard.fleet.control.fleet_routes import fleet_routes
from marjoramyard.fleet.control.keeper import ClusterKeeper
from marjoramyard.fleet.control.links import PeerLinks
from marjoramyard.fleet.control.node import ControlNode
from marjoramyard.fleet.control.queries import QUERIES
from marjoramyard.fleet.control.renewals import CONFIRM_SECONDS, Renewals
from marjoramyard.fleet.control.service import FleetService
from marjoramyard.fleet.control.signatures import OperatorKeys
from marjoramyard.fleet.control.storage import (
    Storage,
    new_replica_id,
    open_storage,
)
from marjoramyard.fleet.messages import (
    Empty,
    HostStatus,
    InitCluster,
    LookUp,
    MemberChange,
    Query,
    QueryReply,
    RenewRequest,
)
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import (
    Failure,
    FleetError,
    Kind,
    failure,
    raise_failure,
)
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

COMMAND_SECONDS = 4.0
_EXPIRE_SECONDS = 1.0
_REOPEN_SECONDS = 0.5


class ControlRole:
    """A control host; it holds no replica until it is initialised."""

    def __init__(self, app: Application, storage: Storage | None):
        self.app = app
        self.settings = app.settings
        self.storage = storage
        self.keys = OperatorKeys(self.settings.bootstrap_operators)
        self.spare_id = new_replica_id(self.settings.name)
        self.running: ControlNode | None = None
        self.node_task: asyncio.Task | None = None
        self.renewals: Renewals | None = None
        self.service = FleetService(self)
        self.keeper = ClusterKeeper(self)
        self._watch()

    def routes(self) -> list[web.RouteDef]:
        """Returns the internal service."""
        return [
            web.post(paths.RAFT_PATH, self.on_raft),
            web.post(paths.COMMAND_PATH, self.on_command),
            web.post(paths.LOOK_UP_PATH, self.on_look_up),
            web.post(paths.RENEW_PATH, self.on_renew),
            web.post(paths.QUERY_PATH, self.on_query),
            web.post(paths.STATUS_PATH, self.on_status),
            web.post(paths.INIT_PATH, self.on_init),
            web.post(paths.MEMBER_PATH, self.on_member),
            *fleet_routes(self.keeper, self.service),
        ]

    def is_ready(self) -> bool:
        """A control host is ready when it knows a leader."""
        return bool(self.leader_address())

    def leads(self) -> bool:
        """Whether this host leads and may answer for the cluster."""
        return self.running is not None and self.running.core.can_serve_reads

    def leader_address(self) -> str:
        """Returns the internal address of the leader; "" if unknown.

        A host without a replica, or whose replica is not caught up yet,
        goes by what the others announce.
        """
        if self.running is not None:
            core = self.running.core
            if core.role is RaftRole.LEADER:
                return self.settings.advertised_address
            address = core.membership.addresses.get(core.leader)
            if address:
                return address
        return self.keeper.leader_address

    async def drain(self) -> None:
        """Hands leadership over, so that no election has to time out."""
        node = self.running
        if node is None or not node.core.transfer_leadership():
            return
        node.schedule_pump()
        try:
            async with asyncio.timeout(2.0):
                while node.core.role is RaftRole.LEADER:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            logger.warning("handover_timed_out")

    # Start.

    def start_node(self) -> None:
        """Brings up the replica that the folder holds."""
        stored = self.storage.load()
        self.running = ControlNode(
            self.storage,
            stored,
            PeerLinks(
                self.app.client,
                self.app.tasks,
                self.settings.advertised_address,
            ),
            self.app.metrics,
            self.settings.snapshot_every,
        )
        self.renewals = Renewals(self.running)
        self.running.on_applied.append(self.service.on_applied)
        self.running.on_storage_failed = self._on_storage_failed
        self.node_task = self.app.tasks.spawn(self.running.tick_forever())
        self.app.tasks.spawn(self._expire_forever(self.renewals))
        logger.info(
            "replica_started",
            replica=self.running.core.replica_id,
            term=self.running.core.term,
            entries=self.running.core.log.last_index,
        )

    def _on_storage_failed(self, error: OSError) -> None:
        """Stops the replica and starts it anew from what is on disk.

        Once a write has failed nobody knows which part of it is on the
        disk, so memory and disk may differ: a replica that went on could
        acknowledge what a power loss takes back. It keeps silent, as a lost
        host does, until its folder can be written and read again.
        """
        logger.error("storage_failed", error=str(error))
        self.app.metrics.count("storage_failures")
        self.node_task.cancel()
        self.running.stop()
        self.running = None
        self.app.tasks.spawn(self._reopen())

    async def _reopen(self) -> None:
        while self.running is None:
            await asyncio.sleep(_REOPEN_SECONDS)
            try:
                self.storage.close()
                self.storage.probe()
                self.start_node()
            except OSError as error:
                logger.warning("storage_still_failing", error=str(error))

    async def _expire_forever(self, renewals: Renewals) -> None:
        while self.renewals is renewals:
            await asyncio.sleep(_EXPIRE_SECONDS)
            renewals.expire()

    @property
    def node(self) -> ControlNode:
        """The replica.

        Raises:
            FleetError: The folder is empty and no cluster took it in yet.
        """
        if self.running is None:
            raise_failure(
                Kind.UNINITIALISED,
                "this control host holds no state; take it in with "
                "`marjoramctl cluster init` or `cluster replace`",
            )
        return self.running

    def _watch(self) -> None:
        def commits() -> list[tuple[float, dict[str, str]]]:
            if self.running is None:
                return []
            core = self.running.core
            return [
                (core.commit_index, {"what": "commit"}),
                (core.log.last_index, {"what": "last"}),
                (self.storage.syncs, {"what": "syncs"}),
                (self.storage.bytes_written, {"what": "bytes"}),
            ]

        self.app.metrics.gauge("replicated_log", commits)

    # Service.

    async def on_raft(self, request: web.Request) -> web.Response:
        """Takes in other replicas' messages."""
        self.node.receive(await read_message(request, list[Envelope]))
        return json_response(Empty())

    async def on_command(self, request: web.Request) -> web.Response:
        """Replicates a command, stamped with our time."""
        command = await read_message(request, commands.Command)
        command = msgspec.structs.replace(command, at=time.time())
        self._check_signature(command)
        done = await self.node.execute(command, COMMAND_SECONDS)
        if isinstance(done, Err):
            raise FleetError(done.err_value)
        if done.ok_value.failure is not None:
            raise FleetError(done.ok_value.failure)
        self.app.metrics.count("commands", sort=type(command).__name__)
        return json_response(done.ok_value)

    def _check_signature(self, command: commands.Command) -> None:
        """Turns away what is not signed, before it reaches the log."""
        if isinstance(command, commands.Propose):
            who, role, action = command.change.author, "author", "propose"
            change = command.change
        elif isinstance(command, commands.Approve | commands.Roll):
            approves = isinstance(command, commands.Approve)
            action = "approve" if approves else "roll"
            role = "approver" if approves else "author"
            who = command.operator
            record = self.node.state.bundles.state.changes.get(
                command.change_id
            )
            # Without the change at hand it was decided already; a resend
            # then only returns its first outcome.
            if record is None or record.change is None:
                return
            change = record.change
        else:
            return
        problem = self.keys.check(
            self.node.state.bundles.view,
            who,
            role,
            command.signature,
            change.signed_bytes(action),
        )
        if problem is not None:
            raise FleetError(problem)

    async def _confirmed(self) -> ControlNode:
        node = self.node
        confirmed = await node.confirm(CONFIRM_SECONDS)
        if isinstance(confirmed, Err):
            raise FleetError(confirmed.err_value)
        return node

    async def on_look_up(self, request: web.Request) -> web.Response:
        """Says what the ledger holds of a call."""
        asked = await read_message(request, LookUp)
        node = await self._confirmed()
        view = node.state.ledger.look_up(asked.key, asked.body_digest)
        return json_response(commands.Reply(call=view))

    async def on_renew(self, request: web.Request) -> web.Response:
        """Renews a router's lease."""
        node = self.node
        renewal = await read_message(request, RenewRequest)
        if not node.core.can_serve_reads:
            # At once: a router that was kept waiting here would lose the
            # time that its lease leaves it to find the leader.
            raise FleetError(node.not_leader())
        return json_response(await self.renewals.renew(renewal))

    async def on_query(self, request: web.Request) -> web.Response:
        """Answers an operator's or auditor's question."""
        query = await read_message(request, Query)
        node = await self._confirmed()
        if query.subject not in QUERIES.items:
            raise_failure(
                Kind.NOT_FOUND, f"unknown subject; use {', '.join(QUERIES)}"
            )
        value = QUERIES.get(query.subject)(node, self.renewals, query.argument)
        return json_response(QueryReply(value))

    async def on_status(self, _: web.Request) -> web.Response:
        """Says how this host stands, confirmed or not."""
        return json_response(self.status())

    def status(self) -> HostStatus:
        """Returns how this host stands."""
        name = self.settings.name
        if self.running is None:
            return HostStatus(
                name, self.spare_id, "empty", 0, "", 0, 0, 0, Membership()
            )
        core = self.running.core
        synced = {}
        if core.role is RaftRole.LEADER:
            synced = {r: p.match for r, p in core.progress.items()}
            synced[core.replica_id] = core.synced_index
        return HostStatus(
            name,
            core.replica_id,
            core.role.value,
            core.term,
            core.membership.addresses.get(core.leader, ""),
            core.log.last_index,
            core.commit_index,
            self.running.state.bundles.state.version,
            core.membership,
            synced,
            self.storage.identity.cluster,
        )

    # Membership.

    async def on_init(self, request: web.Request) -> web.Response:
        """Forms a cluster, or joins one as a learner; only when empty.

        Raises:
            FleetError: The folder holds a replica. Starting over under it
                would forget its votes and its entries.
        """
        asked = await read_message(request, InitCluster)
        if self.running is not None or self.storage is None:
            raise_failure(
                Kind.CONFLICT,
                "this control host holds a replica already; it is left as "
                "it is",
            )
        self.initialise(asked.cluster, asked.membership)
        return json_response(Empty())

    def initialise(self, cluster: str, membership: Membership) -> None:
        """Makes the empty folder a replica's own and starts it."""
        me = ReplicaId(self.spare_id)
        self.storage.create_identity(cluster, me)
        if me in membership.voters:
            first = Snapshot(1, 1, membership, "")
            self.storage.save_snapshot(first, HardState(1), [])
        self.start_node()

    async def on_member(self, request: web.Request) -> web.Response:
        """Adds, promotes or removes one member."""
        change = await read_message(request, MemberChange)
        node = await self._confirmed()
        wanted = self._changed_membership(node, change)
        if isinstance(wanted, Failure):
            raise FleetError(wanted)
        if wanted != node.core.membership:
            done = await node.change_membership(wanted, COMMAND_SECONDS)
            if isinstance(done, Err):
                raise FleetError(done.err_value)
            logger.info("membership_changed", action=change.action)
        return json_response(self.status())

    def _changed_membership(
        self, node: ControlNode, change: MemberChange
    ) -> Membership | Failure:
        membership = node.core.membership
        replica = ReplicaId(change.replica)
        if change.action == "add":
            if replica in membership.members:
                return membership
            return membership.with_learner(replica, change.address)
        if replica not in membership.members:
            if change.action == "remove":
                return membership
            return failure(Kind.NOT_FOUND, f"{replica} is no member; add it")
        if change.action == "remove":
            return membership.without(replica)
        if replica in membership.voters:
            return membership
        if not node.core.is_caught_up(replica):
            # A voter that lacks entries could form a quorum with one that
            # lacks them too; promoted too early, a second loss loses them.
            return failure(
                Kind.CONFLICT,
                f"{replica} has not synced all entries; wait and try again",
                retry_after=1.0,
            )
        return membership.promoted(replica)


@asynccontextmanager
async def control_role(app: Application) -> AsyncIterator[ControlRole]:
    """Runs a control host."""
    with _storage_of(app.settings.data_folder) as storage:
        role = ControlRole(app, storage)
        if storage is not None and storage.load_identity() is not None:
            role.start_node()
        async with AsyncExitStack() as stack:
            listening = app.serve(app.settings.internal, role.routes())
            await stack.enter_async_context(listening)
            if app.settings.self_forming:
                await stack.enter_async_context(_serve_operators(app, role))
                app.tasks.spawn(role.keeper.run())
                app.tasks.spawn(role.service.sweep_forever())
            yield role


@contextmanager
def _storage_of(folder: str) -> Iterator[Storage | None]:
    """Owns the data folder, if this host has a disk."""
    if not folder:
        yield None
        return
    with open_storage(Path(folder)) as storage:
        yield storage


def _serve_operators(
    app: Application, role: ControlRole
) -> AbstractAsyncContextManager[None]:
    routes = OPERATOR_DIALECTS.get(app.settings.dialect)(role.service)
    return app.serve(app.settings.operator_listen, routes, internal=False)


def setup(app: Application) -> None:
    """Registers the role."""
    app.add_role("control", control_role)
