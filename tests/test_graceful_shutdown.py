"""Endpoints leave without harm; graceful shutdowns cut nothing."""

import asyncio
import signal

from callers import chat, open_stream, read_rest

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until


async def test_every_role_told_to_stop_cuts_no_stream(fleet, bundle):
    """A long answer streams while entry, agent and control get SIGTERM.

    Each takes no new work at once, the stream runs to its end, and each
    exits with 0 after it.
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

        await wait_until(not_ready, "readiness to go off")
        refused = await chat(fleet, max_tokens=1)
        assert (refused.status, refused.outcome) == (503, "not-run")
        text, broken = await read_rest(response)
    assert not broken
    assert text.count("delta") == 299
    assert text.endswith("data: [DONE]\n\n")
    codes = await asyncio.gather(*(child.process.wait() for child in children))
    assert codes == [0, 0, 0]


async def test_a_leaving_endpoint_gets_no_new_work_and_finishes_its_own(
    fleet, bundle
):
    """An endpoint says that it leaves while requests stream and wait."""
    await start_small_fleet(fleet, bundle, control=1)
    await fleet.add_endpoint("chat-1", "engine", "chat", "--slots", "2")
    await fleet.wait_until_serving("chat-1")
    streams = [
        asyncio.ensure_future(chat(fleet, stream=True, max_tokens=150))
        for _ in range(2)
    ]

    async def full():
        return (await fleet.counters("chat-1"))["running"] == 2

    await wait_until(full, "both slots to be busy")
    waiting = [
        asyncio.ensure_future(chat(fleet, entry, max_tokens=1))
        for entry in ("entry-1", "entry-2")
    ]
    address = fleet.endpoint_addresses["chat-1"]
    async with fleet.session.post(f"http://{address}/admin/leave"):
        pass
    before = len((await fleet.counters("chat-1"))["calls"])
    assert all(a.is_whole_stream for a in await asyncio.gather(*streams))
    # Its slots are free now and requests wait, but it is leaving.
    await fleet.add_endpoint("chat-2", "engine", "chat")
    answers = await asyncio.gather(*waiting)
    assert [a.status for a in answers] == [200, 200]
    assert len((await fleet.counters("chat-1"))["calls"]) == before


async def test_waiting_requests_get_their_final_answer_at_the_deadline(
    fleet, bundle
):
    """No endpoint has a free slot until the deadline has passed.

    The caller is told "not run" then, at once, and when to come back.
    """
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    await fleet.add_endpoint("chat-1", "engine", "chat", "--slots", "1")
    await fleet.wait_until_serving("chat-1")
    async with open_stream(fleet, max_tokens=600) as response:
        async with fleet.session.post(
            fleet.url("entry-1", "/v1/chat/completions"),
            headers=fleet.headers("counter", X_Request_Deadline_Seconds="1"),
            json={"model": "chat"},
        ) as late:
            error = (await late.json())["error"]
            assert (late.status, error["code"]) == (504, "deadline_passed")
            assert error["outcome"] == "not-run"
            assert int(late.headers["Retry-After"]) >= 1
        response.close()
    assert len((await fleet.counters("chat-1"))["calls"]) == 1
