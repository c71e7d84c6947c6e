"""Entries and agents that stop answer all that they have read."""

import asyncio
import json
import signal
import time

import msgspec
from callers import open_stream, read_to_end
from raw_clients import (
    RawClient,
    describe,
    http_request,
    pressing,
    stop_under,
    stop_when_late,
    wait_until_draining,
)

from marjoramyard.fleet import paths
from marjoramyard.fleet.messages import (
    EndpointAnnouncement,
    FreeSlotsMessage,
    GrantMessage,
    OfferMessage,
)
from marjoramyard.standin.local_fleet import (
    api_key,
    start_small_fleet,
    wait_until,
)

DRAIN_SECONDS = 10.0
STREAM_TOKENS = 100
OUTLASTING_TOKENS = 1000
PARTIAL_SHARE = 0.95
"""Of a request: its head and a part of its body."""
ACTS = 6


async def start_fleet(fleet, bundle, *engine_options):
    """Starts an entry and an agent with its endpoint, which may stop."""
    await start_small_fleet(fleet, bundle, control=1, entries=0)
    await fleet.start_entry("entry-1", drain_seconds=DRAIN_SECONDS)
    await fleet.start_agent("chat-1", drain_seconds=DRAIN_SECONDS)
    await fleet.start_endpoint("chat-1", "engine", "chat", *engine_options)
    await fleet.wait_until_serving("chat-1")


def chat_request(content="Which boots?", max_tokens=1, **headers):
    message = {"role": "user", "content": content}
    body = {"model": "chat", "messages": [message], "max_tokens": max_tokens}
    return http_request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        Authorization=f"Bearer {api_key('counter')}",
        **headers,
    )


def internal_request(fleet, path, message, **headers):
    secret = fleet.secret_file.read_text(encoding="utf-8").strip()
    body = msgspec.json.encode(message)
    return http_request(
        "POST", path, body, Authorization=f"Bearer {secret}", **headers
    )


def repeating(name, address, request):
    return RawClient(name, address, lambda _: request)


def callers(fleet, count=8):
    """Returns callers, half with a connection for each request."""
    address = fleet.entries["entry-1"]
    closing = chat_request(Connection="close")
    return [
        repeating(f"caller-{n}", address, closing if n % 2 else chat_request())
        for n in range(count)
    ]


def entry_peers(fleet, count=3):
    """Returns clients of an entry's internal address."""
    address = fleet.internal_addresses["entry-1"]
    grant = GrantMessage("agent-x", "127.0.0.1:9", "chat", "counter", "g")
    free = FreeSlotsMessage("agent-x", "chat", 0)
    requests = {
        "grant": internal_request(fleet, paths.GRANT_PATH, grant),
        "free": internal_request(
            fleet, paths.FREE_PATH, free, Connection="close"
        ),
        "alive": http_request("GET", "/healthz"),
        "metrics": http_request("GET", "/metrics", Connection="close"),
    }
    return [
        repeating(f"{name}-{n}", address, request)
        for name, request in requests.items()
        for n in range(count)
    ]


def agent_peers(fleet, count=3):
    """Returns clients of an agent's internal address."""
    address = fleet.internal_addresses["agent-chat-1"]
    offer = OfferMessage("entry-x", "127.0.0.1:9", "zone-a", "chat", 1, [])
    requests = {
        "offer": internal_request(fleet, paths.OFFER_PATH, offer),
        "cancel": internal_request(
            fleet, f"{paths.RUN_PATH}/a-1/cancel", {}, Connection="close"
        ),
    }
    return [
        repeating(f"{name}-{n}", address, request)
        for name, request in requests.items()
        for n in range(count)
    ]


async def announcing_endpoints(fleet, count=6):
    """Returns clients that announce the agent's endpoint as it does."""
    address = fleet.announce_addresses["chat-1"]
    announcement = EndpointAnnouncement(
        "chat-1", "chat-1~x", fleet.endpoint_addresses["chat-1"], "chat", 4
    )
    body = msgspec.json.encode(announcement)
    requests = [
        http_request("POST", "/announce", body),
        http_request("POST", "/announce", body, Connection="close"),
    ]
    return [
        repeating(f"announce-{n}", address, requests[n % 2])
        for n in range(count)
    ]


async def test_callers_are_answered_while_their_entry_stops(fleet, bundle):
    """Callers and agents send on while an entry stops."""
    await start_fleet(fleet, bundle)
    clients = callers(fleet) + entry_peers(fleet)
    child = fleet.children["entry-1"]
    code, lost = await stop_under(child, clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []


async def test_callers_are_answered_until_the_last_stream_ends(fleet, bundle):
    """Callers send on while an entry delivers a stream and then stops."""
    await start_fleet(fleet, bundle)
    clients = callers(fleet) + entry_peers(fleet)
    child = fleet.children["entry-1"]
    async with open_stream(fleet, max_tokens=STREAM_TOKENS) as response:
        reading = asyncio.create_task(read_to_end(response))
        code, lost = await stop_under(child, clients, DRAIN_SECONDS)
        _, is_truncated = await reading
    assert code == 0
    assert lost == []
    assert not is_truncated


async def test_callers_are_answered_when_a_stopping_entry_is_late(
    fleet, bundle
):
    """Connections and SIGTERM wait for an entry that was suspended."""
    await start_fleet(fleet, bundle)
    clients = callers(fleet) + entry_peers(fleet)
    child = fleet.children["entry-1"]
    code, lost = await stop_when_late(child, clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []


async def test_a_request_that_is_being_sent_to_an_entry_is_answered(
    fleet, bundle
):
    """The rest of a request arrives while its entry stops."""
    await start_fleet(fleet, bundle)
    caller = callers(fleet, 1)[0]
    child = fleet.children["entry-1"]
    await caller.send_part()
    await fleet.wait_until_healthy(fleet.internal_addresses["entry-1"])
    child.signal(signal.SIGTERM)
    await wait_until_draining(child)
    await caller.send_rest()
    async with asyncio.timeout(DRAIN_SECONDS):
        await caller.receive()
        code = await child.process.wait()
    caller.disconnect()
    assert code == 0
    assert describe([caller], caller.sent_at) == []


async def test_requests_that_may_outlast_a_stopping_entry_are_refused(
    fleet, bundle
):
    """Guards against requests that leave the queue, or whose body ends, late
    in a grace and are cut at its end."""
    await start_fleet(fleet, bundle, "--slots", "1")
    address = fleet.entries["entry-1"]
    running = repeating(
        "running", address, chat_request("first", STREAM_TOKENS)
    )
    held = [
        repeating(
            f"held-{number}",
            address,
            chat_request(f"held {number}", OUTLASTING_TOKENS),
        )
        for number in range(6)
    ]
    queued, partial = held[:3], held[3:]

    async def calls():
        return len((await fleet.counters("chat-1"))["calls"])

    calls_before = await calls()
    await running.send()

    async def is_running():
        return await calls() > calls_before

    await wait_until(is_running, "the first request to run")
    for client in queued:
        await client.send()
    for client in partial:
        await client.send_part(PARTIAL_SHARE)
    await fleet.wait_until_healthy(fleet.internal_addresses["entry-1"])
    child = fleet.children["entry-1"]
    stopping = asyncio.create_task(child.terminate(DRAIN_SECONDS))
    refused = await asyncio.gather(*(client.receive() for client in held))
    assert (await running.receive()).status == 200
    assert await stopping == 0
    assert [each.status for each in refused] == [503] * len(held)
    assert all(b'"outcome":"not-run"' in each.body for each in refused)
    assert await calls() == calls_before + 1


async def test_an_agents_callers_are_answered_while_it_stops(fleet, bundle):
    """An endpoint and entries send on while an agent stops after a stream."""
    await start_fleet(fleet, bundle)
    clients = await announcing_endpoints(fleet) + agent_peers(fleet)
    child = fleet.children["agent-chat-1"]
    async with open_stream(fleet, max_tokens=STREAM_TOKENS) as response:
        reading = asyncio.create_task(read_to_end(response))
        code, lost = await stop_under(child, clients, DRAIN_SECONDS)
        _, is_truncated = await reading
    assert code == 0
    assert lost == []
    assert not is_truncated


async def test_an_agents_callers_are_answered_when_it_is_late(fleet, bundle):
    """Connections and SIGTERM wait for an agent that was suspended."""
    await start_fleet(fleet, bundle)
    clients = await announcing_endpoints(fleet) + agent_peers(fleet)
    child = fleet.children["agent-chat-1"]
    code, lost = await stop_when_late(child, clients, DRAIN_SECONDS)
    assert code == 0
    assert lost == []


async def press_through(fleet, clients, act):
    """Has callers send requests while `act` is called repeatedly.

    Returns:
        A description of each lost request.
    """
    is_over = asyncio.Event()
    began_at = time.monotonic()
    async with pressing(clients, is_over.is_set):
        for _ in range(ACTS):
            wanted = [len(c.exchanges) + 1 for c in clients]

            async def have_responses(wanted=wanted):
                counts = [len(c.exchanges) for c in clients]
                return all(map(int.__ge__, counts, wanted))

            await act()
            await wait_until(have_responses, "responses")
        is_over.set()
    return describe(clients, began_at)


async def test_callers_are_answered_while_entry_and_agent_reload(fleet, bundle):
    """Guards against SIGHUP that ends a request or a process."""
    await start_fleet(fleet, bundle)
    names = ("entry-1", "agent-chat-1")

    async def reload():
        for name in names:
            fleet.children[name].signal(signal.SIGHUP)

    lost = await press_through(fleet, callers(fleet), reload)
    assert all(fleet.children[name].is_running for name in names)
    assert lost == []


async def test_callers_are_answered_while_an_agent_is_killed(fleet, bundle):
    """Guards against callers that share the end of an agent's connection."""
    await start_fleet(fleet, bundle)

    async def kill():
        await fleet.children["agent-chat-1"].kill()
        await fleet.children["agent-chat-1"].start()

    assert await press_through(fleet, callers(fleet), kill) == []


async def test_callers_are_answered_while_an_agent_stops_in_series(
    fleet, bundle
):
    """Guards against callers that share the end of an agent's connection."""
    await start_fleet(fleet, bundle)

    async def restart():
        agent = fleet.children["agent-chat-1"]
        agent.signal(signal.SIGHUP)
        assert await agent.terminate(DRAIN_SECONDS) == 0
        await agent.start()
        await fleet.wait_until_serving("chat-1")

    assert await press_through(fleet, callers(fleet), restart) == []
