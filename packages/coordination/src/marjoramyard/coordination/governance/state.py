"""The replicated state machine: applies commands, makes snapshots."""

from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import (
    AcceptConfig,
    Approve,
    CancelCall,
    ChangeVersions,
    ChangeZone,
    ClearSuspects,
    Command,
    ConfigDocument,
    FinishCall,
    HoldSuspect,
    IssueOrder,
    PackedConfig,
    Propose,
    ReleaseSuspect,
    Reply,
    ReportDeath,
    Roll,
    StartCall,
)
from marjoramyard.coordination.governance.evacuations import (
    Evacuations,
    EvacuationState,
)
from marjoramyard.coordination.governance.ledger import Ledger, LedgerEntry
from marjoramyard.coordination.governance.lifecycle import (
    BundleLifecycle,
    ChangeRecord,
    LifecycleState,
)
from marjoramyard.coordination.governance.orders import Order
from marjoramyard.coordination.governance.service_versions import (
    ServiceVersion,
    ServiceVersions,
)
from marjoramyard.coordination.governance.suspects import (
    EndedRun,
    Suspect,
    Suspects,
)
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.registry import Registry

Handler = Callable[["ControlState", Any], Reply]
HANDLERS: Registry[Handler] = Registry("command")
"""Command handlers by the name of the command type."""


class ControlSnapshot(msgspec.Struct):
    """The complete state in its stored form.

    Attributes:
        config: The configuration in snapshots of earlier releases.
        packed_config: The configuration.
    """

    now: float = 0.0
    lifecycle: LifecycleState = msgspec.field(default_factory=LifecycleState)
    calls: dict[str, LedgerEntry] = {}
    suspects: dict[str, Suspect] = {}
    deaths: list[str] = []
    suspects_revision: int = 0
    watched_revision: int = 0
    orders: dict[str, Order] = {}
    last_order: int = 0
    config: ConfigDocument | None = None
    evacuations: EvacuationState = msgspec.field(
        default_factory=EvacuationState
    )
    packed_config: PackedConfig | None = None
    versions: list[ServiceVersion] = []
    versions_revision: int = 0


_COMMAND_DECODER = msgspec.json.Decoder(Command)


class ControlState:
    """The replicated state; deterministic, so equal logs give equal states."""

    def __init__(self, snapshot: ControlSnapshot | None = None):
        stored = snapshot or ControlSnapshot()
        self.now = stored.now
        self.bundles = BundleLifecycle(stored.lifecycle)
        self.ledger = Ledger(stored.calls)
        self.suspects = Suspects(
            stored.suspects,
            stored.deaths,
            stored.suspects_revision,
            stored.watched_revision,
        )
        self.orders = stored.orders
        self.last_order = stored.last_order
        self.config: ConfigDocument | None = None
        self.packed_config: PackedConfig | None = None
        if stored.packed_config is not None:
            self.set_config(stored.packed_config)
        elif stored.config is not None:
            self.set_config(PackedConfig.of(stored.config))
        self.evacuations = Evacuations(stored.evacuations)
        self.versions = ServiceVersions(
            stored.versions, stored.versions_revision
        )

    @classmethod
    def restore(cls, data: str) -> "ControlState":
        """Decodes a snapshot; an empty string is the initial state."""
        if not data:
            return cls()
        return cls(msgspec.json.decode(data, type=ControlSnapshot))

    def snapshot(self) -> str:
        """Returns the state as JSON."""
        stored = ControlSnapshot(
            self.now,
            self.bundles.state,
            self.ledger.entries,
            self.suspects.records,
            self.suspects.death_reports,
            self.suspects.revision,
            self.suspects.watched_revision,
            self.orders,
            self.last_order,
            evacuations=self.evacuations.stored,
            packed_config=self.packed_config,
            versions=self.versions.list_recorded(),
            versions_revision=self.versions.revision,
        )
        return msgspec.json.encode(stored).decode()

    def set_config(self, packed: PackedConfig) -> None:
        """Puts a configuration in force."""
        self.packed_config = packed
        self.config = packed.document()

    def apply_encoded(self, data: str) -> Reply:
        """Applies a JSON-encoded command from the log."""
        return self.apply(_COMMAND_DECODER.decode(data))

    def apply(self, command: Command) -> Reply:
        """Applies a command.

        `now` never decreases, even if a new leader's clock is behind.
        """
        self.now = max(self.now, command.at)
        return HANDLERS.get(type(command).__name__)(self, command)

    @property
    def ledger_capacity(self) -> int:
        """The maximum number of calls in the ledger, set by the bundle."""
        return self.bundles.view.policy.ledger_capacity


def _change_reply(outcome: Result[ChangeRecord, Failure]) -> Reply:
    if isinstance(outcome, Ok):
        return Reply(change=outcome.ok_value)
    assert isinstance(outcome, Err)
    return Reply(failure=outcome.err_value)


@HANDLERS.register("Propose")
def _propose(state: ControlState, command: Propose) -> Reply:
    return _change_reply(
        state.bundles.propose(command.change, command.signature, state.now)
    )


@HANDLERS.register("Approve")
def _approve(state: ControlState, command: Approve) -> Reply:
    return _change_reply(
        state.bundles.approve(
            command.change_id, command.operator, command.signature, state.now
        )
    )


@HANDLERS.register("Roll")
def _roll(state: ControlState, command: Roll) -> Reply:
    return _change_reply(
        state.bundles.roll(
            command.change_id, command.operator, command.signature, state.now
        )
    )


@HANDLERS.register("StartCall")
def _start_call(state: ControlState, command: StartCall) -> Reply:
    return Reply(
        call=state.ledger.start(
            command.key,
            command.body_digest,
            command.attempt,
            command.epoch,
            state.ledger_capacity,
        )
    )


@HANDLERS.register("FinishCall")
def _finish_call(state: ControlState, command: FinishCall) -> Reply:
    return Reply(
        call=state.ledger.finish(command.key, command.attempt, command.answer)
    )


@HANDLERS.register("CancelCall")
def _cancel_call(state: ControlState, command: CancelCall) -> Reply:
    return Reply(
        call=state.ledger.cancel(
            command.key,
            command.body_digest,
            command.attempt,
            command.epoch,
            state.ledger_capacity,
        )
    )


@HANDLERS.register("ReportDeath")
def _report_death(state: ControlState, command: ReportDeath) -> Reply:
    # Agents of the first release isolate each suspect, and do not say so.
    runs = command.runs or [
        EndedRun(fingerprint, is_isolated=True)
        for fingerprint in command.fingerprints
    ]
    convicted = state.suspects.report_death(
        command.death_id,
        runs,
        command.at - command.seconds_ago,
        state.bundles.view.policy.quarantine_seconds,
    )
    return Reply(convicted=convicted)


@HANDLERS.register("HoldSuspect")
def _hold_suspect(state: ControlState, command: HoldSuspect) -> Reply:
    granted = state.suspects.hold(
        command.fingerprint, command.agent, command.at
    )
    return Reply(granted=granted)


@HANDLERS.register("ReleaseSuspect")
def _release_suspect(state: ControlState, command: ReleaseSuspect) -> Reply:
    state.suspects.release(command.fingerprint, command.agent, command.clear)
    return Reply(granted=True)


@HANDLERS.register("ClearSuspects")
def _clear_suspects(state: ControlState, command: ClearSuspects) -> Reply:
    cleared = [state.suspects.clear(name) for name in command.fingerprints]
    return Reply(granted=any(cleared))


@HANDLERS.register("IssueOrder")
def _issue_order(state: ControlState, command: IssueOrder) -> Reply:
    state.last_order += 1
    order = Order(
        state.last_order,
        command.endpoint,
        command.action,
        command.argument,
        command.operator,
    )
    state.orders[command.endpoint] = order
    return Reply(order=order)


@HANDLERS.register("AcceptConfig")
def _accept_config(state: ControlState, command: AcceptConfig) -> Reply:
    """Stores the document if its version is higher than the stored one.

    If two operators submit the same version with different content, the
    first one in the log wins, so the content of a version never changes.
    """
    held = state.config
    submitted = command.packed_config()
    if held is None or submitted.version > held.version:
        state.set_config(submitted)
    return Reply(granted=True)


@HANDLERS.register("ChangeZone")
def _change_zone(state: ControlState, command: ChangeZone) -> Reply:
    return Reply(
        failure=state.evacuations.change(
            command.zone,
            command.is_evacuated,
            command.expected_revision,
            command.operator,
            command.at,
        )
    )


@HANDLERS.register("ChangeVersions")
def _change_versions(state: ControlState, command: ChangeVersions) -> Reply:
    state.versions.change(command.added, command.removed)
    return Reply(granted=True)
