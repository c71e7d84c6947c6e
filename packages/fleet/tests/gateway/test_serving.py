"""What a gateway refuses before it has parsed it."""

import asyncio
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.routing.config import (
    EngineProfile,
    FleetConfig,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.early_refusal import parse_head
from marjoramyard.fleet.gateway.serving import Dispatcher
from marjoramyard.fleet.gateway.view import FleetView
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
    workspaces=(Workspace("flood", ("k1",)), Workspace("small", ("k2",))),
)


@pytest.fixture
def dispatcher():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 60.0)
    view.table = RouteTable(CONFIG)
    view.lease.renewed(seconds_since_boot(), 60.0)
    metrics = Metrics("gateway", "g0")
    app = SimpleNamespace(
        metrics=metrics,
        settings=SimpleNamespace(retry_ratio=0.2, retry_slack=10),
        stopping=asyncio.Event(),
    )
    brokers = SimpleNamespace(lag=SimpleNamespace(on_wake_up=[]))
    made = Dispatcher(view, None, brokers, app)
    made.limit.limit = 1.0
    with made.limit.serving("flood"):
        yield made
    metrics.close()


def refusal(dispatcher, path="/llm/x", key="k1"):
    text = f"POST {path} HTTP/1.1\r\nHost: h\r\nApi-Key: {key}\r\n\r\n"
    return dispatcher.refuse_early(parse_head(text.encode()))


def test_a_prompt_beyond_the_limit_is_told_when_to_come_back(dispatcher):
    told = refusal(dispatcher).decode()
    assert told.startswith("HTTP/1.1 503 ")
    assert "Retry-After: " in told
    assert '"outcome":"not-run"' in told.partition("\r\n\r\n")[2]
    assert dispatcher.limit.take_refused() == {"flood": 1}


@pytest.mark.parametrize(
    "request_", [{"path": "/api/x"}, {"key": "k2"}, {"path": "/other"}]
)
def test_other_requests_are_parsed(dispatcher, request_):
    """Guards against: a flood of prompts that keeps out plain calls, or the
    prompts of other workspaces.
    """
    assert refusal(dispatcher, **request_) is None


def test_an_unknown_key_is_not_told_to_come_back(dispatcher):
    assert refusal(dispatcher, key="unknown") is None
    assert refusal(dispatcher, key="") is None


def test_no_key_is_judged_without_a_lease(dispatcher):
    dispatcher.view.lease.until = 0.0
    assert refusal(dispatcher) is None
