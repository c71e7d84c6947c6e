"""Configurations that control hosts refuse while gateways serve callers."""

import copy

import pytest
from control_hosts import control_hosts, store_unchecked
from gateway_fleet import (
    API_KEY,
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

SENSELESS = [
    ("limits", {"max_header_bytes": 0}),
    ("limits", {"max_body_bytes": -1}),
    ("limits", {"idle_timeout_ms": 10**400}),
    ("limits", {"tokens_per_s": -1}),
    ("routes.0.timeout_ms", 0),
    ("routes.0.max_attempts", 0),
    ("routes.0.path_prefix", "a/"),
    ("routes.0.path_prefix", "/a"),
    ("routes.0.hostname", ""),
    ("routes.0.objective_ms", -1),
    ("services.0.max_connections", -1),
    ("workspaces.0.api_keys", [API_KEY, ""]),
    ("workspaces.0.name", "shop\r\nX-Odd: 1"),
]


def changed(path, value):
    """Returns a configuration of version 9 with another value of a field."""
    document = copy.deepcopy(config(9, route("new", "/new/")))
    parent, steps = document, path.split(".")
    for step in steps[:-1]:
        parent = parent[int(step) if step.isdigit() else step]
    parent[steps[-1]] = value
    return document


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        yield running


async def put(fleet, document, host):
    url = f"http://{fleet.operator_addresses[host]}/fleet-config"
    async with fleet.session.put(url, json=document) as response:
        return response.status, await response.text()


async def statuses_of(fleet, *paths):
    found = []
    for path in paths:
        async with fleet.request(path) as response:
            found.append(response.status)
    return found


async def test_a_refused_configuration_is_never_obeyed(fleet):
    """Guards against a gateway that obeys what means nothing."""
    newer = config(8, route("new", "/new/"))
    endpoint = FakeEndpoint("e-1")
    async with endpoint.running():
        await fleet.send_heartbeat(endpoint)
        await wait_until(fleet.is_serving)
        accepted = []
        for number, (path, value) in enumerate(SENSELESS):
            status, text = await put(fleet, changed(path, value), number % 3)
            if status // 100 != 4 or path.rpartition(".")[2] not in text:
                accepted.append((path, value, status))
            assert await statuses_of(fleet, "/a/x", "/new/x") == [200, 404]
        assert accepted == []
        assert await fleet.read_config(0) == (200, config(1))
        await fleet.put_config(newer)
        await wait_until(new_route_check(fleet))


def new_route_check(fleet):
    async def new_route_is_served():
        return await statuses_of(fleet, "/a/x", "/new/x") == [200, 200]

    return new_route_is_served


async def test_an_accepted_configuration_is_acknowledged_again(tmp_path):
    """Guards against an order that is refused when it is sent again, as an
    earlier release has accepted more.
    """
    odd = changed("routes.0.max_attempts", 0)
    other = changed("routes.0.max_attempts", -1)
    async with control_hosts(tmp_path) as fleet:
        await store_unchecked(fleet, odd)

        async def is_stored_everywhere():
            hosts = range(len(fleet.hosts))
            found = [await fleet.read_config(host) for host in hosts]
            return all(reply == (200, odd) for reply in found)

        await wait_until(is_stored_everywhere)
        for host in range(len(fleet.hosts)):
            assert (await put(fleet, odd, host))[0] == 200
            assert (await put(fleet, other, host))[0] // 100 == 4
        assert await fleet.read_config(0) == (200, odd)
