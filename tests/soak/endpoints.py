"""Endpoints that record the requests they get, and can crash or drain."""

import asyncio
import itertools
import random
import time

import aiohttp
from aiohttp import web

from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.standin.processes import free_address
from soak.record import (
    CRASHING_PREFIX,
    MAX_EVENTS,
    Attempt,
    Departure,
    EndpointCrash,
    FaultSpan,
    RouteKind,
    event_text,
    expected_body,
)

HEARTBEAT_SECONDS = 0.4
MEAN_WORK_SECONDS = 0.04
"""Mean time to a plain response, and between the events of a stream."""
SHED_SHARE = 0.7
"""Share of the requests that a shedding endpoint turns away."""
PAUSE_SECONDS = (0.3, 1.0, 2.5)
"""The pauses that it asks for."""
CRASH_SECONDS = 0.05
"""How long a request that crashes an endpoint runs."""
RESTART_SECONDS = 1.0
DRAIN_SECONDS = 3.0
"""How long an endpoint goes on serving once its draining is acknowledged."""


class Endpoint:
    """An endpoint behind a relay, with one incarnation at a time.

    Each incarnation has a name and a registration of its own.
    """

    def __init__(self, number: int, record, operator_addresses: list[str], rng):
        self.number = number
        self.record = record
        self.operator_addresses = operator_addresses
        self.rng: random.Random = rng
        self.incarnations = itertools.count(1)
        self.name = ""
        self.state = "ready"
        self.started_at_ms = 0
        self.sequence = itertools.count(1)
        self.listen = free_address()
        self.address = ""
        self.runner: web.AppRunner | None = None
        self.is_shedding = False
        self.crashes = TaskGroup()
        self.changing = asyncio.Lock()

    async def start(self) -> None:
        """Starts a new incarnation, unless one is running."""
        async with self.changing:
            if self.runner is None:
                await self._start()

    async def _start(self) -> None:
        self.name = f"i-{self.number}-{next(self.incarnations)}"
        self.state = "ready"
        self.started_at_ms = time.time_ns() // 1_000_000
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
        """Stops like a crash: aborts all connections and sends no update."""
        async with self.changing:
            await self._stop()

    async def _stop(self) -> None:
        runner, self.runner = self.runner, None
        if runner is not None:
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await runner.cleanup()

    async def _handle(self, request: web.Request, name: str):
        call_id = request.headers["Request-Id"]
        if request.headers["Target-Endpoint"] != name:
            headers = {"Request-Id": call_id, "Not-Run": "1"}
            return web.Response(status=421, headers=headers)
        after = int(request.headers.get("Last-Event-Id") or 0)
        attempt = Attempt(
            id=call_id,
            endpoint=name,
            started_at=time.monotonic(),
            key_sent="Api-Key" in request.headers,
            after_event=after,
            pause_seconds=self._draw_pause(),
            said_leaving=self.state == "draining",
        )
        body = (await request.read()).decode()
        if body.startswith(CRASHING_PREFIX):
            attempt.crashing = body
        self.record.attempts.append(attempt)
        headers = {"Request-Id": call_id}
        if attempt.said_leaving:
            headers["Endpoint-Leaving"] = "1"
        if attempt.pause_seconds:
            headers |= {
                "Not-Run": "1",
                "Retry-After": f"{attempt.pause_seconds}",
            }
            return web.Response(status=503, headers=headers)
        if attempt.crashing:
            await asyncio.sleep(CRASH_SECONDS)
            self.crashes.spawn(self._crash(name, attempt.crashing))
            await asyncio.Event().wait()
        headers["Answer-Signature"] = f"by {name}"
        kind = RouteKind(request.match_info["kind"])
        if kind in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM):
            return await self._stream(request, call_id, after, headers)
        await asyncio.sleep(self.rng.expovariate(1 / MEAN_WORK_SECONDS))
        return web.Response(text=expected_body(call_id, kind), headers=headers)

    async def _crash(self, name: str, body: str) -> None:
        """Ends under a request, and starts again."""
        if self.name != name or self.runner is None:
            return
        now = time.monotonic()
        self.record.crashes.append(EndpointCrash(body=body, at=now))
        span = FaultSpan(
            target="endpoint", kind="crash", number=self.number, started_at=now
        )
        self.record.fault_spans.append(span)
        await self.stop()
        await asyncio.sleep(RESTART_SECONDS)
        await self.start()
        span.ended_at = time.monotonic()

    def _draw_pause(self) -> float:
        if self.is_shedding and self.rng.random() < SHED_SHARE:
            return self.rng.choice(PAUSE_SECONDS)
        return 0.0

    async def shed(self, seconds: float) -> None:
        """Turns requests away and asks for pauses, for some time."""
        self.is_shedding = True
        await asyncio.sleep(seconds)
        self.is_shedding = False

    async def _stream(self, request, call_id, after, headers):
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        expected = expected_body(call_id, RouteKind.STREAM)
        for number in range(after + 1, MAX_EVENTS + 2):
            text = event_text(call_id, number)
            if text not in expected:
                break
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_WORK_SECONDS))
            half = len(text) // 2
            await response.write(text[:half].encode())
            await response.write(text[half:].encode())
        await response.write_eof()
        return response

    # Registration.

    async def send_heartbeats(self, session: aiohttp.ClientSession) -> None:
        """Sends heartbeats while the endpoint runs, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.runner is not None:
                await self.send_registration(session)

    async def send_registration(self, session: aiohttp.ClientSession) -> bool:
        """Sends a heartbeat to a random control host.

        Returns:
            Whether the control host accepted it.
        """
        registration = {
            "endpoint": self.name,
            "service": "api",
            "address": self.address,
            "state": self.state,
            "sequence": next(self.sequence),
            "born": self.started_at_ms,
        }
        url = (
            f"http://{self.rng.choice(self.operator_addresses)}/registrations/"
        )
        try:
            async with session.put(
                url + self.name, json=registration
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Announces draining, keeps serving for a while, then restarts."""
        name = self.name
        self.state = "draining"
        while not await self.send_registration(session):
            await asyncio.sleep(HEARTBEAT_SECONDS)
        self.record.departures.append(
            Departure(endpoint=name, acknowledged_at=time.monotonic())
        )
        await asyncio.sleep(DRAIN_SECONDS)
        await self.stop()
        await self.start()
