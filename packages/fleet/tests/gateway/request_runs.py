"""Runs of requests without a network, for tests."""

import time
from types import SimpleNamespace

import aiohttp

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
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.crash_detection import CrashDetector
from marjoramyard.fleet.gateway.delivery import CallerGoneError
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS, HeaderNames
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.engine_load import EngineLoads
from marjoramyard.fleet.gateway.request_run import RequestRun
from marjoramyard.fleet.gateway.request_trace import RequestTrace
from marjoramyard.fleet.gateway.send_planning import RequestRunContext
from marjoramyard.fleet.gateway.stream_origins import StreamOrigins
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.gateway.view import FleetView

SERVICE = Service("api")
ROUTE = Route(
    name="status",
    hostname="h",
    path_prefix="/",
    request_kind=RequestKind.IDEMPOTENT,
    timeout_ms=5000,
    service="api",
)


class DeliveryStub:
    """The delivery to a caller that may have closed its connection."""

    def __init__(self, caller_left):
        self.events = SimpleNamespace(last_id="")
        self.caller_left = caller_left
        self.is_caller_in_doubt = False
        self.is_passed_on = False

    async def wait_while_in_doubt(self):
        """Returns at once: there is no doubt."""

    def raise_if_caller_left(self):
        if self.caller_left:
            raise CallerGoneError("closed")


class SessionThatTimesOut:
    """A client session whose connections time out.

    Attributes:
        requests: The number of requests.
    """

    def __init__(self):
        self.requests = 0

    async def request(self, *_args, **_options):
        self.requests += 1
        raise aiohttp.ConnectionTimeoutError("timeout")


def make_view():
    """Returns a view with one endpoint of a plain service."""
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    view.table = RouteTable(FleetConfig(1, services=(SERVICE,)))
    add_endpoint(view, "e0")
    return view


def add_endpoint(view, name):
    address = f"127.0.0.1:{len(view.registrations.by_endpoint) + 1}"
    registration = Registration(endpoint=name, service="api", address=address)
    view.registrations.merge(registration, 0.0)


def make_run(view, metrics, is_lagging, seconds_left=5.0, caller_left=False):
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
        deadline_at=now + seconds_left,
    )
    brokers = SimpleNamespace(lag=SimpleNamespace(is_lagging=is_lagging))
    suspects = GatewaySuspects(view, None, None, metrics)
    context = RequestRunContext(
        view,
        SessionThatTimesOut(),
        brokers,
        ColdStarts(view, 1.5, 5.0),
        EngineLoads(),
        EndpointNotices(view, brokers, "Endpoint-Leaving"),
        suspects,
        CrashDetector(view, suspects, None),
        HeaderNames(),
        metrics,
        StreamOrigins(view, brokers, None, metrics),
    )
    delivery = DeliveryStub(caller_left)
    budget = RetryBudget(0.2, 10)
    return RequestRun(
        context, caller, delivery, RequestTrace(), SERVICE, budget
    )


def paused(view, name, seconds=5.0):
    view.record_pause(view.registrations.by_endpoint[name], seconds)
