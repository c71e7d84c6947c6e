"""Each caller gets the whole answer to its own request, or is told."""

import asyncio

import pytest
from callers import call, chat, open_stream, read_rest

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until
from marjoramyard.standin.processes import free_address
from marjoramyard.standin.relay import relay_to


@pytest.fixture
async def chat_fleet(fleet, bundle):
    """One control host, two entries, two engines."""
    await start_small_fleet(fleet, bundle, control=1)
    for name in ("chat-1", "chat-2"):
        await fleet.add_endpoint(name, "engine", "chat")
    await fleet.wait_until_serving("chat-1", "chat-2")
    return fleet


async def running_on(fleet):
    """Returns the engine that runs something."""
    for name in ("chat-1", "chat-2"):
        child = fleet.children[name]
        if child.is_running and (await fleet.counters(name))["running"]:
            return name
    return None


async def test_answers_never_meet_another_request(chat_fleet):
    """An agent freezes while it runs a guide and thaws much later.

    The guide is run again elsewhere; the late answer must not reach the
    caller that uses the thawed agent next (the wrong boot sizes).
    """
    guide = asyncio.ensure_future(
        chat(chat_fleet, content="GUIDE", max_tokens=60)
    )
    name = await wait_until(lambda: running_on(chat_fleet), "the guide to run")
    agent = chat_fleet.children[f"agent-{name}"]
    agent.suspend()
    answer = await guide
    assert (answer.status, answer.outcome) == (200, "complete")
    agent.resume()
    answers = await asyncio.gather(
        *(chat(chat_fleet, max_tokens=n) for n in range(1, 12))
    )
    for count, later in enumerate(answers, start=1):
        assert f'"completion_tokens": {count}' in later.text


async def test_a_stream_that_stalls_ends_visibly(chat_fleet):
    """The engine falls silent in mid-answer and keeps its connection.

    The caller must not wait for ever, nor take the part for a whole.
    """
    answer = await chat(chat_fleet, stream=True, max_tokens=9, stall_after=3)
    assert answer.text.count("delta") == 3
    assert "event: error" in answer.text
    assert "endpoint_stalled" in answer.text
    assert answer.broken


async def test_a_cut_stream_never_looks_whole(chat_fleet):
    """The engine breaks the connection in mid-answer."""
    answer = await chat(chat_fleet, stream=True, max_tokens=9, cut_after=3)
    assert answer.broken
    assert "[DONE]" not in answer.text
    assert '"outcome":"unknown"' in answer.text


async def test_an_engine_killed_before_the_first_byte_costs_one_retry(
    chat_fleet,
):
    """An engine dies while it works on a plain answer.

    Nothing was delivered and the request is repeatable: the caller gets
    the whole answer from the other engine.
    """
    slow = asyncio.ensure_future(chat(chat_fleet, max_tokens=50))
    name = await wait_until(lambda: running_on(chat_fleet), "the chat to run")
    await chat_fleet.children[name].kill()
    answer = await slow
    assert (answer.status, answer.outcome) == (200, "complete")


async def test_an_agent_killed_in_mid_stream_cuts_visibly(chat_fleet):
    async with open_stream(chat_fleet, max_tokens=400) as response:
        name = await running_on(chat_fleet)
        await chat_fleet.children[f"agent-{name}"].kill()
        text, broken = await read_rest(response)
    assert broken and "[DONE]" not in text


async def test_a_caller_that_leaves_frees_the_engine(chat_fleet):
    """A student closes the page in the middle of a long guide."""
    async with open_stream(chat_fleet, max_tokens=5000) as response:
        name = await running_on(chat_fleet)
        response.close()

    async def cancelled():
        return (await chat_fleet.counters(name))["cancelled"]

    assert await wait_until(cancelled, "the engine to be told")


async def test_a_slow_reader_gets_every_byte(chat_fleet):
    """A caller on a bad line takes the answer in small sips."""
    async with open_stream(chat_fleet, max_tokens=300) as response:
        text = ""
        while data := await response.content.read(500):
            text += data.decode()
            await asyncio.sleep(0)
    assert text.count("delta") == 299
    assert text.endswith("data: [DONE]\n\n")


async def test_a_broken_link_is_resumed_without_loss(fleet, bundle):
    """The connection between entry and agent breaks in mid-stream, twice.

    The agent keeps the frames; the entry asks for those that are missing,
    and the caller notices nothing.
    """
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    internal = free_address()
    fleet.internal_addresses["agent-chat-1"] = internal
    async with relay_to(internal) as relay:
        await fleet.start_agent("chat-1", advertised=relay.address)
        await fleet.start_endpoint("chat-1", "engine", "chat")
        await fleet.wait_until_serving("chat-1")
        async with open_stream(fleet, max_tokens=200) as response:
            relay.break_connections()
            first = await response.content.readuntil(b"\n\n")
            relay.break_connections()
            rest, broken = await read_rest(response)
        text = first.decode() + rest
    assert not broken
    assert text.count("delta") == 199
    assert text.endswith("data: [DONE]\n\n")


async def test_bad_input_gets_typed_answers_and_leaks_nothing(chat_fleet):
    """Wrong keys, routes, bodies and headers of every kind."""
    path = "/v1/chat/completions"
    cases = [
        ({"Authorization": "Bearer nope"}, path, b"{}", "unknown_api_key"),
        ({"Authorization": ""}, path, b"{}", "missing_api_key"),
        ({}, path, b"{broken", "bad_request"),
        ({}, path, b"\xff\xfe", "bad_request"),
        ({}, path, b'{"model":"nope"}', "unknown_service"),
        ({}, "/services/nope/x", b"", "unknown_service"),
        ({}, "/elsewhere", b"", "unknown_route"),
        ({}, "/services/shop/bookings", b"{}", "idempotency_key_required"),
        (
            {"X-Request-Deadline-Seconds": "nan"},
            path,
            b'{"model":"chat"}',
            "bad_request",
        ),
        (
            {"X-Request-Deadline-Seconds": "1e9"},
            path,
            b'{"model":"chat"}',
            "bad_request",
        ),
        ({}, path, b"x" * (5 << 20), "request_too_large"),
        ({"X-Long": "x" * 9000}, path, b"{}", "request_too_large"),
    ]
    for headers, route, body, code in cases:
        async with chat_fleet.session.post(
            chat_fleet.url("entry-1", route),
            headers={**chat_fleet.headers("counter"), **headers},
            data=body,
        ) as response:
            error = (await response.json())["error"]
            assert error["code"] == code, (route, headers)
            assert error["outcome"] == "not-run"
    refused = await call(
        chat_fleet, "GET", "/services/shop/stock/x", workspace="guides"
    )
    assert refused.status == 403
    answer = await chat(chat_fleet, max_tokens=1)
    assert answer.status == 200


async def test_a_process_without_the_secret_gets_nothing(chat_fleet):
    for address in [
        *chat_fleet.control_hosts.values(),
        *chat_fleet.internal_addresses.values(),
    ]:
        for path in ("/control/v1/query", "/run/v1/attempts", "/grants/v1"):
            async with chat_fleet.session.post(
                f"http://{address}{path}", headers={"Authorization": "Bearer x"}
            ) as response:
                assert response.status in (401, 404)


async def test_a_stream_that_the_engine_can_resume_is_resumed(chat_fleet):
    """The engine breaks off in the middle of an event, and can go on.

    The caller gets each token once, and the engine computed nothing twice.
    """
    answer = await chat(
        chat_fleet, stream=True, max_tokens=9, cut_after=4, resumable=True
    )
    assert answer.is_whole_stream
    assert answer.text.count('"delta"') == 9
    calls = [
        call
        for name in ("chat-1", "chat-2")
        for call in (await chat_fleet.counters(name))["calls"]
    ]
    assert len(calls) == 1


async def test_a_truncated_body_is_never_passed_off_as_whole(chat_fleet):
    """Each engine promises 100 bytes, sends a few and breaks off.

    The request is repeatable, so it is tried again, within the budget; the
    caller is told in the end that it may have run.
    """
    answer = await chat(chat_fleet, max_tokens=1, cut_after=0)
    assert answer.status in (502, 503)
    assert answer.outcome == "unknown"
    assert "choices" not in answer.text


async def test_a_frozen_entry_that_thaws_delivers_the_whole(chat_fleet):
    """The entry's host hangs in mid-stream and comes back.

    Bytes wait in the network meanwhile; none is lost or repeated.
    """
    async with open_stream(chat_fleet, max_tokens=200) as response:
        entry = chat_fleet.children["entry-1"]
        entry.suspend()

        async def engine_goes_on():
            counts = [
                await chat_fleet.counters(n) for n in ("chat-1", "chat-2")
            ]
            return sum(c["served"] for c in counts) == 1

        await wait_until(engine_goes_on, "the engine to end the stream")
        entry.resume()
        text, broken = await read_rest(response)
    assert not broken
    assert text.count("delta") == 199
    assert text.endswith("data: [DONE]\n\n")
