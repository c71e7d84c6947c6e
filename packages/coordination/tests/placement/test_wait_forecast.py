"""Load: engines with very unequal waits, some of them idle."""

import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.requests import (
    MIN_RETRY_AFTER_MS,
    PlacementGrant,
    PlacementRefusal,
)
from marjoramyard.coordination.placement.wait_forecast import (
    WaitLevels,
    forecast_at,
    soonest,
)
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    OBJECTIVE_MS,
    PROFILE,
    RATE,
    Simulation,
    make_request,
    poisson_arrivals,
)

CHAT_OBJECTIVE_MS = 300.0
CHAT_TOKENS = 500
LARGE_TOKENS = 30_000
"""The tokens of a prompt that an engine prefills in 0.8 s."""


def make_uneven_broker(engines):
    broker = Broker(PROFILE, RATE)
    broker.set_engines(f"e{number}" for number in range(engines))
    broker.set_uneven(True)
    return broker


def make_chat(key, workspace="chats", now=0.0, **changes):
    fields = {
        "tokens": CHAT_TOKENS,
        "first_token_due_at": now + CHAT_OBJECTIVE_MS,
    }
    return make_request(key, workspace, now, **{**fields, **changes})


def occupy(broker, count, tokens=LARGE_TOKENS):
    """Gives some engines one prompt each."""
    for number in range(count):
        key = f"busy-{number}"
        assert broker.submit(make_request(key, key, tokens=tokens), 0.0) is None
        (grant,) = broker.dispatch(0.0)
        assert isinstance(grant, PlacementGrant)


def set_wait(broker, endpoint, wait_ms):
    """Has an engine take some time for its backlog."""
    engine = broker.engines[endpoint]
    engine.prefill_tokens = wait_ms * engine.rate
    broker.load.forget()


def make_engine(wait_ms, rate):
    engine = Engine("e", PROFILE, rate)
    engine.add_prefill(wait_ms * rate, 0.0, True)
    return engine


@given(
    st.lists(
        st.tuples(st.floats(0.0, 2000.0), st.floats(0.5, 200.0)),
        min_size=1,
        max_size=40,
    ),
    st.floats(1.0, 1e6),
)
def test_engines_below_the_level_take_all_tokens(loads, tokens):
    engines = [make_engine(wait_ms, rate) for wait_ms, rate in loads]
    level_ms = WaitLevels(engines).level_ms(tokens)
    taken = sum(e.rate * max(0.0, level_ms - e.wait_ms) for e in engines)
    assert taken == pytest.approx(tokens, rel=1e-6)


def test_no_prompts_or_no_engines_raise_no_wait():
    assert WaitLevels([make_engine(70.0, 10.0)]).level_ms(0.0) == 0.0
    assert WaitLevels([]).level_ms(5000.0) == 0.0


def test_the_forecast_counts_the_rate_of_its_own_engine():
    slow, fast = make_engine(0.0, 20.0), make_engine(30.0, 40.0)
    assert soonest([slow, fast], 1000) is slow
    assert soonest([slow, fast], 4000) is fast
    assert soonest([slow, fast], 1000, level_ms=30.0) is fast
    forecast = forecast_at(fast, 4000, level_ms=50.0, fetch_ms=7.0)
    assert (forecast.wait_ms, forecast.prefill_ms) == (50.0, 107.0)


def test_a_chat_is_accepted_while_large_prompts_occupy_all_engines_but_one():
    """Guards against refusals while an idle engine could have the request.

    Five of six engines prefill 30,000 tokens each, so that the mean wait is
    0.7 s, and chats are due within 0.3 s.
    """
    broker = make_uneven_broker(6)
    occupy(broker, 5)
    assert broker.mean_wait_ms > 2 * CHAT_OBJECTIVE_MS
    assert broker.submit(make_chat("chat"), 0.0) is None
    (grant,) = broker.dispatch(0.0)
    assert broker.engines[grant.endpoint].wait_ms < 20.0


def test_the_mean_wait_still_decides_while_engines_are_alike():
    broker = make_uneven_broker(6)
    occupy(broker, 5)
    broker.is_uneven = False
    refused = broker.submit(make_chat("chat"), 0.0)
    assert isinstance(refused, PlacementRefusal)


def test_a_chat_is_refused_while_the_idle_engine_has_no_slot_left():
    """Guards against a forecast for an engine that can't take the request."""
    broker = make_uneven_broker(3)
    occupy(broker, 2)
    (idle,) = [e for e in broker.engines.values() if not e.running]
    idle.running = idle.slots
    broker.load.forget()
    assert broker.submit(make_chat("chat"), 0.0) is not None


def test_a_chat_is_refused_while_its_router_may_not_use_the_idle_engine():
    broker = make_uneven_broker(3)
    occupy(broker, 2)
    (idle,) = [e for e in broker.engines.values() if not e.running]
    broker.pause("r1", idle.endpoint, 1000.0)
    assert broker.submit(make_chat("a", router="r1"), 0.0) is not None
    assert broker.submit(make_chat("b", router="r2"), 0.0) is None


def test_a_queue_longer_than_the_objective_is_refused_at_once():
    """Guards against prompts that wait in a queue until they are late.

    All four engines are busy for 0.2 s. Each queued prompt adds 12.5 ms, and
    the first tokens are due within 0.4 s.
    """
    broker = make_uneven_broker(4)
    occupy(broker, 4, tokens=int(200 * RATE))
    tokens = int(50 * RATE)
    refused = [
        broker.submit(
            make_request(f"k{number}", tokens=tokens, first_token_due_at=400.0),
            0.0,
        )
        for number in range(20)
    ]
    assert 4 <= refused.count(None) <= 8
    assert not any(refused[: refused.count(None)])
    last = refused[-1]
    assert last.retry_after_ms == MIN_RETRY_AFTER_MS
    assert last.predicted_ms > 300
    assert 0 < last.over_ms < 100


def test_a_refusal_without_a_queue_is_not_held():
    """Guards against gateways that refuse on after an engine has become idle.

    An engine with one prompt may report its end at any time.
    """
    broker = make_uneven_broker(3)
    occupy(broker, 3)
    refused = broker.submit(make_chat("chat"), 0.0)
    assert refused.over_ms == 0.0
    broker.record_first_token("busy-0", 1.0)
    assert broker.submit(make_chat("next"), 1.0) is None


def test_a_workspace_within_its_share_is_accepted_beside_a_long_queue():
    """Guards against refusing small workspaces for the queue of a large one.

    Three of four engines prefill 30,000 tokens each, and the large workspace
    queues as much as is accepted.
    """
    broker = make_uneven_broker(4)
    occupy(broker, 3)
    requests = [
        make_request(f"k{number}", "large", tokens=int(50 * RATE))
        for number in range(40)
    ]
    refused = [broker.submit(request, 0.0) for request in requests]
    assert refused[-1] is not None
    broker.dispatch(0.0)
    assert len(broker.queued) > 5
    assert broker.submit(make_chat("chat", "small"), 0.0) is None


def test_a_prompt_waits_for_the_engine_that_has_its_shared_part():
    """The forecast is that of the engine which a grant would name."""
    shared = (PromptPart("shared", 6000),)
    broker = make_uneven_broker(4)
    request = make_request("first", shared=shared, tokens=1800)
    assert broker.submit(request, 0.0) is None
    (first,) = broker.dispatch(0.0)
    holder = broker.engines[first.endpoint]
    broker.record_first_token("first", 200.0)
    broker.finish("first")
    for wait_ms, is_placed_there in ((50.0, True), (500.0, False)):
        holder.prefill_tokens = wait_ms * holder.rate
        broker.load.forget()
        again = make_request("again", shared=shared, tokens=1800, now=200.0)
        assert broker.submit(again, 200.0) is None
        forecast = broker._forecast(broker.queued["again"])
        assert (forecast.wait_ms == pytest.approx(wait_ms)) is is_placed_there
        (result,) = broker.dispatch(200.0)
        assert (result.endpoint == holder.endpoint) is is_placed_there
        broker.cancel("again")
        broker.record_first_token("again", 210.0)
        broker.finish("again")


def test_a_slow_engine_does_not_extend_the_objective():
    """Guards against accepting a prompt that the idle engine serves late.

    The idle engine needs 0.6 s for a prompt that the other one would prefill
    in 0.15 s, but that one is busy for 0.8 s. It is due within 0.5 s.
    """
    broker = make_uneven_broker(2)
    broker.engines["e0"].rate = RATE / 4
    set_wait(broker, "e1", 800.0)
    request = make_request(
        "k", tokens=int(150 * RATE), first_token_due_at=500.0
    )
    assert broker.submit(request, 0.0) is not None


def test_engines_without_the_shared_part_are_compared_by_all_they_would_read():
    """Guards against refusals for a slow engine beside a fast one.

    The engine that has the shared part is busy for 2 s, and others can't
    fetch it. The slow one is idle a little earlier than the fast one, but
    would need 0.5 s for the prompt, which the fast one prefills in 0.17 s.
    """
    broker = Broker(msgspec.structs.replace(PROFILE, link_mbps=0), RATE)
    broker.set_engines(["holder", "slow", "fast"])
    broker.set_uneven(True)
    shared = (PromptPart("shared", 6000),)
    broker.add_cached("holder", shared)
    broker.engines["slow"].rate = RATE / 3
    for endpoint, wait_ms in (("holder", 2000), ("slow", 300), ("fast", 315)):
        set_wait(broker, endpoint, wait_ms)
    request = make_request(
        "k", tokens=100, shared=shared, first_token_due_at=650.0
    )
    assert broker.submit(request, 0.0) is None
    forecast = broker._forecast(broker.queued["k"])
    assert forecast.wait_ms == pytest.approx(315.0)


def test_the_forecast_has_no_transfer_from_an_engine_that_may_not_be_used():
    """Guards against a forecast that is shorter than the grant's prefill."""
    shared = (PromptPart("shared", 6000),)
    broker = make_uneven_broker(2)
    broker.add_cached("e0", shared)
    broker.pause("r1", "e0", 1000.0)
    for router, tokens in (("r1", 6100), ("r2", 100)):
        request = make_request(router, tokens=100, shared=shared, router=router)
        assert broker.submit(request, 0.0) is None
        forecast = broker._forecast(broker.queued[router])
        assert forecast.prefill_ms == pytest.approx(tokens / RATE)
        broker.cancel(router)


@pytest.mark.parametrize("seed", range(4))
def test_accepted_requests_are_on_time_under_three_times_the_capacity(seed):
    """Guards against accepting what the forecast should have refused.

    Three times the capacity of engines of unequal speed arrives. A caller
    can't tell an accepted request that is late from a lost one: at most one
    in twenty may be late.
    """
    rates = {
        f"e{number}": RATE / (1.0, 1.0, 1.5)[number % 3] for number in range(6)
    }
    simulation = UnequalEngines(make_uneven_broker(6), rates)
    per_s = 3 * sum(rates.values()) * 1000 / 2000
    simulation.run(
        poisson_arrivals(
            {"a": (0.7 * per_s, 2000), "b": (0.3 * per_s, 2000)}, 8, seed=seed
        )
    )
    responses = simulation.first_token_ms.values()
    on_time = sum(ms <= OBJECTIVE_MS for ms in responses)
    assert on_time >= 0.95 * len(responses)
    capacity = sum(rates.values()) * 8000 / 2000
    assert on_time >= 0.9 * capacity


class UnequalEngines(Simulation):
    """Engines that each have a prefill rate of their own."""

    def __init__(self, broker, rates):
        super().__init__(broker, grant_ms=5.0, report_ms=5.0)
        self.rates = rates

    def dispatch(self):
        for result in self.broker.dispatch(self.now):
            if isinstance(result, PlacementRefusal):
                self.refused[result.key] = result
                continue
            free_at = self.free_at[result.endpoint]
            start = max(self.now + self.grant_ms, free_at)
            end = start + result.prefill_tokens / self.rates[result.endpoint]
            self.free_at[result.endpoint] = end
            self.prefilling.append((end + self.report_ms, result.key))


def fill_queue(broker, prompts):
    """Queues prompts of 50 ms each behind engines that are busy for 0.1 s."""
    occupy(broker, len(broker.engines), tokens=int(100 * RATE))
    for number in range(prompts):
        request = make_request(f"k{number:02}", tokens=int(50 * RATE))
        assert broker.submit(request, 0.0) is None
    assert not broker.dispatch(0.0)


def test_queued_requests_are_refused_at_once_when_engines_are_lost():
    """Guards against requests that are held until they are late.

    Three of four engines are lost. The last one needs 0.1 s for its prompt,
    and 1.8 s for what is queued; 11 to 14 prompts can be on time.
    """
    broker = make_uneven_broker(4)
    fill_queue(broker, 36)
    broker.set_engines(["e0"])
    refused = broker.expire(1.0)
    assert all(r.retry_after_ms >= MIN_RETRY_AFTER_MS for r in refused)
    assert 11 <= len(broker.queued) <= 14
    assert len(refused) == 36 - len(broker.queued)
    assert broker.refused_after_loss == len(refused)
    assert list(broker.queued) == [
        f"k{number:02}" for number in range(len(broker.queued))
    ]
    assert not broker.expire(500.0)


def test_queued_requests_that_can_still_be_on_time_survive_a_loss():
    broker = make_uneven_broker(4)
    fill_queue(broker, 8)
    broker.set_engines(["e0", "e1", "e2"])
    assert not broker.expire(1.0)
    assert len(broker.queued) == 8


def test_queued_requests_are_kept_while_all_engines_are_lost():
    """Guards against refusing all callers when engines return soon.

    One of two engines returns when 0.3 s are left. It needs 0.1 s for its
    prompt, so that three of the queued prompts can be on time.
    """
    broker = make_uneven_broker(2)
    fill_queue(broker, 8)
    broker.set_engines([])
    assert not broker.expire(1.0)
    assert len(broker.queued) == 8
    broker.set_engines(["e0"])
    refused = broker.expire(500.0)
    assert list(broker.queued) == ["k00", "k01", "k02"]
    assert len(refused) == 5


def test_a_refused_prompt_does_not_push_back_its_workspace_in_a_review():
    """Guards against refusing a chat for a prompt that is not served.

    Three of four engines are lost, and the last one is busy for 0.5 s. The
    prompt of 1.2 s can't be on time any more; if it were served, a dozen
    prompts of the other workspace would come before the chat.
    """
    broker = make_uneven_broker(4)
    prompts = [
        make_request(
            "large", "a", tokens=int(1200 * RATE), first_token_due_at=1500.0
        ),
        make_chat("chat", "a", first_token_due_at=1600.0),
    ]
    prompts += [
        make_request(
            f"b{number}", "b", tokens=int(100 * RATE), first_token_due_at=4500.0
        )
        for number in range(30)
    ]
    for prompt in prompts:
        assert broker.submit(prompt, 0.0) is None
    set_wait(broker, "e0", 500.0)
    broker.set_engines(["e0"])
    assert [refused.key for refused in broker.expire(1.0)] == ["large"]
    assert "chat" in broker.queued


def test_a_loss_refuses_nothing_while_engines_are_alike():
    broker = make_uneven_broker(4)
    fill_queue(broker, 36)
    broker.is_uneven = False
    broker.set_engines(["e0"])
    assert not broker.expire(1.0)


def test_the_order_of_service_is_that_of_the_grants():
    broker = make_uneven_broker(1)
    occupy(broker, 1)
    for number in range(5):
        for name, tokens in (("a", 900), ("b", 1800)):
            key = f"{name}{number}"
            broker.submit(make_request(key, name, tokens=tokens), 0.0)
    broker.cancel("a1")
    expected = [queued.request.key for queued in broker.service_order()]
    served = []
    while (queued := broker.pop_next()) is not None:
        served.append(queued.request.key)
        cost = queued.cost + 2 * queued.request.output_tokens
        broker.charge(queued.request.workspace, cost)
    assert served == expected
