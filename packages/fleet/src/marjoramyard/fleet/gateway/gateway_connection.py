"""The gateways that are connected to a broker server."""

import heapq
from collections.abc import Iterable

from aiohttp import web

from marjoramyard.fleet.gateway.broker_protocol import (
    HEARTBEAT_INTERVAL_SECONDS,
    BrokerMessage,
)
from marjoramyard.fleet.util.liveness import LivenessTimer

GATEWAY_TIMEOUT_SECONDS = 0.3
"""Gateways that send nothing for this long get no grants until their next
message. Gateways without queued requests or prompts being prefilled send no
heartbeats; they have nothing to suspend. The smallest hosts get their processor
in turns, with pauses of up to 0.1 s."""
MAX_PEERS = 6
"""How many gateways a gateway forwards requests to at the same time."""
REMOTE_ZONE_COST = 8
"""How many more requests a gateway in the same availability zone may have than
one in another zone and still be preferred."""


class GatewayConnection:
    """The connection of one gateway.

    To the brokers, each connection is a router.

    Attributes:
        number: Identifies the connection on this host.
        zone: The availability zone of the gateway.
        forwarding_address: Where it accepts forwarded requests; "" if nowhere.
        service: The service for which it has connected; "" if it is of a
            release that doesn't say so.
        is_local: Whether it is on the broker's host.
        is_lagging: Whether the gateway last reported that it is lagging.
        needs_peers: Whether it last reported that it wants to forward requests.
        outbox: Messages to be sent in the next frame.
        services: Services of the queued, granted and unbrokered requests, by
            the number that the gateway gave the request.
        liveness: Expires when nothing is received within
            `GATEWAY_TIMEOUT_SECONDS`.
    """

    def __init__(
        self,
        number: int,
        socket: web.WebSocketResponse,
        zone: str = "",
        forwarding_address: str = "",
        service: str = "",
        is_local: bool = False,
    ):
        self.number = number
        self.zone = zone
        self.forwarding_address = forwarding_address
        self.service = service
        self.is_local = is_local
        self.is_lagging = False
        self.needs_peers = False
        self.socket = socket
        self.outbox: list[BrokerMessage] = []
        self.services: dict[int, str] = {}
        self.liveness = LivenessTimer(
            GATEWAY_TIMEOUT_SECONDS, HEARTBEAT_INTERVAL_SECONDS
        )

    @property
    def accepts_forwarded(self) -> bool:
        """Whether other gateways may forward requests to this one."""
        return (
            bool(self.forwarding_address)
            and not self.needs_peers
            and not (self.is_lagging and self.services)
            and not self.liveness.has_expired
        )

    @property
    def router(self) -> str:
        """The name that identifies the gateway to the brokers."""
        return str(self.number)

    def key(self, number: int) -> str:
        """Returns a request's key, unique among the requests of all gateways.

        Args:
            number: The number that the gateway gave the request.
        """
        return f"{self.number}/{number}"


def is_on_this_host(request: web.Request) -> bool:
    """Returns whether a request comes from the host that serves it."""
    if request.transport is None:
        return False
    peer = request.transport.get_extra_info("peername")
    own = request.transport.get_extra_info("sockname")
    return bool(peer and own) and peer[0] == own[0]


def peers_of(
    gateway: GatewayConnection, gateways: Iterable[GatewayConnection]
) -> list[str]:
    """Returns where a gateway may forward requests; empty if not needed.

    The least busy gateways, and rather those in its availability zone.
    """
    if not gateway.needs_peers:
        return []

    def cost(peer: GatewayConnection) -> int:
        remote = peer.zone != gateway.zone
        return len(peer.services) + REMOTE_ZONE_COST * remote

    candidates = [p for p in gateways if p.accepts_forwarded]
    chosen = heapq.nsmallest(MAX_PEERS, candidates, key=cost)
    return [peer.forwarding_address for peer in chosen]
