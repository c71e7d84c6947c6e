"""Exports metrics through OpenTelemetry in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from marjoramyard.kernel.metrics import GaugeReader, Labels

LATENCY_BUCKETS = (0.005, 0.02, 0.066, 0.2, 0.5, 1.0, 1.8, 5.0, 20.0, 60.0)
"""Upper bounds of the histogram buckets, in seconds. The objectives for the
time between tokens (0.066) and the time to first token (1.8) are among them."""


class MetricsExporter:
    """The OpenTelemetry instruments of one process."""

    def __init__(self, role: str):
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
        self.histograms: dict = {}

    def add_counter(self, name: str, counts: dict[tuple, float]) -> None:
        """Adds a counter whose values by labels are in `counts`."""

        def observe(_: CallbackOptions) -> list[Observation]:
            return [
                Observation(value, dict(key)) for key, value in counts.items()
            ]

        self.meter.create_observable_counter(
            f"marjoramyard_{name}", callbacks=[observe]
        )

    def add_gauge(self, name: str, read: GaugeReader) -> None:
        """Adds a gauge whose values are read by `read`."""

        def observe(_: CallbackOptions) -> list[Observation]:
            return [Observation(value, labels) for value, labels in read()]

        self.meter.create_observable_gauge(
            f"marjoramyard_{name}", callbacks=[observe]
        )

    def observe(self, name: str, value: float, labels: Labels) -> None:
        """Records a value in a histogram, which is created on first use."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.meter.create_histogram(f"marjoramyard_{name}")
            self.histograms[name] = histogram
        histogram.record(value, labels)

    def prometheus_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Shuts the provider down and unregisters its Prometheus reader."""
        self.provider.shutdown()
