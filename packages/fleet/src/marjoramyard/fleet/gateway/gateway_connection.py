"""The gateways that are connected to a broker server."""

import heapq
from collections import Counter, defaultdict
from collections.abc import Collection

from aiohttp import web

from marjoramyard.fleet.gateway.broker_protocol import (
    HEARTBEAT_INTERVAL_SECONDS,
    BrokerMessage,
)
from marjoramyard.fleet.gateway.peer_naming import (
    PeerDemand,
    PeerNaming,
    PeerRoom,
    usable_cores,
)
from marjoramyard.fleet.util.liveness import LivenessTimer
from marjoramyard.kernel.util.numbers import read_number

GATEWAY_TIMEOUT_SECONDS = 0.3
"""Gateways that send nothing for this long get no grants until their next
message. Gateways without queued requests or prompts being prefilled send no
heartbeats; they have nothing to suspend. The smallest hosts get their processor
in turns, with pauses of up to 0.1 s."""
NEED_KEPT_TICKS = 20
"""Heartbeat intervals for which a gateway that sends nothing still counts as
one that needs peers. An overloaded one is often late and expires for moments.
"""
DEFAULT_CORES = 1.0
PROBED_AFTER_TICKS = 2
"""Heartbeat intervals without a message after which an idle gateway is asked
for a heartbeat; one less than `GATEWAY_TIMEOUT_SECONDS`."""
MAX_PROBED = 64
"""How many gateways are asked for a heartbeat at the same time."""


class GatewayConnection:
    """The connection of one gateway.

    To the brokers, each connection is a router. A gateway has one for each
    service with engines.

    Attributes:
        number: Identifies the connection on this host.
        zone: The availability zone of the gateway.
        forwarding_address: Where it accepts forwarded requests; "" if nowhere.
        service: The service for which it has connected; "" if it is of a
            release that doesn't say so.
        is_local: Whether it is on the broker's host.
        cores: The processor cores of the gateway.
        is_lagging: Whether the gateway last reported that it is lagging.
        needs_peers: Whether it last reported that it wants to forward requests.
        excess: The prompts a second that it last reported as forwarded or
            refused.
        is_leaving: Whether it has reported that it is shutting down.
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
        cores: float = DEFAULT_CORES,
    ):
        self.number = number
        self.zone = zone
        self.forwarding_address = forwarding_address
        self.service = service
        self.is_local = is_local
        self.cores = cores
        self.is_lagging = False
        self.needs_peers = False
        self.excess = 0.0
        self.is_leaving = False
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
            and not self.is_refusing
            and not self.liveness.has_expired
        )

    @property
    def gets_peers(self) -> bool:
        """Whether it is told where it may forward requests."""
        is_known = self.liveness.missed_ticks < NEED_KEPT_TICKS
        return self.needs_peers and is_known

    @property
    def is_refusing(self) -> bool:
        """Whether the gateway has reported that it has no room for others."""
        is_slow = self.is_lagging and bool(self.services)
        return self.needs_peers or self.is_leaving or is_slow

    @property
    def requests_per_core(self) -> float:
        """Requests in progress relative to the processor of the gateway."""
        return len(self.services) / usable_cores(self.cores)

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


def read_cores(text: str) -> float:
    """Returns the processor cores that a connecting gateway has sent.

    Gateways of earlier releases send none; they count as one core.
    """
    cores = read_number(text)
    return cores if cores is not None and cores > 0 else DEFAULT_CORES


def name_all_peers(
    gateways: Collection[GatewayConnection],
) -> dict[int, list[PeerRoom]]:
    """Returns where each gateway that needs peers may forward prompts.

    By the number of the connection. A gateway has one connection for each
    service with engines.
    """
    needing = [gateway for gateway in gateways if gateway.gets_peers]
    if not needing:
        return {}
    naming = PeerNaming(_rooms(gateways))
    counts = Counter(gateway.forwarding_address for gateway in needing)
    # Without an address the connections of a gateway can't be told apart from
    # those of others.
    counts[""] = 1
    return {
        gateway.number: naming.name_peers(
            PeerDemand(
                gateway.number,
                gateway.zone,
                gateway.excess / counts[gateway.forwarding_address],
            )
        )
        for gateway in needing
    }


def _rooms(gateways: Collection[GatewayConnection]) -> list[PeerRoom]:
    """Returns the gateways that accept forwarded requests, each once."""
    by_address: defaultdict[str, list[GatewayConnection]] = defaultdict(list)
    for gateway in gateways:
        by_address[gateway.forwarding_address].append(gateway)
    return [
        PeerRoom(
            address,
            connections[0].zone,
            connections[0].cores,
            sum(len(connection.services) for connection in connections),
        )
        for address, connections in by_address.items()
        if _accept_forwarded(connections)
    ]


def _accept_forwarded(connections: Collection[GatewayConnection]) -> bool:
    """Whether the gateway with these connections accepts requests."""
    return any(
        connection.accepts_forwarded for connection in connections
    ) and not any(connection.is_refusing for connection in connections)


def gateways_to_probe(
    gateways: Collection[GatewayConnection],
) -> set[int]:
    """Returns the numbers of idle gateways that are to send a heartbeat.

    While one gateway needs peers, the idle ones must show that they are alive.
    """
    if not any(gateway.gets_peers for gateway in gateways):
        return set()
    silent = [
        gateway
        for gateway in gateways
        if gateway.forwarding_address
        and gateway.liveness.missed_ticks >= PROBED_AFTER_TICKS
    ]
    chosen = heapq.nsmallest(
        MAX_PROBED, silent, key=lambda gateway: gateway.requests_per_core
    )
    return {gateway.number for gateway in chosen}
