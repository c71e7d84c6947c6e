"""Shutdowns and draining endpoints truncate no response."""

import asyncio
import signal

from callers import chat, open_stream, read_to_end

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until


async def test_sigterm_truncates_no_stream(fleet, bundle):
    """Entry, agent and control host get SIGTERM while a response streams.

    The entry refuses new requests, the stream completes, and all processes
    exit with 0.
    """
    await start_small_fleet(fleet, bundle)
    await fleet.add_endpoint("chat-1", "engine", "chat")
    await fleet.wait_until_serving("chat-1")
    async with open_stream(fleet, max_tokens=300) as response:
        names = ("entry-1", "agent-chat-1", "control-1")
        children = [fleet.children[name] for name in names]
        for child in children:
            child.signal(signal.SIGTERM)
        entry = fleet.entries["entry-1"]

        async def not_ready():
            return not await fleet.responds_ok(entry, "/readyz")

        await wait_until(not_ready, "the entry to become unready")
        refused = await chat(fleet, max_tokens=1)
        assert (refused.status, refused.outcome) == (503, "not-run")
        text, is_truncated = await read_to_end(response)
    assert not is_truncated
    assert text.count("delta") == 299
    assert text.endswith("data: [DONE]\n\n")
    codes = await asyncio.gather(*(child.process.wait() for child in children))
    assert codes == [0, 0, 0]


async def test_a_leaving_endpoint_only_finishes_running_requests(fleet, bundle):
    """An endpoint announces its leaving while requests run and wait."""
    await start_small_fleet(fleet, bundle, control=1)
    await fleet.add_endpoint("chat-1", "engine", "chat", "--slots", "2")
    await fleet.wait_until_serving("chat-1")
    streams = [
        asyncio.ensure_future(chat(fleet, stream=True, max_tokens=150))
        for _ in range(2)
    ]

    async def is_full():
        return (await fleet.counters("chat-1"))["running"] == 2

    await wait_until(is_full, "both slots to be busy")
    waiting = [
        asyncio.ensure_future(chat(fleet, entry, max_tokens=1))
        for entry in ("entry-1", "entry-2")
    ]
    address = fleet.endpoint_addresses["chat-1"]
    async with fleet.session.post(f"http://{address}/admin/leave"):
        pass
    before = len((await fleet.counters("chat-1"))["calls"])
    assert all(a.is_complete_stream for a in await asyncio.gather(*streams))
    # The leaving endpoint has free slots now but must get no request.
    await fleet.add_endpoint("chat-2", "engine", "chat")
    responses = await asyncio.gather(*waiting)
    assert [a.status for a in responses] == [200, 200]
    assert len((await fleet.counters("chat-1"))["calls"]) == before


async def test_queued_requests_are_refused_at_their_deadline(fleet, bundle):
    """A request that waits past its deadline gets "not-run" and Retry-After."""
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    await fleet.add_endpoint("chat-1", "engine", "chat", "--slots", "1")
    await fleet.wait_until_serving("chat-1")
    async with open_stream(fleet, max_tokens=600) as response:
        async with fleet.session.post(
            fleet.url("entry-1", "/v1/chat/completions"),
            headers=fleet.headers("counter", X_Request_Deadline_Seconds="1"),
            json={"model": "chat"},
        ) as refused:
            error = (await refused.json())["error"]
            assert (refused.status, error["code"]) == (504, "deadline_passed")
            assert error["outcome"] == "not-run"
            assert int(refused.headers["Retry-After"]) >= 1
        response.close()
    assert len((await fleet.counters("chat-1"))["calls"]) == 1
