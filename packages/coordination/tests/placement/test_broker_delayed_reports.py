"""Tests of the broker with delayed reports and unresponsive routers."""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.engines import FIRST_TOKEN_LATENCY_MS
from marjoramyard.coordination.placement.requests import UnbrokeredRequest

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    RATE,
    make_broker,
    make_request,
)


def grant(broker, key, now, tokens=1800):
    assert broker.submit(make_request(key, now=now, tokens=tokens), now) is None
    results = broker.dispatch(now)
    assert [result.key for result in results] == [key]


def test_a_delayed_report_does_not_keep_an_engine_idle():
    """Guards against an idle engine that counts as busy.

    The report of one prompt is delayed by a second, but a later prompt shows
    that its prefill has ended.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    grant(broker, "delayed", now=0.0)
    grant(broker, "later", now=200.0, tokens=300)
    broker.record_first_token("later", 260.0)
    assert engine.wait_ms == 0
    broker.record_first_token("delayed", 1000.0)
    broker.finish("delayed")
    broker.finish("later")
    assert engine.prefill_tokens == 0
    assert engine.running == 0


def test_prompts_granted_close_together_may_be_prefilled_in_any_order():
    broker = make_broker(1)
    grant(broker, "first", now=0.0, tokens=900)
    grant(broker, "second", now=20.0, tokens=900)
    broker.record_first_token("second", 60.0)
    assert broker.engines["e0"].wait_ms == pytest.approx(900 / RATE)


def test_delayed_reports_do_not_lower_the_estimated_rate():
    """Guards against refusals while engines are idle.

    All reports of one router arrive 700 ms late and are marked as delayed.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    for number in range(30):
        now = number * 800.0
        grant(broker, f"k{number}", now)
        broker.record_first_token(f"k{number}", now + 750.0, is_timely=False)
        broker.finish(f"k{number}")
    assert engine.rate == pytest.approx(RATE)
    assert engine.wait_ms == 0


def test_a_refusal_contains_the_excess_wait():
    broker = make_broker(1)
    refused, number = None, 0
    while refused is None:
        number += 1
        refused = broker.submit(make_request(f"k{number}", now=0.0), 0.0)
        broker.dispatch(0.0)
    assert 0 < refused.over_ms < 2000 / RATE


def submit_from(broker, router, key, now=0.0):
    request = make_request(key, now=now, tokens=1800, router=router)
    assert broker.submit(request, now) is None


def granted(broker, now):
    return [grant.key for grant in broker.dispatch(now)]


def test_prompts_of_an_unresponsive_router_do_not_count_as_backlog():
    """Guards against refusals while engines are idle because a router has not
    sent the requests that it was granted.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    for number in range(3):
        submit_from(broker, "unresponsive", f"s{number}")
    assert granted(broker, 0.0) == ["s0", "s1"]
    submit_from(broker, "responsive", "k", now=100.0)
    assert granted(broker, 100.0) == []
    broker.suspend("unresponsive", 300.0)
    assert granted(broker, 300.0) == ["k"]
    broker.record_first_token("s0", 900.0)
    assert engine.wait_ms == pytest.approx(1800 / RATE)
    broker.finish("s0")
    broker.finish("s1")
    assert engine.running == 1


def test_requests_of_an_unresponsive_router_leave_their_queues():
    broker = make_broker(1)
    for number in range(4):
        submit_from(broker, "unresponsive", f"s{number}")
    broker.dispatch(0.0)
    broker.suspend("unresponsive", 300.0)
    assert granted(broker, 300.0) == []
    assert broker.predicted_wait_ms("w") == 0
    broker.cancel("s3")
    broker.resume("unresponsive")
    assert granted(broker, 310.0) == ["s2"]
    assert not broker.suspended


def test_a_request_of_an_unresponsive_router_expires_at_its_deadline():
    broker = make_broker(1)
    for number in range(3):
        submit_from(broker, "unresponsive", f"s{number}")
    broker.dispatch(0.0)
    broker.suspend("unresponsive", 300.0)
    assert [refused.key for refused in broker.expire(5000.0)] == ["s2"]
    broker.resume("unresponsive")
    assert granted(broker, 5001.0) == []


def test_a_request_that_is_queued_again_is_granted_once():
    """Guards against granting a request twice, because its removed entry is
    still in the queue's heap when its router resumes.
    """
    broker = make_broker(1)
    for number in range(3):
        submit_from(broker, "unresponsive", f"s{number}", now=float(number))
    assert granted(broker, 2.0) == ["s0", "s1"]
    submit_from(broker, "responsive", "k", now=1.0)
    broker.suspend("unresponsive", 2.0)
    broker.resume("unresponsive")
    assert sorted(granted(broker, 3.0)) == ["k", "s2"]
    assert broker.queues["w"].tokens == 0


def test_prompts_sent_without_a_grant_count_for_their_workspace():
    """Guards against a workspace that exceeds its share with requests sent
    without a grant.
    """
    broker = make_broker(1)
    for key in ("running-0", "running-1"):
        submit_from(broker, "responsive", key)
    assert granted(broker, 0.0) == ["running-0", "running-1"]
    for workspace in ("excess", "small"):
        request = make_request(workspace, workspace, now=0.0, tokens=300)
        assert broker.submit(request, 0.0) is None
    for number in range(3):
        sent = UnbrokeredRequest(
            key=f"unbrokered-{number}",
            endpoint="e0",
            prefill_tokens=300,
            memory_tokens=350,
            workspace="excess",
            output_tokens=50,
            router="lagging",
        )
        broker.add_unbrokered(sent, 0.0)
    broker.suspend("lagging", 100.0)
    broker.record_first_token("running-0", 100.0)
    assert granted(broker, 100.0) == ["small", "excess"]


def test_a_lagging_router_does_not_keep_engines_idle():
    """Guards against idle engines that wait for the delayed requests and
    reports of a lagging router.
    """
    broker = make_broker(1)
    broker.set_lagging("lagging", True)
    for number in range(2):
        submit_from(broker, "lagging", f"l{number}")
    assert granted(broker, 0.0) == ["l0", "l1"]
    submit_from(broker, "responsive", "k", now=1.0)
    assert granted(broker, 70.0) == []
    assert granted(broker, 100.0 + FIRST_TOKEN_LATENCY_MS) == ["k"]


def test_a_slow_engine_gets_no_more_requests_from_other_routers():
    broker = make_broker(1)
    for number in range(3):
        submit_from(broker, "responsive", f"s{number}")
    assert granted(broker, 0.0) == ["s0", "s1"]
    assert granted(broker, 500.0) == []


def test_prompts_of_a_lagging_router_do_not_lower_the_estimated_rate():
    """Guards against counting the wait for a delayed request as prefill time,
    which would lower the estimate further and further.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    broker.set_lagging("lagging", True)
    for number in range(40):
        now = number * 200.0
        for router in ("lagging", "responsive"):
            submit_from(broker, router, f"{router}-{number}", now=now)
        broker.dispatch(now)
        broker.record_first_token(f"responsive-{number}", now + 150.0)
        broker.finish(f"responsive-{number}")
        broker.record_first_token(
            f"lagging-{number}", now + 190.0, is_timely=False
        )
        broker.finish(f"lagging-{number}")
    assert engine.rate == pytest.approx(RATE)
