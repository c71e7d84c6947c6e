"""Tests of the handling of failed attempts."""

from types import SimpleNamespace

import pytest

from marjoramyard.fleet.entry.agent_views import Placement
from marjoramyard.fleet.entry.attempt_client import AttemptLostError
from marjoramyard.fleet.entry.request_handler import (
    RequestHandler,
    RetryBudgets,
)
from marjoramyard.fleet.entry.responses import ResponseFailedError
from marjoramyard.kernel.errors import (
    FailureKind,
    FleetError,
    Outcome,
    failure,
)


class FakeDispatcher:
    def __init__(self):
        self.backed_off = []

    def back_off(self, address):
        self.backed_off.append(address)

    def retry_after(self):
        return 2.0


PLACEMENT = Placement("127.0.0.1:1")


def lost(outcome):
    return failure(FailureKind.ENDPOINT_LOST, "lost", outcome)


@pytest.mark.parametrize(
    ("error", "suspect", "backed_off"),
    [
        (ResponseFailedError(lost(Outcome.UNKNOWN)), True, False),
        (ResponseFailedError(lost(Outcome.NOT_RUN)), False, False),
        (AttemptLostError(lost(Outcome.UNKNOWN)), False, True),
        (
            ResponseFailedError(
                failure(FailureKind.ENDPOINT_STALLED, "", Outcome.UNKNOWN)
            ),
            False,
            False,
        ),
    ],
)
def test_only_an_endpoint_lost_while_running_makes_a_suspect(
    error, suspect, backed_off
):
    """A lost agent, or an endpoint that refused the connection, does not."""
    request, dispatcher = SimpleNamespace(suspect=False), FakeDispatcher()
    RequestHandler._record_loss(request, error, dispatcher, PLACEMENT)
    assert request.suspect == suspect
    assert bool(dispatcher.backed_off) == backed_off


def test_a_request_that_was_queued_past_the_lease_is_not_sent():
    """The lease expired in the queue, and a grant arrived afterwards."""
    refusal = failure(FailureKind.NO_LEASE, "no lease", retry_after=1.0)
    handler = SimpleNamespace(
        membership=SimpleNamespace(refusal=lambda: refusal)
    )
    with pytest.raises(FleetError) as refused:
        RequestHandler._check_may_run(
            handler, SimpleNamespace(), FakeDispatcher()
        )
    assert refused.value.failure.kind is FailureKind.NO_LEASE


def test_retry_budgets_follow_the_policy_in_force():
    policy = SimpleNamespace(retry_ratio=0.1, retry_burst=1.0)
    membership = SimpleNamespace(bundle=SimpleNamespace(policy=policy))
    budgets = RetryBudgets(membership)
    request = SimpleNamespace(workspace_id="w", service_id="s")
    assert budgets.spend(request)
    assert not budgets.spend(request)
    policy.retry_ratio = 1.0
    budgets.on_request(request)
    assert budgets.spend(request)
