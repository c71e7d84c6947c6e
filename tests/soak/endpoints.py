"""Endpoints that note what reaches them, and can crash or leave."""

import asyncio
import itertools
import random
import time

import aiohttp
from aiohttp import web

from marjoramyard.standin.processes import free_address
from soak.record import EVENTS_MOST, Kind, Leave, Run, event, whole_body

HEARTBEAT_SECONDS = 0.4
WORK_SECONDS = 0.04
"""Mean time of a plain answer, and between events of a stream."""
STAY_SECONDS = 3.0
"""How long a leaving endpoint goes on serving after it was acknowledged."""


class Endpoint:
    """One place behind a relay; its process comes and goes."""

    def __init__(self, number: int, record, operators: list[str], rng):
        self.number = number
        self.record = record
        self.operators = operators
        self.rng: random.Random = rng
        self.lives = itertools.count(1)
        self.name = ""
        self.state = "ready"
        self.born = 0
        self.sequence = itertools.count(1)
        self.listen = free_address()
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Begins a new lifetime."""
        self.name = f"i-{self.number}-{next(self.lives)}"
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.sequence = itertools.count(1)
        app = web.Application()
        name = self.name

        async def handle(request: web.Request) -> web.StreamResponse:
            return await self._handle(request, name)

        app.router.add_route("*", "/{kind}/{rest:.*}", handle)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.01
        )
        await self.runner.setup()
        host, _, port = self.listen.rpartition(":")
        site = web.TCPSite(self.runner, host, int(port), reuse_address=True)
        await site.start()

    async def stop(self) -> None:
        """Ends as a crash does: connections break, nobody is told."""
        runner, self.runner = self.runner, None
        if runner is not None:
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await runner.cleanup()

    async def _handle(self, request: web.Request, name: str):
        call_id = request.headers["Request-Id"]
        after = int(request.headers.get("Last-Event-Id") or 0)
        self.record.runs.append(
            Run(
                id=call_id,
                endpoint=name,
                at=time.monotonic(),
                key_sent="Api-Key" in request.headers,
                after_event=after,
            )
        )
        headers = {"Request-Id": call_id, "Answer-Signature": f"by {name}"}
        kind = Kind(request.match_info["kind"])
        if kind in (Kind.STREAM, Kind.RESUMED):
            return await self._stream(request, call_id, after, headers)
        await asyncio.sleep(self.rng.expovariate(1 / WORK_SECONDS))
        return web.Response(text=whole_body(call_id, kind), headers=headers)

    async def _stream(self, request, call_id, after, headers):
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        whole = whole_body(call_id, Kind.STREAM)
        for number in range(after + 1, EVENTS_MOST + 2):
            text = event(call_id, number)
            if text not in whole:
                break
            await asyncio.sleep(self.rng.expovariate(1 / WORK_SECONDS))
            half = len(text) // 2
            await response.write(text[:half].encode())
            await response.write(text[half:].encode())
        await response.write_eof()
        return response

    # Registration.

    async def beat_forever(self, session: aiohttp.ClientSession) -> None:
        """Announces itself as long as it runs."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.runner is not None:
                await self.tell(session)

    async def tell(self, session: aiohttp.ClientSession) -> bool:
        """Sends one heartbeat to any control host; True if it was taken."""
        word = {
            "endpoint": self.name,
            "service": "api",
            "address": self.address,
            "state": self.state,
            "sequence": next(self.sequence),
            "born": self.born,
        }
        url = f"http://{self.rng.choice(self.operators)}/registrations/"
        try:
            async with session.put(url + self.name, json=word) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Says that it leaves, serves a little longer, goes, comes anew."""
        name = self.name
        self.state = "draining"
        while not await self.tell(session):
            await asyncio.sleep(HEARTBEAT_SECONDS)
        self.record.leaves.append(
            Leave(endpoint=name, acked_at=time.monotonic())
        )
        await asyncio.sleep(STAY_SECONDS)
        await self.stop()
        await self.start()
