"""Plays many seeds in parallel processes, and sums them up."""

import statistics
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed

import msgspec

from marjoramyard.standin.experiment.deployments import Deployment
from marjoramyard.standin.experiment.scoring import Credits
from marjoramyard.standin.experiment.simulation import play
from marjoramyard.standin.experiment.simulation_run import Tally

_NORMAL_95 = 1.96


class Seen(msgspec.Struct):
    """What one play is remembered by.

    Attributes:
        first_ms: Times to the first event, by kind of request.
        gap_ms: Longest pauses of streams, by kind of request.
        refused_at: When callers were refused for good, in seconds.
    """

    policy: str
    seed: int
    credits: Credits
    tally: Tally
    first_ms: dict[str, list[float]]
    gap_ms: dict[str, list[float]]
    refused_at: list[float]


class Estimate(msgspec.Struct, frozen=True):
    """A mean over seeds and the half width of its 95% interval."""

    mean: float
    half_width: float

    def __str__(self) -> str:
        """Returns it as a table shows it."""
        return f"{self.mean:.3f}±{self.half_width:.3f}"


class Summary(msgspec.Struct):
    """A policy over all seeds."""

    policy: str
    seeds: int
    figures: dict[str, Estimate]


def play_one(deployment: Deployment, policy: str, seed: int) -> Seen:
    """Plays one seed in this process."""
    played = play(deployment, policy, seed)
    first: dict[str, list[float]] = {}
    gaps: dict[str, list[float]] = {}
    refused = []
    for record in played.records:
        name = record.request.kind.name
        if record.is_served:
            first.setdefault(name, []).append(record.first_ms)
            gaps.setdefault(name, []).append(record.gap_ms)
        else:
            refused.append(record.request.at / 1000)
    return Seen(
        policy, seed, played.credits, played.tally, first, gaps, refused
    )


def play_all(
    deployment: Deployment,
    policies: list[str],
    seeds: list[int],
    jobs: int,
    on_done: Callable[[Seen], None],
) -> list[Seen]:
    """Plays each policy with each seed."""
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(play_one, deployment, policy, seed)
            for policy in policies
            for seed in seeds
        ]
        for future in as_completed(futures):
            on_done(future.result())
        return [future.result() for future in futures]


def estimate(values: list[float]) -> Estimate:
    """Returns the mean of some seeds."""
    if len(values) < 2:
        return Estimate(values[0], 0.0)
    error = statistics.stdev(values) / len(values) ** 0.5
    return Estimate(statistics.mean(values), _NORMAL_95 * error)


def summarize(seen: list[Seen]) -> Iterator[Summary]:
    """Yields a summary for each policy, in the order of play."""
    by_policy: dict[str, list[Seen]] = {}
    for one in seen:
        by_policy.setdefault(one.policy, []).append(one)
    for policy, plays in by_policy.items():
        rows = [figures_of(one) for one in plays]
        figures = {
            name: estimate([row[name] for row in rows if name in row])
            for name in rows[0]
        }
        yield Summary(policy, len(plays), figures)


def figures_of(seen: Seen) -> dict[str, float]:
    """Returns the figures of one play by name."""
    credits, tally = seen.credits, seen.tally
    figures = {
        "goal": credits.goal,
        "whole": credits.whole,
        "windows": credits.windows,
        "workspaces": credits.workspaces,
        "reading": tally.reading_share,
        "refusals": float(tally.refused),
        "copied_gb": tally.fetched_gb,
        "cross_zone_mb": tally.cross_zone_mb,
        "read_again_k": tally.shared_tokens_read / 1000,
    }
    for name, share in credits.kinds.items():
        figures[f"kind {name}"] = share
    for name, counts in credits.outcomes.items():
        for outcome, number in counts.items():
            figures[f"{outcome} {name}"] = float(number)
    return figures
