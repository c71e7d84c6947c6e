"""Control hosts that are lost after they have acknowledged a departure."""

import asyncio

import pytest
from gateway_fleet import FakeEndpoint, gateway_fleet, wait_until
from versioned_endpoints import VersionedEndpoint

CONTROL = ("control-0", "control-1", "control-2")
TOLD_SECONDS = 2.0
"""Within this time all running control hosts know of a departure."""
ANNOUNCED_SECONDS = 1.0
"""Within this time a change has been announced to all control hosts."""
QUICK_DEPARTURES = 20


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path) as running:
        yield running


async def state_of(fleet, host, endpoint):
    """Returns an endpoint's state as a control host tells gateways."""
    reply = await fleet.sync_reply(host)
    states = {w["endpoint"]: w["state"] for w in reply.get("words", [])}
    return states.get(endpoint)


async def known_by_all(fleet, endpoint):
    async def is_known():
        hosts = range(len(fleet.hosts))
        return all([await state_of(fleet, host, endpoint) for host in hosts])

    await wait_until(is_known)


async def wait_until_settled(fleet):
    """Waits until a departure of an unknown endpoint is acknowledged."""

    async def is_acknowledged():
        return await depart(fleet, "i-unknown") == 200

    await wait_until(is_acknowledged)


async def wait_until_departed(fleet, endpoint, hosts):
    """Waits until all of some control hosts say that an endpoint departed."""

    async def is_departed():
        states = {await state_of(fleet, host, endpoint) for host in hosts}
        return states == {"departed"}

    await wait_until(is_departed, TOLD_SECONDS)


async def depart(fleet, endpoint, host=0):
    url = f"http://{fleet.operator_addresses[host]}/registrations/{endpoint}"
    async with fleet.session.delete(url) as response:
        return response.status


async def drain(fleet, endpoint, host=0):
    address = fleet.operator_addresses[host]
    url = f"http://{address}/registrations/{endpoint.name}"
    body = endpoint.registration("draining")
    async with fleet.session.put(url, json=body) as response:
        return response.status


@pytest.mark.parametrize("way", ["departed", "draining"])
async def test_an_acknowledged_departure_outlives_its_control_host(fleet, way):
    """Guards against new requests to an endpoint whose departure was known
    only to a control host that was lost with it.
    """
    endpoint = FakeEndpoint("i-1")
    await fleet.send_heartbeat(endpoint)
    await known_by_all(fleet, "i-1")

    async def leave():
        if way == "departed":
            return await depart(fleet, "i-1")
        return await drain(fleet, endpoint)

    others = [fleet.children[name] for name in CONTROL[1:]]
    for other in others:
        other.suspend()
    assert await leave() == 503
    for other in others:
        other.resume()

    async def is_acknowledged():
        return await leave() == 200

    await wait_until(is_acknowledged)
    await fleet.children[CONTROL[0]].kill()
    states = {await state_of(fleet, host, "i-1") for host in (1, 2)}
    assert way in states
    await fleet.start(CONTROL[0])

    async def is_known_again():
        return [await state_of(fleet, host, "i-1") for host in range(3)] == (
            [way] * 3
        )

    await wait_until(is_known_again)


async def test_the_departure_of_an_unknown_endpoint_is_not_acknowledged(fleet):
    """Guards against a departure that a control host drops since it has just
    started and doesn't know the endpoint.
    """
    endpoint = FakeEndpoint("i-1")
    await fleet.send_heartbeat(endpoint, host=1)
    await known_by_all(fleet, "i-1")
    for name in CONTROL[1:]:
        fleet.children[name].suspend()
    await fleet.children[CONTROL[0]].kill()
    await fleet.start(CONTROL[0])

    async def answers():
        return await depart(fleet, "i-1")

    assert await wait_until(answers) == 503
    for name in CONTROL[1:]:
        fleet.children[name].resume()


async def test_a_departure_reaches_hosts_that_only_the_lost_one_would_have_told(
    tmp_path,
):
    """Guards against a departure that is known to the hosts that were told
    before it was acknowledged, and that they tell nobody.
    """
    async with gateway_fleet(tmp_path, control_count=5) as fleet:
        await fleet.send_heartbeat(FakeEndpoint("i-1"))
        await known_by_all(fleet, "i-1")
        assert await depart(fleet, "i-1") == 200
        await fleet.children[CONTROL[0]].kill()
        await wait_until_departed(fleet, "i-1", range(1, 5))


async def test_a_host_that_restarts_while_others_are_suspended_is_told(fleet):
    """Guards against a restarted control host that is told of no departure, as
    no announcement to it has failed.
    """
    await fleet.send_heartbeat(FakeEndpoint("i-1"))
    await known_by_all(fleet, "i-1")
    assert await depart(fleet, "i-1") == 200
    await wait_until_departed(fleet, "i-1", range(3))
    await asyncio.sleep(ANNOUNCED_SECONDS)
    for name in CONTROL[:2]:
        fleet.children[name].suspend()
    await fleet.children[CONTROL[2]].kill()
    await fleet.start(CONTROL[2])

    async def has_started():
        return await state_of(fleet, 2, "i-1") is None

    await wait_until(has_started)
    for name in CONTROL[:2]:
        fleet.children[name].resume()
    await wait_until_departed(fleet, "i-1", [2])


async def test_a_departure_right_after_a_registration_elsewhere_counts(fleet):
    """Guards against dropping the departure of an endpoint that only another
    control host knows yet.
    """
    await wait_until_settled(fleet)
    names = [f"i-{number}" for number in range(QUICK_DEPARTURES)]
    for name in names:
        await fleet.send_heartbeat(FakeEndpoint(name), host=1)
        assert await depart(fleet, name) == 200
    for name in names:
        await wait_until_departed(fleet, name, range(3))


async def test_a_restarted_host_is_told_of_versions_that_endpoints_had(fleet):
    """Guards against a control host that takes the version in force for the
    only one that a service has had lately.
    """
    endpoint = VersionedEndpoint("i-1", "v1")
    await fleet.send_heartbeat(endpoint)

    async def is_recorded():
        replies = [await fleet.sync_reply(host) for host in range(3)]
        return all(reply.get("versions") for reply in replies)

    await wait_until(is_recorded)
    endpoint.version, endpoint.born = "v2", 2
    await fleet.send_heartbeat(endpoint)
    for name in CONTROL[1:]:
        await fleet.children[name].kill()
        await fleet.start(name)

    async def all_tell():
        replies = [await fleet.sync_reply(host) for host in range(3)]
        return all(
            reply.get("versions") == [["chat", "v1"], ["chat", "v2"]]
            and [each[:2] for each in reply.get("former_versions", [])]
            == [["chat", "v1"]]
            for reply in replies
        )

    await wait_until(all_tell)
