"""What goes wrong during a play, beside the load itself."""

import functools
from typing import TYPE_CHECKING

from marjoramyard.coordination.placement.requests import UnbrokeredRequest
from marjoramyard.standin.experiment.deployments import (
    Disturbance,
    DisturbanceKind,
)
from marjoramyard.standin.experiment.scoring import Outcome

if TYPE_CHECKING:
    from marjoramyard.standin.experiment.simulation import Simulation

DETECTION_MS = 100.0
"""Until an engine's crash is known; its connections end with it."""


def schedule(simulation: "Simulation", disturbance: Disturbance) -> None:
    """Schedules what a disturbance does to engines or the broker."""
    loop = simulation.loop
    at = disturbance.at * 1000
    end = at + disturbance.lasts * 1000
    if disturbance.kind is DisturbanceKind.BROKER_LOST:
        loop.at(at, functools.partial(_lose_broker, simulation))
        return
    if disturbance.kind not in (DisturbanceKind.CRASH, DisturbanceKind.SLOW):
        return
    count = min(disturbance.count, len(simulation.engines) - 1)
    names = simulation.rng.sample(sorted(simulation.engines), count)
    if disturbance.kind is DisturbanceKind.CRASH:
        loop.at(at, functools.partial(_crash, simulation, names))
        loop.at(end, functools.partial(_restore, simulation, names))
        return
    factor = disturbance.factor
    loop.at(at, functools.partial(_slow, simulation, names, factor))
    loop.at(end, functools.partial(_slow, simulation, names, 1.0))


def _lose_broker(simulation: "Simulation") -> None:
    """A successor knows only what runs, told by the gateways."""
    attempts = simulation.attempts.values()
    open_ones = [attempt for attempt in attempts if not attempt.is_over]
    simulation.policy = simulation.new_policy()
    for attempt in open_ones:
        if attempt.run is not None:
            sent = UnbrokeredRequest(
                key=attempt.key,
                endpoint=attempt.engine.name,
                prefill_tokens=attempt.run.unread,
                memory_tokens=attempt.run.own_tokens,
                workspace=attempt.record.request.workspace,
                output_tokens=attempt.record.request.most_tokens,
            )
            simulation.policy.add_unbrokered(sent, simulation.loop.now)
    for attempt in open_ones:
        if attempt.run is None:
            simulation.ask(attempt)


def _crash(simulation: "Simulation", names: list[str]) -> None:
    lost = []
    for name in names:
        simulation.down.add(name)
        lost += simulation.engines[name].crash()
    _tell_engines_soon(simulation)
    for run in lost:
        attempt = simulation.by_run.pop(id(run), None)
        if attempt is not None:
            simulation.end(attempt, Outcome.FAILED)


def _restore(simulation: "Simulation", names: list[str]) -> None:
    simulation.down.difference_update(names)
    _tell_engines_soon(simulation)


def _tell_engines_soon(simulation: "Simulation") -> None:
    def tell() -> None:
        simulation.policy.set_engines(
            name for name in simulation.engines if name not in simulation.down
        )
        simulation.pump()

    simulation.loop.after(DETECTION_MS, tell)


def _slow(simulation: "Simulation", names: list[str], factor: float) -> None:
    for name in names:
        simulation.engines[name].slowness = factor
