"""Reloads and changes of the configuration end no connection unanswered."""

import asyncio
import signal
import time

from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)
from raw_clients import RawClient, describe, http_request, pressing

CHANGES = 12
REQUESTS_PER_CHANGE = 3


def callers(fleet, count=12):
    """Returns callers of two routes; some close their connections."""

    def request(number, path):
        options = {"Connection": "close"} if number % 3 == 0 else {}
        return http_request(
            "POST",
            path,
            b"body",
            "shop.example",
            Request_Id=f"c-{number}",
            Request_Deadline_Ms="3000",
            **options,
        )

    def caller(number):
        path = ("/a/x", "/b/x")[number % 2]
        return RawClient(
            f"c-{number}",
            fleet.listen_address,
            lambda _: request(number, path),
        )

    return [caller(number) for number in range(count)]


async def wait_for_requests(clients):
    """Waits until each client has had some more responses."""
    wanted = [len(c.exchanges) + REQUESTS_PER_CHANGE for c in clients]

    async def have_responses():
        return all(
            len(c.exchanges) >= n for c, n in zip(clients, wanted, strict=True)
        )

    await wait_until(have_responses)


async def press_during(fleet, clients, change):
    """Has clients send requests while `change` is called repeatedly.

    Returns:
        A description of each lost request.
    """
    is_over = asyncio.Event()
    began_at = time.monotonic()
    async with pressing(clients, is_over.is_set):
        for number in range(CHANGES):
            await change(number)
            await wait_for_requests(clients)
        is_over.set()
    assert all(child.is_running for child in fleet.children.values())
    return describe(clients, began_at)


async def deregister(fleet, endpoint):
    """Tells a control host that an endpoint has stopped."""
    address = fleet.operator_addresses[0]
    url = f"http://{address}/registrations/{endpoint.name}"
    async with fleet.session.delete(url) as response:
        assert response.status == 200


async def test_a_reload_of_settings_loses_no_request(tmp_path):
    """Gateway and control hosts reload changed and invalid settings."""
    async with (
        gateway_fleet(tmp_path) as fleet,
        FakeEndpoint("e-1").running() as endpoint,
    ):
        await fleet.send_heartbeat(endpoint)
        await wait_until(fleet.is_serving)
        valid = {
            name: (tmp_path / f"{name}.yaml").read_text(encoding="utf-8")
            for name in fleet.children
        }
        other = f"- {fleet.operator_addresses[2]}\n"

        async def reload(number):
            await fleet.send_heartbeat(endpoint)
            for name, child in fleet.children.items():
                text = valid[name] if number % 2 else "role: none\n"
                if number % 4 == 1:
                    text = valid[name].replace(other, "")
                (tmp_path / f"{name}.yaml").write_text(text, encoding="utf-8")
                child.signal(signal.SIGHUP)

        lost = await press_during(fleet, callers(fleet), reload)
        log = fleet.children["gateway"].log.read_text(encoding="utf-8")
    assert '"changed": ["seeds"]' in log and "settings_refused" in log
    assert lost == []


async def test_a_changed_configuration_loses_no_request(tmp_path):
    """Routes, services and endpoints are removed and added again."""
    async with (
        gateway_fleet(tmp_path) as fleet,
        FakeEndpoint("e-1").running() as first,
        FakeEndpoint("e-2", service="other").running() as second,
    ):
        full = config(2, route("b", "/b/", service="other"))
        full["services"].append({"name": "other"})
        await fleet.put_config(full)
        for endpoint in (first, second):
            await fleet.send_heartbeat(endpoint)

        async def are_serving():
            return all([await fleet.is_serving(p) for p in ("/a/x", "/b/x")])

        await wait_until(are_serving)
        clients = callers(fleet)

        async def change(number):
            version = number + 3
            if number % 2:
                await fleet.put_config({**full, "version": version})
                await fleet.send_heartbeat(second)
            else:
                await fleet.put_config(config(version))
                await deregister(fleet, second)
            await fleet.send_heartbeat(first)

        lost = await press_during(fleet, clients, change)
        statuses = {e.status for c in clients for e in c.exchanges}
    assert {200, 404} <= statuses
    assert lost == []
