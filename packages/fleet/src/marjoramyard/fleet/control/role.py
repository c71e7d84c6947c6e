"""The control role: its HTTP service and the components behind it."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from functools import partial

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
from marjoramyard.coordination.governance.bundle import value_problems
from marjoramyard.fleet import paths
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.control.cluster_manager import ClusterManager
from marjoramyard.fleet.control.data_folders import (
    data_folder,
    log_unexpected_data,
)
from marjoramyard.fleet.control.dialects import OPERATOR_DIALECTS
from marjoramyard.fleet.control.fleet_routes import fleet_routes
from marjoramyard.fleet.control.log_limits import LogLimits
from marjoramyard.fleet.control.node import ControlNode
from marjoramyard.fleet.control.queries import QUERIES
from marjoramyard.fleet.control.raft_transport import RaftTransport
from marjoramyard.fleet.control.renewal_server import (
    CONFIRM_TIMEOUT_SECONDS,
    RenewalServer,
)
from marjoramyard.fleet.control.service import FleetService
from marjoramyard.fleet.control.signatures import OperatorKeys
from marjoramyard.fleet.control.storage import (
    Storage,
    StorageError,
    new_replica_id,
)
from marjoramyard.fleet.messages import (
    CallLookUp,
    Empty,
    HostStatus,
    InitCluster,
    MemberChange,
    Query,
    QueryReply,
    RenewRequest,
)
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    failure,
    raise_failure,
)
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

COMMAND_TIMEOUT_SECONDS = 4.0
_EXPIRY_INTERVAL_SECONDS = 1.0
_STORAGE_RETRY_SECONDS = 0.5


class ControlRole:
    """A control host; it runs no replica until it is initialised.

    Attributes:
        storage: The data folder; None without a disk.
        unassigned_replica_id: The replica id to use when the empty data
            folder is initialised.
        running_node: The running replica, if any.
    """

    def __init__(self, app: Application, storage: Storage | None):
        self.app = app
        self.settings = app.settings
        self.storage = storage
        self.operator_keys = OperatorKeys(self.settings.bootstrap_operators)
        self.unassigned_replica_id = new_replica_id(self.settings.name)
        self.running_node: ControlNode | None = None
        self.node_task: asyncio.Task | None = None
        self.renewal_server: RenewalServer | None = None
        self.service = FleetService(self)
        self.cluster_manager = ClusterManager(self)
        self._register_metrics()

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the internal address."""
        return [
            web.post(paths.RAFT_PATH, self.on_raft),
            web.post(paths.COMMAND_PATH, self.on_command),
            web.post(paths.LOOK_UP_PATH, self.on_look_up),
            web.post(paths.RENEW_PATH, self.on_renew),
            web.post(paths.QUERY_PATH, self.on_query),
            web.post(paths.STATUS_PATH, self.on_status),
            web.post(paths.INIT_PATH, self.on_init),
            web.post(paths.MEMBER_PATH, self.on_member),
            *fleet_routes(self.cluster_manager, self.service),
        ]

    @property
    def is_first_start(self) -> bool:
        """Whether the fleet starts for the first time.

        Settings may still say so when a host that holds a replica restarts.
        """
        has_replica = (
            self.storage is not None and self.storage.identity is not None
        )
        return self.settings.first_start and not has_replica

    def is_ready(self) -> bool:
        """Returns whether this host knows a leader."""
        return bool(self.leader_address())

    def is_leader(self) -> bool:
        """Whether this host leads and can serve reads."""
        return (
            self.running_node is not None
            and self.running_node.core.can_serve_reads
        )

    def leader_address(self) -> str:
        """Returns the internal address of the leader; "" if unknown.

        A host without a replica, or whose replica knows no leader yet, uses
        the leader that other hosts announce. They may still announce this
        host after it has lost its disk.
        """
        if self.running_node is not None:
            core = self.running_node.core
            if core.role is RaftRole.LEADER:
                return self.settings.advertised_address
            address = core.membership.addresses.get(core.leader)
            if address:
                return address
        announced = self.cluster_manager.leader_address
        if announced == self.settings.advertised_address:
            return ""
        return announced

    async def drain(self) -> None:
        """Transfers leadership, so that followers need no election timeout."""
        node = self.running_node
        if node is None or not node.core.transfer_leadership():
            return
        node.schedule_processing()
        try:
            async with asyncio.timeout(2.0):
                while node.core.role is RaftRole.LEADER:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            logger.warning("handover_timed_out")

    # Replica lifecycle.

    def start_node(self, is_read_only: bool = False) -> None:
        """Starts the replica that is stored in the data folder.

        Args:
            is_read_only: Whether the disk has refused a write.
        """
        stored = self.storage.load()
        self.running_node = ControlNode(
            self.storage,
            stored,
            RaftTransport(
                self.app.client,
                self.app.tasks,
                self.settings.advertised_address,
            ),
            self.app.metrics,
            LogLimits.from_settings(self.settings),
            is_read_only,
        )
        self.renewal_server = RenewalServer(self.running_node)
        self.running_node.on_applied.append(self.service.on_applied)
        self.running_node.on_storage_failed = self._on_storage_failed
        self.node_task = self.app.tasks.spawn(self.running_node.tick_forever())
        self.app.tasks.spawn_forever(
            partial(self._expire_forever, self.renewal_server)
        )
        logger.info(
            "replica_started",
            replica=self.running_node.core.replica_id,
            term=self.running_node.core.term,
            entries=self.running_node.core.log.last_index,
        )

    def _on_storage_failed(self, error: OSError) -> None:
        """Stops the replica and schedules a restart from disk.

        After a failed write, it is unknown how much of it is on disk, so the
        replica must not acknowledge anything from memory. It is restarted
        once the data folder is readable, and is read-only until it is writable.
        """
        logger.error("storage_failed", error=str(error))
        self.app.metrics.count("storage_failures")
        self.node_task.cancel()
        self.running_node.stop()
        self.running_node = None
        self.app.tasks.spawn(self._restart_when_readable())

    async def _restart_when_readable(self) -> None:
        while self.running_node is None:
            await asyncio.sleep(_STORAGE_RETRY_SECONDS)
            try:
                self.storage.close()
                self.start_node(is_read_only=True)
            except (OSError, StorageError) as error:
                logger.warning("storage_still_failing", error=str(error))

    async def _expire_forever(self, renewal_server: RenewalServer) -> None:
        while self.renewal_server is renewal_server:
            await asyncio.sleep(_EXPIRY_INTERVAL_SECONDS)
            renewal_server.expire()

    @property
    def node(self) -> ControlNode:
        """The running replica.

        Raises:
            FleetError: This host has not been initialised.
        """
        if self.running_node is None:
            raise_failure(
                FailureKind.UNINITIALISED,
                "this control host is not initialised; add it with "
                "`marjoramctl cluster init` or `cluster replace`",
            )
        return self.running_node

    def _register_metrics(self) -> None:
        def log_values() -> list[tuple[float, dict[str, str]]]:
            if self.running_node is None:
                return []
            core = self.running_node.core
            return [
                (core.commit_index, {"what": "commit"}),
                (core.log.last_index, {"what": "last"}),
                (self.storage.sync_count, {"what": "syncs"}),
                (self.storage.bytes_written, {"what": "bytes"}),
            ]

        self.app.metrics.gauge("replicated_log", log_values)
        self.app.metrics.gauge(
            "cluster_voters", self.cluster_manager.member_report.counts
        )

    # Request handlers.

    async def on_raft(self, request: web.Request) -> web.Response:
        """Receives Raft messages of other replicas."""
        self.node.receive(await read_message(request, list[Envelope]))
        return json_response(Empty())

    async def on_command(self, request: web.Request) -> web.Response:
        """Replicates a command, with the time of this host."""
        command = await read_message(request, commands.Command)
        command = msgspec.structs.replace(command, at=time.time())
        self._check_signature(command)
        self._check_values(command)
        result = await self.node.execute(command, COMMAND_TIMEOUT_SECONDS)
        if isinstance(result, Err):
            raise FleetError(result.err_value)
        if result.ok_value.failure is not None:
            raise FleetError(result.ok_value.failure)
        self.app.metrics.count("commands", sort=type(command).__name__)
        return json_response(result.ok_value)

    def _check_signature(self, command: commands.Command) -> None:
        """Checks the signature of a command before it is proposed.

        Raises:
            FleetError: The signature is missing or invalid.
        """
        if isinstance(command, commands.Propose):
            operator, role, action = command.change.author, "author", "propose"
            change = command.change
        elif isinstance(command, commands.Approve | commands.Roll):
            approves = isinstance(command, commands.Approve)
            action = "approve" if approves else "roll"
            role = "approver" if approves else "author"
            operator = command.operator
            record = self.node.state.bundles.state.changes.get(
                command.change_id
            )
            # The change has already been decided; a repeated command only
            # returns the first outcome.
            if record is None or record.change is None:
                return
            change = record.change
        else:
            return
        refusal = self.operator_keys.check(
            self.node.state.bundles.view,
            operator,
            role,
            command.signature,
            change.signed_bytes(action),
        )
        if refusal is not None:
            raise FleetError(refusal)

    def _check_values(self, command: commands.Command) -> None:
        """Checks the values of a change before it is proposed.

        Not those of a change that is known already, or that restores an
        earlier version: another release may have accepted them.

        Raises:
            FleetError: A value is invalid.
        """
        if not isinstance(command, commands.Propose):
            return
        change = command.change
        known = self.node.state.bundles.state.changes
        if change.change_id in known or change.restores is not None:
            return
        problem = next(value_problems(change.put), None)
        if problem is not None:
            raise_failure(FailureKind.INVALID_BUNDLE, problem)

    async def _confirmed_node(self) -> ControlNode:
        node = self.node
        confirmed = await node.confirm_leadership(CONFIRM_TIMEOUT_SECONDS)
        if isinstance(confirmed, Err):
            raise FleetError(confirmed.err_value)
        return node

    async def on_look_up(self, request: web.Request) -> web.Response:
        """Returns the ledger's entry for a call."""
        message = await read_message(request, CallLookUp)
        node = await self._confirmed_node()
        view = node.state.ledger.look_up(message.key, message.body_digest)
        return json_response(commands.Reply(call=view))

    async def on_renew(self, request: web.Request) -> web.Response:
        """Renews a router's lease."""
        node = self.node
        renewal = await read_message(request, RenewRequest)
        if not node.core.can_serve_reads:
            # Refused without delay, so that the router can find the leader
            # before its lease expires.
            raise FleetError(node.not_leader())
        return json_response(await self.renewal_server.renew(renewal))

    async def on_query(self, request: web.Request) -> web.Response:
        """Answers a query of an operator or auditor."""
        query = await read_message(request, Query)
        node = await self._confirmed_node()
        if query.subject not in QUERIES.items:
            raise_failure(
                FailureKind.NOT_FOUND,
                f"unknown subject; use {', '.join(QUERIES)}",
            )
        value = QUERIES.get(query.subject)(
            node, self.renewal_server, query.argument
        )
        return json_response(QueryReply(value))

    async def on_status(self, _: web.Request) -> web.Response:
        """Returns the status of this host, without confirming leadership."""
        return json_response(self.status())

    def status(self) -> HostStatus:
        """Returns the status of this host."""
        name = self.settings.name
        if self.running_node is None:
            return HostStatus(
                name,
                self.unassigned_replica_id,
                "empty",
                0,
                "",
                0,
                0,
                0,
                Membership(),
            )
        core = self.running_node.core
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
            self.running_node.state.bundles.state.version,
            core.membership,
            synced,
            self.storage.identity.cluster,
        )

    # Membership.

    async def on_init(self, request: web.Request) -> web.Response:
        """Initialises this host as a voter of a new cluster or as a learner.

        Raises:
            FleetError: The data folder already holds a replica, whose votes
                and entries must be kept, or this host has no disk.
        """
        message = await read_message(request, InitCluster)
        if self.storage is None or self.storage.identity is not None:
            raise_failure(
                FailureKind.CONFLICT,
                "this control host holds a replica already; nothing was "
                "changed",
            )
        self.initialise(message.cluster, message.membership)
        return json_response(Empty())

    def initialise(self, cluster: str, membership: Membership) -> None:
        """Creates a replica in the empty data folder and starts it.

        Raises:
            OSError: The folder is still empty.
        """
        replica = ReplicaId(self.unassigned_replica_id)
        self.storage.create_identity(cluster, replica)
        try:
            if replica in membership.voters:
                first = Snapshot(1, 1, membership, "")
                self.storage.save_snapshot(first, HardState(1), [])
        except OSError as error:
            # The replica exists, so no other one may be created here.
            self._retry_start(error)
            return
        self.start_stored_node()

    def start_stored_node(self) -> None:
        """Starts the stored replica, later if the disk fails now."""
        try:
            self.start_node()
        except OSError as error:
            self._retry_start(error)

    def _retry_start(self, error: OSError) -> None:
        logger.error("storage_failed", error=str(error))
        self.app.tasks.spawn(self._restart_when_readable())

    async def on_member(self, request: web.Request) -> web.Response:
        """Adds, promotes or removes one member."""
        change = await read_message(request, MemberChange)
        node = await self._confirmed_node()
        new_membership = self._changed_membership(node, change)
        if isinstance(new_membership, Failure):
            raise FleetError(new_membership)
        if new_membership != node.core.membership:
            result = await node.change_membership(
                new_membership, COMMAND_TIMEOUT_SECONDS
            )
            if isinstance(result, Err):
                raise FleetError(result.err_value)
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
            return failure(
                FailureKind.NOT_FOUND,
                f"{replica} is not a member; add it first",
            )
        if change.action == "remove":
            return membership.without(replica)
        if replica in membership.voters:
            return membership
        if not node.core.is_caught_up(replica):
            # A quorum of voters that lack committed entries would lose them.
            return failure(
                FailureKind.CONFLICT,
                f"{replica} has not synced all log entries yet; try again "
                "in a second",
                retry_after=1.0,
            )
        return membership.promoted(replica)


@asynccontextmanager
async def control_role(app: Application) -> AsyncIterator[ControlRole]:
    """Runs a control host."""
    async with data_folder(app.settings, app.stopping) as storage:
        identity = storage.load_identity() if storage is not None else None
        role = ControlRole(app, storage)
        if identity is not None:
            role.start_stored_node()
            log_unexpected_data(app.settings, identity, role.running_node)
        async with AsyncExitStack() as stack:
            listening = app.serve(app.settings.internal, role.routes())
            await stack.enter_async_context(listening)
            if app.settings.self_forming:
                # Runs when the operators' address has closed.
                stack.push_async_callback(role.cluster_manager.announce_last)
                await stack.enter_async_context(_serve_operators(app, role))
                app.tasks.spawn_forever(role.cluster_manager.run)
                app.tasks.spawn_forever(role.service.watch_endpoints)
                app.tasks.spawn_forever(role.service.version_recorder.run)
            yield role


def _serve_operators(
    app: Application, role: ControlRole
) -> AbstractAsyncContextManager[None]:
    routes = OPERATOR_DIALECTS.get(app.settings.dialect)(role.service)
    return app.serve(app.settings.operator_listen, routes, internal=False)


def setup(app: Application) -> None:
    """Registers the role."""
    app.add_role("control", control_role)
