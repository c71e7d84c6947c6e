"""A control host that stops answers all that it has read."""

import asyncio
import itertools
import json
import signal

import msgspec
import pytest
from control_hosts import DRAIN_SECONDS, control_hosts, find_host, put
from gateway_fleet import config, wait_until
from raw_clients import (
    RawClient,
    describe,
    http_request,
    stop_under,
    stop_when_late,
    wait_until_draining,
)

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.fleet import paths
from marjoramyard.fleet.messages import RenewReply, RenewRequest


def config_changes(versions):
    return lambda _: put("/fleet-config", config(next(versions)))


def zone_orders(zone):
    methods = itertools.cycle(["PUT", "DELETE"])
    return lambda _: http_request(next(methods), f"/evacuations/{zone}")


def heartbeats(name, **headers):
    numbers = itertools.count(1)

    def next_request(_):
        registration = {
            "endpoint": name,
            "service": "api",
            "address": "127.0.0.1:9",
            "availability_zone": "zone-a",
            "state": "ready",
            "sequence": next(numbers),
            "born": 1,
        }
        return put(f"/registrations/{name}", registration, **headers)

    return next_request


def heartbeats_and_departures(name):
    requests = itertools.cycle(
        [
            heartbeats(name),
            lambda _: http_request("DELETE", f"/registrations/{name}"),
        ]
    )
    return lambda last: next(requests)(last)


def reads(path):
    return lambda _: http_request("GET", path)


def reads_status():
    """Reads a host's status, each time on a connection of its own."""
    return lambda _: put(paths.STATUS_PATH, {}, "POST", Connection="close")


def sync_polls(name):
    """Polls as a gateway does, from the state of the last reply."""
    state = {"gateway": name, "wait_seconds": 2.0, "fetches_config": True}

    def next_request(last):
        if last is not None and last.status == 200:
            reply = json.loads(last.body)
            for key in ("epoch", "cursor", "version", "zone_revision"):
                state[key] = reply.get(key, state.get(key, 0))
            state["unresponsive_revision"] = reply.get(
                "unresponsive_revision", 0
            )
        return put(paths.SYNC_PATH, state, "POST")

    return next_request


def renewals(name):
    """Renews a lease as an agent does, from the state of the last reply."""
    row = DirectoryRow(name, "agent", "zone-a", "127.0.0.1:9")
    state = RenewRequest(row, 0, "", wait_seconds=3.0, order_seen=0)

    def next_request(last):
        if last is not None and last.status == 200:
            reply = msgspec.json.decode(last.body, type=RenewReply)
            state.version, state.chain = reply.version, reply.chain
            state.suspects_revision = reply.suspects_revision
        return http_request(
            "POST", paths.RENEW_PATH, msgspec.json.encode(state)
        )

    return next_request


def endpoint_clients(address):
    """Returns endpoints, some with a connection for each of their calls."""
    requests = {
        **{f"e-{n}": heartbeats(f"e-{n}") for n in range(8)},
        **{
            f"c-{n}": heartbeats(f"c-{n}", Connection="close") for n in range(8)
        },
        **{f"d-{n}": heartbeats_and_departures(f"d-{n}") for n in range(4)},
    }
    return [RawClient(name, address, r) for name, r in requests.items()]


def operator_clients(address):
    """Returns clients of the operators' address, of each kind of call."""
    requests = {
        "change": config_changes(itertools.count(2)),
        "zone-order": zone_orders("zone-x"),
        "read": reads("/fleet-config"),
        "read-zones": reads("/evacuations"),
    }
    operators = [RawClient(name, address, r) for name, r in requests.items()]
    return operators + endpoint_clients(address)


def internal_clients(address):
    """Returns clients of the internal address."""
    requests = {
        **{f"poll-{n}": sync_polls(f"g-{n}") for n in range(8)},
        **{f"renew-{n}": renewals(f"a-{n}") for n in range(4)},
        "read-config": lambda _: put(paths.READ_CONFIG_PATH, {}, "POST"),
        "alive": reads("/healthz"),
        **{f"status-{n}": reads_status() for n in range(8)},
        "metrics": reads("/metrics"),
    }
    return [RawClient(name, address, r) for name, r in requests.items()]


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_operators_calls_are_not_read_and_dropped(tmp_path, role):
    """Operators and endpoints send on while their control host stops."""
    async with control_hosts(tmp_path) as fleet:
        number = await find_host(fleet, role)
        clients = operator_clients(fleet.operator_addresses[number])
        child = fleet.child(number)
        code, lost = await stop_under(child, clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_internal_calls_are_not_read_and_dropped(tmp_path, role):
    """Gateways, agents and others call on while a control host stops."""
    async with control_hosts(tmp_path) as fleet:
        number = await find_host(fleet, role)
        clients = internal_clients(fleet.internal_address(number))
        child = fleet.child(number)
        code, lost = await stop_under(child, clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []


async def wait_until_read(fleet, number):
    """Waits until a host has read what was sent to it before."""

    async def answers():
        url = f"http://{fleet.internal_address(number)}/healthz"
        async with fleet.session.get(url) as response:
            return response.status == 200

    await wait_until(answers)


@pytest.mark.parametrize("role", ["leader", "follower"])
async def test_a_change_without_a_quorum_is_answered(tmp_path, role):
    """A control host stops while a change waits for suspended ones.

    Heartbeats arrive until its end.
    """
    async with control_hosts(tmp_path) as fleet:
        number = await find_host(fleet, role)
        others = [fleet.child(n) for n in range(3) if n != number]
        address = fleet.operator_addresses[number]
        child = fleet.child(number)
        operator = RawClient("change", address, config_changes(iter([2])))
        for other in others:
            other.suspend()
        await operator.send()
        await wait_until_read(fleet, number)
        receiving = asyncio.create_task(operator.receive())
        clients = endpoint_clients(address)
        code, lost = await stop_under(child, clients, DRAIN_SECONDS)
        await receiving
        operator.disconnect()
    assert code == 0
    assert describe([operator], operator.sent_at) + lost == []


@pytest.mark.parametrize("kind", ["operators", "internal"])
async def test_calls_are_answered_when_a_stopping_host_is_late(tmp_path, kind):
    """Connections and SIGTERM wait for a control host that was suspended."""
    async with control_hosts(tmp_path) as fleet:
        number = await find_host(fleet, "follower")
        child = fleet.child(number)
        if kind == "operators":
            clients = endpoint_clients(fleet.operator_addresses[number])
        else:
            clients = internal_clients(fleet.internal_address(number))
        code, lost = await stop_when_late(child, clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []


async def test_a_change_that_is_being_sent_is_answered(tmp_path):
    """The rest of a change arrives while its control host stops."""
    async with control_hosts(tmp_path) as fleet:
        number = await find_host(fleet, "follower")
        child = fleet.child(number)
        address = fleet.operator_addresses[number]
        operator = RawClient("change", address, config_changes(iter([2])))
        await operator.send_part()
        await wait_until_read(fleet, number)
        child.signal(signal.SIGTERM)
        await wait_until_draining(child)
        await operator.send_rest()
        async with asyncio.timeout(DRAIN_SECONDS):
            await operator.receive()
            code = await child.process.wait()
        operator.disconnect()
    assert code == 0
    assert describe([operator], operator.sent_at) == []


async def test_a_departure_is_announced_before_the_host_stops(tmp_path):
    """A control host stops right after it has acknowledged a departure."""
    async with control_hosts(tmp_path) as fleet:
        number = await find_host(fleet, "follower")
        other = await find_host(fleet, "leader")
        child = fleet.child(number)
        address = fleet.operator_addresses[number]
        await RawClient("e-1", address, heartbeats("e-1")).call()

        async def is_known():
            return await state_of(fleet, other, "e-1") == "ready"

        await wait_until(is_known)
        departing = RawClient(
            "e-1", address, lambda _: put("/registrations/e-1", {}, "DELETE")
        )
        acknowledged = await departing.call()
        code = await child.terminate(DRAIN_SECONDS)
        state = await state_of(fleet, other, "e-1")
    assert (acknowledged.status, code) == (200, 0)
    assert state == "departed"


async def state_of(fleet, number, endpoint):
    """Returns an endpoint's state as a control host tells gateways."""
    url = f"http://{fleet.internal_address(number)}{paths.SYNC_PATH}"
    async with fleet.session.post(url, json={"gateway": "g-x"}) as response:
        reply = await response.json()
    states = {w["endpoint"]: w["state"] for w in reply.get("words", [])}
    return states.get(endpoint)
