"""Where the sends of one request go, without a network."""

import sys
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.placement.cold_start import GRANT_VALID_MS
from marjoramyard.coordination.routing.config import EngineProfile, Service
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.broker_client import BrokerClient
from marjoramyard.fleet.gateway.broker_protocol import PlaceGrant, PlaceRefusal
from marjoramyard.fleet.gateway.grant_history import MIN_SPAN_SECONDS
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
    run.context.brokers.client_for = lambda _: SimpleNamespace(
        place=place, is_connected=True
    )
    for _ in range(8):
        plan = await run.planner.plan()
        assert plan.endpoint.endpoint == "e1"


def use_lost_broker(run, was_overloaded):
    """Lets the only broker be lost that granted 10 tokens in each 50 ms."""
    run.caller.parts = (PromptPart("own", 10),)
    run.planner.service = Service("api", engine=EngineProfile(slots=1))
    client = BrokerClient(run.view, None, None)
    run.context.brokers.client_for = lambda _: client
    lost_at = time.monotonic()
    replies = round(2 * MIN_SPAN_SECONDS / 0.05)
    pace = run.context.paces.pace_of("api")
    for number in range(replies):
        at = lost_at - 0.05 * (replies - number)
        pace.on_granted(10.0, 0.0, at)
        if was_overloaded:
            pace.on_refused(at)


async def plans_until_refused(run, most):
    """Returns the number of sends planned before one is refused."""
    for count in range(most):
        try:
            await run.planner.plan()
        except FleetError as error:
            return count, error.failure
    return most, None


async def test_prompts_beyond_the_pace_are_refused_if_the_broker_is_lost(
    view, metrics
):
    """Load: 200 prompts at once after an overload. Guards against engines that
    get them all as soon as there is no broker.
    """
    run = make_run(view, metrics, False)
    use_lost_broker(run, was_overloaded=True)
    count, failure = await plans_until_refused(run, 200)
    assert 1 <= count <= 10
    assert failure.kind is FailureKind.BUSY
    assert failure.outcome == Outcome.NOT_RUN.value
    assert failure.retry_after > 0
    assert run.trace.unplaceable is Unplaceable.OVER_PACE
    assert run.context.session.requests == 0
    assert "marjoramyard_pace_refusals_total{" in (
        metrics.prometheus_text().decode()
    )


async def test_a_prompt_beyond_the_pace_that_may_have_run_is_not_called_busy(
    view, metrics
):
    """Guards against callers that repeat what an engine has run."""
    run = make_run(view, metrics, False)
    use_lost_broker(run, was_overloaded=True)
    run.progress.may_have_run = True
    _, failure = await plans_until_refused(run, 200)
    assert failure.kind is FailureKind.ENDPOINT_LOST
    assert failure.outcome == Outcome.UNKNOWN.value


async def test_no_prompt_is_refused_if_the_broker_is_lost_on_a_calm_day(
    view, metrics
):
    """Load: 200 prompts at once after a calm time."""
    run = make_run(view, metrics, False)
    use_lost_broker(run, was_overloaded=False)
    assert await plans_until_refused(run, 200) == (200, None)
    assert run.trace.unplaceable is None


async def test_a_broker_that_responds_limits_nothing_by_the_pace(view, metrics):
    """Load: 200 prompts after an overload that wait no longer for the broker,
    which still responds. Guards against a pace beside the broker's own limit.
    """

    async def place(*_):
        return 7, None

    run = make_run(view, metrics, False)
    use_lost_broker(run, was_overloaded=True)
    run.context.brokers.client_for = lambda _: SimpleNamespace(
        place=place, is_connected=True
    )
    assert await plans_until_refused(run, 200) == (200, None)


async def test_a_gateway_learns_the_pace_from_the_replies_of_the_broker(
    view, metrics
):
    """Load: refusals and grants in turn. Guards against replies that are not
    recorded.
    """
    replies = [PlaceGrant(1, "e0", tokens=10.0), PlaceRefusal(2, 1.0, 1.0)]

    async def place(*_):
        return 7, replies.pop(0)

    run = make_run(view, metrics, False)
    run.caller.parts = (PromptPart("own", 10),)
    run.planner.service = Service("api", engine=EngineProfile(slots=1))
    run.context.brokers.client_for = lambda _: SimpleNamespace(place=place)
    assert (await run.planner.plan()).is_granted
    with pytest.raises(FleetError):
        await run.planner.plan()
    history = run.context.paces.pace_of("api").history
    assert [reply.tokens for reply in history.replies] == [10.0, 0.0]
    assert [reply.shows_overload for reply in history.replies] == [False, True]
