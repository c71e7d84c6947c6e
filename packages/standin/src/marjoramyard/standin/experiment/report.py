"""Runs an experiment with a progress bar and reports its results."""

import sys
from pathlib import Path

import click
import msgspec

from marjoramyard.standin.experiment.deployments import (
    Deployment,
    read_deployment,
)
from marjoramyard.standin.experiment.policies import POLICIES
from marjoramyard.standin.experiment.runner import (
    RunResult,
    Summary,
    run_all,
    summarize,
)

COLUMNS = (
    "goal",
    "whole",
    "windows",
    "workspaces",
    "reading",
    "refusals",
    "copied_gb",
    "read_again_k",
)
COLUMN_WIDTH = 20


def run_with_progress(
    path: Path, policies: list[str], seeds: list[int], jobs: int
) -> tuple[Deployment, list[RunResult]]:
    """Runs each policy with each seed, with progress on standard error.

    Raises:
        KeyError: A policy is unknown; the message lists the known ones.
        InvalidDeploymentError: The deployment file is invalid.
    """
    for policy in policies:
        POLICIES.get(policy)
    deployment = read_deployment(path)
    total = len(policies) * len(seeds)
    with click.progressbar(length=total, label="runs", file=sys.stderr) as bar:
        results = run_all(
            deployment, policies, seeds, jobs, lambda _: bar.update(1)
        )
    return deployment, results


def print_summaries(results: list[RunResult], as_json: bool) -> None:
    """Prints a summary of each policy as a table or as JSON."""
    summaries = list(summarize(results))
    if as_json:
        click.echo(msgspec.json.encode(summaries).decode())
        return
    width = max(len(summary.policy) for summary in summaries)
    header = "".join(f"{name:>{COLUMN_WIDTH}}" for name in COLUMNS)
    click.echo(f"{'policy':<{width}}{header}")
    for summary in summaries:
        click.echo(f"{summary.policy:<{width}}{_row(summary)}")


def _row(summary: Summary) -> str:
    return "".join(
        f"{summary.figures[name]!s:>{COLUMN_WIDTH}}" for name in COLUMNS
    )


def draw_plot(
    deployment: Deployment, results: list[RunResult], plot: Path
) -> None:
    """Writes the plots to an image file."""
    # Imported here because matplotlib is slow to load.
    from marjoramyard.standin.experiment.plots import draw

    draw(deployment, results, list(summarize(results)), plot)
    click.echo(f"plots written to {plot}", err=True)
