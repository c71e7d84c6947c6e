"""Tests of the agents that an entry uses and of the offers to them."""

from types import SimpleNamespace

import pytest

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.coordination.serving.request_queues import (
    QueuedRequest,
    RequestClass,
)
from marjoramyard.fleet.entry.dispatchers import Dispatchers
from marjoramyard.kernel.errors import FailureKind, FleetError


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


def test_a_subset_is_stable_prefers_the_zone_and_covers_all_agents():
    """Entries must not all pick the same agents, or others each time."""
    assert used_by("entry-1") == used_by("entry-1")
    same_zone = {r.incarnation for r in ROWS if r.zone == "zone-a"}
    assert len(used_by("entry-1") & same_zone) >= 4
    used_by_any = set().union(*(used_by(f"entry-{n}") for n in range(40)))
    assert len(used_by_any) == len(ROWS)


def test_a_removed_agent_is_replaced_by_one_other():
    before = used_by("entry-1")
    removed = next(iter(before))
    after = used_by("entry-1", [r for r in ROWS if r.incarnation != removed])
    assert len(after - before) == 1


def test_an_idle_agent_outside_the_subset_receives_offers():
    """The entries that use it have no backlog; another entry has one."""
    dispatchers = make_dispatchers(limit=2)
    dispatchers.set_agents(ROWS)
    dispatcher = dispatchers.get("chat")
    offered = set()
    dispatcher._send_offer = lambda view, full=False: offered.add(
        view.row.incarnation
    )
    dispatcher.refresh(0.0)
    assert offered == set()
    item = QueuedRequest("w", RequestClass.INTERACTIVE, 0.0, 1, "", None)
    dispatcher.queue.add(item)
    for _ in range(500):
        dispatcher.refresh(1e9)
    assert offered == {r.incarnation for r in ROWS} - set(dispatcher.agents)


def test_new_backlogs_go_to_free_agents_and_two_busy_ones():
    """Offers to all busy agents would cause too much control traffic."""
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:10])
    dispatcher = dispatchers.get("chat")
    for number, view in enumerate(dispatcher.agents.values()):
        view.free = 1 if number < 3 else 0
    offered = []
    dispatcher._send_offer = lambda view, full=False: offered.append(view.free)
    dispatcher.queue.add(
        QueuedRequest("w", RequestClass.INTERACTIVE, 0.0, 1, "", None)
    )
    dispatcher._flush()
    assert sorted(offered) == [0, 0, 1, 1, 1]


def test_totals_are_sent_at_random_but_always_to_a_new_agent():
    """A restarted agent needs all workspaces' totals before it chooses."""
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:1])
    dispatcher = dispatchers.get("chat")
    view = next(iter(dispatcher.agents.values()))
    view.entries = 10
    dispatcher.totals.update_recovery({})
    dispatcher.totals.add("w", 5.0)
    assert dispatcher._totals_for(view).origins
    view.totals_sync.peer = view.row.incarnation
    sent = [bool(dispatcher._totals_for(view).origins) for _ in range(2000)]
    assert 100 < sum(sent) < 300


def test_a_backlog_that_starts_again_is_offered_again():
    """It ended and started between two refreshes."""
    dispatchers = make_dispatchers()
    dispatchers.set_agents(ROWS[:1])
    dispatcher = dispatchers.get("chat")
    view = next(iter(dispatcher.agents.values()))
    view.offered = {"w"}
    dispatcher._clear_offered_if_empty("w")
    assert view.offered == set()


def test_an_unresponsive_agent_is_in_backoff():
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
async def test_a_request_over_the_workspaces_limits_is_refused_at_once(
    request_,
):
    """The queue of a workspace with excess load must be bounded."""
    dispatchers = make_dispatchers()
    dispatcher = dispatchers.get("chat")
    dispatcher.queue.add(
        QueuedRequest("w", RequestClass.INTERACTIVE, 0.0, 1, "", None)
    )
    with pytest.raises(FleetError) as refused:
        await dispatcher.wait(request_, first=False)
    reason = refused.value.failure
    assert reason.kind is FailureKind.WORKSPACE_FULL
    assert reason.outcome == "not-run"
    assert reason.retry_after >= 1.0


async def test_a_request_that_times_out_in_the_queue_is_not_run():
    dispatchers = make_dispatchers()
    dispatcher = dispatchers.get("chat")
    with pytest.raises(FleetError) as refused:
        await dispatcher.wait(caller_request(), first=False)
    reason = refused.value.failure
    assert reason.kind is FailureKind.DEADLINE
    assert reason.outcome == "not-run"
    assert reason.retry_after >= 1.0
    assert dispatcher.queue.count() == 0
