"""Counters, gauges, histograms and the limit on workspace labels."""

import importlib
import subprocess
import sys

import pytest
from structlog.testing import capture_logs

from marjoramyard.kernel.metrics import OTHER_WORKSPACES, LabelCap, Metrics


def test_all_instruments_are_in_the_prometheus_text():
    metrics = Metrics("entry", "entry-1")
    metrics.count("requests", outcome="complete")
    metrics.count("requests", 2, outcome="complete")
    metrics.gauge("waiting", lambda: [(7, {"service": "chat"})])
    metrics.observe("request_seconds", 0.05, request_class="interactive")
    text = metrics.prometheus_text().decode()
    metrics.close()
    assert "marjoramyard_requests_total{" in text
    assert 'outcome="complete"} 3.0' in text
    assert 'service="chat"} 7.0' in text
    assert 'le="0.066",' in text


def test_workspaces_beyond_the_cap_share_one_label():
    cap = LabelCap(2)
    assert [cap.label(n) for n in "abca"] == ["a", "b", OTHER_WORKSPACES, "a"]


def test_values_from_before_the_first_scrape_are_kept():
    metrics = Metrics("entry", "entry-1")
    metrics.observe("wait_seconds", 0.3)
    before = metrics.prometheus_text().decode()
    metrics.observe("wait_seconds", 0.3)
    metrics.gauge("later", lambda: [(4, {})])
    metrics.count("also_later")
    after = metrics.prometheus_text().decode()
    metrics.close()
    assert "marjoramyard_wait_seconds_count{" in before
    assert not metrics.pending
    sums = [
        float(line.split()[-1])
        for text in (before, after)
        for line in text.splitlines()
        if line.startswith("marjoramyard_wait_seconds_count{")
    ]
    assert sums == [1.0, 2.0]
    assert "marjoramyard_later{" in after
    assert "marjoramyard_also_later_total{" in after


def test_a_gateway_starts_without_the_exporter():
    """Guards against callers that wait for it when all have lost power."""
    code = (
        "import sys\n"
        "import marjoramyard.fleet.cmd.daemon\n"
        "import marjoramyard.fleet.gateway.role\n"
        "found = [m for m in sys.modules if m.startswith('opentelemetry')]\n"
        "sys.exit(len(found))\n"
    )
    done = subprocess.run([sys.executable, "-c", code], check=False)
    assert done.returncode == 0


async def test_the_exporter_is_loaded_once_in_the_background():
    metrics = Metrics("entry", "entry-1")
    metrics.observe("wait_seconds", 0.3)
    with capture_logs() as lines:
        await metrics.load_exporter_in_background()
        await metrics.load_exporter_in_background()
    metrics.close()
    assert [line["event"] for line in lines] == ["metrics_exporter_loaded"]
    assert lines[0]["kept_values"] == 1


@pytest.mark.parametrize("error", [ImportError, MemoryError])
async def test_values_do_not_collect_without_an_exporter(monkeypatch, error):
    """Guards against a process that is killed for its memory, as the libraries
    of the exporter are gone or too large for its limits.
    """

    def fail(module):
        raise error(module)

    metrics = Metrics("gateway", "g-1")
    metrics.observe("request_seconds", 0.1)
    with monkeypatch.context() as patch:
        patch.setattr(importlib, "import_module", fail)
        with pytest.raises(error):
            await metrics.load_exporter_in_background()
    metrics.observe("request_seconds", 0.2)
    assert metrics.pending == []
    await metrics.load_exporter_in_background()
    metrics.observe("request_seconds", 0.3)
    lines = metrics.prometheus_text().decode().splitlines()
    metrics.close()
    name = "marjoramyard_request_seconds_count{"
    counts = [line.split()[-1] for line in lines if line.startswith(name)]
    assert counts == ["1.0"]
