"""Messages between gateways and the broker of a service."""

import msgspec

from marjoramyard.coordination.routing.table import PromptPart

BROKER_PATH = "/fleet/v1/broker"
HEARTBEAT_INTERVAL_SECONDS = 0.1
"""How often a broker says that it is there."""
BROKER_TIMEOUT_SECONDS = 0.4
"""A broker that was not heard for so long is frozen or cut off. Requests
then go by the gateway's own estimates; three missed beats, and a short
pause of a busy host is not taken for one."""


class PlaceRequest(msgspec.Struct, tag="ask", omit_defaults=True):
    """A gateway asks where a request may run.

    Attributes:
        number: Names the request on this connection.
        service: The service it is for.
        parts: Its prompt, as (digest, tokens).
        due_ms: When its first token is due, from now.
        left_ms: When its caller gives up, from now.
        without: Endpoints that it must not go to.
    """

    number: int
    service: str
    workspace: str
    parts: list[tuple[str, int]]
    output_tokens: int
    due_ms: float
    left_ms: float
    without: list[str] = []

    def prompt(self) -> tuple[PromptPart, ...]:
        """Returns the parts as typed ones."""
        return tuple(PromptPart(digest, size) for digest, size in self.parts)


class Withdraw(msgspec.Struct, tag="withdraw"):
    """The caller of a waiting request has left."""

    number: int


class FirstToken(msgspec.Struct, tag="first", omit_defaults=True):
    """The first token of a request came.

    Attributes:
        is_late: The gateway is short of processor, so the token may have
            come some time ago.
    """

    number: int
    is_late: bool = False


class Finished(msgspec.Struct, tag="ended", omit_defaults=True):
    """A request is no longer at its endpoint.

    Attributes:
        failed: The endpoint did not answer it.
    """

    number: int
    failed: bool = False


class RunningRequest(msgspec.Struct, tag="running"):
    """A request that runs though this broker has not granted it."""

    number: int
    service: str
    endpoint: str
    tokens: float
    memory: float
    workspace: str = ""
    output_tokens: int = 0


class PlaceGrant(msgspec.Struct, tag="grant", omit_defaults=True):
    """The request may go to this endpoint now."""

    number: int
    endpoint: str
    fetch_from: str = ""
    tokens: float = 0.0


class PlaceRefusal(msgspec.Struct, tag="refuse", omit_defaults=True):
    """The request would be late; it has not run.

    Attributes:
        over_ms: For so long the same would be refused again.
    """

    number: int
    retry_after_ms: float
    predicted_ms: float
    over_ms: float = 0.0


class Heartbeat(msgspec.Struct, tag="beat", omit_defaults=True):
    """The sender is there.

    A broker says so all the time, a gateway while it has requests that wait
    or are being read.

    Attributes:
        is_late: The sender is short of processor.
    """

    is_late: bool = False


GatewayMessage = (
    PlaceRequest | Withdraw | FirstToken | Finished | RunningRequest | Heartbeat
)
BrokerMessage = PlaceGrant | PlaceRefusal | Heartbeat

gateway_message_decoder = msgspec.json.Decoder(list[GatewayMessage])
broker_message_decoder = msgspec.json.Decoder(list[BrokerMessage])
