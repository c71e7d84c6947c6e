"""Odd values in headers and URLs of the users' platform."""

import asyncio
import contextlib
from types import SimpleNamespace

from deployed_fleet import deployed_fleet
from gateway_fleet import wait_until
from odd_headers import (
    RawEndpoint,
    exchange,
    header_of,
    odd_requests,
    odd_targets,
    request_bytes,
    response_bytes,
    status_of,
)
from test_deployed_fleet import CONFIG, ROUTE
from test_odd_headers import calling
from test_odd_registrations import failures

HEARTBEAT_SECONDS = 0.3
HEADERS = (
    b"X-Marjoramyard-Attempt-Id",
    b"X-Marjoramyard-Deadline-Ms",
    b"X-Api-Key",
    b"X-Marjoramyard-Tenant",
    b"X-Marjoramyard-Target-Instance",
    b"X-Marjoramyard-Not-Executed",
    b"X-Marjoramyard-Prefix-Hash",
    b"X-Marjoramyard-Token-Counts",
    b"X-Marjoramyard-Engine-Signature",
    b"Server-Leaving",
    b"Last-Event-Id",
    b"Resumes",
    b"Kv-Fetch",
    b"Kv-From",
    b"X-Marjoramyard-Pin-Ms",
    b"Host",
    b"Cookie",
    b"Keep-Alive",
    b"Content-Type",
    b"Content-Length",
    b"Expect",
)
SOUND = {
    b"Host": b"ficu95.example",
    b"X-Marjoramyard-Attempt-Id": b"odd-1",
    b"X-Marjoramyard-Deadline-Ms": b"3000",
    b"Connection": b"close",
}
CONTROL_CALLS = (
    (b"PUT", b"/v1/endpoints/"),
    (b"DELETE", b"/v1/endpoints/"),
    (b"POST", b"/v1/evacuations/"),
    (b"DELETE", b"/v1/evacuations/"),
    (b"GET", b"/v1/config?"),
    (b"PUT", b"/v1/config?"),
)


def signed_response(head):
    name = b"X-Marjoramyard-Attempt-Id"
    signature = {b"X-Marjoramyard-Engine-Signature": b"by raw"}
    return response_bytes({name: header_of(head, name)} | signature)


def heartbeat(address, number):
    return {
        "service": "huvo11a",
        "address": address,
        "zone": "zone-0",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_left_ms": 0,
        "models": [],
        "seq": number,
        "born": 1,
    }


async def send_heartbeats_forever(fleet, address):
    number = 0
    while True:
        number += 1
        for host in fleet.operator_addresses:
            url = f"http://{host}/v1/endpoints/i-1"
            body = heartbeat(address, number)
            async with fleet.session.put(url, json=body) as response:
                assert response.status == 200
        await asyncio.sleep(HEARTBEAT_SECONDS)


@contextlib.asynccontextmanager
async def serving_endpoint(fleet):
    """Runs an endpoint that sends heartbeats."""
    endpoint = RawEndpoint()
    endpoint.respond = signed_response
    async with endpoint.running():
        heartbeats = asyncio.create_task(
            send_heartbeats_forever(fleet, endpoint.addresses[0])
        )
        try:
            yield
        finally:
            heartbeats.cancel()


async def test_odd_headers_and_targets_fail_no_process(tmp_path):
    """Guards against 500 and lost connections for odd headers and URLs."""
    async with deployed_fleet(tmp_path, [1, 1, 1], 1) as fleet:
        await fleet.start_all()
        gateway = f"{fleet.hosts[0].ip}:{fleet.ports.frontend}"

        async def call_soundly():
            request = request_bytes(b"/lohu930/x", SOUND, b"POST")
            return status_of(await exchange(gateway, request))

        async def config_is_accepted():
            return await fleet.put_config(CONFIG) == 200

        async def is_served():
            return await call_soundly() == 200

        await wait_until(config_is_accepted)
        prefix = ROUTE["path_prefix"].encode()
        async with serving_endpoint(fleet):
            await wait_until(is_served)
            async with calling(call_soundly) as statuses:
                wrong = await odd_requests(
                    gateway, prefix + b"x", HEADERS, SOUND, b"POST"
                )
                wrong += await odd_targets(gateway, b"POST", prefix, SOUND)
                address = fleet.operator_addresses[0]
                for method, path in CONTROL_CALLS:
                    wrong += await odd_targets(address, method, path, SOUND)
        assert not wrong
        assert set(statuses) == {200}, statuses
        children = {child.name: child for child in fleet.children()}
        assert not failures(SimpleNamespace(children=children))
        assert all(child.is_running for child in fleet.children())
