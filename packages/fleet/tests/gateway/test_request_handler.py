"""Prompts that a gateway refuses before they are parsed."""

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp.test_utils import make_mocked_request
from held import new_holding

from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.coordination.serving.stream_versions import StreamOrigin
from marjoramyard.fleet.gateway import overload_guard
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.early_refusal import parse_head
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.request_handler import RequestHandler
from marjoramyard.fleet.gateway.stream_origins import StreamOrigins
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.request_body import HOLDING
from marjoramyard.kernel.errors import FailureKind, FleetError
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.clocks import seconds_since_boot

CONFIG = FleetConfig(
    1,
    routes=tuple(
        Route(
            name=name,
            hostname="h",
            path_prefix=f"/{name}/",
            request_kind=RequestKind.STREAM,
            timeout_ms=5000,
            service=name,
        )
        for name in ("llm", "api")
    ),
    services=(Service("llm", engine=EngineProfile()), Service("api")),
    workspaces=(Workspace("large", ("k1",)), Workspace("small", ("k2",))),
)


@pytest.fixture
async def handler():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 60.0)
    view.table = RouteTable(CONFIG)
    view.lease.renew(seconds_since_boot(), 60.0)
    metrics = Metrics("gateway", "g0")
    app = SimpleNamespace(
        metrics=metrics,
        settings=SimpleNamespace(
            retry_ratio=0.2, retry_slack=10, startup_wait_seconds=0.0
        ),
        stopping=asyncio.Event(),
    )
    brokers = SimpleNamespace(lag=SimpleNamespace(on_wake_up=[]))
    notices = EndpointNotices(view, brokers, "Endpoint-Leaving")
    crashes = SimpleNamespace(suspects=None)
    cold_starts = ColdStarts(view, 1.5, 5.0)
    origins = StreamOrigins(view, brokers, None, metrics)
    instance = RequestHandler(
        view, None, brokers, cold_starts, notices, crashes, origins, app
    )
    instance.guard.limit.limit = 1.0
    with instance.guard.limit.admit("large"):
        yield instance
    metrics.close()


def refuse_early(handler, path="/llm/x", key="k1"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nApi-Key: {key}\r\n\r\n"
    return handler.guard.refuse_early(parse_head(head.encode()))


def test_a_prompt_beyond_the_limit_is_refused_with_retry_after(handler):
    response = refuse_early(handler).decode()
    assert response.startswith("HTTP/1.1 503 ")
    assert "Retry-After: " in response
    assert '"outcome":"not-run"' in response.partition("\r\n\r\n")[2]
    assert handler.guard.limit.pop_refused_counts() == {"large": 1}


@pytest.mark.parametrize(
    "request_", [{"path": "/api/x"}, {"key": "k2"}, {"path": "/other"}]
)
def test_other_requests_are_parsed(handler, request_):
    """Guards against refusing plain calls, or prompts of other workspaces."""
    assert refuse_early(handler, **request_) is None


def test_an_unknown_key_is_not_refused_early(handler):
    assert refuse_early(handler, key="unknown") is None
    assert refuse_early(handler, key="") is None


def test_nothing_is_refused_early_without_a_lease(handler):
    handler.view.lease.valid_until = 0.0
    assert refuse_early(handler) is None


async def test_refusals_are_logged_before_a_limit_exists(handler, monkeypatch):
    """Guards against a gateway that stops to log, or to run, at its first
    overload: the limit on forwarded prompts is infinite then.
    """
    monkeypatch.setattr(overload_guard, "LOG_INTERVAL_SECONDS", 0.0)
    handler.guard.limit.refuse("large")
    task = asyncio.create_task(handler.guard.log_refusals_forever())
    for _ in range(5):
        await asyncio.sleep(0.01)
    assert not task.done()
    assert not handler.guard.limit.refused
    task.cancel()


async def test_a_service_that_is_removed_during_the_look_up_is_no_failure(
    handler,
):
    """Guards against a server error for a resumed stream whose service leaves
    the configuration while its version is looked up.
    """

    async def find(_caller, _services):
        handler.view.table = RouteTable(FleetConfig(2))
        return StreamOrigin("llm", "v1")

    handler.context.origins.find = find
    caller = SimpleNamespace(route=CONFIG.routes[0], last_event="2")
    with pytest.raises(FleetError) as raised:
        await handler._serve(caller, None, None)
    assert raised.value.failure.kind is FailureKind.STREAM_UNKNOWN


@pytest.mark.parametrize("is_refusing", [False, True])
async def test_requests_that_draining_refuses_do_not_prolong_it(
    handler, is_refusing
):
    """Guards against a drain that callers who come back at once keep from
    ending before its time is over.
    """
    handler.is_refusing = is_refusing
    request = make_mocked_request("GET", "/unknown")
    request[HOLDING] = new_holding()
    response = await handler.handle(request)
    assert response.status == (503 if is_refusing else 404)
    assert handler.started_count == (0 if is_refusing else 1)
    assert handler.active_count == 0
