"""Read-only queries that operators and auditors send to the leader."""

from collections.abc import Callable
from typing import Any

import msgspec

from marjoramyard.fleet.control.node import ControlNode
from marjoramyard.fleet.control.renewal_server import RenewalServer
from marjoramyard.kernel.registry import Registry

QueryHandler = Callable[[ControlNode, RenewalServer, str], Any]
QUERIES: Registry[QueryHandler] = Registry("subject")
"""The query handlers, by subject."""


@QUERIES.register("bundle")
def _bundle(node: ControlNode, _: RenewalServer, __: str) -> Any:
    state = node.state.bundles.state
    return {
        "version": state.version,
        "chain": state.chain,
        "rows": state.rows,
    }


@QUERIES.register("change")
def _change(node: ControlNode, _: RenewalServer, change_id: str) -> Any:
    record = node.state.bundles.state.changes.get(change_id)
    return msgspec.to_builtins(record)


@QUERIES.register("changes")
def _changes(node: ControlNode, _: RenewalServer, __: str) -> Any:
    changes = node.state.bundles.state.changes.values()
    return [
        {
            "change_id": record.change_id,
            "state": record.state.value,
            "author": record.author,
            "approver": record.approver,
            "base_version": record.base_version,
            "version": record.version,
        }
        for record in changes
    ]


@QUERIES.register("audit")
def _audit(node: ControlNode, _: RenewalServer, __: str) -> Any:
    return msgspec.to_builtins(node.state.bundles.state.audit)


@QUERIES.register("directory")
def _directory(_: ControlNode, renewal_server: RenewalServer, __: str) -> Any:
    return msgspec.to_builtins(list(renewal_server.directory.rows.values()))


@QUERIES.register("orders")
def _orders(node: ControlNode, _: RenewalServer, __: str) -> Any:
    return msgspec.to_builtins(list(node.state.orders.values()))


@QUERIES.register("zones")
def _zones(node: ControlNode, _: RenewalServer, __: str) -> Any:
    return msgspec.to_builtins(node.state.evacuations.stored)


@QUERIES.register("suspects")
def _suspects(node: ControlNode, _: RenewalServer, __: str) -> Any:
    return msgspec.to_builtins(node.state.suspects.records)


@QUERIES.register("ledger")
def _ledger(node: ControlNode, _: RenewalServer, __: str) -> Any:
    entries = node.state.ledger.entries.values()
    counts: dict[str, int] = {}
    for entry in entries:
        counts[entry.state.value] = counts.get(entry.state.value, 0) + 1
    return counts
