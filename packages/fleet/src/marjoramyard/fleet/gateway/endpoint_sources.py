"""Chooses which control hosts send a gateway all changes of endpoints.

All control hosts learn of all endpoints, so one in the gateway's availability
zone is enough for most changes. Others send what must not wait for it.
"""

import math

import msgspec

from marjoramyard.fleet.sync_messages import SyncReply

SOURCE_TIMEOUT_SECONDS = 1.5
"""A control host without a reply for this time is no source; as long as a poll
may take."""
DISCOVERY_SECONDS = 0.3
"""How long a gateway that has just started waits for a reply from its own
zone before it asks the others."""
FILLING_SECONDS = 5.0
"""How long after its start a gateway may lack endpoints that a control host,
restarted at the same time, has not heard of yet."""


class ControlHostState(msgspec.Struct):
    """What a control host last replied.

    Attributes:
        zone: Its availability zone.
        is_settled: Whether it has heard of all endpoints since its start.
        is_isolated: Whether it does not hear of new endpoints.
        replied_at: When it last replied (monotonic).
    """

    zone: str
    is_settled: bool
    is_isolated: bool
    replied_at: float


class EndpointSources:
    """Chooses the control hosts that send all changes of endpoints.

    Attributes:
        zone: The availability zone of the gateway.
        started_at: When the gateway was started (monotonic).
        hosts: The control hosts that have replied, by address.
        first_reply_at: When the first of them replied (monotonic).
    """

    def __init__(self, zone: str, now: float):
        self.zone = zone
        self.started_at = now
        self.hosts: dict[str, ControlHostState] = {}
        self.first_reply_at = math.inf

    def record_reply(self, address: str, reply: SyncReply, now: float) -> None:
        """Records a reply of a control host."""
        self.first_reply_at = min(self.first_reply_at, now)
        self.hosts[address] = ControlHostState(
            reply.zone, reply.is_settled, reply.is_isolated, now
        )

    def is_source(self, address: str, now: float) -> bool:
        """Returns whether a control host should send all changes."""
        host = self.hosts.get(address)
        if host is None:
            return False
        if host.zone == self.zone:
            return True
        own = [
            other
            for other in self.hosts.values()
            if other.zone == self.zone
            and not other.is_isolated
            and now - other.replied_at < SOURCE_TIMEOUT_SECONDS
        ]
        if not own:
            return now - self.first_reply_at > DISCOVERY_SECONDS
        is_filling = now - self.started_at < FILLING_SECONDS
        return is_filling and not any(other.is_settled for other in own)
