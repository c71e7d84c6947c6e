"""News that a router short of processor sends late."""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.engines import FIRST_TOKEN_MS
from marjoramyard.coordination.placement.requests import UnbrokeredRequest

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    RATE,
    make_ask,
    make_broker,
)


def grant(broker, key, now, tokens=1800):
    assert broker.ask(make_ask(key, now=now, tokens=tokens), now) is None
    told = broker.pump(now)
    assert [one.key for one in told] == [key]


def test_an_engine_is_not_kept_idle_for_news_that_is_held_up():
    """A rush at one small gateway makes all engines seem busy.

    It sends its prompt's first token a second late. The engine has read it
    long since, as a later prompt of another gateway shows; counted as
    unread, it would keep the engine from its next prompts.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    grant(broker, "held-up", now=0.0)
    grant(broker, "later", now=200.0, tokens=300)
    broker.first_token("later", 260.0)
    assert engine.wait_ms == 0
    broker.first_token("held-up", 1000.0)
    broker.ended("held-up")
    broker.ended("later")
    assert engine.reading_tokens == 0
    assert engine.running == 0


def test_prompts_granted_about_together_may_be_read_in_any_order():
    broker = make_broker(1)
    grant(broker, "first", now=0.0, tokens=900)
    grant(broker, "second", now=20.0, tokens=900)
    broker.first_token("second", 60.0)
    assert broker.engines["e0"].wait_ms == pytest.approx(900 / RATE)


def test_late_news_does_not_make_an_engine_seem_slow():
    """Callers are refused though the engines are half idle.

    All first tokens of one gateway are told 700 ms late, and it says so.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    for number in range(30):
        now = number * 800.0
        grant(broker, f"k{number}", now)
        broker.first_token(f"k{number}", now + 750.0, is_fresh=False)
        broker.ended(f"k{number}")
    assert engine.rate == pytest.approx(RATE)
    assert engine.wait_ms == 0


def test_a_refusal_says_for_how_long_it_holds():
    broker = make_broker(1)
    refused, number = None, 0
    while refused is None:
        number += 1
        refused = broker.ask(make_ask(f"k{number}", now=0.0), 0.0)
        broker.pump(0.0)
    assert 0 < refused.over_ms < 2000 / RATE


def ask_from(broker, router, key, now=0.0):
    ask = make_ask(key, now=now, tokens=1800, router=router)
    assert broker.ask(ask, now) is None


def granted(broker, now):
    return [one.key for one in broker.pump(now)]


def test_prompts_of_a_silent_router_do_not_count_as_being_read():
    """Guards against: all are refused while the engines are idle, because a
    router without processor has not sent what it was granted.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    for number in range(3):
        ask_from(broker, "silent", f"s{number}")
    assert granted(broker, 0.0) == ["s0", "s1"]
    ask_from(broker, "sound", "k", now=100.0)
    assert granted(broker, 100.0) == []
    broker.suspend("silent", 300.0)
    assert granted(broker, 300.0) == ["k"]
    broker.first_token("s0", 900.0)
    assert engine.wait_ms == pytest.approx(1800 / RATE)
    broker.ended("s0")
    broker.ended("s1")
    assert engine.running == 1


def test_requests_of_a_silent_router_wait_outside_of_the_lines():
    broker = make_broker(1)
    for number in range(4):
        ask_from(broker, "silent", f"s{number}")
    broker.pump(0.0)
    broker.suspend("silent", 300.0)
    assert granted(broker, 300.0) == []
    assert broker.predicted_wait_ms("w") == 0
    broker.cancel("s3")
    broker.resume("silent")
    assert granted(broker, 310.0) == ["s2"]
    assert not broker.suspended


def test_a_request_of_a_silent_router_is_refused_when_its_time_is_over():
    broker = make_broker(1)
    for number in range(3):
        ask_from(broker, "silent", f"s{number}")
    broker.pump(0.0)
    broker.suspend("silent", 300.0)
    assert [one.key for one in broker.overdue(5000.0)] == ["s2"]
    broker.resume("silent")
    assert granted(broker, 5001.0) == []


def test_a_request_that_waits_again_is_granted_once():
    """Guards against: a line that keeps the entry of a request that left it,
    and serves it twice when its router is heard again.
    """
    broker = make_broker(1)
    for number in range(3):
        ask_from(broker, "silent", f"s{number}", now=float(number))
    assert granted(broker, 2.0) == ["s0", "s1"]
    ask_from(broker, "sound", "k", now=1.0)
    broker.suspend("silent", 2.0)
    broker.resume("silent")
    assert sorted(granted(broker, 3.0)) == ["k", "s2"]
    assert broker.lines["w"].tokens == 0


def test_prompts_sent_without_a_grant_count_for_their_workspace():
    """Guards against: a workspace is served before the others though more of
    its requests were sent past the line.
    """
    broker = make_broker(1)
    for key in ("running-0", "running-1"):
        ask_from(broker, "sound", key)
    assert granted(broker, 0.0) == ["running-0", "running-1"]
    for workspace in ("flood", "small"):
        ask = make_ask(workspace, workspace, now=0.0, tokens=300)
        assert broker.ask(ask, 0.0) is None
    for number in range(3):
        sent = UnbrokeredRequest(
            key=f"past-{number}",
            endpoint="e0",
            tokens=300,
            memory=350,
            workspace="flood",
            output_tokens=50,
            router="late",
        )
        broker.adopt(sent, 0.0)
    broker.suspend("late", 100.0)
    broker.first_token("running-0", 100.0)
    assert granted(broker, 100.0) == ["small", "flood"]


def test_a_late_router_does_not_keep_engines_idle():
    """Guards against: engines stand idle for as long as a router needs to
    send what it was granted, and to tell that it was read.
    """
    broker = make_broker(1)
    broker.set_late("late", True)
    for number in range(2):
        ask_from(broker, "late", f"l{number}")
    assert granted(broker, 0.0) == ["l0", "l1"]
    ask_from(broker, "sound", "k", now=1.0)
    assert granted(broker, 70.0) == []
    assert granted(broker, 100.0 + FIRST_TOKEN_MS) == ["k"]


def test_an_engine_that_is_slow_gets_no_more_from_routers_in_time():
    broker = make_broker(1)
    for number in range(3):
        ask_from(broker, "sound", f"s{number}")
    assert granted(broker, 0.0) == ["s0", "s1"]
    assert granted(broker, 500.0) == []


def test_prompts_of_a_late_router_do_not_make_an_engine_seem_slow():
    """Guards against: an engine that waits for a late router's prompt is
    taken to be reading it, and its learnt rate falls with each run.
    """
    broker = make_broker(1)
    engine = broker.engines["e0"]
    broker.set_late("late", True)
    for number in range(40):
        now = number * 200.0
        for router in ("late", "sound"):
            ask_from(broker, router, f"{router}-{number}", now=now)
        broker.pump(now)
        broker.first_token(f"sound-{number}", now + 150.0)
        broker.ended(f"sound-{number}")
        broker.first_token(f"late-{number}", now + 190.0, is_fresh=False)
        broker.ended(f"late-{number}")
    assert engine.rate == pytest.approx(RATE)
