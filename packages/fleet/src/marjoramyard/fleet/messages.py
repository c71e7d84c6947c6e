"""The message types of internal calls between the fleet's processes."""

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
from marjoramyard.coordination.membership.limits import (
    MAX_SLOTS,
    check_address,
    check_name,
    check_number,
    check_text,
)
from marjoramyard.kernel.errors import Failure


class CallTicket(msgspec.Struct):
    """The ledger entry of a non-idempotent call, for the agent.

    Attributes:
        key: The idempotency key.
        body_digest: The digest of the request body.
        epoch: The number of the call's cancellations when it was admitted.
    """

    key: str
    body_digest: str
    epoch: int


class RunRequest(msgspec.Struct, omit_defaults=True):
    """The header of an attempt; the caller's body follows as the HTTP body.

    Attributes:
        attempt: The attempt's id.
        deadline_seconds: The time left until the request's deadline.
        stall_seconds: The longest time without response data.
        grant: The grant that the attempt uses, or "" for a direct attempt.
        repeatable: Whether the system may run the request again.
        suspect: Whether an endpoint was lost while the request ran.
        call: Set for a non-idempotent call.
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
    """The reply to a cancellation.

    Attributes:
        started: Whether the attempt had been sent to the endpoint.
    """

    started: bool


class OfferMessage(msgspec.Struct, omit_defaults=True):
    """An entry offers its queued requests to an agent.

    Attributes:
        sequence: Increases with each offer of the entry.
        whole: The rows are the complete backlog; missing rows are withdrawn.
        totals: Sent with a complete backlog and with the first offer.
        leaving: The entry is shutting down and is to be removed.
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
    """The agent's reply to an offer.

    Attributes:
        free: The number of free slots.
        entries: The number of entries that make offers to the agent.
        totals: Sent if the offer had totals.
        leaving: The agent is shutting down.
        pause_seconds: How long its endpoint still pauses; 0.0 if it doesn't.
    """

    free: int
    entries: int = 1
    totals: TotalsDelta | None = None
    leaving: bool = False
    pause_seconds: float = 0.0


class FreeSlotsMessage(msgspec.Struct):
    """An agent without queued work reports free slots to an entry."""

    agent: str
    service: str
    free: int


class GrantMessage(msgspec.Struct):
    """An agent grants a slot to an entry, for a request of a workspace."""

    agent: str
    address: str
    service: str
    workspace: str
    grant: str


class GrantReply(msgspec.Struct, omit_defaults=True):
    """The entry's reply to a grant.

    Attributes:
        taken: Whether a request will use the grant.
        left: The number of the workspace's requests still queued there.
        prefix: The prefix digest of the next one.
    """

    taken: bool
    left: int = 0
    prefix: str = ""


class EndpointAnnouncement(msgspec.Struct, omit_defaults=True):
    """An endpoint announces itself to its agent.

    Attributes:
        name: The endpoint's name.
        incarnation: The id of its process; a restart changes it.
        address: Its serving address.
        slots: The number of requests it serves concurrently.
        state: ready or leaving.
        checks_fencing: Whether it refuses old fencing numbers itself.
        event_number: The number of the newest cache event.
        evicted: Prefix digests that were evicted with that event.
        version: The version of its software; "" if unknown.
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
    version: str = ""

    def __post_init__(self):
        """Checks what the agent and the control hosts rely on.

        Raises:
            ValueError: A value can't be used.
        """
        check_name("name", self.name)
        check_name("incarnation", self.incarnation)
        check_name("service", self.service)
        check_address("address", self.address)
        check_number("slots", self.slots, MAX_SLOTS)
        check_text("version", self.version)


class RenewRequest(msgspec.Struct, omit_defaults=True):
    """A router announces itself and requests a renewal of its lease.

    Attributes:
        row: The router's row in the directory.
        version: The version of its bundle.
        chain: The digest of its bundle's history; "" requests a snapshot.
        wait_seconds: How long the reply may wait for changes.
        directory_epoch: The directory that `directory_version` counts in.
        directory_version: The version of its directory.
        suspects_revision: The revision of its set of suspects.
        order_seen: The newest fencing number that it knows; -1 for none.
        zone_revision: The revision of its evacuated zones.
    """

    row: DirectoryRow
    version: int
    chain: str
    wait_seconds: float
    directory_epoch: str = ""
    directory_version: int = 0
    suspects_revision: str = ""
    order_seen: int = -1
    zone_revision: int = 0


class RenewReply(msgspec.Struct, omit_defaults=True):
    """A renewed lease, with all changes since the router's state.

    Attributes:
        lease_seconds: The length of the lease, from the request's sending.
        version: The version of the bundle in force.
        chain: The digest of its history.
        deltas: Changes of the bundle since the router's version.
        rows: A snapshot of the bundle, if there are no deltas since that
            version. Rows are decoded one by one, to bound the memory used.
        directory: Changes of the directory, for entries.
        suspects: All suspects, if they changed.
        convicted: The rest of each quarantine in seconds, by fingerprint.
        held_parts: Prompt parts that need a hold after their quarantine.
        order: The newest order to the agent's endpoint.
        newest_order: The endpoint's newest fencing number.
        zone_revision: The revision of `evacuated_zones`.
        evacuated_zones: Zones whose endpoints must not get new requests.
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
    held_parts: list[str] = []
    order: Order | None = None
    newest_order: int = 0
    zone_revision: int = 0
    evacuated_zones: list[str] = []


class CallLookUp(msgspec.Struct):
    """Requests the ledger's entry for a call from the leader."""

    key: str
    body_digest: str


class HostStatus(msgspec.Struct):
    """The status of a control host.

    Attributes:
        leader: The internal address of the leader; "" if unknown.
        commit: The commit index.
        version: The version of the bundle in force.
        synced: The last synced log index by replica; from the leader only.
    """

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
    """Initialises an empty control host as a member of a cluster.

    Attributes:
        cluster: The id of the cluster.
        membership: The initial members; empty if the host joins later.
    """

    cluster: str
    membership: Membership


class MemberChange(msgspec.Struct):
    """Changes the membership of the cluster by one replica.

    Attributes:
        action: add (as a learner), promote (to a voter) or remove.
        address: The internal address, if the replica is added.
    """

    action: str
    replica: str
    address: str = ""


class Query(msgspec.Struct):
    """Reads a part of the control state from the leader.

    Attributes:
        subject: The name of the query.
        argument: An id, for some queries.
    """

    subject: str
    argument: str = ""


class QueryReply(msgspec.Struct):
    """The result of a query, in JSON types."""

    value: Any


class Empty(msgspec.Struct):
    """An empty request or reply."""


class FailureBody(msgspec.Struct):
    """The HTTP body of a failure."""

    error: Failure
