"""Descriptions of deployments and loads, read from YAML."""

from enum import Enum
from pathlib import Path

import msgspec
import yaml

from marjoramyard.standin.experiment.engine_model import EngineSpeeds


class Spread(msgspec.Struct, frozen=True):
    """A log-normal size.

    Attributes:
        mean: Its mean.
        spread: The standard deviation of its logarithm.
        most: Larger draws are cut to this.
    """

    mean: float
    spread: float = 0.0
    most: float = float("inf")


class SharedPart(msgspec.Struct, frozen=True):
    """A part of prompts that requests of a kind share.

    Attributes:
        tokens: Its size.
        count: How many different ones there are.
        skew: How uneven their use is (the exponent of a Zipf law).
    """

    tokens: Spread
    count: int
    skew: float = 0.3


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request.

    Attributes:
        per_s: Its arrivals a second.
        objective_ms: The first event is on time within this.
        gap_ms: The longest pause between events that is on time.
        deadline_ms: When its caller gives up.
        worth: What an answer on time is worth to its caller.
        late_worth: The same for a late one.
        retries: How often a refused caller comes back.
        shared: The shared parts, in order.
        own: Tokens of the last part.
        events: Events of an answer.
        body_kb: The size of the request.
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
    own: Spread = Spread(600.0)
    events: Spread = Spread(30.0)
    body_kb: float = 2.0


class DisturbanceKind(Enum):
    """What may happen during a play."""

    HOT_WORKSPACE = "hot_workspace"
    """One workspace sends `factor` times its usual."""
    BURST = "burst"
    """Everybody, or one kind, sends `factor` times the usual."""
    HOT_KEY = "hot_key"
    """A share of a kind's requests is about one thing."""
    IMPATIENCE = "impatience"
    """A share of callers repeats at once and `factor` times more often."""
    CRASH = "crash"
    """Some engines are down."""
    SLOW = "slow"
    """Some engines take `factor` times as long."""
    BROKER_LOST = "broker_lost"
    """A broker with no memory takes over after the time."""


class Disturbance(msgspec.Struct, frozen=True, kw_only=True):
    """One disturbance of a play.

    Attributes:
        at: Seconds from the start.
        lasts: Seconds.
        count: How many engines; for a workspace, its rank by size.
        factor: How strong.
        share: Part of the requests or callers.
        of_kind: The kind of request; "" for all.
    """

    kind: DisturbanceKind
    at: float
    lasts: float = 5.0
    count: int = 1
    factor: float = 3.0
    share: float = 0.3
    of_kind: str = ""


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Engines, workspaces and the load they get.

    Attributes:
        seconds: How long requests arrive.
        engines: How many.
        zones: Availability zones; engines and callers are spread over them.
        gateways: Callers of a gateway share its link to the broker.
        hop_ms: One way within a zone.
        cross_zone_ms: One way between zones.
        tokens_per_s: What the configuration says that all engines make.
        swing: How far the load goes up and down around its mean.
        workspaces: How many.
        workspace_skew: How uneven they are.
    """

    name: str
    seconds: float = 30.0
    engines: int = 6
    speeds: EngineSpeeds = EngineSpeeds()
    zones: int = 3
    gateways: int = 9
    hop_ms: float = 0.7
    cross_zone_ms: float = 1.2
    tokens_per_s: float = 235_000.0
    swing: float = 0.15
    workspaces: int = 16
    workspace_skew: float = 1.0
    kinds: tuple[Kind, ...] = ()
    disturbances: tuple[Disturbance, ...] = ()


class UnreadableDeploymentError(ValueError):
    """A description that can't be read; says what to mend."""


def read_deployment(path: Path) -> Deployment:
    """Reads a description.

    Raises:
        UnreadableDeploymentError: It isn't one.
    """
    try:
        plain = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(plain, Deployment)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise UnreadableDeploymentError(f"{path}: {error}; mend it") from error
