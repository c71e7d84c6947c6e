"""A table of endpoints that register themselves by heartbeat.

Heartbeats arrive late, out of order, at several nodes and from endpoints
that have ended since. Every node merges what it hears by the same rules, so
all tables come to agree whichever way the news took.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

DEPARTED_RETENTION_SECONDS = 120.0
"""How long an ended lifetime is remembered. A heartbeat held up by a
partition arrives when that heals; the users' partitions last for minutes at
the most, and one record takes some 200 bytes."""


class EndpointState(Enum):
    """What an endpoint says of itself, or did last."""

    READY = "ready"
    DRAINING = "draining"
    DEPARTED = "departed"


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """The newest word of one endpoint.

    Attributes:
        endpoint: Its id.
        service: The service that it runs.
        address: Where it takes requests, as IP:PORT.
        availability_zone: Where it stands.
        slots: Requests that it runs at once.
        state: Whether it takes work.
        sequence: Counts its heartbeats, from anew at each start.
        born: The Unix millisecond of its start; 0 if it did not say.
    """

    endpoint: str
    service: str
    address: str
    availability_zone: str = ""
    slots: int = 1
    state: EndpointState = EndpointState.READY
    sequence: int = 0
    born: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Orders the words of one endpoint; the greatest one holds.

        Departed is final for a lifetime, and draining is not taken back:
        a "ready" that was sent before either and arrives later changes
        nothing, whatever its number.
        """
        rank = 0
        if self.state is EndpointState.DEPARTED:
            rank = 1
        return (self.born, rank, self.sequence)


class Registrations:
    """The endpoints that one node knows of."""

    def __init__(self):
        self.by_endpoint: dict[str, Registration] = {}
        self.received_at: dict[str, float] = {}
        self.by_address: dict[str, str] = {}

    def merge(self, word: Registration, now: float) -> bool:
        """Takes in a word; returns whether it changed what is known.

        Args:
            word: What an endpoint, or another node, says.
            now: Seconds on any steady clock.
        """
        held = self.by_endpoint.get(word.endpoint)
        if held is not None and word.precedence <= held.precedence:
            return False
        if not self._claims_address(word):
            return False
        self.received_at[word.endpoint] = now
        self.by_endpoint[word.endpoint] = word
        return held is None or _differs(held, word)

    def _claims_address(self, word: Registration) -> bool:
        """Gives an address to the endpoint that started there last.

        An endpoint that ended without a word leaves its address to another.
        A heartbeat of the first that was held up on its way would bring it
        back, and requests would go to a stranger.
        """
        holder = self.by_endpoint.get(self.by_address.get(word.address, ""))
        if holder is not None and holder.endpoint != word.endpoint:
            if holder.state is not EndpointState.DEPARTED:
                if holder.born > word.born:
                    return False
                self.by_endpoint[holder.endpoint] = msgspec.structs.replace(
                    holder, state=EndpointState.DEPARTED
                )
        if word.state is not EndpointState.DEPARTED:
            self.by_address[word.address] = word.endpoint
        return True

    def mark_departed(self, endpoint: str, now: float) -> Registration | None:
        """Ends the present lifetime of an endpoint, if it is known."""
        held = self.by_endpoint.get(endpoint)
        if held is None or held.state is EndpointState.DEPARTED:
            return None
        gone = msgspec.structs.replace(held, state=EndpointState.DEPARTED)
        self.merge(gone, now)
        return gone

    def seconds_since_received(self, endpoint: str, now: float) -> float:
        """Returns for how many seconds nothing was heard of an endpoint."""
        return now - self.received_at.get(endpoint, now)

    def usable(self, service: str) -> list[Registration]:
        """Returns the endpoints of a service that take new work."""
        return [
            word
            for word in self.by_endpoint.values()
            if word.service == service and word.state is EndpointState.READY
        ]

    def all(self) -> Iterable[Registration]:
        """Returns all that is known."""
        return self.by_endpoint.values()

    def expire_departed(self, now: float) -> None:
        """Drops lifetimes that ended long ago."""
        for endpoint, word in list(self.by_endpoint.items()):
            if word.state is not EndpointState.DEPARTED:
                continue
            if (
                self.seconds_since_received(endpoint, now)
                > DEPARTED_RETENTION_SECONDS
            ):
                del self.by_endpoint[endpoint]
                del self.received_at[endpoint]
                if self.by_address.get(word.address) == endpoint:
                    del self.by_address[word.address]


def _differs(held: Registration, word: Registration) -> bool:
    """Whether more than the number of the heartbeat is new."""
    same = msgspec.structs.replace(held, sequence=word.sequence)
    return same != word
