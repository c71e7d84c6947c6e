"""Which gateways overloaded gateways may forward prompts to."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

import msgspec

MIN_PEERS = 6
"""How many gateways an overloaded one is told of at the least."""
MAX_PEERS = 16
PROMPTS_PER_CORE = 100.0
"""Prompts a second that a core serves, with a margin for other work."""
REMOTE_ZONE_COST = 30.0
"""How many more requests per core a gateway in the same availability zone may
have than one in another zone and still be preferred."""
MIN_CORES = 0.05
"""Lower bound of what counts as a gateway's processor."""
MAX_CORES = 1.0
"""What a gateway uses of its processor at the most: its event loop runs on one
thread."""


def usable_cores(cores: float) -> float:
    """Returns the processor cores that a gateway can use."""
    return min(max(cores, MIN_CORES), MAX_CORES)


class PeerRoom(msgspec.Struct, frozen=True):
    """A gateway that accepts forwarded prompts.

    Attributes:
        address: Where it accepts them.
        zone: Its availability zone.
        cores: Its processor cores.
        requests: Its requests in progress.
    """

    address: str
    zone: str
    cores: float
    requests: int


class PeerDemand(msgspec.Struct, frozen=True):
    """A gateway that has more prompts than it can serve.

    Attributes:
        number: Identifies the gateway.
        zone: Its availability zone.
        excess: The prompts a second that it forwards or refuses.
    """

    number: int
    zone: str
    excess: float


class PeerNaming:
    """Distributes the excess of overloaded gateways over those with room.

    What one gateway is expected to send counts as load of its peers when the
    next one's peers are chosen.
    """

    def __init__(self, rooms: Iterable[PeerRoom]):
        self.rooms = list(rooms)
        self.assigned: defaultdict[str, float] = defaultdict(float)

    def name_peers(self, demand: PeerDemand) -> list[PeerRoom]:
        """Returns the peers of an overloaded gateway, the best ones first.

        As many as can serve its excess, within the limits.
        """
        candidates = heapq.nsmallest(
            MAX_PEERS, self.rooms, key=lambda room: self._cost(room, demand)
        )
        chosen: list[PeerRoom] = []
        rate = 0.0
        for room in candidates:
            if len(chosen) >= MIN_PEERS and rate >= demand.excess:
                break
            chosen.append(room)
            rate += usable_cores(room.cores) * PROMPTS_PER_CORE
        self._assign(chosen, demand.excess)
        return chosen

    def _cost(self, room: PeerRoom, demand: PeerDemand) -> float:
        """Returns the requests per core with one more request."""
        requests = room.requests + self.assigned[room.address] + 1
        remote = room.zone != demand.zone
        return requests / usable_cores(room.cores) + REMOTE_ZONE_COST * remote

    def _assign(self, chosen: list[PeerRoom], excess: float) -> None:
        total = sum(usable_cores(room.cores) for room in chosen)
        for room in chosen:
            expected = max(excess, 1.0) * usable_cores(room.cores) / total
            self.assigned[room.address] += expected
