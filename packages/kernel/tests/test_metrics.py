"""Counters, capped labels and the page."""

from marjoramyard.kernel.metrics import OTHER_WORKSPACES, LabelCap, Metrics


def test_counts_and_gauges_are_on_the_page():
    metrics = Metrics("entry", "entry-1")
    metrics.count("requests", outcome="complete")
    metrics.count("requests", 2, outcome="complete")
    metrics.gauge("waiting", lambda: [(7, {"service": "chat"})])
    metrics.observe("request_seconds", 0.05, request_class="interactive")
    page = metrics.prometheus_text().decode()
    metrics.close()
    assert "marjoramyard_requests_total{" in page
    assert 'outcome="complete"} 3.0' in page
    assert 'service="chat"} 7.0' in page
    assert 'le="0.066",' in page


def test_workspaces_past_the_cap_are_counted_as_one():
    cap = LabelCap(2)
    assert [cap.label(n) for n in "abca"] == ["a", "b", OTHER_WORKSPACES, "a"]
