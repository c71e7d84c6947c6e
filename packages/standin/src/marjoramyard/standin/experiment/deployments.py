"""Deployments and their loads, as described in YAML files."""

from enum import Enum
from pathlib import Path

import msgspec
import yaml

from marjoramyard.standin.experiment.engine_model import EngineParameters


class LogNormal(msgspec.Struct, frozen=True):
    """A log-normal distribution of sizes.

    Attributes:
        mean: Mean before truncation.
        spread: Standard deviation of the logarithm; 0 for a constant.
        most: Larger values are replaced by this one.
    """

    mean: float
    spread: float = 0.0
    most: float = float("inf")


class SharedPart(msgspec.Struct, frozen=True):
    """A prompt part that several requests of a kind share.

    Attributes:
        tokens: Size in tokens.
        count: Number of different parts.
        skew: Exponent of the Zipf distribution of their use.
    """

    tokens: LogNormal
    count: int
    skew: float = 0.3


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request.

    Attributes:
        per_s: Mean arrivals per second.
        objective_ms: Objective for the time to the first event.
        gap_ms: Objective for the longest gap between events.
        deadline_ms: Time after which the caller cancels the request.
        worth: Worth of a response on time.
        late_worth: Worth of a late response.
        retries: How often a refused caller retries.
        shared: Shared prompt parts, in order.
        own: Tokens of the last part, which is not shared.
        events: Events of a response.
        body_kb: Size of the request body in kilobytes.
    """

    name: str
    per_s: float
    objective_ms: float
    gap_ms: float = 300.0
    deadline_ms: float = 10_000.0
    worth: float = 1.0
    late_worth: float = 0.1
    retries: int = 1
    shared: tuple[SharedPart, ...] = ()
    own: LogNormal = LogNormal(600.0)
    events: LogNormal = LogNormal(30.0)
    body_kb: float = 2.0


class DisturbanceKind(Enum):
    """Kinds of disturbances of a load or of the fleet."""

    HOT_WORKSPACE = "hot_workspace"
    """One workspace sends `factor` times its usual load."""
    BURST = "burst"
    """The load of all kinds, or of one, is multiplied by `factor`."""
    HOT_KEY = "hot_key"
    """A share of a kind's requests uses the same shared parts."""
    IMPATIENCE = "impatience"
    """A share of callers retries at once and more often than configured."""
    CRASH = "crash"
    """Some engines are down."""
    SLOW = "slow"
    """Some engines take `factor` times as long for each step."""
    SHED = "shed"
    """Some engines turn a share of their requests away, and ask the gateway for
    a pause of `factor` seconds."""
    CRASHING_REQUEST = "crashing_request"
    """Requests, `count` of them, crash each engine that runs them, and come
    again every `factor` seconds."""
    CRASHING_PART = "crashing_part"
    """Requests that are never alike, each `factor` seconds, hold one of `count`
    prompt parts that crash each engine that runs them."""
    BROKER_LOST = "broker_lost"
    """The broker is replaced by one that has no state."""


class Disturbance(msgspec.Struct, frozen=True, kw_only=True):
    """One disturbance of a run.

    Attributes:
        at: Start, in seconds from the start of the run.
        lasts: Duration in seconds.
        count: Number of engines; for a workspace, its rank by size.
        factor: Strength; see the kind.
        share: Affected share of requests or callers.
        of_kind: The affected kind of request; "" for all.
    """

    kind: DisturbanceKind
    at: float
    lasts: float = 5.0
    count: int = 1
    factor: float = 3.0
    share: float = 0.3
    of_kind: str = ""


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Engines, workspaces and their load.

    Attributes:
        seconds: Duration of the arrivals.
        engines: Number of engines.
        speeds: Parameters of each engine.
        step_factors: How much longer than `speeds` say a step of an engine
            takes; engines use the factors in turn.
        versions: Software versions; engines have them in turn. A stream whose
            engine is lost goes on at another engine of its version. 0 if
            streams may not be resumed.
        zones: Availability zones; engines and gateways are spread over them.
        gateways: Number of gateways.
        hop_ms: One-way latency within a zone.
        cross_zone_ms: One-way latency between zones.
        tokens_per_s: Configured throughput of all engines together.
        swing: Amplitude of the load's sine wave, relative to its mean.
        workspaces: Number of workspaces.
        workspace_skew: Exponent of the Zipf distribution of their sizes.
    """

    name: str
    seconds: float = 30.0
    engines: int = 6
    speeds: EngineParameters = EngineParameters()
    step_factors: tuple[float, ...] = (1.0,)
    versions: int = 0
    zones: int = 3
    gateways: int = 9
    hop_ms: float = 0.7
    cross_zone_ms: float = 1.2
    tokens_per_s: float = 235_000.0
    swing: float = 0.15
    workspaces: int = 16
    workspace_skew: float = 1.0
    kinds: tuple[RequestKind, ...] = ()
    disturbances: tuple[Disturbance, ...] = ()


class InvalidDeploymentError(ValueError):
    """A deployment file could not be read or is invalid."""


def read_deployment(path: Path) -> Deployment:
    """Reads a deployment file.

    Raises:
        InvalidDeploymentError: The file is unreadable or invalid.
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(document, Deployment)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise InvalidDeploymentError(
            f"{path}: {error}; correct the deployment file"
        ) from error
