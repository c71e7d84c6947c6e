"""Callers get the complete response to their own request, or an error."""

import asyncio

import pytest
from callers import call, chat, open_stream, read_to_end

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until
from marjoramyard.standin.processes import free_address
from marjoramyard.standin.relay import relay_to


@pytest.fixture
async def chat_fleet(fleet, bundle):
    """A fleet with one control host, two entries and two engines."""
    await start_small_fleet(fleet, bundle, control=1)
    for name in ("chat-1", "chat-2"):
        await fleet.add_endpoint(name, "engine", "chat")
    await fleet.wait_until_serving("chat-1", "chat-2")
    return fleet


async def busy_engine(fleet):
    """Returns the name of an engine with a running request, or None."""
    for name in ("chat-1", "chat-2"):
        child = fleet.children[name]
        if child.is_running and (await fleet.counters(name))["running"]:
            return name
    return None


async def test_late_responses_never_reach_another_request(chat_fleet):
    """A late response must not reach the next caller of its agent.

    The agent is suspended while a request runs, which is then retried
    elsewhere; the agent resumes and gets new requests.
    """
    slow = asyncio.ensure_future(
        chat(chat_fleet, content="GUIDE", max_tokens=60)
    )
    name = await wait_until(
        lambda: busy_engine(chat_fleet), "the request to run"
    )
    agent = chat_fleet.children[f"agent-{name}"]
    agent.suspend()
    response = await slow
    assert (response.status, response.outcome) == (200, "complete")
    agent.resume()
    responses = await asyncio.gather(
        *(chat(chat_fleet, max_tokens=n) for n in range(1, 12))
    )
    for count, later in enumerate(responses, start=1):
        assert f'"completion_tokens": {count}' in later.text


async def test_a_stalled_stream_ends_with_an_error(chat_fleet):
    """The engine stops sending within a response but keeps its connection.

    The caller must get an error event instead of waiting indefinitely.
    """
    response = await chat(chat_fleet, stream=True, max_tokens=9, stall_after=3)
    assert response.text.count("delta") == 3
    assert "event: error" in response.text
    assert "endpoint_stalled" in response.text
    assert response.is_truncated


async def test_a_truncated_stream_never_looks_complete(chat_fleet):
    """The engine closes the connection within a response."""
    response = await chat(chat_fleet, stream=True, max_tokens=9, cut_after=3)
    assert response.is_truncated
    assert "[DONE]" not in response.text
    assert '"outcome":"unknown"' in response.text


async def test_an_engine_killed_before_the_first_byte_is_retried(
    chat_fleet,
):
    """A repeatable request is retried if no byte was delivered."""
    slow = asyncio.ensure_future(chat(chat_fleet, max_tokens=50))
    name = await wait_until(lambda: busy_engine(chat_fleet), "the chat to run")
    await chat_fleet.children[name].kill()
    response = await slow
    assert (response.status, response.outcome) == (200, "complete")


async def test_an_agent_killed_within_a_stream_truncates_it_visibly(chat_fleet):
    async with open_stream(chat_fleet, max_tokens=400) as response:
        name = await busy_engine(chat_fleet)
        await chat_fleet.children[f"agent-{name}"].kill()
        text, is_truncated = await read_to_end(response)
    assert is_truncated and "[DONE]" not in text


async def test_a_disconnected_caller_frees_the_engine(chat_fleet):
    """The caller disconnects within a stream."""
    async with open_stream(chat_fleet, max_tokens=5000) as response:
        name = await busy_engine(chat_fleet)
        response.close()

    async def cancelled():
        return (await chat_fleet.counters(name))["cancelled"]

    assert await wait_until(cancelled, "the request to be cancelled")


async def test_a_slow_reader_gets_every_byte(chat_fleet):
    """The caller reads the response in small chunks."""
    async with open_stream(chat_fleet, max_tokens=300) as response:
        text = ""
        while data := await response.content.read(500):
            text += data.decode()
            await asyncio.sleep(0)
    assert text.count("delta") == 299
    assert text.endswith("data: [DONE]\n\n")


async def test_a_broken_link_is_resumed_without_loss(fleet, bundle):
    """The connection between entry and agent breaks twice within a stream.

    The entry requests the missing frames from the agent's replay buffer, and
    the caller gets the complete stream.
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
            rest, is_truncated = await read_to_end(response)
        text = first.decode() + rest
    assert not is_truncated
    assert text.count("delta") == 199
    assert text.endswith("data: [DONE]\n\n")


async def test_invalid_input_gets_specific_error_codes(chat_fleet):
    """Invalid keys, routes, bodies and headers get specific error codes."""
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
    accepted = await chat(chat_fleet, max_tokens=1)
    assert accepted.status == 200


async def test_internal_addresses_require_the_secret(chat_fleet):
    for address in [
        *chat_fleet.control_hosts.values(),
        *chat_fleet.internal_addresses.values(),
    ]:
        for path in ("/control/v1/query", "/run/v1/attempts", "/grants/v1"):
            async with chat_fleet.session.post(
                f"http://{address}{path}", headers={"Authorization": "Bearer x"}
            ) as response:
                assert response.status in (401, 404)


async def test_a_resumable_stream_is_resumed(chat_fleet):
    """A resumable stream that breaks within an event is resumed.

    The caller gets each token once, and the engine gets only one request.
    """
    response = await chat(
        chat_fleet, stream=True, max_tokens=9, cut_after=4, resumable=True
    )
    assert response.is_complete_stream
    assert response.text.count('"delta"') == 9
    calls = [
        call
        for name in ("chat-1", "chat-2")
        for call in (await chat_fleet.counters(name))["calls"]
    ]
    assert len(calls) == 1


async def test_a_truncated_body_is_never_delivered_as_complete(chat_fleet):
    """Both engines close the connection before the announced length.

    The retry fails as well, so the caller gets an error with the outcome
    "unknown".
    """
    response = await chat(chat_fleet, max_tokens=1, cut_after=0)
    assert response.status in (502, 503)
    assert response.outcome == "unknown"
    assert "choices" not in response.text


async def test_a_resumed_entry_delivers_the_complete_stream(chat_fleet):
    """The entry is suspended within a stream and resumes.

    No byte may be lost or repeated.
    """
    async with open_stream(chat_fleet, max_tokens=200) as response:
        entry = chat_fleet.children["entry-1"]
        entry.suspend()

        async def engine_finished():
            counts = [
                await chat_fleet.counters(n) for n in ("chat-1", "chat-2")
            ]
            return sum(c["served"] for c in counts) == 1

        await wait_until(engine_finished, "the engine to finish the stream")
        entry.resume()
        text, is_truncated = await read_to_end(response)
    assert not is_truncated
    assert text.count("delta") == 199
    assert text.endswith("data: [DONE]\n\n")
