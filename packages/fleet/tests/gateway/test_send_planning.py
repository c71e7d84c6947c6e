"""Where the sends of one request go, without a network."""

import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.placement.cold_start import GRANT_VALID_MS
from marjoramyard.coordination.routing.config import EngineProfile, Service
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.broker_protocol import PlaceGrant
from marjoramyard.fleet.gateway.request_trace import Unplaceable
from marjoramyard.fleet.sync_messages import SyncReply
from marjoramyard.kernel.errors import FailureKind, FleetError, Outcome
from marjoramyard.kernel.metrics import Metrics

sys.path.insert(0, str(Path(__file__).parent))
from request_runs import add_endpoint, make_run, make_view, paused  # noqa: E402


@pytest.fixture
def metrics():
    instance = Metrics("gateway", "g0")
    yield instance
    instance.close()


@pytest.fixture
def view():
    return make_view()


async def test_a_request_to_an_evacuated_service_is_refused_at_once(
    view, metrics
):
    """Guards against requests to the only zone although it is evacuated."""
    view.apply("c", SyncReply("", 0, zone_revision=1, evacuated_zones=[""]), 0)
    run = make_run(view, metrics, False)
    with pytest.raises(FleetError) as caught:
        await run.run_to_completion()
    assert caught.value.failure.kind is FailureKind.NO_ENDPOINT
    assert caught.value.failure.outcome == Outcome.NOT_RUN.value
    assert run.trace.unplaceable is Unplaceable.EVACUATED
    assert run.context.session.requests == 0


@pytest.mark.parametrize("is_cold", [True, False])
def test_a_late_grant_for_a_cold_engine_is_returned(view, metrics, is_cold):
    """Guards against a suspended gateway that uses all its grants at once."""
    returned = []
    client = SimpleNamespace(return_grant=returned.append)
    run = make_run(view, metrics, False)
    run.context.brokers.client_for = lambda _: client
    run.planner.service = Service("api", engine=EngineProfile(slots=1))
    grant = PlaceGrant(1, "e0", is_cold=is_cold)
    assert run.planner.plan_granted(grant, 7, GRANT_VALID_MS).is_granted
    if not is_cold:
        assert run.planner.plan_granted(grant, 7, GRANT_VALID_MS + 1).is_granted
        return
    plan = run.planner.plan_granted(grant, 7, GRANT_VALID_MS + 1)
    assert not plan.is_granted
    assert returned == [7]


async def test_a_request_is_refused_at_once_if_its_endpoints_pause(
    view, metrics
):
    """Guards against requests that are sent in a pause, or held until its end,
    and against callers that come back before it.
    """
    paused(view, "e0")
    run = make_run(view, metrics, False)
    with pytest.raises(FleetError) as caught:
        await run.run_to_completion()
    assert caught.value.failure.outcome == Outcome.NOT_RUN.value
    assert caught.value.failure.retry_after >= 5.0
    assert run.trace.unplaceable is Unplaceable.PAUSED
    assert run.context.session.requests == 0


def test_a_grant_for_a_pausing_engine_is_returned(view, metrics):
    """Guards against grants that crossed the message on the pause."""
    add_endpoint(view, "e1")
    paused(view, "e0")
    returned = []
    run = make_run(view, metrics, False)
    run.planner.service = Service("api", engine=EngineProfile(slots=1))
    run.context.brokers.client_for = lambda _: SimpleNamespace(
        return_grant=returned.append
    )
    plan = run.planner.plan_granted(PlaceGrant(1, "e0"), 7, 1.0)
    assert plan.endpoint.endpoint == "e1"
    assert returned == [7]


def test_a_pausing_engine_is_not_fetched_from(view, metrics):
    """Guards against work for an engine that has asked for a pause."""
    add_endpoint(view, "e1")
    run = make_run(view, metrics, False)
    grant = PlaceGrant(1, "e1", fetch_from="e0")
    assert run.planner.plan_granted(grant, 7, 1.0).fetch_from == "127.0.0.1:1"
    paused(view, "e0")
    assert run.planner.plan_granted(grant, 7, 1.0).fetch_from == ""


async def test_endpoints_may_pause_during_the_wait_for_the_broker(
    view, metrics
):
    """Guards against a placement by what was known before the wait."""
    add_endpoint(view, "e1")

    async def place(*_):
        paused(view, "e0")
        return 7, None

    run = make_run(view, metrics, False)
    run.caller.parts = (PromptPart("own", 10),)
    run.planner.service = Service("api", engine=EngineProfile(slots=1))
    run.context.brokers.client_for = lambda _: SimpleNamespace(place=place)
    for _ in range(8):
        plan = await run.planner.plan()
        assert plan.endpoint.endpoint == "e1"
