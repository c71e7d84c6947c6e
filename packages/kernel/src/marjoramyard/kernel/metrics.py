"""Metrics of a process, and their export in the Prometheus text format."""

import asyncio
import importlib
import time
from collections.abc import Callable, Iterable

from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

WORKSPACE_LABEL_CAP = 50
"""Number of workspaces with a label value of their own."""
OTHER_WORKSPACES = "(other)"
_EXPORTER_MODULE = "marjoramyard.kernel.metrics_exporter"
"""Imported after the start: it takes a fifth of the time until a process
listens, and callers wait for that when all have lost power."""

Labels = dict[str, str]
GaugeReader = Callable[[], Iterable[tuple[float, Labels]]]


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
    """The metrics of one process.

    Attributes:
        role: The role of the process.
        name: The name of the process.
        workspaces: Bounds the labels for workspaces.
        counts: The counters, by name and labels. They are read at each scrape,
            because `add` of an OpenTelemetry counter is too slow for every
            request.
        gauges: The names of gauges, with what reads their values.
        pending: Values of histograms until the exporter is loaded.
        keeps_values: Whether such values are kept. They are not once the
            exporter could not be imported, as it may never be.
        exporter: The `MetricsExporter`, once it is loaded.
    """

    def __init__(self, role: str, name: str):
        self.role = role
        self.name = name
        self.workspaces = LabelCap()
        self.counts: dict[str, dict[tuple, float]] = {}
        self.gauges: list[tuple[str, GaugeReader]] = []
        self.pending: list[tuple[str, float, Labels]] = []
        self.keeps_values = True
        self.exporter = None

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to the counter `name`."""
        counts = self.counts.get(name)
        if counts is None:
            counts = self.counts[name] = {}
            if self.exporter is not None:
                self.exporter.add_counter(name, counts)
        key = tuple(labels.items())
        counts[key] = counts.get(key, 0) + amount

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Records a value in the histogram `name`."""
        if self.exporter is not None:
            self.exporter.observe(name, value, labels)
        elif self.keeps_values:
            self.pending.append((name, value, labels))

    def gauge(self, name: str, read: GaugeReader) -> None:
        """Registers a gauge whose values are read by `read` at each scrape."""
        self.gauges.append((name, read))
        if self.exporter is not None:
            self.exporter.add_gauge(name, read)

    async def load_exporter_in_background(self) -> None:
        """Loads the exporter without blocking the event loop for long.

        Raises:
            ImportError: A library is missing; the next call tries again.
            MemoryError: The process's limits leave too little memory for it.
        """
        if self.exporter is not None:
            return
        started_at = time.monotonic()
        try:
            await asyncio.to_thread(importlib.import_module, _EXPORTER_MODULE)
        except RuntimeError as error:
            # The process may start no further thread. `load_exporter` blocks
            # the event loop, but values would collect in memory without it.
            logger.warning("thread_not_started", error=str(error))
        except (ImportError, MemoryError):
            self.keeps_values = False
            self.pending.clear()
            raise
        values = len(self.pending)
        self.load_exporter()
        logger.info(
            "metrics_exporter_loaded",
            seconds=round(time.monotonic() - started_at, 3),
            kept_values=values,
        )

    def load_exporter(self) -> None:
        """Loads the exporter, unless that has been done."""
        if self.exporter is not None:
            return
        module = importlib.import_module(_EXPORTER_MODULE)
        self.exporter = module.MetricsExporter(self.role)
        for name, counts in self.counts.items():
            self.exporter.add_counter(name, counts)
        for name, read in self.gauges:
            self.exporter.add_gauge(name, read)
        for name, value, labels in self.pending:
            self.exporter.observe(name, value, labels)
        self.pending.clear()

    def prometheus_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self.load_exporter()
        return self.exporter.prometheus_text()

    def close(self) -> None:
        """Shuts the exporter down, if it is loaded."""
        if self.exporter is not None:
            self.exporter.close()
