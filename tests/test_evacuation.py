"""Evacuation of an availability zone, with real processes."""

import asyncio
import time

import aiohttp
import pytest
from gateway_fleet import FakeEndpoint, gateway_fleet, wait_until

IN_FORCE_SECONDS = 5.0
"""Within this time after its acknowledgement, an order is in force."""


async def served_by(fleet, count=12):
    """Returns the endpoints that serve some requests."""
    names = set()
    for _ in range(count):
        async with fleet.request(data="x") as response:
            assert response.status == 200, await response.text()
            names.add(response.headers["Answer-Signature"])
    return names


async def wait_until_served_by(fleet, names):
    started_at = time.monotonic()

    async def served():
        return await served_by(fleet) == names

    await wait_until(served)
    assert time.monotonic() - started_at < IN_FORCE_SECONDS


async def test_no_request_reaches_an_evacuated_zone(tmp_path):
    """Guards against an order that is lost, late or not in force everywhere.

    It holds while the leader is lost and after all hosts have restarted.
    """
    near, far = FakeEndpoint("near", zone="a"), FakeEndpoint("far", zone="b")
    both = {"by near", "by far"}
    async with (
        near.running(),
        far.running(),
        gateway_fleet(tmp_path) as fleet,
    ):
        heartbeats = asyncio.create_task(send_heartbeats(fleet, near, far))
        await wait_until(fleet.is_serving)
        await wait_until_served_by(fleet, both)
        await fleet.change_zone("PUT", "a", host=1)
        await wait_until_served_by(fleet, {"by far"})
        await fleet.children["control-0"].kill()
        assert await served_by(fleet) == {"by far"}
        for name in ("control-1", "control-2"):
            await fleet.children[name].kill()
        for name in ("control-0", "control-1", "control-2"):
            await fleet.start(name)
        await wait_until(fleet.control_hosts_are_ready)
        await fleet.children["gateway"].kill()
        await fleet.start("gateway")
        await wait_until(fleet.is_ready)
        await wait_until(fleet.is_serving)
        assert await served_by(fleet) == {"by far"}
        await fleet.change_zone("DELETE", "a", host=2)
        await wait_until_served_by(fleet, both)
        heartbeats.cancel()


async def send_heartbeats(fleet, *endpoints):
    while True:
        for endpoint in endpoints:
            for host in range(3):
                try:
                    await fleet.send_heartbeat(endpoint, host=host)
                except OSError:
                    continue
        await asyncio.sleep(0.5)


async def test_requests_are_refused_if_all_zones_are_evacuated(tmp_path):
    """Guards against holding requests that can't be served."""
    only = FakeEndpoint("only", zone="a")
    async with only.running(), gateway_fleet(tmp_path) as fleet:
        await fleet.send_heartbeat(only)
        await wait_until(fleet.is_serving)
        await fleet.change_zone("PUT", "a")

        async def refused():
            async with fleet.request(data="x") as response:
                return response.status == 503 and response.headers

        headers = await wait_until(refused)
        assert "Retry-After" in headers
        started_at = time.monotonic()
        assert await refused()
        assert time.monotonic() - started_at < 0.5


async def zone_states(fleet, host):
    """Returns the zones with orders, by name, confirmed by a quorum."""
    url = f"http://{fleet.operator_addresses[host]}/evacuations"
    async with fleet.session.get(url) as response:
        if response.status != 200:
            return None
        return (await response.json())["zones"] or None


@pytest.mark.parametrize("held_up_in", [0, 1, 2])
async def test_an_order_held_up_in_a_suspended_host_reverts_nothing(
    tmp_path, held_up_in
):
    """Guards against a zone that a late copy of an order evacuates again.

    One of the three hosts leads.
    """
    others = [number for number in range(3) if number != held_up_in]
    async with gateway_fleet(tmp_path) as fleet:
        host = fleet.children[f"control-{held_up_in}"]
        host.suspend()
        url = f"http://{fleet.operator_addresses[held_up_in]}/evacuations/a"
        with pytest.raises(asyncio.TimeoutError):
            await fleet.session.put(url, timeout=aiohttp.ClientTimeout(0.5))
        await fleet.change_zone("PUT", "a", host=others[0])
        await fleet.change_zone("DELETE", "a", host=others[1])
        host.resume()

        await fleet.change_zone("PUT", "b", host=held_up_in)

        async def known():
            return await zone_states(fleet, held_up_in)

        state = (await wait_until(known))["a"]
        assert (state["is_evacuated"], state["revision"]) == (False, 2)
