"""Verification of the audit trail: the hash chain and all signatures."""

from result import Err, Ok, Result

from marjoramyard.coordination.governance.audit import (
    AuditRecord,
    verify_chain,
)
from marjoramyard.coordination.governance.bundle import Rows
from marjoramyard.coordination.governance.lifecycle import Change, rows_at
from marjoramyard.fleet.control.signatures import is_valid


def _key_of(rows: Rows, who: str) -> str | None:
    operator = rows.get(f"operators/{who}")
    return operator["public_key"] if operator else None


def verify_trail(
    records: list[AuditRecord], bootstrap: dict[str, str]
) -> Result[int, str]:
    """Verifies the hash chain, then each signature.

    A signature is verified with the signer's key in the bundle in force at
    that record, or else with the signer's bootstrap key.

    Args:
        records: The whole trail.
        bootstrap: Public keys trusted before the first bundle, by operator.

    Returns:
        The number of records, or a message on the first invalid one.
    """
    chain = verify_chain(records)
    if isinstance(chain, Err):
        return chain
    changes = {}
    rows: Rows = {}
    for index, record in enumerate(records):
        if record.change is not None:
            changes[record.change_id] = Change(**record.change)
        change = changes[record.change_id]
        in_force = rows or {}
        key = _key_of(in_force, record.who) or bootstrap.get(record.who)
        if key is None:
            return Err(
                f"record {record.number}: no key of {record.who} is known; "
                "give it with --bootstrap-key NAME=HEX"
            )
        data = change.signed_bytes(record.action)
        if not is_valid(key, record.signature, data):
            return Err(
                f"record {record.number}: the signature is not {record.who}'s"
            )
        if record.action == "roll":
            rows = rows_at(records[: index + 1], record.version)
    return Ok(len(records))


def version_at(records: list[AuditRecord], at: float) -> AuditRecord | None:
    """Returns the record that rolled out the version in force at `at`.

    Args:
        records: The whole trail.
        at: Unix time in seconds.
    """
    rolled = [r for r in records if r.action == "roll" and r.at <= at]
    return rolled[-1] if rolled else None
