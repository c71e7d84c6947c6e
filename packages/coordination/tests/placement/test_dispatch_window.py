"""Tests of the choice among the first queued requests, under overload."""

import random
import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement import broker as broker_module
from marjoramyard.coordination.placement.dispatch_window import (
    MAX_HOLD_MS,
    MAX_LEAD_MS,
    MAX_OVERTAKEN,
    WINDOW_SIZE,
)
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    UnbrokeredRequest,
    service_cost,
)
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    RATE,
    Simulation,
    make_broker,
    make_request,
)

GUIDE = PromptPart("guide", 6000)
OTHER_GUIDE = PromptPart("other-guide", 6000)
SEEDS = range(8)
FAR_MS = 1e9


def make_uneven_broker(engines=2):
    broker = make_broker(engines)
    broker.set_uneven(True)
    return broker


def make_patient_request(key, **changes):
    """Returns a request that is never too late."""
    fields = {"first_token_due_at": FAR_MS, "deadline_at": FAR_MS}
    return make_request(key, **{**fields, **changes})


def occupy(broker, endpoint, backlog_ms, now=0.0, memory_tokens=0):
    """Gives an engine a prompt that takes some time to prefill."""
    key = f"busy-{endpoint}"
    broker.add_unbrokered(
        UnbrokeredRequest(
            key=key,
            endpoint=endpoint,
            prefill_tokens=backlog_ms * RATE,
            memory_tokens=memory_tokens,
        ),
        now,
    )
    return key


def submit(broker, request, now=0.0):
    assert broker.submit(request, now) is None


def finish(broker, key, now):
    broker.record_first_token(key, now)
    broker.finish(key)


def make_load(rng, workspaces, count):
    """Returns requests of some workspaces, each with one of 12 guides."""
    return [
        make_patient_request(
            f"k{number}",
            workspace=f"w{rng.randrange(workspaces)}",
            tokens=rng.randrange(100, 4000),
            shared=(PromptPart(f"guide-{rng.randrange(12)}", 3000),),
            first_token_due_at=FAR_MS + rng.randrange(10_000),
        )
        for number in range(count)
    ]


def run_overload(broker, requests, rng):
    """Serves requests that are all queued at once.

    Yields:
        The time, the keys queued before, and the grants of each round.
    """
    rates = dict.fromkeys(broker.engines, RATE)
    for number, engine in enumerate(broker.engines.values()):
        engine.rate *= (0.6, 1.0, 1.6)[number % 3]
        rates[engine.endpoint] = engine.rate
    for request in requests:
        submit(broker, request)
    now, ends = 0.0, []
    while broker.queued or ends:
        queued = dict(broker.queued)
        grants = broker.dispatch(now)
        assert all(isinstance(grant, PlacementGrant) for grant in grants)
        yield now, queued, grants
        for grant in grants:
            wait_ms = broker.engines[grant.endpoint].wait_ms
            ends.append((now + wait_ms + rng.random(), grant.key))
        now += 20.0
        for end in sorted(ends):
            if end[0] <= now:
                ends.remove(end)
                finish(broker, end[1], now)


def test_equal_engines_are_served_without_a_window(monkeypatch):
    """Guards against a change for deployments whose engines are equal."""
    monkeypatch.setattr(broker_module, "DispatchWindow", None)
    broker = make_broker(2)
    submit(broker, make_request("k"))
    (grant,) = broker.dispatch(0.0)
    assert grant.key == "k"


def test_an_engine_chooses_a_queued_prompt_whose_parts_it_has_cached():
    """Load: a queue of prompts whose parts are cached at different engines.

    The first prompt's engine is busy, so the second, whose parts the other
    engine has, is granted, and no part is copied.
    """
    broker = make_uneven_broker()
    broker.add_cached("e0", [GUIDE])
    broker.add_cached("e1", [OTHER_GUIDE])
    occupy(broker, "e0", 100)
    occupy(broker, "e1", 30)
    submit(broker, make_patient_request("first", shared=(GUIDE,)))
    submit(broker, make_patient_request("second", shared=(OTHER_GUIDE,)))
    (grant,) = broker.dispatch(0.0)
    assert (grant.key, grant.endpoint) == ("second", "e1")
    assert grant.fetch_from == ""
    assert broker.grant_counts.overtaking() == 1


@pytest.mark.parametrize("seed", SEEDS)
def test_fewer_prompts_are_sent_to_engines_without_their_parts(seed):
    """Load: three times what the engines prefill, of 40 shared parts."""
    counts = {}
    for is_uneven in (False, True):
        rng = random.Random(seed)
        broker = make_broker(6)
        broker.set_uneven(is_uneven)
        arrivals = []
        for number in range(1500):
            at = number * 4.0
            part = PromptPart(f"guide-{rng.randrange(40)}", 4000)
            own = rng.randrange(500, 2500)
            workspace = f"w{rng.randrange(5)}"
            request = make_request(
                f"k{number}", workspace, at, own, shared=(part,)
            )
            arrivals.append((at, request))
        simulation = Simulation(broker)
        simulation.run(arrivals)
        served = broker.grant_counts.by_source()
        counts[is_uneven] = served["fetched"] / sum(served.values())
    assert counts[True] < 0.8 * counts[False]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_workspace_gets_ahead_by_a_bounded_service(seed):
    """Load: workspaces with a queue throughout, and shared parts.

    The bound is `MAX_LEAD_MS` of an engine's prefill and one request.
    """
    rng = random.Random(seed)
    broker = make_uneven_broker(5)
    requests = make_load(rng, 6, 300)
    largest = max(
        service_cost(r.prompt_tokens, r.output_tokens) for r in requests
    )
    by_key = {request.key: request for request in requests}
    for _, queued, grants in run_overload(broker, requests, rng):
        lead = MAX_LEAD_MS * broker.total_prefill_rate / len(broker.engines)
        active = {q.request.workspace for q in queued.values()}
        still_active = {q.request.workspace for q in broker.queued.values()}
        least = min((broker.virtual_time[w] for w in still_active), default=0.0)
        for grant in grants:
            workspace = by_key[grant.key].workspace
            ahead = broker.virtual_time[workspace] - least
            if active == still_active:
                assert ahead <= lead + largest


@pytest.mark.parametrize("seed", SEEDS)
def test_a_request_is_overtaken_a_bounded_number_of_times(seed):
    """Load: 300 requests at once. Guards against requests that starve.

    A round that has begun may add as many as a window has.
    """
    rng = random.Random(seed)
    broker = make_uneven_broker(5)
    requests = make_load(rng, 6, 300)
    overtaken = 0
    for _, queued, _ in run_overload(broker, requests, rng):
        overtaken = max(overtaken, *(q.overtaken for q in queued.values()), 0)
    assert 0 < overtaken <= MAX_OVERTAKEN + WINDOW_SIZE


@pytest.mark.parametrize("seed", SEEDS)
def test_a_request_waits_for_its_engine_for_a_bounded_time(seed):
    """Load: 300 requests at once. Guards against a wait without an end.

    A request that was passed over for too long is left in the queue only if
    no engine accepts work, or if others have been passed over as long.
    """
    rng = random.Random(seed)
    broker = make_uneven_broker(5)
    for now, _, _ in run_overload(broker, make_load(rng, 6, 300), rng):
        due = [q for q in broker.queued.values() if now >= q.held_until]
        if due:
            limit_ms = broker._max_backlog_ms()
            accepting = [
                e for e in broker.engines.values() if e.accepts(0.0, limit_ms)
            ]
            assert accepting == []


@pytest.mark.parametrize("seed", SEEDS)
def test_no_engine_without_requests_is_left_while_requests_are_queued(seed):
    """Load: 300 requests at once, whose parts are cached elsewhere."""
    rng = random.Random(seed)
    broker = make_uneven_broker(5)
    requests = make_load(rng, 6, 300)
    for number in range(12):
        broker.add_cached("e0", [PromptPart(f"guide-{number}", 3000)])
    for _ in run_overload(broker, requests, rng):
        if broker.queued:
            assert all(e.running for e in broker.engines.values())


def test_an_engine_that_accepts_work_gets_a_prompt_after_a_bounded_time():
    """Guards against an engine that idles beside a queue.

    The only queued prompt has its parts at an engine that stays busy.
    """
    broker = make_uneven_broker()
    broker.add_cached("e0", [GUIDE])
    occupy(broker, "e0", 10_000)
    occupy(broker, "e1", 30)
    submit(broker, make_patient_request("k", shared=(GUIDE,)))
    assert broker.dispatch(0.0) == []
    assert broker.dispatch(MAX_HOLD_MS - 1.0) == []
    (grant,) = broker.dispatch(MAX_HOLD_MS)
    assert (grant.key, grant.endpoint) == ("k", "e1")


@pytest.mark.parametrize("seed", SEEDS)
def test_due_times_of_a_workspace_are_left_only_within_the_window(seed):
    """Load: one workspace queues 300 requests at once."""
    rng = random.Random(seed)
    broker = make_uneven_broker(5)
    requests = make_load(rng, 1, 300)
    by_key = {request.key: request for request in requests}
    places = []
    for _, queued, grants in run_overload(broker, requests, rng):
        due = sorted(q.request.first_token_due_at for q in queued.values())
        # A round may look at several windows.
        for number, grant in enumerate(grants):
            place = due.index(by_key[grant.key].first_token_due_at)
            places.append(place - number)
    assert 0 < max(places) < WINDOW_SIZE


def test_prompts_go_elsewhere_at_once_when_their_engine_is_lost():
    """Guards against waiting for an engine that has failed.

    The lost engine still has a request in flight, so it isn't forgotten yet.
    """
    broker = make_uneven_broker()
    broker.add_cached("e0", [GUIDE])
    occupy(broker, "e0", 1000)
    occupy(broker, "e1", 30)
    submit(broker, make_patient_request("k", shared=(GUIDE,)))
    assert broker.dispatch(0.0) == []
    broker.set_engines(["e1"])
    (grant,) = broker.dispatch(1.0)
    assert (grant.key, grant.endpoint) == ("k", "e1")
    assert grant.fetch_from == ""


def test_a_prompt_that_needs_much_memory_is_not_always_overtaken():
    """Guards against small prompts that always take the memory as it is freed.

    After `MAX_HOLD_MS` no further prompt goes to the emptiest engine.
    """
    broker = make_uneven_broker(1)
    occupy(broker, "e0", 1, memory_tokens=100_000)
    broker.finish_prefills_of("", 0.0)
    submit(broker, make_patient_request("large", tokens=150_000))
    submit(broker, make_patient_request("small-1", workspace="x", tokens=100))
    (grant,) = broker.dispatch(0.0)
    assert grant.key == "small-1"
    submit(broker, make_patient_request("small-2", workspace="x", tokens=100))
    finish(broker, "small-1", MAX_HOLD_MS)
    assert broker.dispatch(MAX_HOLD_MS) == []
    broker.finish("busy-e0")
    grants = broker.dispatch(MAX_HOLD_MS)
    assert grants[0].key == "large"


def test_an_overdue_request_does_not_overtake():
    """Guards against late callers that make others late.

    Its parts are cached at the engine that accepts work, but a prompt that
    can still be on time can use that engine too.
    """
    broker = make_uneven_broker()
    short_guide = PromptPart("short-guide", 3000)
    broker.add_cached("e0", [short_guide])
    broker.add_cached("e1", [OTHER_GUIDE])
    occupy(broker, "e0", 100)
    occupy(broker, "e1", 30)
    submit(broker, make_patient_request("first", shared=(short_guide,)))
    overdue = make_patient_request(
        "overdue", shared=(OTHER_GUIDE,), is_overdue=True
    )
    submit(broker, overdue)
    assert broker.queued["overdue"].comes_last
    (grant,) = broker.dispatch(0.0)
    assert grant.key == "first"


def test_a_prompt_finds_its_parts_in_a_pool_that_is_not_searched_completely():
    """Load: 300 idle engines. Guards against a KeyError for an engine beyond
    the least loaded ones.
    """
    broker = make_uneven_broker(300)
    for number in range(300):
        occupy(broker, f"e{number}", 0.1 if number < 200 else 20)
    broker.add_cached("e250", [GUIDE])
    submit(broker, make_patient_request("k", shared=(GUIDE,)))
    (grant,) = broker.dispatch(0.0)
    assert (grant.endpoint, grant.fetch_from) == ("e250", "")
