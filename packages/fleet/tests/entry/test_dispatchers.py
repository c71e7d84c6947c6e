"""Which agents an entry uses, and what it tells them."""

from types import SimpleNamespace

import pytest

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.coordination.serving.request_queues import (
    QueuedRequest,
    RequestClass,
)
from marjoramyard.fleet.entry.dispatchers import Dispatchers
from marjoramyard.kernel.errors import FleetError, Kind


def row(number, zone="zone-a", state="ready"):
    return DirectoryRow(
        f"agent-{number}",
        "agent",
        zone,
        f"127.0.0.1:{number}",
        "chat",
        state,
        8,
    )


def make_dispatchers(name="entry-1", limit=0):
    settings = SimpleNamespace(
        agents_per_service=limit, name=name, zone="zone-a"
    )
    metrics = SimpleNamespace(gauge=lambda *_: None, count=lambda *_, **__: 0)
    app = SimpleNamespace(
        settings=settings, metrics=metrics, incarnation=f"{name}~1"
    )
    return Dispatchers(app)


ROWS = [row(n, f"zone-{'ab'[n % 2]}") for n in range(40)]


def used_by(name, rows=ROWS, limit=8):
    dispatchers = make_dispatchers(name, limit)
    dispatchers.set_agents(rows)
    return set(dispatchers.get("chat").agents)


def test_a_subset_is_stable_near_and_spread():
    """Entries must not all pick the same agents, nor new ones each time."""
    assert used_by("entry-1") == used_by("entry-1")
    near = {r.incarnation for r in ROWS if r.zone == "zone-a"}
    assert len(used_by("entry-1") & near) >= 4
    everybody = set().union(*(used_by(f"entry-{n}") for n in range(40)))
    assert len(everybody) == len(ROWS)


def test_a_lost_agent_moves_few_pairs():
    before = used_by("entry-1")
    gone = next(iter(before))
    after = used_by("entry-1", [r for r in ROWS if r.incarnation != gone])
    assert len(after - before) == 1


def test_an_idle_agent_outside_every_subset_hears_of_waiting_work():
    """Its own entries have nothing; another entry has a backlog."""
    dispatchers = make_dispatchers(limit=2)
    dispatchers.set_agents(ROWS)
    dispatcher = dispatchers.get("chat")
    told = set()
    dispatcher._send_offer = lambda view, whole=False: told.add(
        view.row.incarnation
    )
    dispatcher.refresh(0.0)
    assert told == set()
    item = QueuedRequest("w", RequestClass.INTERACTIVE, 0.0, 1, "", None)
    dispatcher.queue.add(item)
    for _ in range(500):
        dispatcher.refresh(1e9)
    assert told == {r.incarnation for r in ROWS} - set(dispatcher.agents)


def test_new_backlogs_go_to_free_agents_and_two_busy_ones():
    """Telling every busy agent each time was most of the traffic."""
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:10])
    dispatcher = dispatchers.get("chat")
    for number, view in enumerate(dispatcher.agents.values()):
        view.free = 1 if number < 3 else 0
    told = []
    dispatcher._send_offer = lambda view, whole=False: told.append(view.free)
    dispatcher.queue.add(
        QueuedRequest("w", RequestClass.INTERACTIVE, 0.0, 1, "", None)
    )
    dispatcher._flush()
    assert sorted(told) == [0, 0, 1, 1, 1]


def test_entries_take_turns_with_rows_and_a_new_agent_gets_them_first():
    """A restarted agent must know everybody's standing at once."""
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:1])
    dispatcher = dispatchers.get("chat")
    view = next(iter(dispatcher.agents.values()))
    view.entries = 10
    dispatcher.totals.update_recovery({})
    dispatcher.totals.add("w", 5.0)
    assert dispatcher._totals_for(view).origins
    view.link.peer = view.row.incarnation
    sent = [bool(dispatcher._totals_for(view).origins) for _ in range(2000)]
    assert 100 < sum(sent) < 300


def test_a_backlog_that_begins_again_is_told_again():
    """It ended and began between two refreshes; agents think it is over."""
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:1])
    dispatcher = dispatchers.get("chat")
    view = next(iter(dispatcher.agents.values()))
    view.offered = {"w"}
    dispatcher._clear_offered_if_empty("w")
    assert view.offered == set()


def test_an_agent_that_gave_no_answer_is_passed_over():
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:2])
    dispatcher = dispatchers.get("chat")
    dispatcher.back_off(ROWS[0].address)
    assert [v.row for v in dispatcher.ready_agents()] == [ROWS[1]]
    assert dispatcher.direct_candidates()[0].address == ROWS[1].address


def caller_request(limit=1, max_bytes=1000, body=b"x"):
    workspace = SimpleNamespace(max_waiting=limit, max_waiting_bytes=max_bytes)
    return SimpleNamespace(
        workspace_id="w",
        workspace=workspace,
        body=body,
        request_class=RequestClass.INTERACTIVE,
        prefix="",
        seconds_left=lambda: 0.0,
    )


@pytest.mark.parametrize(
    "request_", [caller_request(limit=1), caller_request(9, max_bytes=1)]
)
async def test_past_a_workspaces_limits_the_answer_is_final_at_once(request_):
    """A workspace floods an entry; its next request must not be held."""
    dispatchers = make_dispatchers()
    dispatcher = dispatchers.get("chat")
    dispatcher.queue.add(
        QueuedRequest("w", RequestClass.INTERACTIVE, 0.0, 1, "", None)
    )
    with pytest.raises(FleetError) as refused:
        await dispatcher.wait(request_, first=False)
    reason = refused.value.failure
    assert reason.kind is Kind.WORKSPACE_FULL
    assert reason.outcome == "not-run"
    assert reason.retry_after >= 1.0


async def test_a_request_given_up_in_the_queue_is_not_run_and_says_when():
    dispatchers = make_dispatchers()
    dispatcher = dispatchers.get("chat")
    with pytest.raises(FleetError) as refused:
        await dispatcher.wait(caller_request(), first=False)
    reason = refused.value.failure
    assert reason.kind is Kind.DEADLINE
    assert reason.outcome == "not-run"
    assert reason.retry_after >= 1.0
    assert dispatcher.queue.count() == 0
