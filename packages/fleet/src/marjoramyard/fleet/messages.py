"""The typed messages between the fleet's processes."""

from typing import Any

import msgspec

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.coordination.fairness.scheduler import OfferRow
from marjoramyard.coordination.fairness.totals import TotalsDelta
from marjoramyard.coordination.governance.directory import (
    DirectoryRow,
    DirectoryUpdate,
)
from marjoramyard.coordination.governance.lifecycle import Delta
from marjoramyard.coordination.governance.orders import Order
from marjoramyard.kernel.errors import Failure


class CallTicket(msgspec.Struct):
    """What a call that must not repeat carries to the agent."""

    key: str
    body_digest: str
    epoch: int


class RunRequest(msgspec.Struct, omit_defaults=True):
    """The head of a run; the caller's body follows as the HTTP body.

    Attributes:
        attempt: The attempt's id.
        deadline_seconds: What is left of the deadline when it is sent.
        grant: The grant it uses, or "" for a direct run.
        repeatable: The system may run the request again.
        suspect: An endpoint was lost while it ran.
        call: Set for a call that must not repeat.
    """

    attempt: str
    workspace: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    deadline_seconds: float
    stall_seconds: float
    fingerprint: str
    request_class: str
    grant: str = ""
    prefix: str = ""
    repeatable: bool = False
    suspect: bool = False
    call: CallTicket | None = None


class CancelReply(msgspec.Struct):
    """Whether the attempt had been sent to the endpoint."""

    started: bool


class OfferMessage(msgspec.Struct, omit_defaults=True):
    """An entry tells an agent what waits.

    Attributes:
        whole: The rows are the whole backlog; what they lack is withdrawn.
        totals: With a whole backlog, and with the first word to an agent.
        leaving: The entry is going away; forget it.
    """

    entry: str
    address: str
    zone: str
    service: str
    sequence: int
    rows: list[OfferRow]
    totals: TotalsDelta | None = None
    whole: bool = False
    leaving: bool = False


class OfferReply(msgspec.Struct, omit_defaults=True):
    """The agent's answer to an offer; totals come if the offer had some.

    Attributes:
        entries: From how many entries the agent hears.
    """

    free: int
    entries: int = 1
    totals: TotalsDelta | None = None
    leaving: bool = False


class FreeMessage(msgspec.Struct):
    """An agent with no work tells an entry that it is busy no more."""

    agent: str
    service: str
    free: int


class GrantMessage(msgspec.Struct):
    """An agent grants a run to an entry."""

    agent: str
    address: str
    service: str
    workspace: str
    grant: str


class GrantReply(msgspec.Struct, omit_defaults=True):
    """Whether a request will use the grant.

    Attributes:
        left: How many requests of the workspace still wait there.
        prefix: The prefix digest of the next one.
    """

    taken: bool
    left: int = 0
    prefix: str = ""


class EndpointAnnouncement(msgspec.Struct, omit_defaults=True):
    """An endpoint announces itself to its agent.

    Attributes:
        name: The endpoint's name.
        incarnation: Its life; a restart changes it.
        address: Where it serves.
        state: ready or leaving.
        checks_fencing: It refuses old fencing numbers by itself.
        event_number: Number of the newest cache event.
        evicted: Prefix digests that left its cache with that event.
    """

    name: str
    incarnation: str
    address: str
    service: str
    slots: int
    state: str = "ready"
    checks_fencing: bool = False
    event_number: int = -1
    evicted: list[str] = []


class RenewRequest(msgspec.Struct, omit_defaults=True):
    """A router announces itself and asks for its lease.

    Attributes:
        known: Whether `row` is left out because the leader has it.
    """

    row: DirectoryRow
    version: int
    chain: str
    wait_seconds: float
    directory_epoch: str = ""
    directory_version: int = 0
    suspects_revision: str = ""
    order_seen: int = -1


class RenewReply(msgspec.Struct, omit_defaults=True):
    """The lease, and all that the router lacks.

    Attributes:
        rows: A snapshot of the bundle, if deltas do not reach back. A
            router decodes row by row: 24,000 decoded at once would take
            half of its memory for a moment, and the heap keeps it.
        convicted: Seconds of quarantine left, by fingerprint.
        newest_order: The endpoint's newest fencing number.
    """

    lease_seconds: float
    version: int
    chain: str
    deltas: list[Delta] = []
    rows: dict[str, msgspec.Raw] | None = None
    directory: DirectoryUpdate | None = None
    suspects_revision: str = ""
    suspects: list[str] | None = None
    convicted: dict[str, float] | None = None
    order: Order | None = None
    newest_order: int = 0


class CallLookUp(msgspec.Struct):
    """Asks a confirmed leader what the ledger says of a call."""

    key: str
    body_digest: str


class HostStatus(msgspec.Struct):
    """What a control host says of itself."""

    name: str
    replica: str
    role: str
    term: int
    leader: str
    last_index: int
    commit: int
    version: int
    membership: Membership
    synced: dict[str, int] = {}
    cluster: str = ""


class InitCluster(msgspec.Struct):
    """Forms a new cluster out of hosts that hold nothing."""

    cluster: str
    membership: Membership


class MemberChange(msgspec.Struct):
    """Changes who receives the log or votes: add, promote or remove."""

    action: str
    replica: str
    address: str = ""


class Query(msgspec.Struct):
    """Reads something from a confirmed leader."""

    subject: str
    argument: str = ""


class QueryReply(msgspec.Struct):
    """The answer to a query, as plain values."""

    value: Any


class Empty(msgspec.Struct):
    """A reply that says only that it was done."""


class FailureBody(msgspec.Struct):
    """How a failure travels in a body."""

    error: Failure
