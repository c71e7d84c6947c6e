"""The audit trail, a hash chain of records."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from marjoramyard.kernel.util.canonical import canonical_bytes, digest

GENESIS = "0" * 64


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's action on the bundle.

    Attributes:
        number: The position in the chain, from 1.
        at: The time in seconds since the Unix epoch, by the leader's clock.
        action: propose, approve or roll.
        who: The operator's name.
        change_id: The change acted on.
        version: The bundle version in force after the action.
        signature: The operator's signature, in hex.
        change: The signed change; only set for proposals.
        previous: The hash of the preceding record.
        hash: The hash of this record with an empty `hash` field.
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
        """Returns the hash that `hash` must equal."""
        return digest(canonical_bytes(msgspec.structs.replace(self, hash="")))


def with_hash(record: AuditRecord) -> AuditRecord:
    """Returns the record with its `hash` field set."""
    return msgspec.structs.replace(record, hash=record.computed_hash())


def verify_chain(records: list[AuditRecord]) -> Result[int, str]:
    """Verifies a chain from its first record.

    Returns:
        The number of records, or an error that names the first invalid one.
    """
    previous = GENESIS
    for number, record in enumerate(records, start=1):
        if record.number != number:
            return Err(f"record {number} is missing; restore it from a backup")
        if record.previous != previous:
            return Err(f"record {number} does not link to the preceding record")
        if record.hash != record.computed_hash():
            return Err(f"record {number} was altered after it was written")
        previous = record.hash
    return Ok(len(records))
