"""What an entry holds for its callers and of its endpoints' responses."""

import asyncio
import contextlib

import pytest
from agent_endpoints import AgentEndpoint
from aiohttp import web
from callers import call

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until

MEMORY_MB = 136.0
ENTRY = "entry-2"
CALLERS = 60
BODY_BYTES = (4 << 20) - 1024
RESPONSE_BYTES = (1 << 20) - 1024
RESPONSES = 150
PROMPT_SECONDS = 10.0
POLL_SECONDS = 0.05
SETTLED_POLLS = 20
GROWTH_BYTES = 500_000


class LateEndpoint(AgentEndpoint):
    """Ends its large responses once a test lets it.

    Attributes:
        may_end: Set once the responses may end.
        sent_count: The responses that were sent but for their end.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.may_end = asyncio.Event()
        self.sent_count = 0

    async def has_sent_all(self):
        return self.sent_count == RESPONSES

    async def handle(self, request):
        if not request.path.endswith("/large"):
            return await super().handle(request)
        response = web.StreamResponse()
        response.content_length = RESPONSE_BYTES
        await response.prepare(request)
        await response.write(b"x" * (RESPONSE_BYTES - 1))
        self.sent_count += 1
        await self.may_end.wait()
        await response.write(b"x")
        return response


async def settled_bytes(process):
    """Returns a process's resident memory once it no longer grows."""
    highest, steady_count = process.rss_bytes(), 0
    while steady_count < SETTLED_POLLS:
        await asyncio.sleep(POLL_SECONDS)
        resident = process.rss_bytes()
        has_grown = resident > highest + GROWTH_BYTES
        steady_count = 0 if has_grown else steady_count + 1
        highest = max(highest, resident)
    return highest


@pytest.fixture
async def endpoint(fleet, bundle):
    bundle["workspaces"]["warehouse"] = {"share": 1, "services": ["shop"]}
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    await fleet.start_entry(ENTRY, memory_mb=MEMORY_MB)
    late = LateEndpoint(fleet, "shop-0")
    async with late.running(slots=2 * RESPONSES, memory_mb=MEMORY_MB):
        await fleet.wait_until_serving("shop-0")
        yield late


async def send_late(fleet, number, may_end):
    """Sends a body whose last byte is late."""
    headers = fleet.headers("counter", Idempotency_Key=f"k{number}")
    headers["Content-Length"] = str(BODY_BYTES)
    host, port = fleet.entries[ENTRY].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    with contextlib.suppress(OSError):
        writer.write(
            f"POST /services/shop/x HTTP/1.1\r\nHost: x\r\n{head}\r\n".encode()
        )
        writer.write(b"x" * (BODY_BYTES - 1))
        await writer.drain()
    answer = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
    await asyncio.wait([answer], timeout=None if may_end.is_set() else 2.0)
    is_refused = answer.done()
    await may_end.wait()
    with contextlib.suppress(OSError):
        writer.write(b"x")
    try:
        return is_refused, await answer
    finally:
        writer.close()


async def test_an_entry_keeps_its_memory(fleet, endpoint):
    """Guards against entries that are killed for their memory by a crowd with
    large bodies, or with large responses that end late.
    """
    entry = fleet.children[ENTRY]
    may_end = asyncio.Event()
    senders = [
        asyncio.create_task(send_late(fleet, number, may_end))
        for number in range(CALLERS)
    ]
    await settled_bytes(entry)
    async with asyncio.timeout(PROMPT_SECONDS):
        other = await call(fleet, "GET", "/services/shop/x", ENTRY, "warehouse")
    assert other.status == 200
    assert entry.rss_bytes() < MEMORY_MB * 1e6
    may_end.set()
    answers = await asyncio.gather(*senders)
    refused = [head for is_early, head in answers if is_early]
    assert 0 < len(refused) < CALLERS
    assert all(head.startswith(b"HTTP/1.1 503") for head in refused)
    assert all(b"\r\nRetry-After: " in head for head in refused)

    crowd = [
        asyncio.create_task(call(fleet, "GET", "/services/shop/large", ENTRY))
        for _ in range(RESPONSES)
    ]
    await wait_until(endpoint.has_sent_all, "the responses to be sent")
    resident = await settled_bytes(entry)
    endpoint.may_end.set()
    responses = await asyncio.gather(*crowd)
    assert resident < MEMORY_MB * 1e6
    assert {(r.status, r.is_truncated) for r in responses} == {(200, False)}
    assert {len(r.text) for r in responses} == {RESPONSE_BYTES}
