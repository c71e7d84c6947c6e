"""Plots of the results of an experiment."""

from collections.abc import Iterator
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from marjoramyard.standin.experiment.deployments import Deployment  # noqa: E402
from marjoramyard.standin.experiment.runner import RunResult, Summary  # noqa: E402

_SIZE_INCHES = (12, 9)
_SCORES = ("goal", "whole", "windows", "workspaces")


def draw(
    deployment: Deployment,
    results: list[RunResult],
    summaries: list[Summary],
    path: Path,
) -> None:
    """Plots scores, times to first event, gaps and refusals by policy."""
    figure, axes = pyplot.subplots(2, 2, figsize=_SIZE_INCHES)
    figure.suptitle(f"{deployment.name}, {summaries[0].seeds} seeds")
    _draw_scores(axes[0][0], summaries)
    objectives = {kind.name: kind.objective_ms for kind in deployment.kinds}
    gaps = {kind.name: kind.gap_ms for kind in deployment.kinds}
    _draw_distribution(
        axes[0][1],
        results,
        "first event / objective",
        lambda result: _relative(result.first_ms, objectives),
    )
    _draw_distribution(
        axes[1][0],
        results,
        "longest gap / objective",
        lambda result: _relative(result.gap_ms, gaps),
    )
    _draw_refusals(axes[1][1], deployment, results)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _relative(
    values: dict[str, list[float]], limits: dict[str, float]
) -> Iterator[float]:
    """Yields times relative to the objective of their kind."""
    for name, times in values.items():
        for time_ms in times:
            yield time_ms / limits[name]


def _by_policy(results: list[RunResult]) -> dict[str, list[RunResult]]:
    by_policy: dict[str, list[RunResult]] = {}
    for result in results:
        by_policy.setdefault(result.policy, []).append(result)
    return by_policy


def _draw_scores(axis, summaries: list[Summary]) -> None:
    width = 0.8 / len(summaries)
    for place, summary in enumerate(summaries):
        scores = [summary.figures[name] for name in _SCORES]
        axis.bar(
            [number + place * width for number in range(len(_SCORES))],
            [score.mean for score in scores],
            width,
            yerr=[score.half_width for score in scores],
            label=summary.policy,
        )
    axis.set_xticks(range(len(_SCORES)), _SCORES)
    axis.set_title("score: worth earned / attainable")
    axis.legend(fontsize=8)


def _draw_distribution(
    axis, results: list[RunResult], title: str, values_of
) -> None:
    for policy, runs in _by_policy(results).items():
        values = sorted(value for run in runs for value in values_of(run))
        steps = [place / len(values) for place in range(len(values))]
        axis.plot(values, steps, label=policy)
    axis.axvline(1.0, color="grey", linestyle=":")
    axis.set_xlim(0, 3)
    axis.set_title(f"share of responses below: {title}")


def _draw_refusals(
    axis, deployment: Deployment, results: list[RunResult]
) -> None:
    bins = range(int(deployment.seconds) + 1)
    for policy, runs in _by_policy(results).items():
        times = [at for run in runs for at in run.refused_at]
        weights = [1.0 / len(runs)] * len(times)
        axis.hist(times, bins, weights=weights, histtype="step", label=policy)
    axis.set_title("requests not served, by second of arrival")
