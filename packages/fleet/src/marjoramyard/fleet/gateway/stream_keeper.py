"""The software versions of streams, at the side of the brokers."""

import time
from collections.abc import Mapping

from marjoramyard.coordination.serving.stream_versions import (
    StreamOrigin,
    StreamVersions,
)
from marjoramyard.fleet.gateway.broker_handovers import choose_holders
from marjoramyard.fleet.gateway.broker_protocol import (
    STREAM_PROTOCOL,
    StreamQuery,
    StreamReply,
    StreamsBegun,
    includes,
)
from marjoramyard.fleet.gateway.gateway_connection import GatewayConnection

MAX_COPIES = 2
"""To how many other gateways a broker passes each stream on."""
SETTLED_SECONDS = 1.5
"""How long after its first connection a broker may lack streams. By then the
gateways of a lost broker have connected to its successor."""


class StreamKeeper:
    """Keeps the versions of streams for the gateways of a broker host.

    A broker knows the streams of a gateway that was killed. Should it be lost
    with the gateway, those that it has passed its streams on to tell the next
    broker.

    Attributes:
        streams: The streams that this host knows.
        gateways: The open connections, by number.
        holders: The gateways that streams are passed on to, by service.
        served_since: When the first of the connected gateways of a service
            connected, by service.
        has_changed: Whether connections have come or gone since `refresh`.
    """

    def __init__(
        self,
        streams: StreamVersions,
        gateways: Mapping[int, GatewayConnection],
    ):
        self.streams = streams
        self.gateways = gateways
        self.holders: dict[str, list[GatewayConnection]] = {}
        self.served_since: dict[str, float] = {}
        self.has_changed = False

    def refresh(self) -> None:
        """Updates the holders, if connections have come or gone.

        Hundreds of gateways may connect at the same time.
        """
        if not self.has_changed:
            return
        self.has_changed = False
        by_service: dict[str, list[GatewayConnection]] = {}
        for gateway in self.gateways.values():
            if includes(gateway.socket.ws_protocol, STREAM_PROTOCOL):
                by_service.setdefault(gateway.service, []).append(gateway)
        now = time.monotonic()
        self.served_since = {
            service: self.served_since.get(service, now)
            for service in by_service
        }
        self.holders = {
            service: choose_holders(self.holders.get(service, ()), connections)
            for service, connections in by_service.items()
        }

    def on_begun(
        self, sender: GatewayConnection, message: StreamsBegun
    ) -> None:
        """Records streams, and passes them on."""
        record_streams(self.streams, message)
        holders = self.holders.get(message.service, ())
        others = [gateway for gateway in holders if gateway is not sender]
        for gateway in others[:MAX_COPIES]:
            gateway.outbox.append(message)

    def on_query(
        self, gateway: GatewayConnection, message: StreamQuery
    ) -> None:
        """Replies to a query."""
        now = time.monotonic()
        origin = self.streams.find(message.key, now)
        reply = StreamReply(message.number)
        if origin is not None and origin.service == message.service:
            reply.version = origin.version
            reply.is_ambiguous = origin.is_ambiguous
        since = self.served_since.get(message.service, now)
        reply.is_final = now - since >= SETTLED_SECONDS
        gateway.outbox.append(reply)


def record_streams(streams: StreamVersions, message: StreamsBegun) -> None:
    """Records the streams of a message."""
    now = time.monotonic()
    for stream in message.streams:
        origin = StreamOrigin(
            message.service, stream.version, stream.is_ambiguous
        )
        streams.record(stream.key, origin, now, stream.left_ms / 1000)
