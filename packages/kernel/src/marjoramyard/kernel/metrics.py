"""OpenTelemetry metrics with a Prometheus page."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

LATENCY_BUCKETS = (0.005, 0.02, 0.066, 0.2, 0.5, 1.0, 1.8, 5.0, 20.0, 60.0)
"""Seconds; 0.066 and 1.8 are the users' aims between and before tokens."""

WORKSPACE_LABEL_CAP = 50
OTHER_WORKSPACES = "(other)"

Labels = dict[str, str]


class LabelCap:
    """Gives the first workspaces their own label and the rest one.

    A histogram for each of 24,000 workspaces would not fit 64 MB; a cap on
    the labels bounds the memory whatever the bundle holds.
    """

    def __init__(self, cap: int = WORKSPACE_LABEL_CAP):
        self.cap = cap
        self.known: set[str] = set()

    def label(self, workspace: str) -> str:
        """Returns the label under which `workspace` is counted."""
        if workspace in self.known:
            return workspace
        if len(self.known) < self.cap:
            self.known.add(workspace)
            return workspace
        return OTHER_WORKSPACES


class Metrics:
    """The instruments of one process, made on first use."""

    def __init__(self, role: str, name: str):
        view = View(
            instrument_name="*_seconds",
            aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS),
        )
        resource = Resource({"service.name": f"marjoramyard-{role}"})
        self.provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            resource=resource,
            views=[view],
        )
        self.meter = self.provider.get_meter("marjoramyard")
        self.name = name
        self.workspaces = LabelCap()
        self.instruments: dict = {}
        self.counts: dict[str, dict[tuple, float]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds to the counter called `name`.

        Counts are kept here and read at each scrape: an instrument's own
        `add` costs ten times as much, several times a request.
        """
        counts = self.counts.get(name)
        if counts is None:
            counts = self.counts[name] = {}
            self._observe_counts(name, counts)
        key = tuple(labels.items())
        counts[key] = counts.get(key, 0) + amount

    def _observe_counts(self, name: str, counts: dict) -> None:
        def observe(_: CallbackOptions) -> list[Observation]:
            return [
                Observation(value, dict(key)) for key, value in counts.items()
            ]

        self.meter.create_observable_counter(
            f"marjoramyard_{name}", callbacks=[observe]
        )

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Records a value in the histogram called `name`."""
        histogram = self.instruments.get(name)
        if histogram is None:
            histogram = self.meter.create_histogram(f"marjoramyard_{name}")
            self.instruments[name] = histogram
        histogram.record(value, labels)

    def gauge(
        self, name: str, read: Callable[[], Iterable[tuple[float, Labels]]]
    ) -> None:
        """Reads values at each scrape, so that a gauge costs nothing idle."""

        def observe(_: CallbackOptions) -> list[Observation]:
            return [Observation(value, labels) for value, labels in read()]

        self.meter.create_observable_gauge(
            f"marjoramyard_{name}", callbacks=[observe]
        )

    def prometheus_text(self) -> bytes:
        """Returns the Prometheus text page."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Unregisters the reader, so that another may be made."""
        self.provider.shutdown()
