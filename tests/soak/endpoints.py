"""Endpoints that record the requests they get, and can crash or drain."""

import asyncio
import contextlib
import itertools
import random
import time

import msgspec
from aiohttp import web

from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.standin.processes import free_address
from marjoramyard.standin.raw_responses import (
    BreakOffError,
    ConnectionEnd,
    Framing,
    RawResponse,
    end_connection,
)
from soak.raw_connections import RawConnections, http_request
from soak.record import (
    CRASHING_PART,
    CRASHING_PREFIX,
    STREAM_KINDS,
    Attempt,
    Departure,
    EndpointCrash,
    FaultSpan,
    RouteKind,
    event_count,
    event_text,
    expected_body,
)

SERVICE = "api"
ENGINE_SERVICE = "engines"
LONG_PATH = "long"
"""The end of the path of requests whose streams take seconds."""
LONG_FACTOR = 12.0
HEARTBEAT_SECONDS = 0.4
CONTROL_TIMEOUT_SECONDS = 1.0
MEAN_WORK_SECONDS = 0.04
"""Mean time to a plain response, and between the events of a stream."""
SHED_SHARE = 0.7
"""Share of the requests that a shedding endpoint turns away."""
PAUSE_SECONDS = (0.3, 1.0, 2.5)
"""The pauses that it asks for."""
CRASH_SECONDS = 0.05
"""How long a request that crashes an endpoint runs."""
RESTART_SECONDS = 1.0
VERSIONS = ("v1", "v2")
"""Software versions; an endpoint that leaves may start again with another."""
DRAIN_SECONDS = 3.0
"""How long an endpoint goes on serving once its draining is acknowledged."""


BREAK_OFF_SHARE = 0.05
"""Share of the responses that break off."""


class Ending(msgspec.Struct, frozen=True):
    """How a response is framed and ends.

    Attributes:
        framing: How it tells its end.
        is_whole: Whether all of it is sent.
        is_inside_event: Whether a stream that breaks off does so in an event.
        connection_end: How the connection ends, if it ends with the response.
    """

    framing: Framing
    is_whole: bool = True
    is_inside_event: bool = False
    connection_end: ConnectionEnd = ConnectionEnd.FIN


WHOLE_ENDINGS = [Ending(framing) for framing in Framing]
BROKEN_ENDINGS = [
    Ending(framing, False, is_inside_event, connection_end)
    for framing in Framing
    for is_inside_event in (False, True)
    for connection_end in ConnectionEnd
]


def _crashing_part(request: web.Request) -> str:
    """Returns the shared prompt part that crashes endpoints; "" for none."""
    parts = request.headers.get("Prompt-Parts", "").split(",")
    digests = [part.partition(":")[0] for part in parts[:-1]]
    return next((d for d in digests if d.startswith(CRASHING_PART)), "")


def is_possible(ending: Ending, kind: RouteKind) -> bool:
    """Whether responses of a kind end so, and the fleet can tell how."""
    is_stream = kind in STREAM_KINDS
    if is_stream and ending.framing is Framing.LENGTH:
        return False
    if ending.is_inside_event and not is_stream:
        return False
    return (
        ending.is_whole
        or ending.framing is not Framing.CLOSE
        or ending.connection_end is ConnectionEnd.RST
        or ending.is_inside_event
    )


class Endpoint:
    """An endpoint behind a relay, with one incarnation at a time.

    Each incarnation has a name and a registration of its own.
    """

    def __init__(
        self,
        number: int,
        record,
        operator_addresses: list[str],
        rng,
        service: str = SERVICE,
    ):
        self.number = number
        self.service = service
        self.record = record
        self.connections = RawConnections(record, "control", operator_addresses)
        self.rng: random.Random = rng
        self.version_rng = random.Random(f"version-{number}")
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
        self.version = self._draw_version()
        self.changing = asyncio.Lock()

    def _draw_version(self) -> str:
        return self.version_rng.choice(VERSIONS)

    @property
    def is_running(self) -> bool:
        """Whether an incarnation is running."""
        return self.runner is not None

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
        """Stops like a crash: resets all connections and sends no update.

        Without a reset, a response that has neither a length nor chunks may be
        cut where nobody can tell, as its relay goes on accepting connections.
        """
        async with self.changing:
            await self._stop()

    async def _stop(self) -> None:
        runner, self.runner = self.runner, None
        if runner is not None:
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    end_connection(connection.transport, ConnectionEnd.RST)
            await runner.cleanup()

    async def _handle(self, request: web.Request, name: str):
        call_id = request.headers["Request-Id"]
        if request.headers["Target-Endpoint"] != name:
            headers = {"Request-Id": call_id, "Not-Run": "1"}
            return web.Response(status=421, headers=headers)
        after = int(request.headers.get("Last-Event-Id") or 0)
        attempt = Attempt(
            id=call_id,
            stream_id=request.headers.get("Resumes", call_id),
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
        attempt.crashing = attempt.crashing or _crashing_part(request)
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
        headers["Answer-Signature"] = f"by {name}"
        kind = RouteKind(request.match_info["kind"])
        if kind in STREAM_KINDS:
            headers["Content-Type"] = "text/event-stream"
        if attempt.crashing:
            return await self._respond_and_crash(name, attempt, kind, headers)
        return await self._respond(request, attempt, kind, headers)

    async def _respond_and_crash(self, name, attempt, kind, headers):
        """Crashes before a response, or inside an event of a stream."""
        if kind not in STREAM_KINDS or self.rng.random() < 0.5:
            await self._crash_soon(name, attempt)

        async def pieces():
            first = attempt.after_event + 1
            yield event_text(attempt.stream_id, first, self.version).encode()
            yield b"id: "
            await self._crash_soon(name, attempt)

        return RawResponse(pieces(), Framing.CLOSE, headers=headers)

    async def _crash_soon(self, name, attempt):
        await asyncio.sleep(CRASH_SECONDS)
        self.crashes.spawn(self._crash(name, attempt.crashing))
        await asyncio.Event().wait()

    async def _respond(self, request, attempt, kind, headers):
        ending = self._draw_ending(kind)
        attempt.broke_off = not ending.is_whole
        if kind in STREAM_KINDS:
            is_long = request.match_info["rest"] == LONG_PATH
            pieces = self._events(attempt, ending, is_long)
        else:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_WORK_SECONDS))
            pieces = self._body(attempt, kind, ending)
        length = 0
        if ending.framing is Framing.LENGTH:
            length = len(expected_body(attempt.id, kind))
        if ending.framing is not Framing.CLOSE and ending.is_whole:
            return await self._keep_alive(request, pieces, headers, length)
        return RawResponse(
            pieces,
            ending.framing,
            ending.connection_end,
            length=length,
            headers=headers,
        )

    def _draw_ending(self, kind: RouteKind) -> Ending:
        is_whole = self.rng.random() >= BREAK_OFF_SHARE
        endings = WHOLE_ENDINGS if is_whole else BROKEN_ENDINGS
        return self.rng.choice(
            [one for one in endings if is_possible(one, kind)]
        )

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

    async def _keep_alive(self, request, pieces, headers, length):
        response = web.StreamResponse(headers=headers)
        if length:
            response.content_length = length
        else:
            response.enable_chunked_encoding()
        # The gateway may have left.
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            async for piece in pieces:
                await response.write(piece)
            await response.write_eof()
        return response

    async def _body(self, attempt, kind, ending):
        body = expected_body(attempt.id, kind).encode()
        half = len(body) // 2
        yield body[:half]
        if not ending.is_whole:
            raise BreakOffError
        yield body[half:]
        attempt.whole_at = time.monotonic()

    async def _events(self, attempt, ending, is_long):
        work_seconds = MEAN_WORK_SECONDS * (LONG_FACTOR if is_long else 1.0)
        count = event_count(attempt.stream_id)
        last = self.rng.randint(1, count)
        version = self.version
        for number in range(attempt.after_event + 1, count + 1):
            text = event_text(attempt.stream_id, number, version).encode()
            await asyncio.sleep(self.rng.expovariate(1 / work_seconds))
            half = len(text) // 2
            if number == last and not ending.is_whole:
                if ending.is_inside_event:
                    yield text[:half]
                raise BreakOffError
            yield text[:half]
            yield text[half:]
        if not ending.is_whole:
            raise BreakOffError
        attempt.whole_at = time.monotonic()

    # Registration.

    async def send_heartbeats(self) -> None:
        """Sends heartbeats while the endpoint runs, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_running:
                await self.send_registration()

    def registration_request(self) -> tuple[bytes, bytes]:
        """Returns the head and the body of the next heartbeat."""
        registration = {
            "endpoint": self.name,
            "service": self.service,
            "address": self.address,
            "state": self.state,
            "sequence": next(self.sequence),
            "born": self.started_at_ms,
            "software_version": self.version,
        }
        headers = {"Host": "control", "Content-Type": "application/json"}
        body = msgspec.json.encode(registration)
        return http_request("PUT", f"/registrations/{self.name}", headers, body)

    async def send_registration(self) -> bool:
        """Sends a heartbeat to a random control host.

        Returns:
            Whether the control host accepted it.
        """
        name = f"registration {self.name}"
        return await self._send_to_control(name, self.registration_request())

    async def send_departure(self, name: str) -> bool:
        """Says that an incarnation has ended to a random control host."""
        headers = {"Host": "control"}
        path = f"/registrations/{name}"
        request = http_request("DELETE", path, headers, b"")
        return await self._send_to_control(f"departure {name}", request)

    async def _send_to_control(
        self, name: str, request: tuple[bytes, bytes]
    ) -> bool:
        response = await self.connections.send(
            self.rng.randrange(len(self.connections.addresses)),
            name,
            [b"".join(request)],
            CONTROL_TIMEOUT_SECONDS,
        )
        return response is not None and response.status == 200

    async def leave(self) -> None:
        """Announces draining, keeps serving for a while, then restarts."""
        name = self.name
        self.state = "draining"
        while not await self.send_registration():
            await asyncio.sleep(HEARTBEAT_SECONDS)
        self.record.departures.append(
            Departure(endpoint=name, acknowledged_at=time.monotonic())
        )
        await asyncio.sleep(DRAIN_SECONDS)
        await self.stop()
        await self.send_departure(name)
        self.version = self._draw_version()
        await self.start()
