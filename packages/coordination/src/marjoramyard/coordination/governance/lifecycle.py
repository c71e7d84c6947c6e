"""One version line of bundles: propose, approve, roll, restore."""

from enum import Enum
from typing import Any

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.governance.audit import (
    GENESIS,
    AuditRecord,
    with_hash,
)
from marjoramyard.coordination.governance.bundle import (
    BundleView,
    Rows,
    row_value,
)
from marjoramyard.kernel.errors import Failure, Kind, failure
from marjoramyard.kernel.util.canonical import canonical_bytes, digest

MAX_DELTAS = 1000
"""A router further behind gets a snapshot."""
MAX_CHANGE_RECORDS = 50_000
"""An older change resent has an old base version, so it is refused still."""


class Change(msgspec.Struct, frozen=True):
    """What author and approver sign.

    Attributes:
        change_id: Made by the author's tool; a resend has the same.
        base_version: The version that it was written against.
        author: The operator who proposes.
        put: Rows that are added or replaced.
        remove: Paths of rows that are removed.
        restores: The version whose content comes back, on purpose.
        note: Why, for the auditors.
    """

    change_id: str
    base_version: int
    author: str
    put: dict[str, Any]
    remove: list[str] = []
    restores: int | None = None
    note: str = ""

    def signed_bytes(self, action: str) -> bytes:
        """Returns the bytes to sign for propose, approve or roll."""
        return action.encode() + b"\n" + canonical_bytes(self)


class ChangeState(Enum):
    """Where a change stands."""

    PROPOSED = "proposed"
    APPROVED = "approved"
    ROLLED = "rolled"
    SUPERSEDED = "superseded"


class ChangeRecord(msgspec.Struct):
    """A change and what became of it.

    Attributes:
        digest: Of the change, so that its id can't be used for another.
        version: The version it became, once rolled.
    """

    change_id: str
    digest: str
    state: ChangeState
    author: str
    base_version: int
    approver: str = ""
    version: int = 0
    change: Change | None = None


class Delta(msgspec.Struct):
    """What leads from one version to the next."""

    version: int
    chain: str
    put: dict[str, Any]
    remove: list[str]


class LifecycleState(msgspec.Struct):
    """All of it, as a snapshot holds it."""

    version: int = 0
    chain: str = GENESIS
    rows: dict[str, Any] = {}
    deltas: list[Delta] = []
    changes: dict[str, ChangeRecord] = {}
    contents: dict[str, int] = {}
    audit: list[AuditRecord] = []


class BundleLifecycle:
    """Applies what operators do, in the order of the replicated log."""

    def __init__(self, state: LifecycleState):
        self.state = state
        self.view = BundleView()
        self.view.install(state.version, state.chain, dict(state.rows))

    # What operators do.

    def propose(
        self, change: Change, signature: str, at: float
    ) -> Result[ChangeRecord, Failure]:
        """Files a change against the version in force."""
        known = self.state.changes.get(change.change_id)
        change_digest = digest(canonical_bytes(change))
        if known is not None:
            if known.digest != change_digest:
                return Err(
                    failure(
                        Kind.CONFLICT,
                        f"change id {change.change_id} names another change; "
                        "make a new id",
                    )
                )
            return Ok(known)
        problem = self._problem(change)
        if problem is not None:
            return Err(problem)
        record = ChangeRecord(
            change.change_id,
            change_digest,
            ChangeState.PROPOSED,
            change.author,
            change.base_version,
            change=change,
        )
        self.state.changes[change.change_id] = record
        self._forget_oldest()
        builtins = msgspec.to_builtins(change)
        self._record("propose", change.author, record, signature, at, builtins)
        return Ok(record)

    def approve(
        self, change_id: str, approver: str, signature: str, at: float
    ) -> Result[ChangeRecord, Failure]:
        """Takes a second person's approval."""
        record = self.state.changes.get(change_id)
        if record is None:
            return Err(_no_change(change_id))
        if record.author == approver:
            return Err(
                failure(
                    Kind.INVALID_SIGNATURE,
                    f"{approver} proposed this change; another person must "
                    "approve it",
                )
            )
        if record.state is not ChangeState.PROPOSED:
            return Ok(record)
        record.state = ChangeState.APPROVED
        record.approver = approver
        self._record("approve", approver, record, signature, at)
        return Ok(record)

    def roll(
        self, change_id: str, operator: str, signature: str, at: float
    ) -> Result[ChangeRecord, Failure]:
        """Puts an approved change in force, if its base still is."""
        record = self.state.changes.get(change_id)
        if record is None:
            return Err(_no_change(change_id))
        if record.state is ChangeState.ROLLED:
            return Ok(record)
        if record.state is ChangeState.PROPOSED:
            return Err(
                failure(
                    Kind.CONFLICT,
                    "the change is not approved; another operator approves "
                    "it with `marjoramctl approve`",
                )
            )
        if record.change is None or record.base_version != self.state.version:
            record.state = ChangeState.SUPERSEDED
            record.change = None
            return Err(self._conflict(record.base_version))
        self._put_in_force(record, record.change)
        self._record("roll", operator, record, signature, at)
        return Ok(record)

    def _put_in_force(self, record: ChangeRecord, change: Change) -> None:
        state = self.state
        state.version += 1
        state.chain = digest(state.chain.encode(), canonical_bytes(change))
        self.view.apply(change.put, change.remove)
        self.view.version = state.version
        self.view.chain = state.chain
        state.rows = self.view.rows
        state.contents[self.view.content_digest] = state.version
        state.deltas.append(
            Delta(state.version, state.chain, change.put, change.remove)
        )
        del state.deltas[:-MAX_DELTAS]
        record.state = ChangeState.ROLLED
        record.version = state.version
        record.change = None

    # Checks.

    def _conflict(self, base: int) -> Failure:
        rolled = [
            r
            for r in self.state.changes.values()
            if r.version == self.state.version
        ]
        by = f" by {rolled[0].author}" if rolled else ""
        return failure(
            Kind.CONFLICT,
            f"written against version {base}, but version "
            f"{self.state.version}{by} is in force; look at it with "
            "`marjoramctl diff`, then propose again",
        )

    def _problem(self, change: Change) -> Failure | None:
        if change.base_version != self.state.version:
            return self._conflict(change.base_version)
        try:
            for path, raw in change.put.items():
                row_value(path, raw)
        except ValueError as error:
            return failure(Kind.INVALID_BUNDLE, str(error))
        for path in change.remove:
            if path not in self.view.rows or path in change.put:
                return failure(
                    Kind.INVALID_BUNDLE,
                    f"{path}: can't be removed; it is not in force or is "
                    "also put",
                )
        return self._trial(change)

    def _trial(self, change: Change) -> Failure | None:
        """Applies the change, checks the outcome and takes it back."""
        view = self.view
        touched = [*change.put, *change.remove]
        before = {p: view.rows[p] for p in touched if p in view.rows}
        added = [p for p in change.put if p not in before]
        view.apply(change.put, change.remove)
        problem = next(view.problems(change.put), None)
        problem = problem or next(view.removal_problems(change.remove), None)
        content = view.content_digest
        view.apply(before, added)
        if problem is not None:
            return failure(Kind.INVALID_BUNDLE, problem)
        old = self.state.contents.get(content)
        if old is not None and change.restores != old:
            return failure(
                Kind.CONFLICT,
                f"the outcome equals version {old}; to go back on purpose "
                f"use `marjoramctl restore {old}`",
            )
        if change.restores is not None and old != change.restores:
            return failure(
                Kind.INVALID_BUNDLE,
                f"the outcome is not the content of version {change.restores}",
            )
        return None

    def _forget_oldest(self) -> None:
        while len(self.state.changes) > MAX_CHANGE_RECORDS:
            oldest = next(iter(self.state.changes))
            del self.state.changes[oldest]

    # The trail.

    def _record(
        self,
        action: str,
        who: str,
        record: ChangeRecord,
        signature: str,
        at: float,
        change: dict[str, Any] | None = None,
    ) -> None:
        trail = self.state.audit
        trail.append(
            with_hash(
                AuditRecord(
                    number=len(trail) + 1,
                    at=at,
                    action=action,
                    who=who,
                    change_id=record.change_id,
                    version=self.state.version,
                    signature=signature,
                    change=change,
                    previous=trail[-1].hash if trail else GENESIS,
                )
            )
        )

    def deltas_after(self, version: int, chain: str) -> list[Delta] | None:
        """Returns what a router lacks; None if it needs a snapshot.

        The chain digest tells apart a router that holds the version under
        the same number but from another line of history.
        """
        if version == self.state.version and chain == self.state.chain:
            return []
        deltas = self.state.deltas
        if not deltas or version == 0 or version < deltas[0].version:
            return None
        base = version - deltas[0].version
        if base >= len(deltas) or deltas[base].chain != chain:
            return None
        return deltas[base + 1 :]


def _no_change(change_id: str) -> Failure:
    return failure(
        Kind.NOT_FOUND,
        f"there is no change {change_id}; `marjoramctl changes` lists them",
    )


def rows_at(records: list[AuditRecord], version: int) -> Rows:
    """Rebuilds a past version's rows from the trail."""
    changes = {r.change_id: r.change for r in records if r.action == "propose"}
    rows: Rows = {}
    for record in records:
        if record.action != "roll" or record.version > version:
            continue
        change = changes[record.change_id] or {}
        for path in change.get("remove", []):
            rows.pop(path, None)
        rows.update(change["put"])
    return rows
