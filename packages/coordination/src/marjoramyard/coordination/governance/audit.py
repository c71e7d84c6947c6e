"""The audit trail as a hash chain."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from marjoramyard.kernel.util.canonical import canonical_bytes, digest

GENESIS = "0" * 64


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that was done to the bundle.

    Attributes:
        number: Its place in the chain, from 1.
        at: When, in seconds since the epoch, by the leader's clock.
        action: propose, approve, roll or refuse.
        who: The operator.
        change_id: Which change.
        version: The version in force after the action.
        signature: The operator's signature, in hex.
        change: The signed change, with a proposal.
        previous: The hash of the record before.
        hash: The hash of this record without this field.
    """

    number: int
    at: float
    action: str
    who: str
    change_id: str
    version: int
    signature: str
    change: dict[str, Any] | None
    previous: str
    hash: str = ""

    def computed_hash(self) -> str:
        """Returns what `hash` must be."""
        return digest(canonical_bytes(msgspec.structs.replace(self, hash="")))


def with_hash(record: AuditRecord) -> AuditRecord:
    """Returns the record with its hash."""
    return msgspec.structs.replace(record, hash=record.computed_hash())


def verify_chain(records: list[AuditRecord]) -> Result[int, str]:
    """Checks a whole chain; the error names the first altered record."""
    previous = GENESIS
    for place, record in enumerate(records, start=1):
        if record.number != place:
            return Err(f"record {place} is missing; restore it from a backup")
        if record.previous != previous:
            return Err(f"record {place} does not follow the one before it")
        if record.hash != record.computed_hash():
            return Err(f"record {place} was altered after it was written")
        previous = record.hash
    return Ok(len(records))
