"""One request's way, without a network."""

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
from marjoramyard.fleet.gateway.admitting import CallerRequest
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS, HeaderNames
from marjoramyard.fleet.gateway.loads import Loads
from marjoramyard.fleet.gateway.runs import Run, RunTools
from marjoramyard.fleet.gateway.story import Story
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.errors import FleetError, Kind
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
    """A client session whose connections are never made."""

    async def request(self, *_args, **_options):
        raise aiohttp.ConnectionTimeoutError("timeout")


@pytest.fixture
def metrics():
    made = Metrics("gateway", "g0")
    yield made
    made.close()


@pytest.fixture
def view():
    made = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    made.table = RouteTable(FleetConfig(1, services=(SERVICE,)))
    word = Registration(endpoint="e0", service="api", address="127.0.0.1:1")
    made.registrations.merge(word, 0.0)
    return made


def make_run(view, metrics, is_late):
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
        give_up_at=now + 5,
    )
    brokers = SimpleNamespace(lag=SimpleNamespace(is_late=is_late))
    tools = RunTools(
        view, SessionThatTimesOut(), brokers, Loads(), HeaderNames(), metrics
    )
    delivery = SimpleNamespace(events=SimpleNamespace(last_id=""))
    budget = RetryBudget(0.2, 10)
    return Run(tools, caller, delivery, Story(), SERVICE, budget)


@pytest.mark.parametrize("is_late", [True, False])
async def test_a_late_gateway_does_not_blame_endpoints(view, metrics, is_late):
    """Guards against: connections that a gateway was too busy to complete
    take sound endpoints out of service, for all gateways.
    """
    run = make_run(view, metrics, is_late)
    with pytest.raises(FleetError) as caught:
        await run.to_end()
    assert caught.value.failure.kind is Kind.NO_ENDPOINT
    health = view.health_of("e0")
    assert health.is_backing_off(time.monotonic()) is not is_late
