"""Messages of self-forming control hosts, and of gateways that follow them."""

import msgspec

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.membership.registrations import Registration


class ControlHost(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a control host says of itself.

    Attributes:
        address: Its internal address.
        public_address: Where endpoints and operators reach it.
        replica: The id of its data folder's present life; "" without a disk.
        cluster: The cluster that its folder belongs to; "" for none.
        first_start: The whole fleet starts for the first time.
        entries: How many entries its log has ever had.
    """

    name: str
    address: str
    public_address: str
    zone: str = ""
    replica: str = ""
    cluster: str = ""
    first_start: bool = False
    entries: int = 0


class HostAnnouncement(msgspec.Struct, frozen=True):
    """A control host tells another of itself and of registrations.

    Attributes:
        words: What it has heard of endpoints since its last announcement
            to the receiver.
    """

    host: ControlHost
    words: list[Registration] = []


class HostAnnouncementReply(msgspec.Struct, frozen=True):
    """What the receiver is, and the addresses of those it heard lately."""

    host: ControlHost
    addresses: list[str]
    leader: str = ""


class SyncRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A gateway asks one control host for what is new.

    Attributes:
        gateway: The incarnation that asks.
        version: The configuration that it has.
        epoch: The responder's table that `cursor` counts in.
        cursor: The last change of that table that it has.
        wait_seconds: How long the answer may wait for news.
        name: The gateway's host.
        address: Its internal address.
        capacity: How much processor it has to spare for brokering, in
            cores; 0 if it must not be a broker.
    """

    gateway: str
    version: int = 0
    epoch: str = ""
    cursor: int = 0
    wait_seconds: float = 0.0
    name: str = ""
    address: str = ""
    capacity: float = 0.0


class SyncReply(msgspec.Struct, omit_defaults=True):
    """What is new.

    Attributes:
        confirmed: A quorum has said, after the request came in, that the
            responder leads; so no newer configuration than this one had
            been acknowledged when it was asked.
        config: The newest configuration, if the gateway has an older one.
        words: Registrations that changed after the cursor.
        silent: Endpoints that no control host has heard for too long.
        addresses: Internal addresses of the control hosts.
        gateways: How many gateways ask this host.
        brokers: Internal addresses of gateways that may broker, the ones
            with most capacity first; only a confirmed leader says so.
    """

    epoch: str
    cursor: int
    confirmed: bool = False
    version: int = 0
    config: ConfigDocument | None = None
    words: list[Registration] = []
    silent: list[str] = []
    addresses: list[str] = []
    gateways: int = 1
    brokers: list[str] = []


class PutConfig(msgspec.Struct, frozen=True):
    """Hands a valid configuration to the leader."""

    document: ConfigDocument


class StoredConfig(msgspec.Struct, frozen=True):
    """The newest configuration; None before the first one."""

    document: ConfigDocument | None = None
