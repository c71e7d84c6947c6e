"""Changes of the configuration."""

from collections.abc import Iterator

from soak.checks.registry import (
    UNDISTURBED_SECONDS,
    check,
    disturbed,
    faulted_targets,
)
from soak.record import Record

REVOCATION_SECONDS = 5.0
"""A revoked key must be refused by every gateway within this time."""
CONFIG_PROPAGATION_SECONDS = 2.0
"""A control host that responds must return an acknowledged configuration
within this time."""


@check
def revoked_keys_are_refused(record: Record) -> Iterator[str]:
    """No request runs with a key that was revoked."""
    revoked_at = {
        key: change.acknowledged_at
        for change in record.config_changes
        for key in change.revoked_keys
    }
    ran = {attempt.id for attempt in record.attempts}
    for call in record.calls:
        at = revoked_at.get(call.key)
        if at is None or call.id not in ran:
            continue
        if call.sent_at > at + REVOCATION_SECONDS:
            yield (
                f"{call.id} ran with a key that was revoked "
                f"{call.sent_at - at:.1f} s before"
            )


@check
def config_never_reverts(record: Record) -> Iterator[str]:
    """No control host returns a version older than an acknowledged one."""
    for read in record.config_reads:
        for change in record.config_changes:
            due = change.acknowledged_at + CONFIG_PROPAGATION_SECONDS
            if read.version < change.version and read.sent_at > due:
                yield (
                    f"control {read.host} returned {read.version} "
                    f"{read.sent_at - change.acknowledged_at:.1f} s after "
                    f"{change.version} was acknowledged"
                )


@check
def last_config_is_kept(record: Record) -> Iterator[str]:
    """The newest acknowledged configuration is in force at the end."""
    newest = max(
        (change.version for change in record.config_changes), default=0
    )
    if record.final_version < newest:
        yield (
            f"version {record.final_version} at the end, "
            f"{newest} was acknowledged"
        )


@check
def lost_disks_are_replaced(record: Record) -> Iterator[str]:
    """All control hosts hold a replica again some seconds after a fault."""
    if record.is_unreplaced:
        yield "not all control hosts were voters with the same log"


@check
def added_routes_are_known(record: Record) -> Iterator[str]:
    """A route is known two seconds after its version was acknowledged.

    Calls during a fault of their gateway or of a control host are ignored.
    """
    acknowledged_at = {
        change.version: change.acknowledged_at
        for change in record.config_changes
    }
    controls = faulted_targets(record, "control")
    for call in record.calls:
        if not call.version or call.status != 404:
            continue
        due = acknowledged_at[call.version] + CONFIG_PROPAGATION_SECONDS
        targets = [("gateway", call.gateway), ("soak", 0), *controls]
        since = call.sent_at - UNDISTURBED_SECONDS
        if call.sent_at > due and not disturbed(
            record, since, call.ended_at, *targets
        ):
            yield (
                f"{call.id} got 404 at gateway {call.gateway} for the route of "
                f"version {call.version}"
            )
