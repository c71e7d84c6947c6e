"""The run of one request, without a network."""

import time
from types import SimpleNamespace

import aiohttp
import pytest

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import (
    FleetConfig,
    RequestKind,
    Route,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS, HeaderNames
from marjoramyard.fleet.gateway.engine_load import EngineLoads
from marjoramyard.fleet.gateway.request_run import RequestRun, RequestRunContext
from marjoramyard.fleet.gateway.request_trace import RequestTrace
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.errors import FailureKind, FleetError
from marjoramyard.kernel.metrics import Metrics

SERVICE = Service("api")
ROUTE = Route(
    name="status",
    hostname="h",
    path_prefix="/",
    request_kind=RequestKind.IDEMPOTENT,
    timeout_ms=5000,
    service="api",
)


class SessionThatTimesOut:
    """A client session whose connections time out."""

    async def request(self, *_args, **_options):
        raise aiohttp.ConnectionTimeoutError("timeout")


@pytest.fixture
def metrics():
    instance = Metrics("gateway", "g0")
    yield instance
    instance.close()


@pytest.fixture
def view():
    fleet_view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    fleet_view.table = RouteTable(FleetConfig(1, services=(SERVICE,)))
    registration = Registration(
        endpoint="e0", service="api", address="127.0.0.1:1"
    )
    fleet_view.registrations.merge(registration, 0.0)
    return fleet_view


def make_run(view, metrics, is_lagging):
    now = time.monotonic()
    caller = CallerRequest(
        attempt="a",
        method="GET",
        target="/",
        headers=[],
        body=b"",
        route=ROUTE,
        workspace=None,
        arrived_at=now,
        deadline_at=now + 5,
    )
    brokers = SimpleNamespace(lag=SimpleNamespace(is_lagging=is_lagging))
    context = RequestRunContext(
        view,
        SessionThatTimesOut(),
        brokers,
        EngineLoads(),
        HeaderNames(),
        metrics,
    )
    delivery = SimpleNamespace(events=SimpleNamespace(last_id=""))
    budget = RetryBudget(0.2, 10)
    return RequestRun(
        context, caller, delivery, RequestTrace(), SERVICE, budget
    )


@pytest.mark.parametrize("is_lagging", [True, False])
async def test_a_lagging_gateway_does_not_mark_endpoints_failed(
    view, metrics, is_lagging
):
    """Guards against healthy endpoints being taken out of service because a
    gateway was too late to complete connections.
    """
    run = make_run(view, metrics, is_lagging)
    with pytest.raises(FleetError) as caught:
        await run.run_to_completion()
    assert caught.value.failure.kind is FailureKind.NO_ENDPOINT
    health = view.health_of("e0")
    assert health.is_backing_off(time.monotonic()) is not is_lagging
