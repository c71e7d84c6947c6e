"""Draws which faults strike when, from a seed alone."""

import random
from enum import Enum

import msgspec

LEAD_SECONDS = 3.0
"""Calm at the start, so that a fault meets a fleet that serves."""
GAP_SECONDS = 0.7
"""Mean pause between faults. Most last for seconds, so several overlap."""
DISK_GAP_SECONDS = 9.0
"""Between two lost disks: a new voter is caught up in some 4 s and an
election in between takes 2.4 s. Two at once are more than is promised."""


class Target(Enum):
    """What a fault strikes."""

    CONTROL = "control"
    GATEWAY = "gateway"
    ENDPOINT = "endpoint"
    OPERATOR = "operator"


class FaultKind(Enum):
    """What happens, seen from outside the process."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    WIPE = "wipe"
    DELAY = "delay"
    RESET = "reset"
    CUT = "cut"
    CUT_REPLIES = "cut-replies"
    SILENCE = "silence"
    CRASH = "crash"
    LEAVE = "leave"
    SLOW_DISK = "slow-disk"
    FULL_DISK = "full-disk"
    CLOCK_STEP = "clock-step"
    CONFIG = "config"
    STORM = "storm"
    REVOKE = "revoke"
    SPLIT = "split"


LINK_FAULTS = (
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.CUT,
    FaultKind.CUT_REPLIES,
    FaultKind.SILENCE,
)
PROCESS_FAULTS = (FaultKind.KILL, FaultKind.PAUSE, FaultKind.STOP)
CONTROL_FAULTS = (
    *PROCESS_FAULTS,
    *LINK_FAULTS,
    FaultKind.WIPE,
    FaultKind.SLOW_DISK,
    FaultKind.FULL_DISK,
    FaultKind.CLOCK_STEP,
    FaultKind.SPLIT,
)
CHOICES: dict[Target, tuple[FaultKind, ...]] = {
    Target.CONTROL: CONTROL_FAULTS,
    Target.GATEWAY: (*PROCESS_FAULTS, *LINK_FAULTS),
    Target.ENDPOINT: (*LINK_FAULTS, FaultKind.CRASH, FaultKind.LEAVE),
    Target.OPERATOR: (FaultKind.CONFIG, FaultKind.STORM, FaultKind.REVOKE),
}
WEIGHTS = {
    Target.CONTROL: 4,
    Target.GATEWAY: 3,
    Target.ENDPOINT: 3,
    Target.OPERATOR: 4,
}


class Size(msgspec.Struct, frozen=True):
    """How many of each there are."""

    controls: int = 3
    gateways: int = 3
    endpoints: int = 4
    callers: int = 6


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        at: Seconds from the start of traffic.
        seconds: How long it lasts.
        number: Which of its targets, from 0.
    """

    at: float
    target: Target
    kind: FaultKind
    number: int
    seconds: float


def make_plan(seed: int, seconds: float, size: Size) -> list[Fault]:
    """Draws the faults of a run; the same ones for the same arguments."""
    rng = random.Random(seed)
    counts = {
        Target.CONTROL: size.controls,
        Target.GATEWAY: size.gateways,
        Target.ENDPOINT: size.endpoints,
        Target.OPERATOR: 1,
    }
    faults: list[Fault] = []
    at = LEAD_SECONDS
    disk_free_at = 0.0
    while at < seconds:
        target = rng.choices([*WEIGHTS], [*WEIGHTS.values()])[0]
        kind = rng.choice(CHOICES[target])
        length = rng.choice((0.3, 1.0, 2.0, 4.0))
        # A series strikes the same kind of thing several times in a row.
        for _ in range(rng.choice((1, 1, 1, 3))):
            if kind is FaultKind.WIPE:
                if at < disk_free_at:
                    break
                disk_free_at = at + length + DISK_GAP_SECONDS
            number = rng.randrange(counts[target])
            faults.append(Fault(at, target, kind, number, length))
            at += rng.choice((0.05, 0.3))
        at += rng.expovariate(1 / GAP_SECONDS)
    return faults
