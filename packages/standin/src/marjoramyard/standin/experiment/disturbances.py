"""Disturbances of engines and of the broker during a run."""

import functools
from typing import TYPE_CHECKING

from marjoramyard.coordination.placement.requests import UnbrokeredRequest
from marjoramyard.standin.experiment.deployments import (
    Disturbance,
    DisturbanceKind,
)

if TYPE_CHECKING:
    from marjoramyard.standin.experiment.simulation import Simulation


def schedule(simulation: "Simulation", disturbance: Disturbance) -> None:
    """Schedules a disturbance's effects on engines or the broker."""
    loop = simulation.loop
    at = disturbance.at * 1000
    end = at + disturbance.lasts * 1000
    if disturbance.kind is DisturbanceKind.BROKER_LOST:
        loop.at(at, functools.partial(_replace_broker, simulation))
        return
    if disturbance.kind in (
        DisturbanceKind.CRASHING_REQUEST,
        DisturbanceKind.CRASHING_PART,
    ):
        loop.at(at, lambda: simulation.crashing.start(disturbance))
        return
    if disturbance.kind not in (
        DisturbanceKind.CRASH,
        DisturbanceKind.SLOW,
        DisturbanceKind.SHED,
    ):
        return
    count = min(disturbance.count, len(simulation.engines) - 1)
    names = simulation.rng.sample(sorted(simulation.engines), count)
    if disturbance.kind is DisturbanceKind.CRASH:
        loop.at(at, functools.partial(_crash, simulation, names))
        loop.at(end, functools.partial(_restore, simulation, names))
        return
    if disturbance.kind is DisturbanceKind.SHED:
        shares = simulation.shedding.shares
        asked = (disturbance.share, disturbance.factor * 1000)
        loop.at(at, lambda: shares.update(dict.fromkeys(names, asked)))
        loop.at(end, lambda: [shares.pop(name, None) for name in names])
        return
    factor = disturbance.factor
    loop.at(at, functools.partial(_set_slowdown, simulation, names, factor))
    loop.at(end, functools.partial(_set_slowdown, simulation, names, 1.0))


def _replace_broker(simulation: "Simulation") -> None:
    """Replaces the broker; gateways report their running requests to it."""
    attempts = simulation.attempts.values()
    active = [attempt for attempt in attempts if not attempt.is_over]
    simulation.policy = simulation.new_policy()
    for attempt in active:
        if attempt.engine_request is not None:
            sent = UnbrokeredRequest(
                key=attempt.key,
                endpoint=attempt.engine.name,
                prefill_tokens=attempt.engine_request.remaining_prefill,
                memory_tokens=attempt.engine_request.own_tokens,
                workspace=attempt.record.request.workspace,
                output_tokens=attempt.record.request.max_output_tokens,
            )
            simulation.policy.add_unbrokered(sent, simulation.loop.now)
    for attempt in active:
        if attempt.engine_request is None:
            simulation.submit(attempt)


def _crash(simulation: "Simulation", names: list[str]) -> None:
    for name in names:
        simulation.crash_engine(name)


def _restore(simulation: "Simulation", names: list[str]) -> None:
    for name in names:
        simulation.restore_engine(name)


def _set_slowdown(
    simulation: "Simulation", names: list[str], factor: float
) -> None:
    for name in names:
        simulation.engines[name].slowdown = factor
