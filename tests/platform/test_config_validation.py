"""Configurations that operators send to real control hosts."""

import asyncio
import copy
import gzip
import json
import random

import pytest
from control_hosts import (
    free_port,
    started_control_hosts,
    store_unchecked,
)
from gateway_fleet import wait_until
from odd_json import NESTED
from result import Err

from marjoramyard.fleet.config_transfer import MAX_DOCUMENT_BYTES
from marjoramyard.platform.configurations import (
    check_configuration,
    read_configuration,
)

ROUTE = {
    "name": "r-1",
    "hostname": "ficu95.example",
    "path_prefix": "/lohu930/",
    "request_kind": "idempotent",
    "timeout_ms": 5000,
    "objective_ms": 800,
    "gap_objective_ms": 300,
    "priority": 1,
    "service": "huvo11a",
    "max_attempts": 2,
    "open_access": True,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/healthz",
            "max_connections": 780,
            "engine": {"slots": 64, "link_mbps": 370000.0},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tokens_per_s": 105000,
    },
    "workspaces": [{"name": "hule930", "api_keys": ["k1"], "priority": 1}],
}
SETTINGS = {
    "dialect": "platform",
    "extensions": ["marjoramyard.platform"],
    "availability_zones": ["zone-a", "zone-b"],
}
LIMITS = tuple(CONFIG["limits"])
POSITIVE_LIMITS = ("max_header_bytes", "header_timeout_ms", "idle_timeout_ms")
SENSELESS = [
    *((f"limits.{name}", value) for name in LIMITS for value in (-1, 10**400)),
    *((f"limits.{name}", 0) for name in POSITIVE_LIMITS),
    ("routes.0.timeout_ms", 0),
    ("routes.0.max_attempts", -1),
    ("routes.0.max_attempts", 0),
    ("routes.0.objective_ms", -1),
    ("routes.0.gap_objective_ms", -1),
    ("routes.0.priority", -1),
    ("routes.0.path_prefix", "lohu930/"),
    ("routes.0.path_prefix", "/lohu930"),
    ("routes.0.path_prefix", ""),
    ("routes.0.hostname", ""),
    ("routes.0.service", "gone"),
    ("services.0.max_connections", -1),
    ("services.0.engine.slots", -1),
    ("services.0.name", ""),
    ("workspaces.0.api_keys", [""]),
    ("workspaces.0.name", "hule930\r\nX-Odd: 1"),
    ("version", True),
    ("version", "9"),
    ("version", 9.0),
    ("version", 10**400),
]
FAILURES = (
    "task_failed",
    "handler_failed",
    "item_failed",
    "loop_failed",
    "uncaught",
)


def changed(path, value, **rest):
    """Returns the configuration of version 9 with another value of a field."""
    config = {**copy.deepcopy(CONFIG), "version": 9}
    parent, steps = config, path.split(".")
    for step in steps[:-1]:
        parent = parent[int(step) if step.isdigit() else step]
    parent[steps[-1]] = value
    return config | rest


@pytest.fixture
async def fleet(tmp_path):
    async with started_control_hosts(
        tmp_path, free_port(), **SETTINGS
    ) as hosts:
        yield hosts


def url_of(fleet, host=0):
    return f"http://{fleet.operator_addresses[host]}/v1/config"


async def put(fleet, document, host=0, **headers):
    """Sends a configuration; returns the status and the text of the reply."""
    body = document
    if not isinstance(document, bytes):
        body = json.dumps(document).encode()
    async with fleet.session.put(
        url_of(fleet, host), data=body, headers=headers
    ) as response:
        return response.status, await response.text()


async def read(fleet, host=0):
    async with fleet.session.get(url_of(fleet, host)) as response:
        return response.status, await response.read()


async def put_until_clear(fleet, document):
    """Sends a configuration to one host after another, like an operator."""
    found = []

    async def has_clear_response():
        for host in range(len(fleet.hosts)):
            reply = await put(fleet, document, host)
            if reply[0] < 500:
                found.append(reply)
                return True
        return False

    await wait_until(has_clear_response)
    return found[0]


async def wait_until_read(fleet, document):
    """Waits until all hosts return a configuration."""
    text = json.dumps(document).encode()

    async def is_read():
        hosts = range(len(fleet.hosts))
        found = [await read(fleet, host) for host in hosts]
        return all(reply == (200, text) for reply in found)

    await wait_until(is_read)


def failed_lines(fleet):
    return [
        line
        for child in fleet.children.values()
        for line in child.log.read_text(encoding="utf-8").splitlines()
        if any(failure in line for failure in FAILURES)
    ]


async def test_senseless_configurations_are_refused_by_name(fleet):
    """Guards against a configuration that means nothing and is in force."""
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    accepted, unnamed = [], []
    for number, (path, value) in enumerate(SENSELESS):
        host = number % len(fleet.hosts)
        status, text = await put(fleet, changed(path, value), host)
        label = f"{path}={str(value)[:12]}: {status}"
        if status != 422:
            accepted.append(label)
        elif path.rpartition(".")[2] not in text:
            unnamed.append(f"{label} {text}")
    assert (accepted, unnamed) == ([], [])
    await wait_until_read(fleet, CONFIG)
    newer = {**CONFIG, "version": 8}
    assert (await put_until_clear(fleet, newer))[0] == 200
    await wait_until_read(fleet, newer)
    assert failed_lines(fleet) == []


async def test_an_accepted_configuration_is_acknowledged_again(fleet):
    """Guards against an order that is refused when it is sent again, as an
    earlier release has accepted more.
    """
    odd = changed("routes.0.max_attempts", 0)
    await store_unchecked(fleet, odd)
    await wait_until_read(fleet, odd)
    hosts = range(len(fleet.hosts))
    statuses = [(await put(fleet, odd, host))[0] for host in hosts]
    assert statuses == [200] * len(hosts)
    other = changed("routes.0.max_attempts", -1)
    statuses = [(await put(fleet, other, host))[0] for host in hosts]
    assert statuses == [422] * len(hosts)
    newer = {**CONFIG, "version": 10}
    assert (await put_until_clear(fleet, newer))[0] == 200
    # A host that has not applied the newer one yet acknowledges this.
    assert (await put(fleet, odd))[0] in (200, 422)
    await wait_until_read(fleet, newer)


@pytest.mark.parametrize("version", [0, -3])
async def test_a_first_version_that_could_not_be_in_force_is_refused(
    fleet, version
):
    """Guards against an acknowledged configuration that no gateway obeys."""
    odd = {**CONFIG, "version": version}
    status, text = await put_until_clear(fleet, odd)
    assert status == 422 and "version" in text
    assert (await read(fleet))[0] == 503
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    assert (await put_until_clear(fleet, odd))[0] == 200
    await wait_until_read(fleet, CONFIG)


async def test_versions_of_any_size_and_order_are_acknowledged(fleet):
    """Guards against refusing an order that a newer one has overtaken."""
    versions = [7, 7, 2**63 - 1, 2**63, 2**64, 10**300, 8, 0, -1, 10**300]
    for version in versions:
        reply = await put_until_clear(fleet, {**CONFIG, "version": version})
        assert reply[0] == 200
    await wait_until_read(fleet, {**CONFIG, "version": 10**300})
    assert failed_lines(fleet) == []


def odd_bodies():
    """Returns bodies that can't be read in full."""
    text = json.dumps({**CONFIG, "version": 9}).encode()
    return [
        b"",
        b"null",
        b"[]",
        b"{}",
        b"9",
        *(text[:end] for end in (1, 40, len(text) // 2, len(text) - 1)),
        text + b"}",
        text + text,
        NESTED,
        text.replace(b'"version": 9', b'"version": 1e1'),
        text.replace(b'"version": 9', b'"version": 09'),
        text.replace(b'"version": 9', b'"version": null'),
        text.replace(b"5000", b"1e999"),
        text.replace(b"5000", b"NaN"),
        text.replace(b"r-1", b"\xff\xfe"),
        text.replace(b"r-1", b"\\ud800"),
        gzip.compress(text),
    ]


async def test_bodies_that_cannot_be_read_are_refused(fleet):
    """Guards against a configuration of which only a part is in force."""
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    statuses = [
        (await put(fleet, body, number % len(fleet.hosts)))[0]
        for number, body in enumerate(odd_bodies())
    ]
    assert {status // 100 for status in statuses} == {4}
    await wait_until_read(fleet, CONFIG)
    assert failed_lines(fleet) == []


async def test_a_body_without_an_end_holds_up_no_other_order(fleet):
    """Guards against a sender that stands in the way of other operators."""
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    host, port = fleet.operator_addresses[0].split(":")
    chunk = json.dumps({**CONFIG, "version": 9}).encode()
    head = b"PUT /v1/config HTTP/1.1\r\nHost: a\r\n"
    framed = (
        (b"Transfer-Encoding: chunked", b"%x\r\n%s\r\n" % (len(chunk), chunk)),
        (b"Content-Length: 100000", chunk),
    )
    for version, (framing, body) in enumerate(framed, 10):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + framing + b"\r\n\r\n" + body)
        await writer.drain()
        newer = {**CONFIG, "version": version}
        assert (await put_until_clear(fleet, newer))[0] == 200
        await wait_until_read(fleet, newer)
        writer.close()
    await wait_until_read(fleet, newer)
    assert failed_lines(fleet) == []


async def test_valid_and_senseless_orders_at_once(fleet):
    """Guards against an order that another one in progress refuses or puts."""
    draw = random.Random(76)
    orders = [({**CONFIG, "version": v}, 200) for v in range(8, 40)]
    orders += [(changed(path, value), 422) for path, value in SENSELESS]
    orders += orders[:16]
    draw.shuffle(orders)
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    limit = asyncio.Semaphore(8)

    async def send(order):
        async with limit:
            return (await put_until_clear(fleet, order[0]))[0]

    statuses = await asyncio.gather(*map(send, orders))
    wrong = [
        (order, status)
        for (order, wanted), status in zip(orders, statuses, strict=True)
        if status != wanted
    ]
    assert wrong == []
    await wait_until_read(fleet, {**CONFIG, "version": 39})
    assert failed_lines(fleet) == []


@pytest.mark.parametrize(
    ("path", "value"),
    [(path, value) for path, value in SENSELESS if type(value) is int],
    ids=lambda each: str(each)[:30],
)
def test_a_stored_configuration_is_read_by_gateways(path, value):
    """Guards against an upgrade after which gateways obey nothing."""
    text = json.dumps(changed(path, value)).encode()
    assert isinstance(check_configuration(text), Err)
    # The decoder has never read these two, so that no release has stored them.
    is_unreadable = path.endswith(("_ms", "_per_s")) and value == 10**400
    assert isinstance(read_configuration(text), Err) is is_unreadable


async def test_compressed_bodies_are_refused(fleet):
    """Guards against a body that fails or fills the host that unpacks it."""
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    packed = gzip.compress(json.dumps({**CONFIG, "version": 9}).encode())
    bomb = gzip.compress(b" " * (MAX_DOCUMENT_BYTES + 1))
    encoded = {"Content-Encoding": "gzip"}
    bodies = (packed, packed[:60], bomb)
    statuses = [(await put(fleet, body, **encoded))[0] for body in bodies]
    assert statuses == [422] * len(bodies)
    await wait_until_read(fleet, CONFIG)
    assert failed_lines(fleet) == []


async def test_a_body_that_gateways_cannot_fetch_is_refused(fleet):
    """Guards against an acknowledged configuration that no gateway obeys."""
    assert (await put_until_clear(fleet, CONFIG))[0] == 200
    text = json.dumps({**CONFIG, "version": 9}).encode()
    status, _ = await put(fleet, text.ljust(MAX_DOCUMENT_BYTES + 1))
    assert status == 413
    await wait_until_read(fleet, CONFIG)
    assert failed_lines(fleet) == []
