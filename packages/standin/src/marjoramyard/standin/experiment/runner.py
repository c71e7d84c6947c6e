"""Runs simulations in parallel processes and summarizes them."""

import statistics
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed

import msgspec

from marjoramyard.standin.experiment.deployments import Deployment
from marjoramyard.standin.experiment.scoring import RunScore
from marjoramyard.standin.experiment.simulation import simulate
from marjoramyard.standin.experiment.simulation_run import ResourceUsage

_NORMAL_95 = 1.96
"""Half width of a 95% confidence interval in standard errors."""


class RunResult(msgspec.Struct):
    """The parts of a simulation run that reports and plots use.

    Attributes:
        first_ms: Times to the first event of served requests, by kind.
        gap_ms: Longest gaps between events of served requests, by kind.
        refused_at: Arrivals of requests that were not served, in seconds.
    """

    policy: str
    seed: int
    scores: RunScore
    usage: ResourceUsage
    first_ms: dict[str, list[float]]
    gap_ms: dict[str, list[float]]
    refused_at: list[float]


class Estimate(msgspec.Struct, frozen=True):
    """A mean over seeds and the half width of its 95% confidence interval."""

    mean: float
    half_width: float

    def __str__(self) -> str:
        """Formats the estimate for a table."""
        return f"{self.mean:.3f}±{self.half_width:.3f}"


class Summary(msgspec.Struct):
    """Estimates of one policy over all seeds."""

    policy: str
    seeds: int
    figures: dict[str, Estimate]


def run_one(deployment: Deployment, policy: str, seed: int) -> RunResult:
    """Runs one simulation in this process."""
    run = simulate(deployment, policy, seed)
    first: dict[str, list[float]] = {}
    gaps: dict[str, list[float]] = {}
    refused = []
    for record in run.records:
        name = record.request.kind.name
        if record.is_served:
            first.setdefault(name, []).append(record.first_ms)
            gaps.setdefault(name, []).append(record.gap_ms)
        else:
            refused.append(record.request.arrival_ms / 1000)
    return RunResult(policy, seed, run.scores, run.usage, first, gaps, refused)


def run_all(
    deployment: Deployment,
    policies: list[str],
    seeds: list[int],
    jobs: int,
    on_done: Callable[[RunResult], None],
) -> list[RunResult]:
    """Runs each policy with each seed, in the order of the arguments.

    Args:
        deployment: The simulated deployment.
        policies: Names of policies.
        seeds: Seeds of the runs of each policy.
        jobs: Number of parallel processes.
        on_done: Called with each result as soon as its run has ended.
    """
    with ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(run_one, deployment, policy, seed)
            for policy in policies
            for seed in seeds
        ]
        for future in as_completed(futures):
            on_done(future.result())
        return [future.result() for future in futures]


def estimate(values: list[float]) -> Estimate:
    """Returns the mean of values and its confidence interval."""
    if len(values) < 2:
        return Estimate(values[0], 0.0)
    error = statistics.stdev(values) / len(values) ** 0.5
    return Estimate(statistics.mean(values), _NORMAL_95 * error)


def summarize(results: list[RunResult]) -> Iterator[Summary]:
    """Yields a summary for each policy, in order of their first results."""
    by_policy: dict[str, list[RunResult]] = {}
    for result in results:
        by_policy.setdefault(result.policy, []).append(result)
    for policy, runs in by_policy.items():
        rows = [figures_of(run) for run in runs]
        figures = {
            name: estimate([row[name] for row in rows if name in row])
            for name in rows[0]
        }
        yield Summary(policy, len(runs), figures)


def figures_of(result: RunResult) -> dict[str, float]:
    """Returns the figures of one run by name."""
    scores, usage = result.scores, result.usage
    figures = {
        "goal": scores.goal,
        "whole": scores.overall,
        "windows": scores.worst_windows,
        "workspaces": scores.worst_workspaces,
        "reading": usage.prefill_utilisation,
        "refusals": float(usage.refusals),
        "copied_gb": usage.fetched_gb,
        "cross_zone_mb": usage.cross_zone_mb,
        "read_again_k": usage.shared_prefilled_tokens / 1000,
    }
    for name, share in scores.by_kind.items():
        figures[f"kind {name}"] = share
    for name, counts in scores.outcomes.items():
        for outcome, number in counts.items():
            figures[f"{outcome} {name}"] = float(number)
    return figures
