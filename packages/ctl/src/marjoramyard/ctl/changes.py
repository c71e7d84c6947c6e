"""Builds changes of the bundle from bundle files and the audit trail."""

import secrets
from pathlib import Path
from typing import Any

import msgspec
import yaml
from result import Err

from marjoramyard.coordination.governance.audit import AuditRecord
from marjoramyard.coordination.governance.bundle import (
    Rows,
    parse_bundle,
    to_rows,
)
from marjoramyard.coordination.governance.lifecycle import Change, rows_at
from marjoramyard.ctl.session import EXIT_USAGE, fail


def read_bundle_rows(path: Path) -> Rows:
    """Reads and validates a bundle file; exits if it is invalid."""
    try:
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        fail(f"{path}: can't be read: {error}", EXIT_USAGE)
    parsed = parse_bundle(raw)
    if isinstance(parsed, Err):
        fail(f"{path}: {parsed.err_value}", EXIT_USAGE)
    return to_rows(parsed.ok_value)


def difference(old: Rows, new: Rows) -> tuple[Rows, list[str]]:
    """Returns the rows to put and the paths to remove, from `old` to `new`."""
    put = {path: raw for path, raw in new.items() if old.get(path) != raw}
    remove = sorted(path for path in old if path not in new)
    return put, remove


def new_change(
    in_force: dict[str, Any],
    rows: Rows,
    author: str,
    note: str,
    restores: int | None = None,
) -> Change:
    """Builds the change from the bundle in force to `rows`.

    Args:
        in_force: The leader's response to the `bundle` query.
        rows: The rows of the proposed bundle.
        author: The operator who proposes the change.
        note: The reason, for auditors.
        restores: The earlier version that the change restores, if any.
    """
    put, remove = difference(in_force["rows"], rows)
    return Change(
        secrets.token_hex(8),
        in_force["version"],
        author,
        put,
        remove,
        restores,
        note,
    )


def rows_of_version(trail: list[dict], version: int) -> Rows:
    """Rebuilds the rows of an earlier version from the audit trail."""
    return rows_at(read_trail(trail), version)


def read_trail(trail: list[dict]) -> list[AuditRecord]:
    """Converts the leader's `audit` response to records."""
    return msgspec.convert(trail, list[AuditRecord])
