"""A control host that stops answers all calls of the platform."""

import itertools

import pytest
from control_hosts import (
    DRAIN_SECONDS,
    find_host,
    free_port,
    put,
    started_control_hosts,
)
from gateway_fleet import wait_until
from raw_clients import RawClient, http_request, stop_under, stop_when_late

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "state": "ready",
    "seq": 1,
    "born": 1,
}
ROUTE = {
    "name": "r-1",
    "hostname": "ficu95.example",
    "path_prefix": "/lohu930/",
    "request_kind": "idempotent",
    "timeout_ms": 5000,
    "objective_ms": 800,
    "service": "huvo11a",
    "max_attempts": 2,
    "open_access": True,
}
CONFIG = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "huvo11a", "health_path": "/healthz"}],
    "workspaces": [],
}
SETTINGS = {
    "dialect": "platform",
    "extensions": ["marjoramyard.platform"],
    "availability_zones": ["zone-a", "zone-b"],
}


def config_changes():
    versions = itertools.count(CONFIG["version"] + 1)
    return lambda _: put("/v1/config", {**CONFIG, "version": next(versions)})


def heartbeats(name, **headers):
    numbers = itertools.count(1)
    return lambda _: put(
        f"/v1/endpoints/{name}", {**HEARTBEAT, "seq": next(numbers)}, **headers
    )


def repeated(*requests):
    rest = itertools.cycle(requests)
    return lambda _: next(rest)


def clients_of(address):
    """Returns an operator's and endpoints' clients."""
    zone, one = "/v1/evacuations/zone-b", "/v1/endpoints/d-1"
    requests = {
        "change": config_changes(),
        "read": repeated(http_request("GET", "/v1/config")),
        "zone": repeated(
            http_request("POST", zone), http_request("DELETE", zone)
        ),
        "departure": repeated(put(one, HEARTBEAT), http_request("DELETE", one)),
        **{f"e-{n}": heartbeats(f"e-{n}") for n in range(6)},
        **{
            f"c-{n}": heartbeats(f"c-{n}", Connection="close") for n in range(6)
        },
    }
    return [RawClient(name, address, r) for name, r in requests.items()]


def scrapers(address):
    """Returns clients of the address for metrics."""
    headers = [{}, {"Connection": "close"}]
    return [
        RawClient(
            f"scraper-{n}",
            address,
            repeated(http_request("GET", "/metrics", **headers[n % 2])),
        )
        for n in range(4)
    ]


async def put_first_config(fleet):
    """Sends a configuration, and waits until each host returns it."""
    urls = [f"http://{a}/v1/config" for a in fleet.operator_addresses]

    async def is_accepted():
        async with fleet.session.put(urls[0], json=CONFIG) as response:
            return response.status == 200

    async def is_known():
        responses = [await fleet.session.get(url) for url in urls]
        return all(response.status == 200 for response in responses)

    await wait_until(is_accepted)
    await wait_until(is_known)


@pytest.mark.parametrize("stop", [stop_under, stop_when_late])
async def test_the_platforms_calls_are_not_read_and_dropped(tmp_path, stop):
    """Operators, endpoints and scrapers go on while their host stops."""
    port = free_port()
    async with started_control_hosts(tmp_path, port, **SETTINGS) as fleet:
        await put_first_config(fleet)
        number = await find_host(fleet, "follower")
        clients = clients_of(fleet.operator_addresses[number])
        clients += scrapers(f"{fleet.hosts[number]}:{port}")
        code, lost = await stop(fleet.child(number), clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []
    assert {e.status for c in clients for e in c.exchanges} <= {0, 200, 503}
