"""What a broker has learnt of engines and workspaces, and how it changes."""

import math
from collections.abc import Mapping

import msgspec

from marjoramyard.coordination.placement.engines import EngineEstimate
from marjoramyard.coordination.placement.fair_queues import FairQueues

TOLERANCE = 0.1
"""Smaller changes of an estimate, relative to it, are not announced."""
LEAD_TOLERANCE_TOKENS = 500.0
"""Smaller changes of a virtual time are not announced, in prefill tokens."""
SIGNIFICANT_DIGITS = 4
"""The decimal digits to which announced numbers are rounded."""


class BrokerSnapshot(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a broker has learnt, for its successor.

    Attributes:
        engines: The estimates of engines that were measured.
        leads: The virtual times of workspaces, in prefill tokens above the
            least one of a workspace that becomes active. Others have that one.
    """

    engines: tuple[EngineEstimate, ...] = ()
    leads: dict[str, float] = {}


EMPTY_SNAPSHOT = BrokerSnapshot()


def take_snapshot(broker: FairQueues) -> BrokerSnapshot:
    """Returns what a broker has learnt, in few digits."""
    floor = broker.virtual_time_floor()
    leads = {
        workspace: _rounded(time - floor)
        for workspace, time in broker.virtual_time.items()
        if time - floor > LEAD_TOLERANCE_TOKENS
    }
    engines = tuple(
        _rounded_estimate(engine.estimate())
        for engine in broker.engines.values()
        if engine.rate_known_at > -math.inf
    )
    return BrokerSnapshot(engines, leads)


def _rounded(value: float) -> float:
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


def _rounded_estimate(estimate: EngineEstimate) -> EngineEstimate:
    rounded = {
        name: _rounded(value)
        for name, value in msgspec.structs.asdict(estimate).items()
        if isinstance(value, float)
    }
    return msgspec.structs.replace(estimate, **rounded)


def changes_between(
    previous: BrokerSnapshot, current: BrokerSnapshot
) -> BrokerSnapshot:
    """Returns what has changed noticeably.

    Args:
        previous: What is known already.
        current: What is to be known.

    Returns:
        The changed estimates and leads; a lead of 0.0 if it is gone.
    """
    known = {estimate.endpoint: estimate for estimate in previous.engines}
    engines = tuple(
        estimate
        for estimate in current.engines
        if _has_changed(known.get(estimate.endpoint), estimate)
    )
    return BrokerSnapshot(
        engines, _changed_leads(previous.leads, current.leads)
    )


def _changed_leads(
    previous: Mapping[str, float], current: Mapping[str, float]
) -> dict[str, float]:
    return {
        workspace: current.get(workspace, 0.0)
        for workspace in (previous | current)
        if abs(current.get(workspace, 0.0) - previous.get(workspace, 0.0))
        > max(LEAD_TOLERANCE_TOKENS, TOLERANCE * previous.get(workspace, 0.0))
    }


def _has_changed(
    previous: EngineEstimate | None, current: EngineEstimate
) -> bool:
    if previous is None:
        return True
    old = msgspec.structs.asdict(previous)
    new = msgspec.structs.asdict(current)
    return any(_differs(old[name], new[name]) for name in new)


def _differs(old: object, new: object) -> bool:
    if isinstance(old, float) and isinstance(new, float):
        return not math.isclose(old, new, rel_tol=TOLERANCE)
    return old != new


def merged(known: BrokerSnapshot, changes: BrokerSnapshot) -> BrokerSnapshot:
    """Returns a snapshot with changes applied to it."""
    engines = {estimate.endpoint: estimate for estimate in known.engines}
    engines |= {estimate.endpoint: estimate for estimate in changes.engines}
    leads = {
        workspace: lead
        for workspace, lead in (known.leads | changes.leads).items()
        if lead > 0
    }
    return BrokerSnapshot(tuple(engines.values()), leads)
