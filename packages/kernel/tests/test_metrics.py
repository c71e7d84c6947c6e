"""Counters, gauges, histograms and the limit on workspace labels."""

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
