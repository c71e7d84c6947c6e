"""Messages between gateways and the broker of a service.

Gateways and brokers exchange JSON arrays of messages over a WebSocket.
"""

import msgspec

from marjoramyard.coordination.placement.snapshots import BrokerSnapshot
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.util.separable import EntriesDecoder
from marjoramyard.kernel.ids import StreamKey

BROKER_PATH = "/fleet/v1/broker"
ZONE_PARAMETER = "zone"
"""The query parameter with the availability zone of a connecting gateway."""
FORWARDING_PARAMETER = "forwarding"
"""The query parameter with the address at which a connecting gateway accepts
forwarded requests; "" for none."""
SERVICE_PARAMETER = "service"
"""The query parameter with the service for which a gateway connects."""
CORES_PARAMETER = "cores"
"""The query parameter with the processor cores of a connecting gateway."""
PREFIX_PROTOCOL = "broker-2"
"""The WebSocket protocol of brokers that know `CachedPrefix`. A broker of an
earlier release does not select it, and would reject unknown messages."""
NOTICE_PROTOCOL = "broker-3"
"""The same for brokers and gateways that know `EndpointPause` and
`EndpointLeaving` too."""
HANDOVER_PROTOCOL = "broker-4"
"""The same for those that know `SnapshotAnnouncement`, `SnapshotHandover` and
the age of a `RunningRequest` too."""
STREAM_PROTOCOL = "broker-5"
"""The same for those that know `StreamsBegun`, `StreamQuery` and `StreamReply`
too."""
BROKER_PROTOCOLS = (
    STREAM_PROTOCOL,
    HANDOVER_PROTOCOL,
    NOTICE_PROTOCOL,
    PREFIX_PROTOCOL,
)
"""The latest one first."""
HEARTBEAT_INTERVAL_SECONDS = 0.1
BROKER_TIMEOUT_SECONDS = 0.4
"""A broker from which nothing was received for so long is considered
unresponsive. Requests are then placed by the gateway's own estimates. Three
missed heartbeats, so that a short pause of a busy host does not count."""


def includes(selected: str | None, protocol: str) -> bool:
    """Returns whether a peer knows the messages of a protocol.

    Args:
        selected: The protocol that was selected with the peer; None if it is of
            a release before all of them.
        protocol: One of `BROKER_PROTOCOLS`.
    """
    oldest = BROKER_PROTOCOLS.index(protocol)
    return selected in BROKER_PROTOCOLS[: oldest + 1]


def _decode_parts(parts: list[tuple[str, int]]) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(digest, size) for digest, size in parts)


class PlaceRequest(msgspec.Struct, tag="ask", omit_defaults=True):
    """A gateway requests an endpoint for a request.

    Attributes:
        number: Identifies the request on this connection.
        service: The service that the request is for.
        workspace: The workspace of the caller; "" on open routes.
        parts: The prompt parts, as (digest, tokens).
        output_tokens: The maximum number of output tokens.
        due_ms: Milliseconds until the first token is due.
        left_ms: Milliseconds until the caller's deadline.
        without: Endpoints that must not be chosen.
        is_overdue: Whether the objective had passed before this attempt.
    """

    number: int
    service: str
    workspace: str
    parts: list[tuple[str, int]]
    output_tokens: int
    due_ms: float
    left_ms: float
    without: list[str] = []
    is_overdue: bool = False

    def prompt(self) -> tuple[PromptPart, ...]:
        """Returns the prompt parts."""
        return _decode_parts(self.parts)


class Withdraw(msgspec.Struct, tag="withdraw"):
    """The caller of a queued request has disconnected."""

    number: int


class FirstToken(msgspec.Struct, tag="first", omit_defaults=True):
    """The first token of a request has arrived at the gateway.

    Attributes:
        is_late: The gateway's event loop is lagging, so the token may have
            arrived earlier.
    """

    number: int
    is_late: bool = False


class Finished(msgspec.Struct, tag="ended", omit_defaults=True):
    """A request is no longer at its endpoint.

    Attributes:
        failed: The endpoint failed to respond.
        gap_ratio: The longest gap between two events of its stream, relative to
            the objective for it; 0.0 if unknown.
    """

    number: int
    failed: bool = False
    gap_ratio: float = 0.0


class RunningRequest(msgspec.Struct, tag="running", omit_defaults=True):
    """A request that is running without a grant of this broker.

    Attributes:
        tokens: Prompt tokens that are still to be prefilled.
        memory: Tokens of engine memory, without shared prompt parts.
        output_tokens: The maximum number of output tokens.
        age_ms: How long ago it was sent, in milliseconds.
    """

    number: int
    service: str
    endpoint: str
    tokens: float
    memory: float
    workspace: str = ""
    output_tokens: int = 0
    age_ms: float = 0.0


class CachedPrefix(msgspec.Struct, tag="cached"):
    """A gateway has recently sent these shared prompt parts to an engine.

    Sent to a new broker.

    Attributes:
        parts: The shared prompt parts, as (digest, tokens).
    """

    service: str
    endpoint: str
    parts: list[tuple[str, int]]

    def prompt(self) -> tuple[PromptPart, ...]:
        """Returns the prompt parts."""
        return _decode_parts(self.parts)


class EndpointPause(msgspec.Struct, tag="pause"):
    """An endpoint has asked the gateway for a pause.

    Sent at once, and for all pauses to a new broker.

    Attributes:
        pause_ms: Milliseconds for which the gateway must not send to it.
    """

    service: str
    endpoint: str
    pause_ms: float


class EndpointLeaving(msgspec.Struct, tag="leaving"):
    """An endpoint has said in a response that it is leaving.

    A gateway tells the broker, which tells the other gateways.

    Attributes:
        born: The start of the endpoint's lifetime, in Unix milliseconds.
    """

    service: str
    endpoint: str
    born: int


class SnapshotAnnouncement(msgspec.Struct, tag="snapshot", omit_defaults=True):
    """A broker tells a gateway what its successor should know.

    Attributes:
        service: The service of the broker.
        snapshot: What has changed since the last announcement on this
            connection, or all.
        sent_ms: When it was sent, in milliseconds of the broker's monotonic
            clock.
        is_full: Whether it replaces what was announced before.
    """

    service: str
    snapshot: BrokerSnapshot
    sent_ms: int
    is_full: bool = False


class SnapshotHandover(msgspec.Struct, tag="handover"):
    """A gateway tells a new broker what the last one has announced.

    Attributes:
        service: The service of the broker.
        snapshot: All that was announced.
        age_ms: Milliseconds since the last announcement.
    """

    service: str
    snapshot: BrokerSnapshot
    age_ms: float


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream.

    Attributes:
        key: The stream.
        version: The software version of the endpoint that began it.
        left_ms: For how many milliseconds it is remembered.
        is_ambiguous: Whether streams of several versions have this key.
    """

    key: StreamKey
    version: str
    left_ms: int
    is_ambiguous: bool = False


class StreamsBegun(msgspec.Struct, tag="streams"):
    """Streams that endpoints of a service have begun.

    A gateway tells its broker before the caller has the first event, and tells
    a new broker all that it knows. The broker tells a few other gateways.
    """

    service: str
    streams: list[BegunStream]


class StreamQuery(msgspec.Struct, tag="stream?"):
    """A gateway asks which software version began a stream.

    Attributes:
        number: Identifies the query on this connection.
    """

    number: int
    service: str
    key: StreamKey


class StreamReply(msgspec.Struct, tag="stream", omit_defaults=True):
    """The broker's reply to a query.

    Attributes:
        version: The software version; None if the stream is not known.
        is_ambiguous: Whether streams of several versions have this key.
        is_final: Whether gateways have had the time to tell this broker of
            their streams.
    """

    number: int
    version: str | None = None
    is_ambiguous: bool = False
    is_final: bool = False


class PlaceGrant(msgspec.Struct, tag="grant", omit_defaults=True):
    """The request may be sent to this endpoint now.

    Attributes:
        fetch_from: The endpoint to fetch cached prompt parts from; "" for none.
        tokens: Prompt tokens that the endpoint is expected to prefill.
        is_cold: Whether the endpoint is cold. The grant then expires.
    """

    number: int
    endpoint: str
    fetch_from: str = ""
    tokens: float = 0.0
    is_cold: bool = False


class PlaceRefusal(msgspec.Struct, tag="refuse", omit_defaults=True):
    """The request would miss its deadline or objective; it has not run.

    Attributes:
        retry_after_ms: Milliseconds after which the caller may retry.
        predicted_ms: The predicted time until the first token, in milliseconds.
        over_ms: Milliseconds for which an equal request would be refused again.
    """

    number: int
    retry_after_ms: float
    predicted_ms: float
    over_ms: float = 0.0


class Heartbeat(msgspec.Struct, tag="beat", omit_defaults=True):
    """The sender is alive.

    A broker sends heartbeats all the time, a gateway while it has requests that
    are queued or being prefilled, while it needs peers, and when it is asked.

    Attributes:
        is_late: The sender's event loop is lagging.
        needs_peers: From a gateway, whether it wants to forward requests.
        excess: From a gateway, the prompts a second that it forwards or
            refuses.
        is_leaving: From a gateway, whether it is shutting down.
        peers: From a broker, addresses of gateways that have room for requests
            of the receiver.
        peer_cores: The processor cores of each of these gateways.
        is_probe: From a broker, whether it asks for a heartbeat.
    """

    is_late: bool = False
    needs_peers: bool = False
    excess: float = 0.0
    is_leaving: bool = False
    peers: list[str] = []
    peer_cores: list[float] = []
    is_probe: bool = False


GatewayMessage = (
    PlaceRequest
    | Withdraw
    | FirstToken
    | Finished
    | RunningRequest
    | CachedPrefix
    | EndpointPause
    | EndpointLeaving
    | SnapshotHandover
    | StreamsBegun
    | StreamQuery
    | Heartbeat
)
BrokerMessage = (
    PlaceGrant
    | PlaceRefusal
    | EndpointLeaving
    | SnapshotAnnouncement
    | StreamsBegun
    | StreamReply
    | Heartbeat
)

gateway_message_decoder = EntriesDecoder("GatewayMessage", GatewayMessage)
broker_message_decoder = EntriesDecoder("BrokerMessage", BrokerMessage)
