"""Registrations of another writer that name no usable endpoint."""

import asyncio
import contextlib
import json
from collections import Counter

import pytest
from gateway_fleet import FakeEndpoint, gateway_fleet, wait_until
from odd_registrations import odd_documents

HEARTBEAT_SECONDS = 0.3
CALLERS = 4
CALLS = 40
FAILURES = (
    "task_failed",
    "handler_failed",
    "item_failed",
    "loop_failed",
    "uncaught",
)


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        yield running


async def send_heartbeats_forever(fleet, endpoint):
    while True:
        for host in range(len(fleet.hosts)):
            await fleet.send_heartbeat(endpoint, endpoint.state, host)
        await asyncio.sleep(HEARTBEAT_SECONDS)


@contextlib.asynccontextmanager
async def serving(fleet, name):
    """Runs an endpoint that sends heartbeats."""
    endpoint = FakeEndpoint(name)
    endpoint.state = "ready"
    async with endpoint.running():
        heartbeats = asyncio.create_task(
            send_heartbeats_forever(fleet, endpoint)
        )
        try:
            yield endpoint
        finally:
            heartbeats.cancel()


async def put_registration(fleet, name, body, host):
    address = fleet.operator_addresses[host]
    async with fleet.session.put(
        f"http://{address}/registrations/{name}", data=body
    ) as response:
        await response.read()
        return response.status


async def send_odd_heartbeats(fleet, sound):
    """Sends every odd heartbeat, under its own name and that of an endpoint.

    Returns:
        How often each status was the reply.
    """
    statuses = Counter()
    for name in ("i-odd", sound["endpoint"]):
        for number, body in enumerate(odd_documents(sound)):
            own = f"{name}-{number}" if name == "i-odd" else name
            body = body.replace(
                json.dumps(sound["endpoint"]).encode(), json.dumps(own).encode()
            )
            host = number % len(fleet.hosts)
            statuses[await put_registration(fleet, own, body, host)] += 1
    return statuses


async def call_repeatedly(fleet, caller, statuses):
    for number in range(CALLS):
        async with fleet.request(id=f"call-{caller}-{number}") as response:
            await response.read()
            statuses[response.status] += 1


async def statuses_of_callers(fleet):
    statuses = Counter()
    await asyncio.gather(
        *(call_repeatedly(fleet, caller, statuses) for caller in range(CALLERS))
    )
    return statuses


def failures(fleet):
    """Returns the failures that the processes have logged."""
    found = Counter()
    for child in fleet.children.values():
        for line in child.log.read_text(encoding="utf-8").splitlines():
            event = json.loads(line).get("event") if line[:1] == "{" else line
            if event in FAILURES or line.startswith("Traceback"):
                found[child.name, event] += 1
    return found


async def wait_until_served_by(fleet, endpoint):
    before = len(endpoint.requests)

    async def is_used():
        async with fleet.request() as response:
            await response.read()
        return len(endpoint.requests) > before

    await wait_until(is_used)


async def test_callers_are_served_while_odd_registrations_stand(fleet):
    """Guards against odd entries that break requests to sound endpoints."""
    async with serving(fleet, "i-1") as first, serving(fleet, "i-2"):
        await wait_until_served_by(fleet, first)
        calls = asyncio.create_task(statuses_of_callers(fleet))
        heartbeats = await send_odd_heartbeats(fleet, first.registration())
        during = await calls
        after = await statuses_of_callers(fleet)
        harmed = failures(fleet)
        assert (during, after) == ({200: CALLERS * CALLS},) * 2, harmed
        async with serving(fleet, "i-3") as joined:
            await wait_until_served_by(fleet, joined)
        await leave(fleet, first)
        used = len(first.requests)
        final = await statuses_of_callers(fleet)
    assert final == {200: CALLERS * CALLS}
    assert set(heartbeats) == {400}, heartbeats
    assert len(first.requests) == used
    assert not failures(fleet)
    assert all(child.is_running for child in fleet.children.values())


async def leave(fleet, endpoint):
    """Lets an endpoint report that it drains, until gateways know of it."""
    endpoint.state = "draining"

    async def is_known():
        replies = [await fleet.sync_reply(host) for host in range(3)]
        states = {
            word["state"]
            for reply in replies
            for word in reply["words"]
            if word["endpoint"] == endpoint.name
        }
        return states == {"draining"}

    await wait_until(is_known)
