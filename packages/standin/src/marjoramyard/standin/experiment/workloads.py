"""Generates the requests of a simulation run."""

import bisect
import itertools
import math
import random
from collections.abc import Sequence

import msgspec

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.deployments import (
    Deployment,
    Disturbance,
    DisturbanceKind,
    LogNormal,
    RequestKind,
)

_SWING_PERIOD_SECONDS = 11.0
"""Period of the sine wave of the load."""
_FIRST_RANK = 1


class Request(msgspec.Struct, kw_only=True):
    """One request of a caller, before its first attempt.

    Attributes:
        arrival_ms: Milliseconds from the start.
        output_tokens: Tokens that the engine will generate, unknown to the
            policy.
        max_output_tokens: The caller's limit of generated tokens.
        hint_tokens: The caller's estimate of generated tokens.
        is_impatient: Whether the caller retries at once after a refusal.
        crashes: The name of a request that crashes engines, or of the part of
            its prompt that does; "" for others.
        is_unique: Whether no other request is alike, though it crashes engines.
    """

    number: int
    arrival_ms: float
    kind: RequestKind
    workspace: str
    gateway: int
    parts: tuple[PromptPart, ...]
    output_tokens: int
    max_output_tokens: int
    hint_tokens: int
    is_impatient: bool = False
    crashes: str = ""
    is_unique: bool = False

    @property
    def fingerprint(self) -> str:
        """Identifies the request, also when it is sent again."""
        if self.crashes and not self.is_unique:
            return self.crashes
        return f"r{self.number}"

    @property
    def prompt_tokens(self) -> int:
        """The length of the complete prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def throughput_tokens(self) -> float:
        """The cost in units of the configured throughput."""
        return self.prompt_tokens + 2.0 * self.output_tokens

    @property
    def size(self) -> float:
        """The size in prompt tokens; a generated token counts as ten."""
        return self.prompt_tokens + 10.0 * self.output_tokens


def draw(rng: random.Random, distribution: LogNormal) -> int:
    """Draws a size of at least 1."""
    if not distribution.spread:
        return max(1, round(min(distribution.mean, distribution.most)))
    mu = math.log(distribution.mean) - distribution.spread**2 / 2
    drawn = rng.lognormvariate(mu, distribution.spread)
    return max(1, round(min(drawn, distribution.most)))


class ZipfSampler:
    """Draws indices from 0 with a Zipf distribution."""

    def __init__(self, count: int, skew: float):
        weights = [
            rank**-skew for rank in range(_FIRST_RANK, count + _FIRST_RANK)
        ]
        self.cumulative_weights = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        """Returns an index; lower ones are more likely."""
        return bisect.bisect(
            self.cumulative_weights, rng.random() * self.cumulative_weights[-1]
        )


class Workload:
    """Generates the arrivals of one run as inhomogeneous Poisson processes."""

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.shared_parts: dict[tuple[str, int, int], PromptPart] = {}
        self.samplers = {
            (kind.name, position): ZipfSampler(part.count, part.skew)
            for kind in deployment.kinds
            for position, part in enumerate(kind.shared)
        }
        ranks = range(_FIRST_RANK, deployment.workspaces + _FIRST_RANK)
        self.weights = [rank**-deployment.workspace_skew for rank in ranks]
        self.hot = [
            disturbance
            for disturbance in deployment.disturbances
            if disturbance.kind is DisturbanceKind.HOT_WORKSPACE
        ]

    def requests(self) -> list[Request]:
        """Returns all requests in order of arrival."""
        requests = []
        for kind in self.deployment.kinds:
            requests += self._of_kind(kind)
        requests.sort(key=lambda request: request.arrival_ms)
        for number, request in enumerate(requests):
            request.number = number
        return requests

    def _of_kind(self, kind: RequestKind) -> list[Request]:
        total = sum(self.weights)
        at, requests = 0.0, []
        end = self.deployment.seconds * 1000
        peak = self._peak(kind)
        while True:
            at += self.rng.expovariate(kind.per_s * peak) * 1000
            if at >= end:
                return requests
            weights = self._weights_at(at / 1000)
            factor = sum(weights) / total * self._factor(kind, at / 1000)
            if self.rng.random() * peak < factor:
                requests.append(self._draw_request(kind, at, weights))

    def _peak(self, kind: RequestKind) -> float:
        seconds = range(int(self.deployment.seconds) + 1)
        total = sum(self.weights)
        highest = max(
            sum(self._weights_at(float(second)))
            / total
            * self._burst(kind, float(second))
            for second in seconds
        )
        return (1 + self.deployment.swing) * max(1.0, highest) * 1.3

    def _weights_at(self, second: float) -> list[float]:
        weights = list(self.weights)
        for disturbance in self.hot:
            if _is_active(disturbance, second):
                index = min(disturbance.count, len(weights)) - 1
                weights[index] *= disturbance.factor
        return weights

    def _factor(self, kind: RequestKind, second: float) -> float:
        phase = 2 * math.pi * second / _SWING_PERIOD_SECONDS
        wave = 1 + self.deployment.swing * math.sin(phase)
        return wave * self._burst(kind, second)

    def _burst(self, kind: RequestKind, second: float) -> float:
        factor = 1.0
        for disturbance in self.deployment.disturbances:
            if (
                disturbance.kind is DisturbanceKind.BURST
                and _is_active(disturbance, second)
                and disturbance.of_kind in ("", kind.name)
            ):
                factor *= disturbance.factor
        return factor

    def _draw_request(
        self, kind: RequestKind, at: float, weights: Sequence[float]
    ) -> Request:
        rng = self.rng
        own = PromptPart(f"own-{kind.name}-{at:.4f}", draw(rng, kind.own))
        events = draw(rng, kind.events)
        stride = self.deployment.speeds.event_tokens
        output = max(1, (events - 1) * stride + rng.randint(1, stride))
        hint = output * rng.lognormvariate(0.0, 0.5)
        max_events = kind.events.most
        workspace = rng.choices(range(len(weights)), weights)[0]
        return Request(
            number=0,
            arrival_ms=at,
            kind=kind,
            workspace=f"w{workspace}",
            gateway=rng.randrange(self.deployment.gateways),
            parts=(*self._shared(kind, at / 1000), own),
            output_tokens=output,
            max_output_tokens=int(max_events * stride)
            if max_events < 1e9
            else 2 * output,
            hint_tokens=max(1, round(hint)),
            is_impatient=rng.random() < self._impatience(at / 1000),
        )

    def _shared(self, kind: RequestKind, second: float) -> list[PromptPart]:
        parts, path = [], 0
        is_hot = any(
            disturbance.kind is DisturbanceKind.HOT_KEY
            and _is_active(disturbance, second)
            and disturbance.of_kind in ("", kind.name)
            and self.rng.random() < disturbance.share
            for disturbance in self.deployment.disturbances
        )
        for position, part in enumerate(kind.shared):
            drawn = self.samplers[kind.name, position].draw(self.rng)
            index = 0 if is_hot else drawn
            path = path * part.count + index
            key = (kind.name, position, path)
            if key not in self.shared_parts:
                tokens = draw(self.rng, part.tokens)
                digest = f"{kind.name}-{position}-{path}"
                self.shared_parts[key] = PromptPart(digest, tokens)
            parts.append(self.shared_parts[key])
        return parts

    def _impatience(self, second: float) -> float:
        return sum(
            disturbance.share
            for disturbance in self.deployment.disturbances
            if disturbance.kind is DisturbanceKind.IMPATIENCE
            and _is_active(disturbance, second)
        )


def _is_active(disturbance: Disturbance, second: float) -> bool:
    return disturbance.at <= second < disturbance.at + disturbance.lasts
