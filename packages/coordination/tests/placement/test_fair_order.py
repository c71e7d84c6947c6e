"""Tests of the order of fair service."""

import sys
from pathlib import Path

from marjoramyard.coordination.placement.fair_order import in_fair_order
from marjoramyard.coordination.placement.request_queue import (
    QueuedRequest,
    RequestQueue,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import make_request  # noqa: E402


def make_queue(workspace, costs):
    """Returns a queue whose requests are due in order of their costs' list."""
    queue = RequestQueue()
    for number, cost in enumerate(costs):
        request = make_request(
            f"{workspace}{number}",
            workspace,
            output_tokens=0,
            first_token_due_at=800.0 + number,
        )
        queue.push(QueuedRequest(request, cost), number)
    return queue


def test_workspaces_take_turns_by_what_the_order_itself_takes():
    """Load: a workspace of large prompts beside one of small ones."""
    queues = {
        "a": make_queue("a", [300.0, 300.0]),
        "b": make_queue("b", [100.0] * 4),
    }
    order = in_fair_order(queues, {"a": 0.0, "b": 50.0})
    assert [(received, q.request.key) for received, q in order] == [
        (0.0, "a0"),
        (50.0, "b0"),
        (150.0, "b1"),
        (250.0, "b2"),
        (300.0, "a1"),
        (350.0, "b3"),
    ]


def test_requests_that_leave_their_queue_meanwhile_are_not_yielded():
    """Guards against grants of requests that were granted or withdrawn."""
    queue = make_queue("a", [100.0] * 5)
    order = in_fair_order({"a": queue}, {})
    _, first = next(order)
    queue.remove(first)
    third = sorted(queue.heap)[1][2]
    queue.remove(third)
    keys = [queued.request.key for _, queued in order]
    assert keys == ["a1", "a3", "a4"]


def test_the_order_leaves_the_queues_unchanged():
    queue = make_queue("a", [100.0] * 50)
    heap = queue.heap.copy()
    keys = [q.request.key for _, q in in_fair_order({"a": queue}, {})]
    assert keys == [f"a{number}" for number in range(50)]
    assert queue.heap == heap
