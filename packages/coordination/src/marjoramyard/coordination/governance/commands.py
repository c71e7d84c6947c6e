"""The commands carried by the replicated log, and their reply."""

import zlib

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
from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.governance.suspects import EndedRun
from marjoramyard.kernel.errors import Failure

_COMPRESSION_LEVEL = 1


class Propose(msgspec.Struct, tag="propose", frozen=True):
    """Proposes a signed change to the bundle."""

    change: Change
    signature: str
    at: float = 0.0


class Approve(msgspec.Struct, tag="approve", frozen=True):
    """Approves a proposed change."""

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
    """Starts an attempt of a non-repeatable call, before it is sent."""

    key: str
    body_digest: str
    attempt: str
    epoch: int
    at: float = 0.0


class FinishCall(msgspec.Struct, tag="finish-call", frozen=True):
    """Stores the complete response of a call."""

    key: str
    attempt: str
    answer: StoredResponse
    at: float = 0.0


class CancelCall(msgspec.Struct, tag="cancel-call", frozen=True):
    """Cancels an attempt of a call that an entry has abandoned."""

    key: str
    body_digest: str
    attempt: str
    epoch: int
    at: float = 0.0


class ReportDeath(msgspec.Struct, tag="report-death", frozen=True):
    """Reports that an endpoint died while requests were running on it.

    Attributes:
        death_id: Identifies the death in all reports of it.
        fingerprints: The requests, in reports of the first release, which
            tell no more of them.
        runs: The requests.
        seconds_ago: How long before the report the endpoint died.
    """

    death_id: str
    fingerprints: list[str] = []
    at: float = 0.0
    runs: list[EndedRun] = []
    seconds_ago: float = 0.0


class HoldSuspect(msgspec.Struct, tag="hold-suspect", frozen=True):
    """Requests the exclusive right of an agent to run a suspect."""

    fingerprint: str
    agent: str
    at: float = 0.0


class ReleaseSuspect(msgspec.Struct, tag="release-suspect", frozen=True):
    """Releases the hold on a suspect; `clear` removes the suspicion."""

    fingerprint: str
    agent: str
    clear: bool
    at: float = 0.0


class ClearSuspects(msgspec.Struct, tag="clear-suspects", frozen=True):
    """Ends the suspicion and the quarantine of requests.

    Attributes:
        fingerprints: The requests.
        cleared_by: The gateway where they completed, or the operator.
    """

    fingerprints: list[str]
    cleared_by: str
    at: float = 0.0


class IssueOrder(msgspec.Struct, tag="issue-order", frozen=True):
    """Issues an operator's order to an endpoint."""

    endpoint: str
    action: str
    argument: str
    operator: str
    at: float = 0.0


class ConfigDocument(msgspec.Struct, frozen=True):
    """A fleet's complete configuration, as sent by an operator.

    Attributes:
        version: The version; the highest one is in force.
        text: The document, byte for byte as received.
    """

    version: int
    text: bytes


class PackedConfig(msgspec.Struct, frozen=True):
    """A configuration in the log and in snapshots.

    Attributes:
        version: See `ConfigDocument`.
        packed: The compressed document.
    """

    version: int
    packed: bytes

    @classmethod
    def of(cls, document: ConfigDocument) -> "PackedConfig":
        """Returns the stored form of a configuration."""
        packed = zlib.compress(document.text, _COMPRESSION_LEVEL)
        return cls(document.version, packed)

    def document(self) -> ConfigDocument:
        """Returns the configuration as it was sent."""
        return ConfigDocument(self.version, zlib.decompress(self.packed))


class AcceptConfig(msgspec.Struct, tag="accept-config", frozen=True):
    """Submits a complete configuration that has been validated.

    Attributes:
        document: The configuration in logs of earlier releases.
        config: The configuration.
    """

    document: ConfigDocument | None = None
    at: float = 0.0
    config: PackedConfig | None = None

    def packed_config(self) -> PackedConfig:
        """Returns the configuration of a command of any release."""
        return self.config or PackedConfig.of(self.document)


class ChangeZone(msgspec.Struct, tag="change-zone", frozen=True):
    """Evacuates an availability zone, or ends its evacuation.

    Attributes:
        expected_revision: See `Evacuations.change`.
    """

    zone: str
    is_evacuated: bool
    expected_revision: int
    operator: str
    at: float = 0.0


class ChangeVersions(msgspec.Struct, tag="change-versions", frozen=True):
    """Changes the record of the services' software versions.

    Attributes:
        added: Versions whose endpoints are about to be used.
        removed: Versions without endpoints for long.
    """

    added: list[ServiceVersion] = []
    removed: list[ServiceVersion] = []
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
    | ClearSuspects
    | IssueOrder
    | AcceptConfig
    | ChangeZone
    | ChangeVersions
)


class Reply(msgspec.Struct, omit_defaults=True):
    """The result of applying a command.

    Only the fields that belong to the type of the command are set.
    """

    change: ChangeRecord | None = None
    call: LedgerView | None = None
    order: Order | None = None
    granted: bool = False
    convicted: list[str] = []
    failure: Failure | None = None
