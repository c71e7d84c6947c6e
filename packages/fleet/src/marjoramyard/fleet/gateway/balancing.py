"""Which prompts an overloaded gateway serves and which it forwards.

While one workspace overloads a gateway, its prompts are forwarded first. The
gateway serves only as many of them as its processor is left for: a forwarded
prompt takes a fraction of the processor time of a served one.
"""

import math
from enum import Enum

import msgspec

from marjoramyard.fleet.gateway.overload import LATE_SECONDS

MIN_OWN_LIMIT = 4.0
"""Lower bound of the prompts of a dominant workspace that are served here."""
FIRST_OWN_SHARE = 0.5
"""Share of the limit on prompts in service that is tried first."""
OWN_DECREASE_FACTOR = 0.5
OWN_INCREASE_STEP = 0.5
"""Added at each punctual wake-up while the own limit is in use."""
IN_USE_SHARE = 0.8
BUSY_SHARE = 0.7
"""Share of the processor above which prompts are rather forwarded. The rest is
for other requests, and for connections to more peers."""


class Decision(Enum):
    """What a gateway does with a prompt."""

    SERVE = "serve"
    FORWARD = "forward"
    REFUSE = "refuse"


class GatewayLoad(msgspec.Struct, frozen=True):
    """The load of a gateway.

    Attributes:
        limit: The limit on prompts in service.
        active: Prompts in service.
        forwarded: Prompts that are being forwarded.
        max_forwarded: The limit on these.
        processor_share: The used share of the processor, from 0.0 to 1.0.
        has_peers: Whether other gateways have room.
        is_overloaded: Whether the limit was reached recently.
    """

    limit: float
    active: int
    forwarded: int
    max_forwarded: float
    processor_share: float
    has_peers: bool
    is_overloaded: bool

    @property
    def can_forward(self) -> bool:
        """Whether another prompt can be forwarded."""
        return self.has_peers and self.forwarded < self.max_forwarded


class BalancingPolicy:
    """Decides which prompts a gateway serves, forwards and refuses.

    Attributes:
        own_limit: The prompts in service up to which those of a dominant
            workspace are served here; infinite while there is no overload.
    """

    def __init__(self):
        self.own_limit = float("inf")

    def on_wake_up(self, late_seconds: float, load: GatewayLoad) -> None:
        """Adapts the own limit to the latency of the event loop.

        Args:
            late_seconds: How late a scheduled wake-up of the loop was.
            load: The load of the gateway.
        """
        if not load.is_overloaded:
            self.own_limit = float("inf")
            return
        if math.isinf(self.own_limit):
            self.own_limit = max(load.limit * FIRST_OWN_SHARE, MIN_OWN_LIMIT)
        if late_seconds > LATE_SECONDS:
            reduced = min(self.own_limit, load.active) * OWN_DECREASE_FACTOR
            self.own_limit = max(reduced, MIN_OWN_LIMIT)
        elif (
            load.active >= self.own_limit * IN_USE_SHARE
            and load.processor_share < BUSY_SHARE
        ):
            self.own_limit += OWN_INCREASE_STEP

    def decide(
        self, load: GatewayLoad, is_admitted: bool, is_dominant: bool
    ) -> Decision:
        """Returns what to do with a prompt.

        Args:
            load: The load of the gateway.
            is_admitted: Whether the limit allows to serve it. It always does
                for workspaces below an even share.
            is_dominant: Whether its workspace has most of the prompts.
        """
        if load.is_overloaded and is_dominant and load.has_peers:
            return self._decide_for_dominant(load, is_admitted)
        if is_admitted:
            return Decision.SERVE
        return Decision.FORWARD if load.can_forward else Decision.REFUSE

    def _decide_for_dominant(
        self, load: GatewayLoad, is_admitted: bool
    ) -> Decision:
        may_serve = is_admitted and load.active < self.own_limit
        if may_serve and load.processor_share < BUSY_SHARE:
            return Decision.SERVE
        if load.can_forward:
            return Decision.FORWARD
        # Served, the prompt would take the processor time of several that are
        # forwarded.
        return Decision.SERVE if may_serve else Decision.REFUSE
