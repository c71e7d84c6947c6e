"""Streams that an agent resumes at its endpoint, started again meanwhile."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import web
from callers import chat

from marjoramyard.fleet.messages import EndpointAnnouncement
from marjoramyard.standin.local_fleet import start_small_fleet, wait_until
from marjoramyard.standin.processes import free_address
from marjoramyard.standin.raw_responses import (
    BreakOffError,
    ConnectionEnd,
    Framing,
    RawResponse,
)

NAME = "chat-1"
EVENTS = 6
BREAK_AFTER = 3
ANNOUNCE_SECONDS = 0.3


class RestartingEngine:
    """An engine that restarts in the middle of a stream and keeps it.

    Attributes:
        version: Its software version.
        restarted_at: The version that it is started again with; None if it
            goes on running.
        incarnation: Identifies its lifetime.
    """

    def __init__(self, fleet, restarted_at):
        self.fleet = fleet
        self.address = free_address()
        self.version = "v1"
        self.restarted_at = restarted_at
        self.incarnation = 1

    async def announce(self):
        announcement = EndpointAnnouncement(
            NAME,
            f"{NAME}~{self.incarnation}",
            self.address,
            "chat",
            4,
            version=self.version,
        )
        url = f"http://{self.fleet.announce_addresses[NAME]}/announce"
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.fleet.session.post(
                url, data=msgspec.json.encode(announcement)
            ) as response:
                await response.read()

    async def announce_repeatedly(self):
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_SECONDS)

    async def restart(self):
        if self.restarted_at is not None:
            self.incarnation += 1
            self.version = self.restarted_at
            await self.announce()

    async def events(self, first, breaks):
        for number in range(first, EVENTS + 1):
            yield f"id: {number}\ndata: {self.version}\n\n".encode()
            if breaks and number == BREAK_AFTER:
                await self.restart()
                raise BreakOffError
        yield b"data: [DONE]\n\n"

    def stream(self, first, breaks=False):
        return RawResponse(
            self.events(first, breaks),
            Framing.CHUNKS,
            ConnectionEnd.RST,
            headers={
                "Content-Type": "text/event-stream",
                "Content-Location": "/streams/1",
            },
        )

    async def on_chat(self, request):
        chat_request = msgspec.json.decode(await request.read())
        return self.stream(1, breaks=chat_request["breaks"])

    async def on_resume(self, request):
        return self.stream(int(request.headers["Last-Event-ID"]) + 1)

    @contextlib.asynccontextmanager
    async def running(self):
        await self.fleet.start_agent(NAME)
        app = web.Application()
        app.add_routes(
            [
                web.post("/v1/chat/completions", self.on_chat),
                web.get("/streams/1", self.on_resume),
            ]
        )
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        task = asyncio.create_task(self.announce_repeatedly())
        try:
            yield self
        finally:
            task.cancel()
            await runner.cleanup()


async def stream_versions(fleet, bundle, restarted_at):
    """Returns the response and the version of each of its events."""
    await start_small_fleet(fleet, bundle, control=1)
    async with RestartingEngine(fleet, restarted_at).running():

        async def serves():
            response = await chat(fleet, stream=True, breaks=False)
            return response.is_complete_stream

        await wait_until(serves, "the engine to serve")
        response = await chat(fleet, stream=True, breaks=True)
    lines = response.text.splitlines()
    versions = [line.split()[1] for line in lines if line.startswith("data: v")]
    return response, versions


async def test_an_agent_does_not_resume_a_stream_at_another_version(
    fleet, bundle
):
    """Guards against a stream that goes on at its own endpoint after that was
    started again with another software version.
    """
    response, versions = await stream_versions(fleet, bundle, "v2")
    assert versions == ["v1"] * BREAK_AFTER
    assert not response.is_complete_stream
    assert response.is_truncated


@pytest.mark.parametrize("restarted_at", [None, "v1"])
async def test_an_agent_resumes_a_stream_at_the_same_version(
    fleet, bundle, restarted_at
):
    """Guards against breaking off streams that the endpoint can go on with."""
    response, versions = await stream_versions(fleet, bundle, restarted_at)
    assert versions == ["v1"] * EVENTS
    assert response.is_complete_stream
