"""OpenTelemetry metrics in the Prometheus text format."""

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
"""Upper bounds of the histogram buckets, in seconds. The objectives for the
time between tokens (0.066) and the time to first token (1.8) are among them."""

WORKSPACE_LABEL_CAP = 50
"""Number of workspaces with a label value of their own."""
OTHER_WORKSPACES = "(other)"

Labels = dict[str, str]


class LabelCap:
    """Bounds the number of distinct workspace labels.

    The first `cap` workspaces get a label each; all others share one. This
    bounds the memory of labelled metrics for any number of workspaces.
    """

    def __init__(self, cap: int = WORKSPACE_LABEL_CAP):
        self.cap = cap
        self.labelled: set[str] = set()

    def label(self, workspace: str) -> str:
        """Returns the label value for `workspace`."""
        if workspace in self.labelled:
            return workspace
        if len(self.labelled) < self.cap:
            self.labelled.add(workspace)
            return workspace
        return OTHER_WORKSPACES


class Metrics:
    """The metrics of one process; instruments are created on first use."""

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
        """Adds `amount` to the counter `name`.

        Counts are kept in a dict and read at each scrape, because `add` of
        an OpenTelemetry counter is too slow for every request.
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
        """Records a value in the histogram `name`."""
        histogram = self.instruments.get(name)
        if histogram is None:
            histogram = self.meter.create_histogram(f"marjoramyard_{name}")
            self.instruments[name] = histogram
        histogram.record(value, labels)

    def gauge(
        self, name: str, read: Callable[[], Iterable[tuple[float, Labels]]]
    ) -> None:
        """Registers a gauge whose values are read by `read` at each scrape."""

        def observe(_: CallbackOptions) -> list[Observation]:
            return [Observation(value, labels) for value, labels in read()]

        self.meter.create_observable_gauge(
            f"marjoramyard_{name}", callbacks=[observe]
        )

    def prometheus_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Shuts the provider down and unregisters its Prometheus reader."""
        self.provider.shutdown()
