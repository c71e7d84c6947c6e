"""Policies of placement by name, and the simple ones to compare with."""

import random
from collections.abc import Callable
from typing import Protocol

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.local_placement import (
    preferred_engine,
    split_parts,
)
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
    UnbrokeredRequest,
)
from marjoramyard.coordination.routing.config import EngineProfile
from marjoramyard.kernel.registry import Registry
from marjoramyard.standin.experiment.deployments import Deployment

READ_SHARE = 1.8
"""What a gateway takes of the configured throughput as the rate of reading."""


class Policy(Protocol):
    """What decides; the product's broker is one."""

    def set_engines(self, usable) -> None:
        """Says which engines take work now."""

    def submit(
        self, ask: PlacementRequest, now: float
    ) -> PlacementRefusal | None:
        """Takes in a request."""

    def dispatch(self, now: float) -> list[PlacementGrant | PlacementRefusal]:
        """Decides what may be decided now."""

    def record_first_token(self, key: str, now: float) -> None:
        """The first event of a request came."""

    def finish(self, key: str) -> None:
        """A request is no longer at its engine."""

    def cancel(self, key: str) -> None:
        """The caller of a waiting request has left."""

    def add_unbrokered(self, sent: UnbrokeredRequest, now: float) -> None:
        """Counts a request that was sent under another broker."""

    def expire(self, now: float) -> list[PlacementRefusal]:
        """Refuses what waits although its caller's time is over."""


PolicyMaker = Callable[[Deployment, random.Random], Policy]
POLICIES: Registry[PolicyMaker] = Registry("policy")


def profile_of(deployment: Deployment) -> EngineProfile:
    """Returns what a configuration says of the engines."""
    speeds = deployment.speeds
    return EngineProfile(
        slots=speeds.slots,
        memory_tokens=speeds.memory_tokens,
        token_bytes=speeds.token_bytes,
        link_mbps=speeds.link_mbps,
    )


def configured_rate(deployment: Deployment) -> float:
    """Returns the rate of reading that a broker begins with."""
    each = deployment.tokens_per_s / deployment.engines
    return READ_SHARE * each / 1000


class ImmediatePolicy:
    """Sends each request at once to an engine that `choose` names."""

    def __init__(self, deployment: Deployment, rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.engines: list[str] = []
        self.running: dict[str, int] = {}
        self.in_flight: dict[str, str] = {}
        self.granted: list[PlacementGrant] = []

    def choose(self, ask: PlacementRequest) -> str:
        """Returns an engine."""
        raise NotImplementedError

    def set_engines(self, usable) -> None:
        """Says which engines take work now."""
        self.engines = sorted(usable)

    def submit(
        self, ask: PlacementRequest, now: float
    ) -> PlacementRefusal | None:
        """Grants at once."""
        if not self.engines:
            return PlacementRefusal(ask.key, 400.0, 0.0)
        engine = self.choose(ask)
        self.in_flight[ask.key] = engine
        self.running[engine] = self.running.get(engine, 0) + 1
        self.granted.append(
            PlacementGrant(ask.key, engine, "", ask.prompt_tokens)
        )
        return None

    def dispatch(self, now: float) -> list[PlacementGrant | PlacementRefusal]:
        """Returns what was granted."""
        granted, self.granted = self.granted, []
        return granted

    def record_first_token(self, key: str, now: float) -> None:
        """Is of no use here."""

    def finish(self, key: str) -> None:
        """Counts an end."""
        engine = self.in_flight.pop(key, None)
        if engine is not None:
            self.running[engine] -= 1

    def cancel(self, key: str) -> None:
        """Nothing waits here."""

    def add_unbrokered(self, sent: UnbrokeredRequest, now: float) -> None:
        """Counts a request that was sent under another broker."""
        self.in_flight[sent.key] = sent.endpoint
        running = self.running.get(sent.endpoint, 0)
        self.running[sent.endpoint] = running + 1

    def expire(self, now: float) -> list[PlacementRefusal]:
        """Nothing waits here."""
        return []


@POLICIES.register("random")
class RandomPolicy(ImmediatePolicy):
    """Any engine."""

    def choose(self, ask: PlacementRequest) -> str:
        """Returns an engine."""
        return self.rng.choice(self.engines)


@POLICIES.register("round-robin")
class RoundRobinPolicy(ImmediatePolicy):
    """One engine after the other."""

    turn = 0

    def choose(self, ask: PlacementRequest) -> str:
        """Returns an engine."""
        self.turn += 1
        return self.engines[self.turn % len(self.engines)]


@POLICIES.register("least-connections")
class LeastConnectionsPolicy(ImmediatePolicy):
    """The engine with the fewest requests."""

    def choose(self, ask: PlacementRequest) -> str:
        """Returns an engine."""
        return min(
            self.engines,
            key=lambda name: (self.running.get(name, 0), self.rng.random()),
        )


@POLICIES.register("prefix-hash")
class PrefixHashPolicy(ImmediatePolicy):
    """The home of the request's most particular shared part."""

    def choose(self, ask: PlacementRequest) -> str:
        """Returns an engine."""
        key, _, _ = split_parts(ask.parts)
        return preferred_engine(key, self.engines)


@POLICIES.register("broker")
def make_broker(deployment: Deployment, rng: random.Random) -> Broker:
    """Returns the product's broker."""
    return Broker(profile_of(deployment), configured_rate(deployment))
