"""Message types between self-forming control hosts and to gateways."""

from typing import Annotated, ClassVar

import msgspec

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.governance.evacuations import ZoneState
from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.membership.limits import (
    MAX_INTEGER,
    check_number,
)
from marjoramyard.coordination.membership.registrations import (
    FormerVersion,
    Registration,
)

_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = (
    r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])"
)
ProcessAddress = Annotated[
    str,
    msgspec.Meta(
        pattern=(
            rf"(?a)\A({_OCTET}(\.{_OCTET}){{3}}|\[[0-9A-Fa-f:.]{{2,45}}\])"
            rf":{_PORT}\Z"
        )
    ),
]
"""The internal address of a process, checked when it is decoded."""


class ControlHost(msgspec.Struct, frozen=True, omit_defaults=True):
    """The description of a control host.

    Attributes:
        name: The name of the host.
        address: Its internal address.
        public_address: Its address for endpoints and operators.
        zone: Its availability zone.
        replica: The replica of its data folder, or the id of a new one if
            the folder is empty; "" without a disk.
        cluster: The cluster that its replica belongs to; "" for none.
        first_start: Whether the complete fleet starts for the first time.
        entries: The last index of its log.
        observed_seconds: For how long it knows of all endpoints; 0.0 if it
            doesn't.
        is_stopped: Whether its replica is stopped, because its disk fails.
        epoch: Names its table of endpoints, which a restart empties; "" from a
            host that does not say so.
        records_versions: Whether it understands changes of the record of
            software versions.
    """

    name: str
    address: ProcessAddress
    public_address: str
    zone: str = ""
    replica: str = ""
    cluster: str = ""
    first_start: bool = False
    entries: int = 0
    observed_seconds: float = 0.0
    is_stopped: bool = False
    epoch: str = ""
    records_versions: bool = False


class SignOfLife(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that told nothing new.

    Attributes:
        sequence: Number of the heartbeat.
        digest: The digest of what it told.
    """

    sequence: int
    digest: int

    def __post_init__(self):
        """Checks the sequence.

        Raises:
            ValueError: No registration can have it.
        """
        check_number("sequence", self.sequence, MAX_INTEGER)


class HostAnnouncement(msgspec.Struct, frozen=True, omit_defaults=True):
    """A control host announces itself and registrations to another one.

    Attributes:
        words: Registrations that changed since the last announcement to the
            receiver.
        alive: Other endpoints with a heartbeat since then, by endpoint.
        former_versions: The versions that endpoints had before they started
            again under their names.
    """

    separable: ClassVar[tuple[str, ...]] = (
        "words",
        "alive",
        "former_versions",
    )

    host: ControlHost
    words: list[Registration] = []
    alive: dict[str, SignOfLife] = {}
    former_versions: list[FormerVersion] = []


class HostAnnouncementReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply of the receiving host.

    Attributes:
        host: The receiver.
        addresses: Internal addresses of the control hosts that it knows.
        leader: The leader's internal address; "" if unknown.
        unmatched: Endpoints whose signs of life do not match the receiver's
            table; it needs them in full.
    """

    separable: ClassVar[tuple[str, ...]] = ("addresses", "unmatched")

    host: ControlHost
    addresses: list[ProcessAddress]
    leader: str = ""
    unmatched: list[str] = []


class FindEndpoint(msgspec.Struct, frozen=True):
    """A control host asks another one for an endpoint that it doesn't know.

    Attributes:
        endpoint: Id of the endpoint.
    """

    endpoint: str


class FoundEndpoint(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to `FindEndpoint`.

    Attributes:
        registration: The registration in force; None if it is unknown.
    """

    registration: Registration | None = None


class SyncRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A gateway requests changes from a control host.

    Attributes:
        gateway: The gateway's incarnation.
        version: The version of its configuration.
        epoch: The registration table that `cursor` counts in.
        cursor: The last change of that table that it has applied.
        wait_seconds: How long the reply may wait for changes.
        name: The gateway's name.
        address: Its internal address.
        capacity: Processor cores that it can spare for brokering; 0 if it
            must not be a broker.
        zone_revision: The revision of its evacuated zones.
        fetches_config: Whether it fetches new configurations by a call of
            their own, so that the reply only needs their version.
        unresponsive_revision: The revision of the responder's unresponsive
            endpoints that it has; 0 from a gateway without revisions.
        urgent_only: Whether only urgent changes of endpoints are wanted.
        suspects_revision: The revision of its suspects.
        watched_revision: The revision of its watched requests.
        versions_revision: The revision of its record of software versions; -1
            for none. None from a gateway that doesn't use it.
        awaited_versions: The versions of endpoints that it does not use until
            they are recorded.
    """

    gateway: str
    version: int = 0
    epoch: str = ""
    cursor: int = 0
    wait_seconds: float = 0.0
    name: str = ""
    address: str = ""
    capacity: float = 0.0
    zone_revision: int = 0
    fetches_config: bool = False
    unresponsive_revision: int = 0
    urgent_only: bool = False
    suspects_revision: int = 0
    watched_revision: int = 0
    versions_revision: int | None = None
    awaited_versions: list[ServiceVersion] = []


class SyncReply(msgspec.Struct, omit_defaults=True):
    """Changes since a gateway's state.

    Attributes:
        epoch: The registration table that `cursor` counts in.
        cursor: The last change of that table that is included.
        confirmed: Whether a quorum has confirmed the responder's leadership
            after the request arrived. No newer configuration had been
            acknowledged by then.
        version: The version of the responder's configuration; 0 for none.
        config: The newest configuration, if the gateway has an older one and
            does not fetch it.
        words: Registrations that changed after the cursor.
        silent: Endpoints that are unresponsive; None if the gateway has this
            revision of them.
        addresses: Internal addresses of the control hosts.
        gateways: The number of gateways that synchronise with this host.
        brokers: Internal addresses of the gateways chosen as brokers, in
            order of preference; only from a confirmed leader.
        zone_revision: The revision of `evacuated_zones`; a lower one than the
            gateway's is outdated.
        evacuated_zones: Zones whose endpoints must not get new requests.
        zone: The availability zone of the responder.
        unresponsive_revision: The revision of `silent`; 0 from a responder
            without revisions, which always sends the list.
        is_settled: Whether the responder has heard of all endpoints since its
            start.
        is_isolated: Whether it has not heard of most other control hosts
            lately, so that it does not know of new endpoints.
        former_versions: The versions that endpoints had before they started
            again under their names; sent with all changes.
        versions_revision: The revision of `versions`; a lower one than the
            gateway's is outdated.
        versions: The recorded software versions of all services; None if the
            gateway has this revision.
        suspects_revision: The revision of `suspects`; a lower one than the
            gateway's is outdated.
        suspects: The requests that gateways must hold or refuse, as
            `Suspects.published`; None if the gateway has this revision.
        watched_revision: The revision of `watched`.
        watched: The requests of which gateways must tell responses; None if
            the gateway has this revision, or wants only urgent changes.
    """

    separable: ClassVar[tuple[str, ...]] = (
        "words",
        "silent",
        "addresses",
        "brokers",
        "former_versions",
    )

    epoch: str
    cursor: int
    confirmed: bool = False
    version: int = 0
    config: ConfigDocument | None = None
    words: list[Registration] = []
    silent: list[str] | None = None
    addresses: list[ProcessAddress] = []
    gateways: int = 1
    brokers: list[ProcessAddress] = []
    zone_revision: int = 0
    evacuated_zones: list[str] = []
    zone: str = ""
    unresponsive_revision: int = 0
    is_settled: bool = False
    is_isolated: bool = False
    suspects_revision: int = 0
    suspects: dict[str, float] | None = None
    watched_revision: int = 0
    watched: list[str] | None = None
    former_versions: list[FormerVersion] = []
    versions_revision: int = 0
    versions: list[ServiceVersion] | None = None


class ConfirmVersions(msgspec.Struct, frozen=True):
    """A gateway asks the leader for the software versions that there are now.

    Attributes:
        services: The services that it asks for.
        versions_revision: The revision of its record of versions; -1 for none.
    """

    services: list[str]
    versions_revision: int


class ConfirmedVersions(msgspec.Struct, frozen=True, omit_defaults=True):
    """The software versions of services, confirmed by a quorum.

    They include each version that can have begun a stream before the request
    arrived.

    Attributes:
        config_version: The version of the newest configuration; 0 for none.
        versions_revision: The revision of the record of versions.
        versions: The record of all services; None if the gateway has this
            revision.
        registered: The versions that endpoints of the requested services have,
            or have had lately, recorded or not.
    """

    config_version: int
    versions_revision: int
    versions: list[ServiceVersion] | None = None
    registered: list[ServiceVersion] = []


class PutConfig(msgspec.Struct, frozen=True):
    """Sends a validated configuration to the leader."""

    document: ConfigDocument


class StoredConfig(msgspec.Struct, frozen=True):
    """The newest configuration; None before the first one."""

    document: ConfigDocument | None = None


class ZoneStates(msgspec.Struct, frozen=True):
    """The zones with orders, by name."""

    zones: dict[str, ZoneState] = {}
