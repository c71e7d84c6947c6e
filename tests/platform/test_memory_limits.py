"""Processes stay within their memory whatever clients send."""

import asyncio
import contextlib
import os
import time
from collections import Counter
from dataclasses import dataclass, field

import pytest
from aiohttp import web
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from endless_clients import (
    FORMS,
    MEGABYTE,
    endless_clients,
    resident_bytes,
    watch,
)
from gateway_fleet import (
    CACHED_PARTS_PATH,
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)
from test_deployed_fleet import CONFIG

SECONDS = 1.0
MEMORY_MB = 136
MAX_DESCRIPTORS = 2870
CROWD_FACTOR = float(os.environ.get("CROWD_FACTOR", "1"))
"""For larger crowds by hand."""
ENDPOINT_SLOTS = 64
TIMEOUT_MS = 9000
REFUSED = 503
READER_BYTES = 1 << 16
POLL_SECONDS = 0.01
LATE_CALLERS = int(100 * CROWD_FACTOR)
LATE_BODY_BYTES = 3_990_000
LATE_END_SECONDS = 1.0
REFUSAL_SECONDS = 3.0
"""Refused callers of these tests share their processor with all others."""
SLOW_SECONDS = 1.0
WAITING_CALLERS = int(600 * CROWD_FACTOR)
WAITING_BODY_BYTES = 110_000
LARGE_RESPONSE_BYTES = 8_000_000
SLOW_READERS = int(60 * CROWD_FACTOR)
READ_DELAY_SECONDS = 1.0
LATE_SECONDS = 1.0
"""A whole request beside clients without end is answered within it."""
LARGEST = ["fields"]
"""The forms of which one client alone may send the most within limits."""
LARGEST_CLIENTS = 6
LISTENERS = {
    "callers": (GATEWAY, "frontend"),
    "forwarded": (GATEWAY, "first"),
    "ready": (GATEWAY, "ready"),
    "internal": (GATEWAY, "last"),
    "operators": (CONTROL, "control"),
    "control": (CONTROL, "first"),
}
"""The role and the port of each listener."""


@pytest.fixture
async def fleet(tmp_path):
    """A host with both roles that is ready."""
    async with deployed_fleet(tmp_path, [1, 1, 1], 1) as started:
        await started.start_all()

        async def config_is_accepted():
            return await started.put_config(CONFIG) == 200

        async def is_ready():
            return await started.is_ready(started.hosts[0])

        await wait_until(config_is_accepted)
        await wait_until(is_ready)
        yield started


def find_listener(fleet, name):
    """Returns the process and the address of a listener."""
    role, port = LISTENERS[name]
    if name == "forwarded":
        number = fleet.ports.last - 1
    else:
        number = getattr(fleet.ports, port)
    host = fleet.hosts[0]
    return host.children[role], (host.ip, number)


@pytest.mark.parametrize("name", LISTENERS)
async def test_requests_without_end_are_held_within_the_memory(fleet, name):
    """Guards against processes killed for their memory by what clients send
    without end, and against whole requests that wait for it.
    """
    child, address = find_listener(fleet, name)
    url = f"http://{address[0]}:{address[1]}/healthz"
    with endless_clients(address, [*FORMS, *LARGEST * LARGEST_CLIENTS]):
        seen = await watch(fleet.session, child.process.pid, url, SECONDS)
    assert seen.highest < fleet.hosts[0].memory_mb * MEGABYTE
    assert seen.slowest < LATE_SECONDS
    assert child.is_running


class RoomyEndpoint(FakeEndpoint):
    """An endpoint that runs many requests at once."""

    async def handle(self, request):
        """Responds to a request whose body may be large."""
        async for _ in request.content.iter_any():
            pass
        if self.respond is not None and request.path != CACHED_PARTS_PATH:
            return await self.respond(request)
        return await super().handle(request)

    def registration(self, state="ready"):
        return super().registration(state) | {"slots": ENDPOINT_SLOTS}


@dataclass
class Crowd:
    """What callers of one gateway got.

    Attributes:
        statuses: The responses, by status; 0 for none.
        longest_refusal: The longest that a refused caller waited, in seconds.
        without_retry: Refusals without `Retry-After`.
    """

    statuses: Counter = field(default_factory=Counter)
    longest_refusal: float = 0.0
    without_retry: int = 0


@contextlib.asynccontextmanager
async def serving_gateway(folder, respond=None):
    """Yields a fleet with an endpoint, and its gateway's process."""
    endpoint = RoomyEndpoint("i-1", zone="zone-gateway")
    endpoint.respond = respond
    async with (
        gateway_fleet(
            folder, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS
        ) as fleet,
        endpoint.running(),
    ):
        await fleet.put_config(
            config(2, route("b", "/b/", timeout_ms=TIMEOUT_MS))
        )
        await fleet.send_heartbeat(endpoint)

        async def is_placed():
            async with fleet.request("/a/x") as response:
                return response.status in (200, 504)

        await wait_until(is_placed)
        yield fleet, endpoint, fleet.children["gateway"]


async def call(fleet, crowd, body, late_seconds=0.0, read_delay=0.0):
    """Sends a request whose last byte may be late, and reads its response."""
    host, port = fleet.listen_address.split(":")
    began_at = time.monotonic()
    status = 0
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=READER_BYTES
        )
        writer.write(
            b"POST /b/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"Request-Id: id-%d\r\nRequest-Deadline-Ms: %d\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n"
            % (time.monotonic_ns(), TIMEOUT_MS, len(body))
        )
        writer.write(body[:-1])
        if late_seconds:
            await asyncio.sleep(late_seconds)
        writer.write(body[-1:])
        await asyncio.sleep(read_delay)
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        if status == REFUSED:
            crowd.without_retry += b"retry-after:" not in head.lower()
            waited = time.monotonic() - began_at - late_seconds - read_delay
            crowd.longest_refusal = max(crowd.longest_refusal, waited)
        while await reader.read(READER_BYTES):
            pass
        writer.close()
    crowd.statuses[status] += 1


async def call_all(fleet, child, count, *arguments):
    """Runs callers at once; returns their results and the most memory."""
    crowd = Crowd()
    callers = asyncio.gather(
        *(call(fleet, crowd, *arguments) for _ in range(count))
    )
    highest = 0
    while not callers.done():
        highest = max(highest, resident_bytes(child.process.pid))
        await asyncio.sleep(POLL_SECONDS)
    await callers
    print(f"{highest / MEGABYTE:.0f} MB at most; {crowd}")
    return crowd, highest


async def test_bodies_whose_ends_are_late_are_held_within_the_memory(tmp_path):
    """Guards against gateways killed for large requests that arrive slowly:
    those without room are refused at once, the others are served.
    """
    async with serving_gateway(tmp_path) as (fleet, _, child):
        crowd, highest = await call_all(
            fleet, child, LATE_CALLERS, b"x" * LATE_BODY_BYTES, LATE_END_SECONDS
        )
    assert highest < MEMORY_MB * MEGABYTE
    assert set(crowd.statuses) == {200, REFUSED}
    assert not crowd.without_retry
    assert crowd.longest_refusal < REFUSAL_SECONDS


async def test_requests_that_wait_for_an_endpoint_are_held_within_the_memory(
    tmp_path,
):
    """Guards against gateways killed for requests that wait for slow
    endpoints: those without room are refused at once, the others are served.
    """

    async def respond_late(request):
        await asyncio.sleep(SLOW_SECONDS)
        return web.Response(
            text="late", headers=endpoint.response_headers(request)
        )

    async with serving_gateway(tmp_path) as (fleet, endpoint, child):
        endpoint.respond = respond_late
        crowd, highest = await call_all(
            fleet, child, WAITING_CALLERS, b"x" * WAITING_BODY_BYTES
        )
    assert highest < MEMORY_MB * MEGABYTE
    assert not crowd.statuses[0]
    assert crowd.statuses[200] >= ENDPOINT_SLOTS
    assert crowd.statuses[REFUSED]
    assert not crowd.without_retry


async def test_responses_that_nobody_reads_are_held_within_the_memory(tmp_path):
    """Guards against gateways killed for whole responses whose callers read
    them slowly.
    """

    async def respond_much(request):
        return web.Response(
            body=b"x" * LARGE_RESPONSE_BYTES,
            headers=endpoint.response_headers(request),
        )

    async with serving_gateway(tmp_path) as (fleet, endpoint, child):
        endpoint.respond = respond_much
        crowd, highest = await call_all(
            fleet, child, SLOW_READERS, b"x", 0.0, READ_DELAY_SECONDS
        )
    assert highest < MEMORY_MB * MEGABYTE
    assert not crowd.statuses[0]
    assert crowd.statuses[200]
