"""The platform's heartbeats, configurations and headers."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from held import new_account
from odd_registrations import encode_object, odd_values
from result import Err, Ok

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.membership.registrations import EndpointState
from marjoramyard.coordination.routing.config import RequestKind
from marjoramyard.fleet.sync_messages import StoredConfig
from marjoramyard.fleet.util import rpc
from marjoramyard.fleet.util.request_body import HOLDING
from marjoramyard.kernel.errors import FailureKind, failure, raise_failure
from marjoramyard.platform.configurations import (
    check_configuration,
    read_configuration,
)
from marjoramyard.platform.control_api import (
    MAX_HEARTBEAT_BYTES,
    platform_routes,
    read_heartbeat,
)
from marjoramyard.platform.gateway_dialect import HEADERS

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1790000000123,
}
ROUTE = {
    "name": "r-1",
    "hostname": "ficu95.example",
    "path_prefix": "/lohu930/",
    "request_kind": "stream",
    "timeout_ms": 5000,
    "objective_ms": 800,
    "priority": 1,
    "destinations": [{"service": "huvo11a", "weight": 90}],
    "max_attempts": 2,
    "open_access": False,
    "keeps_prefix": True,
    "resumable": True,
    "gap_objective_ms": 300,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/healthz",
            "max_connections": 780,
            "protocol": "h1",
            "engine": {
                "slots": 64,
                "memory_tokens": 235664,
                "token_bytes": 18432,
                "link_mbps": 370000.0,
                "moves": True,
            },
        }
    ],
    "limits": {"max_body_bytes": 4194304, "tokens_per_s": 105000},
    "workspaces": [{"name": "hule930", "api_keys": ["k1"], "priority": 1}],
}


class FakeService:
    """Records the calls of the API."""

    def __init__(self):
        self.registrations = []
        self.departed = []
        self.document = None
        self.quorum = True
        self.zone_orders = []
        self.zone_failure = None
        self.refused = []

    def on_refused_heartbeat(self, endpoint, why):
        self.refused.append(endpoint)

    async def register(self, registration):
        self.registrations.append(registration)

    async def deregister(self, endpoint):
        if not self.quorum:
            raise_failure(FailureKind.NO_QUORUM, "not yet")
        self.departed.append(endpoint)

    def has_accepted(self, text):
        return self.document is not None and self.document.text == text

    async def put_config(self, document):
        if not self.quorum:
            return Err(failure(FailureKind.NO_QUORUM, "none"))
        self.document = document
        return Ok(None)

    @property
    def zones(self):
        return self

    async def change(self, zone, is_evacuated, _, is_awaited):
        if self.zone_failure is not None:
            return Err(self.zone_failure)
        assert is_awaited()
        self.zone_orders.append((zone, is_evacuated))
        return Ok(None)

    async def read_config(self):
        if not self.quorum:
            return Err(failure(FailureKind.NO_QUORUM, "none"))
        return Ok(StoredConfig(self.document))


@pytest.fixture
async def platform():
    service = FakeService()
    account = new_account()

    @web.middleware
    async def hold(request, handler):
        with account.holding() as request[HOLDING]:
            return await handler(request)

    app = web.Application(middlewares=[hold, rpc.render_failures])
    app.add_routes(platform_routes(service))
    async with TestClient(TestServer(app)) as client:
        yield SimpleNamespace(service=service, client=client, account=account)


def test_a_heartbeat_becomes_a_registration():
    read = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).ok_value
    assert (read.endpoint, read.service, read.slots) == ("i-1", "huvo11a", 64)
    assert read.availability_zone == "zone-a"
    assert (read.sequence, read.born) == (4, 1790000000123)
    assert read.state is EndpointState.READY
    assert read.software_version == "v1"


@pytest.mark.parametrize(
    "change",
    [
        {"address": None},
        {"address": ""},
        {"state": "resting"},
        {"state": "departed"},
        {"seq": "four"},
        {"service": 5},
    ],
)
def test_a_heartbeat_with_invalid_fields_is_refused(change):
    text = json.dumps({**HEARTBEAT, **change}).encode()
    assert isinstance(read_heartbeat("i-1", text), Err)


@pytest.mark.parametrize("length", [MAX_HEARTBEAT_BYTES + 1, 9 * 10**12, None])
async def test_a_long_heartbeat_is_refused_before_it_is_read(platform, length):
    """Guards against heartbeats that leave no room for those of others."""
    sent_bytes = 0

    async def send_slowly():
        nonlocal sent_bytes
        while sent_bytes < 4 * MAX_HEARTBEAT_BYTES:
            sent_bytes += 4096
            yield bytes(4096)
            await asyncio.sleep(0.01)

    headers = {} if length is None else {"Content-Length": str(length)}
    response = await platform.client.put(
        "/v1/endpoints/i-1", data=send_slowly(), headers=headers
    )
    assert response.status == 400
    assert "send fewer fields" in await response.text()
    assert sent_bytes <= 2 * MAX_HEARTBEAT_BYTES
    assert platform.account.total == 0
    assert platform.account.highest <= 2 * MAX_HEARTBEAT_BYTES
    assert platform.service.refused == ["i-1"]


def test_a_heartbeat_that_is_not_valid_json_is_refused():
    truncated = json.dumps(HEARTBEAT).encode()[:-9]
    for text in (truncated, b"\xff\xfe", b"[]", b""):
        assert isinstance(read_heartbeat("i-1", text), Err)


def test_a_configuration_is_decoded_into_the_fleet_s_types():
    config = read_configuration(json.dumps(CONFIG).encode()).ok_value
    (route,) = config.routes
    assert route.request_kind is RequestKind.STREAM
    assert route.weighted_destinations[0].service == "huvo11a"
    assert route.may_repeat
    assert config.services[0].engine.memory_tokens == 235664
    assert config.workspaces[0].api_keys == ("k1",)


@pytest.mark.parametrize(
    "change",
    [
        {"timeout_ms": 0},
        {"destinations": [{"service": "gone", "weight": 1}]},
        {"destinations": [{"service": "huvo11a", "weight": 0}]},
    ],
)
def test_an_invalid_configuration_is_refused(change):
    text = json.dumps({**CONFIG, "routes": [{**ROUTE, **change}]}).encode()
    assert isinstance(check_configuration(text), Err)


async def test_a_truncated_configuration_is_refused_with_a_remedy(platform):
    text = json.dumps(CONFIG)[:-40]
    response = await platform.client.put("/v1/config", data=text)
    assert response.status == 422
    assert (
        "correct the configuration"
        in (await response.json())["error"]["message"]
    )
    assert platform.service.document is None


async def test_a_configuration_is_returned_byte_for_byte(platform):
    text = json.dumps(CONFIG, indent=3).encode()
    response = await platform.client.put("/v1/config", data=text)
    assert response.status == 200
    assert platform.service.document == ConfigDocument(7, text)
    response = await platform.client.get("/v1/config")
    assert await response.read() == text


async def test_without_a_quorum_the_configuration_is_unavailable(platform):
    platform.service.quorum = False
    assert (await platform.client.get("/v1/config")).status == 503
    put = await platform.client.put("/v1/config", data=json.dumps(CONFIG))
    assert put.status == 503


async def test_reading_before_the_first_configuration_is_503(platform):
    assert (await platform.client.get("/v1/config")).status == 503


async def test_endpoints_are_registered_and_removed(platform):
    put = await platform.client.put("/v1/endpoints/i-1", json=HEARTBEAT)
    assert put.status == 200
    assert platform.service.registrations[0].endpoint == "i-1"
    truncated = await platform.client.put("/v1/endpoints/i-2", data="{")
    assert truncated.status == 400
    await platform.client.delete("/v1/endpoints/i-1")
    assert platform.service.departed == ["i-1"]
    platform.service.quorum = False
    refused = await platform.client.delete("/v1/endpoints/i-2")
    assert refused.status == 503
    assert platform.service.departed == ["i-1"]


def test_headers_that_control_an_engine_s_cache_are_not_forwarded():
    """Guards against callers who control the caches of engines."""
    dropped = HEADERS.not_forwarded
    for name in (
        "X-Api-Key",
        "X-Marjoramyard-Tenant",
        "X-Marjoramyard-Target-Instance",
        "Kv-From",
        "Kv-Fetch",
        "X-Marjoramyard-Kv-Retention",
        "X-Marjoramyard-Pin-Ms",
        "X-Marjoramyard-Kv-Backup",
    ):
        assert name.lower() in dropped
    assert "x-marjoramyard-prefix-hash" not in dropped
    assert "x-marjoramyard-attempt-id" not in dropped


async def test_zones_are_evacuated_and_restored(platform):
    evacuate = await platform.client.post("/v1/evacuations/zone-a")
    restore = await platform.client.delete("/v1/evacuations/zone-a")
    assert (evacuate.status, restore.status) == (200, 200)
    assert platform.service.zone_orders == [
        ("zone-a", True),
        ("zone-a", False),
    ]


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        (FailureKind.NOT_FOUND, 404),
        (FailureKind.NO_QUORUM, 503),
        (FailureKind.CONFLICT, 503),
        (FailureKind.NOT_LEADER, 503),
    ],
)
async def test_only_an_unknown_zone_ends_an_order(platform, kind, status):
    """Guards against refusing an order that may have been accepted."""
    platform.service.zone_failure = failure(kind, "why")
    response = await platform.client.post("/v1/evacuations/zone-a")
    assert response.status == status
    assert (await response.json())["error"]["message"] == "why"


PLATFORM_NAMES = {
    "sequence": "seq",
    "availability_zone": "zone",
    "software_version": "version",
}


@pytest.mark.parametrize(
    ("field", "value"), odd_values(), ids=lambda text: text[:40]
)
def test_an_odd_heartbeat_is_refused(field, value):
    """Guards against odd entries that are registered, or answered with 500."""
    body = {name: json.dumps(each) for name, each in HEARTBEAT.items()}
    body[PLATFORM_NAMES.get(field, field)] = value
    assert isinstance(read_heartbeat("i-1", encode_object(body)), Err)


@pytest.mark.parametrize("endpoint", ["", "n" * 60_000, "a\x00b", "\ud800"])
def test_a_heartbeat_of_an_odd_name_is_refused(endpoint):
    """Guards against names that fail the processes that read them."""
    text = json.dumps(HEARTBEAT).encode()
    assert isinstance(read_heartbeat(endpoint, text), Err)


def test_a_heartbeat_with_slack_in_its_numbers_is_registered():
    slack = {"slots": 0, "cold_left_ms": -0.5}
    text = json.dumps({**HEARTBEAT, **slack}).encode()
    read = read_heartbeat("i-1", text).ok_value
    assert (read.slots, read.cold_left_ms) == (1, 0.0)
