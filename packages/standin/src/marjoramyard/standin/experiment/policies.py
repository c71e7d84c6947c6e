"""The placement policies that experiments can compare, by name."""

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

PREFILL_SHARE = 1.8
"""Initial prefill rate relative to the configured throughput."""


class Policy(Protocol):
    """A placement policy, with the interface of the broker.

    Attributes:
        quarantines: Whether gateways refuse requests that crash engines.
        honours_pauses: Whether gateways send nothing to engines that have
            asked them for a pause.
    """

    honours_pauses: bool
    quarantines: bool

    def pause(self, router: str, endpoint: str, until: float) -> None:
        """Excludes an engine from the choices for a router."""

    def set_engines(self, usable) -> None:
        """Sets the engines that accept requests."""

    def submit(
        self, request: PlacementRequest, now: float
    ) -> PlacementRefusal | None:
        """Queues a request, or refuses it at once."""

    def dispatch(self, now: float) -> list[PlacementGrant | PlacementRefusal]:
        """Returns the grants and refusals that are due."""

    def record_first_token(self, key: str, now: float) -> None:
        """Records the arrival of a request's first event."""

    def record_longest_gap(self, key: str, ratio: float) -> None:
        """Records the longest gap of a long stream that has ended."""

    def finish(self, key: str) -> None:
        """Records that a request has ended at its engine."""

    def cancel(self, key: str) -> None:
        """Removes a queued request whose caller has left."""

    def add_unbrokered(self, sent: UnbrokeredRequest, now: float) -> None:
        """Adds a request that was sent without a grant of this policy."""

    def expire(self, now: float) -> list[PlacementRefusal]:
        """Returns refusals of queued requests whose deadline has passed."""


PolicyMaker = Callable[[Deployment, random.Random], Policy]
POLICIES: Registry[PolicyMaker] = Registry("policy")


def engine_profile(deployment: Deployment) -> EngineProfile:
    """Returns the engine profile of the deployment's configuration."""
    speeds = deployment.speeds
    return EngineProfile(
        slots=speeds.slots,
        memory_tokens=speeds.memory_tokens,
        token_bytes=speeds.token_bytes,
        link_mbps=speeds.link_mbps,
    )


def configured_prefill_rate(deployment: Deployment) -> float:
    """Returns an engine's initial prefill rate in tokens per millisecond."""
    per_engine = deployment.tokens_per_s / deployment.engines
    return PREFILL_SHARE * per_engine / 1000


class ImmediatePolicy:
    """Base of policies that grant each request at once, without a queue."""

    honours_pauses = False
    quarantines = True

    def __init__(self, deployment: Deployment, rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.engines: list[str] = []
        self.running: dict[str, int] = {}
        self.in_flight: dict[str, str] = {}
        self.granted: list[PlacementGrant] = []

    def choose(self, request: PlacementRequest) -> str:
        """Returns the name of an engine for a request."""
        raise NotImplementedError

    def set_engines(self, usable) -> None:
        """Sets the engines that accept requests."""
        self.engines = sorted(usable)

    def submit(
        self, request: PlacementRequest, now: float
    ) -> PlacementRefusal | None:
        """Grants the request at once; refuses it if there is no engine."""
        if not self.engines:
            return PlacementRefusal(request.key, 400.0, 0.0)
        engine = self.choose(request)
        self.in_flight[request.key] = engine
        self.running[engine] = self.running.get(engine, 0) + 1
        self.granted.append(
            PlacementGrant(request.key, engine, "", request.prompt_tokens)
        )
        return None

    def dispatch(self, now: float) -> list[PlacementGrant | PlacementRefusal]:
        """Returns the grants since the last call."""
        granted, self.granted = self.granted, []
        return granted

    def record_first_token(self, key: str, now: float) -> None:
        """Does nothing, as the policy does not use it."""

    def record_longest_gap(self, key: str, ratio: float) -> None:
        """Does nothing, as the policy does not use it."""

    def finish(self, key: str) -> None:
        """Records that a request has ended at its engine."""
        engine = self.in_flight.pop(key, None)
        if engine is not None:
            self.running[engine] -= 1

    def pause(self, router: str, endpoint: str, until: float) -> None:
        """Does nothing, as the policy does not use it."""

    def cancel(self, key: str) -> None:
        """Does nothing, as no request is queued."""

    def add_unbrokered(self, sent: UnbrokeredRequest, now: float) -> None:
        """Adds a request that was sent without a grant of this policy."""
        self.in_flight[sent.key] = sent.endpoint
        running = self.running.get(sent.endpoint, 0)
        self.running[sent.endpoint] = running + 1

    def expire(self, now: float) -> list[PlacementRefusal]:
        """Returns nothing, as no request is queued."""
        return []


@POLICIES.register("random")
class RandomPolicy(ImmediatePolicy):
    """Chooses an engine at random."""

    def choose(self, request: PlacementRequest) -> str:
        """Returns the name of an engine for a request."""
        return self.rng.choice(self.engines)


@POLICIES.register("round-robin")
class RoundRobinPolicy(ImmediatePolicy):
    """Chooses the engines in turn."""

    turn = 0

    def choose(self, request: PlacementRequest) -> str:
        """Returns the name of an engine for a request."""
        self.turn += 1
        return self.engines[self.turn % len(self.engines)]


@POLICIES.register("least-connections")
class LeastConnectionsPolicy(ImmediatePolicy):
    """Chooses the engine with the fewest requests in flight."""

    def choose(self, request: PlacementRequest) -> str:
        """Returns the name of an engine for a request."""
        return min(
            self.engines,
            key=lambda name: (self.running.get(name, 0), self.rng.random()),
        )


@POLICIES.register("prefix-hash")
class PrefixHashPolicy(ImmediatePolicy):
    """Chooses the preferred engine of the most specific shared part."""

    def choose(self, request: PlacementRequest) -> str:
        """Returns the name of an engine for a request."""
        key, _, _ = split_parts(request.parts)
        return preferred_engine(key, self.engines)


class PausingBroker(Broker):
    """The broker of gateways that keep the pauses engines ask for."""

    honours_pauses = True
    quarantines = True


class UntoldBroker(PausingBroker):
    """Is not told of pauses; gateways return grants."""

    def pause(self, router: str, endpoint: str, until: float) -> None:
        """Does nothing."""


class UnheedingBroker(PausingBroker):
    """The broker of gateways that ignore pauses."""

    honours_pauses = False


class ForgetfulBroker(PausingBroker):
    """The broker of gateways that keep no record of crashing requests."""

    quarantines = False


def _register_broker(name: str, broker: type[Broker]) -> None:
    def make(deployment: Deployment, rng: random.Random) -> Broker:
        made = broker(
            engine_profile(deployment), configured_prefill_rate(deployment)
        )
        made.set_router_count(deployment.gateways)
        return made

    POLICIES.register(name)(make)


_register_broker("broker", PausingBroker)
_register_broker("pauses-ignored", UnheedingBroker)
_register_broker("pauses-untold", UntoldBroker)
_register_broker("crashes-ignored", ForgetfulBroker)
