"""Prompts that an overloaded gateway forwards, between real processes."""

import asyncio
import contextlib
import json
import signal
import time

import pytest
from aiohttp import web
from gateway_fleet import FakeEndpoint, config, gateway_fleet, route, wait_until
from raw_connections import CallerConnection, PollClock, request_bytes

from marjoramyard.standin.processes import free_address

HELD_PROMPTS = 60
SUSPENDED_SECONDS = 0.6
PROMPT_HEADERS = (
    b"\r\nPrompt-Parts: aa:100,bb:50\r\nToken-Counts: 150,10\r\n\r\n"
)


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path, forwarding_port_offset=1) as fleet:
        fleet.write_settings(
            "peer",
            role="gateway",
            internal=free_address(consecutive=2),
            listen=free_address(),
            ready_listen=free_address(),
            grace_seconds=8.0,
            forwarding_port_offset=1,
        )
        await fleet.start("peer")
        chat = route("chat", "/chat/", "stream", service="chat")
        chat |= {"timeout_ms": 20_000, "objective_ms": 9000}
        document = config(2, chat)
        engine = {"slots": 200, "memory_tokens": 10_000_000}
        document["services"].append({"name": "chat", "engine": engine})
        document["limits"] = {"tokens_per_s": 1_000_000}
        await fleet.put_config(document)
        yield fleet


@contextlib.asynccontextmanager
async def engine_that_holds_prompts(fleet):
    """An engine that holds prompts to /chat/hold until `release` is set."""
    endpoint = FakeEndpoint("engine-1", "chat")
    endpoint.release = asyncio.Event()

    async def respond(request):
        if request.path == "/chat/hold":
            await endpoint.release.wait()
        headers = endpoint.response_headers(request)
        return web.Response(text="done", headers=headers)

    endpoint.respond = respond
    async with endpoint.running():
        for host in range(3):
            await fleet.send_heartbeat(endpoint, host=host)
        yield endpoint
        endpoint.release.set()


async def send_prompt(fleet, path):
    headers = {"Prompt-Parts": "aa:100,bb:50", "Token-Counts": "150,10"}
    async with fleet.request(
        path, deadline_ms=15_000, headers=headers, data=b"{}"
    ) as response:
        return response.status, await response.text()


def events(fleet, name, event):
    lines = (fleet.folder / f"{name}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if f'"{event}"' in line]
    return [line for line in found if line["event"] == event]


async def hold_prompts(fleet, endpoint):
    """Makes the event loop of the gateway late while it holds prompts.

    Returns:
        The tasks of these prompts.
    """

    async def engine_is_known():
        return (await send_prompt(fleet, "/chat/x"))[0] == 200

    await wait_until(engine_is_known)
    held = [
        asyncio.create_task(send_prompt(fleet, "/chat/hold"))
        for _ in range(HELD_PROMPTS)
    ]

    async def all_are_held():
        return len(endpoint.requests) > HELD_PROMPTS

    await wait_until(all_are_held)
    gateway = fleet.children["gateway"]
    gateway.suspend()
    await asyncio.sleep(SUSPENDED_SECONDS)
    gateway.signal(signal.SIGCONT)
    return held


async def test_prompts_beyond_the_limit_are_served_by_another_gateway(fleet):
    """Guards against callers that are refused by one overloaded gateway while
    another one is idle.

    A suspension makes the event loop late while one workspace has many prompts
    in service, which limits the gateway to fewer.
    """
    async with engine_that_holds_prompts(fleet) as endpoint:
        held = await hold_prompts(fleet, endpoint)

        async def one_is_forwarded():
            status, text = await send_prompt(fleet, "/chat/x")
            forwarded = events(fleet, "gateway", "request_forwarded")
            return forwarded and (status, text) == (200, "done")

        await wait_until(one_is_forwarded)
        endpoint.release.set()
        assert [status for status, _ in await asyncio.gather(*held)] == [
            200
        ] * HELD_PROMPTS
    ids = {line["id"] for line in events(fleet, "gateway", "request_forwarded")}
    served = {line["id"] for line in events(fleet, "peer", "request")}
    assert ids <= served


FORWARDED_PROMPTS = 12


async def overload(fleet, endpoint):
    """Overloads the gateway; returns the prompts that it holds.

    From then on it forwards all prompts to the peer.
    """
    held = await hold_prompts(fleet, endpoint)

    async def peer_serves():
        """The peer may learn of the engine later than the gateway."""
        status, _ = await send_prompt(fleet, "/chat/x")
        served = events(fleet, "peer", "request")
        return status == 200 and "complete" in {x["outcome"] for x in served}

    await wait_until(peer_serves)
    return held


async def forward_prompts(fleet, endpoint):
    """Returns prompts that the peer has sent to the engine, which holds them.

    Those that were sent before the gateway forwards them are held too.
    """
    before = len(endpoint.requests)
    sent = [
        asyncio.create_task(send_prompt(fleet, "/chat/hold"))
        for _ in range(FORWARDED_PROMPTS)
    ]

    async def all_have_arrived():
        return len(endpoint.requests) >= before + FORWARDED_PROMPTS

    await wait_until(all_have_arrived)
    return sent


async def test_callers_learn_of_a_lost_peer_and_others_are_served(fleet):
    """Guards against callers that wait for a peer that was killed, or take
    their prompt for not run or for complete.
    """
    async with engine_that_holds_prompts(fleet) as endpoint:
        held = await overload(fleet, endpoint)
        sent = await forward_prompts(fleet, endpoint)
        await fleet.children["peer"].kill()
        results = await asyncio.gather(*sent)
        assert {status for status, _ in results} == {502}
        assert all('"outcome":"unknown"' in text for _, text in results)

        async def others_are_served():
            return (await send_prompt(fleet, "/chat/x"))[0] == 200

        endpoint.release.set()
        assert {status for status, _ in await asyncio.gather(*held)} == {200}
        await wait_until(others_are_served)
    ids = [request_id for request_id, _, _ in endpoint.requests]
    assert len(ids) == len(set(ids))


async def test_an_overloaded_gateway_that_stops_finishes_forwarded_prompts(
    fleet,
):
    """Guards against responses that a graceful shutdown cuts off."""
    async with engine_that_holds_prompts(fleet) as endpoint:
        held = await overload(fleet, endpoint)
        sent = await forward_prompts(fleet, endpoint)
        stopping = asyncio.create_task(fleet.children["gateway"].terminate())
        endpoint.release.set()
        results = await asyncio.gather(*sent, *held)
        assert set(results) == {(200, "done")}
        await stopping
    forwarded = events(fleet, "gateway", "request_forwarded")
    assert len(forwarded) >= FORWARDED_PROMPTS
    assert {line["outcome"] for line in forwarded} == {"forwarded"}


REST_SECONDS = 3.0
OUTLASTING_MS = 15_000


async def test_prompts_whose_rest_comes_after_the_signal_are_refused(fleet):
    """Guards against prompts that a stopping gateway forwards to their end
    late in its grace, and cuts off while they run."""
    async with engine_that_holds_prompts(fleet) as endpoint:
        held = await overload(fleet, endpoint)
        gateway = fleet.children["gateway"]
        clock = PollClock()
        connection = await CallerConnection.open(fleet.listen_address, clock)
        request = request_bytes("partial", "/chat/hold", b"{}", OUTLASTING_MS)
        head = request.replace(b"\r\n\r\n", PROMPT_HEADERS, 1)
        sending = asyncio.create_task(
            connection.exchange(
                "partial", [head[:-1], head[-1:]], [REST_SECONDS]
            )
        )
        await send_prompt(fleet, "/chat/x")
        stopping = asyncio.create_task(gateway.terminate())
        exchange = await sending
        endpoint.release.set()
        await asyncio.gather(*held)
        assert await stopping == 0
        connection.close()
    assert exchange.status == 503
    assert b"Retry-After" in exchange.received
    assert "partial" not in {each for each, _, _ in endpoint.requests}
    forwarded = events(fleet, "gateway", "request_forwarded")
    outcomes = [x["outcome"] for x in forwarded if x["id"] == "partial"]
    assert outcomes == ["refused"]


DEADLINE_SECONDS = 6.0
UNREAD_SECONDS = 1.0
MAX_EXCESS_SECONDS = 0.5
"""By so much an endpoint may be told of more time than is left."""


async def test_a_prompt_that_lay_unread_has_the_time_that_is_left(fleet):
    """Guards against prompts that reach endpoints after their callers have
    left, as their time limit starts anew at each gateway that reads them late.

    The gateway serves it or forwards it.
    """
    async with engine_that_holds_prompts(fleet) as endpoint:
        held = await overload(fleet, endpoint)
        gateway = fleet.children["gateway"]
        gateway.suspend()
        sent_at = time.monotonic()
        headers = {"Prompt-Parts": "aa:100,bb:50", "Token-Counts": "150,10"}
        prompt = asyncio.create_task(
            read_status(
                fleet.request(
                    "/chat/x",
                    id="late",
                    deadline_ms=int(DEADLINE_SECONDS * 1000),
                    headers=headers,
                    data=b"{}",
                )
            )
        )
        await asyncio.sleep(UNREAD_SECONDS)
        gateway.signal(signal.SIGCONT)
        assert await prompt == 200
        seconds_passed = time.monotonic() - sent_at
        told = [
            float(found["Request-Deadline-Ms"]) / 1000
            for id, found, _ in endpoint.requests
            if id == "late"
        ]
        endpoint.release.set()
        await asyncio.gather(*held)
    left = DEADLINE_SECONDS - seconds_passed
    assert max(told) <= left + MAX_EXCESS_SECONDS


async def read_status(response):
    async with response as found:
        await found.read()
        return found.status
