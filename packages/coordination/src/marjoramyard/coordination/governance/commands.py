"""The commands of the replicated log and their replies."""

import msgspec

from marjoramyard.coordination.governance.ledger import (
    LedgerView,
    StoredResponse,
)
from marjoramyard.coordination.governance.lifecycle import (
    Change,
    ChangeRecord,
)
from marjoramyard.coordination.governance.orders import Order
from marjoramyard.kernel.errors import Failure


class Propose(msgspec.Struct, tag="propose", frozen=True):
    """Files a signed change."""

    change: Change
    signature: str
    at: float = 0.0


class Approve(msgspec.Struct, tag="approve", frozen=True):
    """Approves a change."""

    change_id: str
    operator: str
    signature: str
    at: float = 0.0


class Roll(msgspec.Struct, tag="roll", frozen=True):
    """Puts an approved change in force."""

    change_id: str
    operator: str
    signature: str
    at: float = 0.0


class StartCall(msgspec.Struct, tag="start-call", frozen=True):
    """An agent is about to send a call that must not repeat."""

    key: str
    body_digest: str
    attempt: str
    epoch: int
    at: float = 0.0


class FinishCall(msgspec.Struct, tag="finish-call", frozen=True):
    """An agent has the whole answer of a call."""

    key: str
    attempt: str
    answer: StoredResponse
    at: float = 0.0


class CancelCall(msgspec.Struct, tag="cancel-call", frozen=True):
    """An entry gives a call up."""

    key: str
    body_digest: str
    attempt: str
    epoch: int
    at: float = 0.0


class ReportDeath(msgspec.Struct, tag="report-death", frozen=True):
    """An endpoint died while these requests ran on it."""

    death_id: str
    fingerprints: list[str]
    at: float = 0.0


class HoldSuspect(msgspec.Struct, tag="hold-suspect", frozen=True):
    """An agent asks to be the one that runs a suspect."""

    fingerprint: str
    agent: str
    at: float = 0.0


class ReleaseSuspect(msgspec.Struct, tag="release-suspect", frozen=True):
    """An agent is through with a suspect."""

    fingerprint: str
    agent: str
    clear: bool
    at: float = 0.0


class IssueOrder(msgspec.Struct, tag="issue-order", frozen=True):
    """An operator orders something of an endpoint."""

    endpoint: str
    action: str
    argument: str
    operator: str
    at: float = 0.0


class ConfigDocument(msgspec.Struct, frozen=True):
    """A fleet's whole configuration as its operator sent it.

    Attributes:
        version: The highest one rules.
        text: The bytes as they came, so that a reader gets just these.
    """

    version: int
    text: bytes


class AcceptConfig(msgspec.Struct, tag="accept-config", frozen=True):
    """An operator sends a whole configuration that was found valid."""

    document: ConfigDocument
    at: float = 0.0


Command = (
    Propose
    | Approve
    | Roll
    | StartCall
    | FinishCall
    | CancelCall
    | ReportDeath
    | HoldSuspect
    | ReleaseSuspect
    | IssueOrder
    | AcceptConfig
)


class Reply(msgspec.Struct, omit_defaults=True):
    """What applying a command came to; the field of its sort is set."""

    change: ChangeRecord | None = None
    call: LedgerView | None = None
    order: Order | None = None
    granted: bool = False
    convicted: list[str] = []
    failure: Failure | None = None
