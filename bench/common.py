"""Shared helpers of the benchmarks: fits, percentiles and JSON output."""

import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

import numpy

ROOT = Path(__file__).parents[1]
OUT = ROOT / "bench/out"
sys.path.insert(0, str(ROOT / "tests"))


@dataclass
class Fit:
    """A line fitted to measured points.

    Attributes:
        unit: Unit of the y values.
        points: The measured (x, y) pairs.
        r2: Coefficient of determination.
    """

    name: str
    unit: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    r2: float


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Fit:
    """Fits a line by least squares."""
    x, y = numpy.array(points, dtype=float).T
    slope, intercept = numpy.polyfit(x, y, 1)
    residual = ((y - (slope * x + intercept)) ** 2).sum()
    total = ((y - y.mean()) ** 2).sum()
    r2 = 1.0 - residual / total if total else 1.0
    return Fit(name, unit, points, float(slope), float(intercept), float(r2))


def show_fit(line: Fit) -> None:
    """Prints a fit with its points on one line."""
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in line.points)
    print(
        f"{line.name:<44} slope {line.slope:.4g} {line.unit}, "
        f"intercept {line.intercept:.4g}, R2 {line.r2:.3f}  [{points}]",
        flush=True,
    )


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value at a fraction of the sorted values; 0 if empty."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def save(name: str, value: object) -> None:
    """Writes the results of a benchmark to bench/out/NAME.json."""
    OUT.mkdir(parents=True, exist_ok=True)
    text = json.dumps(
        value, indent=1, default=lambda v: asdict(v) if v else None
    )
    (OUT / f"{name}.json").write_text(text, encoding="utf-8")
