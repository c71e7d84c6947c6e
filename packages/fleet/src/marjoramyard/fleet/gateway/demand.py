"""What a gateway knows of its load, and its decisions on prompts."""

import time
from collections import Counter
from collections.abc import Callable

from marjoramyard.fleet.gateway.balancing import (
    MIN_OWN_LIMIT,
    BalancingPolicy,
    Decision,
    GatewayLoad,
)
from marjoramyard.fleet.gateway.overload import (
    FORWARDING,
    IN_USE_SHARE,
    LATE_SECONDS,
    ConcurrencyLimit,
)
from marjoramyard.fleet.gateway.peer_naming import MAX_CORES
from marjoramyard.fleet.util.rates import RateMeter

OVERLOADED_SECONDS = 2.0
"""How long after an overload a gateway is told of others that have room, and
gets no requests of others itself."""
PROCESSOR_SECONDS = 0.3
"""Time over which the use of the processor is averaged."""
MIN_OWN_CORES = 0.01
"""Lower bound of what counts as the gateway's own processor."""
EXCESS_SECONDS = 1.0
"""Time over which the rate of forwarded and refused prompts is averaged."""


class GatewayDemand:
    """The prompts of a gateway relative to its processor.

    Attributes:
        cores: The processor cores of the gateway.
        limit: The limit on prompts in service.
        forwarding_limit: The limit on prompts being forwarded.
        max_forwarded: The most prompts to forward at the same time.
        max_outgoing: The most connections to endpoints and to peers.
        free_callers: Returns how many more callers' connections may be used.
        policy: Decides on prompts.
        processor: The processor time used in a second.
        excess: The prompts a second that are forwarded or refused.
        overloaded_at: When a prompt was last forwarded or refused, on the
            monotonic clock in seconds.
        expected: Prompts that are about to be in service, by workspace. A late
            event loop reads many prompts before it handles the first.
        beyond_count: The prompts that were forwarded or refused so far.
        forwarded_to: Forwarded prompts by peer since the last report.
    """

    def __init__(self, cores: float = 1.0):
        self.cores = cores
        self.limit = ConcurrencyLimit()
        self.forwarding_limit = ConcurrencyLimit(FORWARDING)
        self.max_forwarded = 0
        self.max_outgoing = 0
        self.free_callers: Callable[[], float] = lambda: float("inf")
        self.policy = BalancingPolicy()
        self.processor = RateMeter(time.process_time, PROCESSOR_SECONDS)
        self.expected: Counter[str] = Counter()
        self.beyond_count = 0
        self.excess = RateMeter(lambda: self.beyond_count, EXCESS_SECONDS)
        self.overloaded_at = float("-inf")
        self.forwarded_to: Counter[str] = Counter()

    @property
    def is_overloaded(self) -> bool:
        """Whether prompts were forwarded or refused recently."""
        return time.monotonic() - self.overloaded_at < OVERLOADED_SECONDS

    @property
    def is_checked(self) -> bool:
        """Whether prompts may have to be forwarded or refused."""
        in_use = self.limit.total >= self.limit.limit * IN_USE_SHARE
        return in_use or self.is_overloaded

    @property
    def processor_share(self) -> float:
        """The used share of the processor that the event loop can use."""
        usable = min(max(self.cores, MIN_OWN_CORES), MAX_CORES)
        return self.processor.rate / usable

    def on_wake_up(self, late_seconds: float) -> None:
        """Adapts all limits to the latency of the event loop.

        A late gateway serves fewer prompts before it forwards fewer.

        Args:
            late_seconds: How late a scheduled wake-up of the loop was.
        """
        self.processor.measure()
        self.excess.measure()
        is_late = late_seconds > LATE_SECONDS
        can_serve_fewer = (
            self.limit.total > MIN_OWN_LIMIT
            and self.policy.own_limit > MIN_OWN_LIMIT
        )
        if not (is_late and can_serve_fewer):
            self.forwarding_limit.on_wake_up(late_seconds)
        self.limit.on_wake_up(late_seconds)
        self.policy.on_wake_up(late_seconds, self.load(has_peers=True))

    def load(self, has_peers: bool) -> GatewayLoad:
        """Returns the current load.

        Args:
            has_peers: Whether other gateways have room.
        """
        active = self.limit.total + self.expected.total()
        return GatewayLoad(
            limit=self.limit.limit,
            active=active,
            forwarded=self.forwarding_limit.total,
            max_forwarded=min(
                self.forwarding_limit.limit,
                self.max_forwarded,
                self.max_outgoing - active,
                self.forwarding_limit.total + self.free_callers(),
            ),
            processor_share=self.processor_share,
            has_peers=has_peers,
            is_overloaded=self.is_overloaded,
        )

    def decide(self, workspace: str, has_peers: bool) -> Decision:
        """Returns what to do with a prompt.

        Args:
            workspace: The workspace that it belongs to.
            has_peers: Whether other gateways have room.
        """
        forwarded = self.forwarding_limit.active
        return self.policy.decide(
            self.load(has_peers),
            self.limit.admits(workspace, self.expected),
            self.limit.is_dominant(workspace, forwarded),
        )

    def expect(self, workspace: str) -> None:
        """Counts a prompt that is about to be in service."""
        self.expected[workspace] += 1

    def unexpect(self, workspace: str) -> None:
        """Discounts a prompt once it is in service or was refused."""
        self.expected[workspace] -= 1
        if not self.expected[workspace]:
            del self.expected[workspace]

    def note_excess(self) -> None:
        """Counts a prompt that is forwarded or refused."""
        self.beyond_count += 1
        self.overloaded_at = time.monotonic()

    def on_forwarded(self, workspace: str, peer: str) -> None:
        """Counts a prompt that starts to be forwarded."""
        self.note_excess()
        self.forwarded_to[peer] += 1
        self.forwarding_limit.enter(workspace)

    def on_ended(self, workspace: str) -> None:
        """Discounts a forwarded prompt."""
        self.forwarding_limit.leave(workspace)

    def pop_forwarded_counts(self) -> Counter[str]:
        """Returns the forwarded prompts since the last call, by peer."""
        forwarded, self.forwarded_to = self.forwarded_to, Counter()
        return forwarded
