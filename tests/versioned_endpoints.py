"""Endpoints of several software versions, and callers that resume streams."""

import asyncio
import contextlib
import itertools

import aiohttp
from gateway_fleet import (
    FakeEndpoint,
    GatewayFleet,
    config,
    route,
    wait_until,
)

from marjoramyard.standin.processes import free_address
from marjoramyard.standin.raw_responses import (
    BreakOffError,
    ConnectionEnd,
    Framing,
    RawResponse,
)

STREAM_EVENTS = 8
EVENT_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.3
BROKEN_AFTER = 3
"""Events after which an endpoint breaks a stream off that asks for it."""
BREAKING_BODY = b"break off"
SECOND_GATEWAY = "gateway-2"


class VersionedEndpoint(FakeEndpoint):
    """An endpoint whose events name its software version.

    Attributes:
        version: The version that its heartbeats tell.
        born: The start of its lifetime.
        state: The state that its heartbeats tell; "" while it sends none.
        event_seconds: The time before each event.
        hosts: The control hosts that get its heartbeats.
    """

    def __init__(self, name, version, service="chat"):
        super().__init__(name, service)
        self.version = version
        self.born = 1
        self.state = "ready"
        self.event_seconds = EVENT_SECONDS
        self.hosts = range(3)
        self.respond = self.stream

    def registration(self, state="ready"):
        return super().registration(state) | {
            "software_version": self.version,
            "born": self.born,
        }

    async def stream(self, request):
        breaks = (await request.read()) == BREAKING_BODY
        after = int(request.headers.get("Last-Event-Id") or 0)
        return RawResponse(
            self.events(after, breaks and not after),
            Framing.CHUNKS,
            ConnectionEnd.RST,
            headers=self.response_headers(request)
            | {"Content-Type": "text/event-stream"},
        )

    async def events(self, after, breaks):
        for number in range(after + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(self.event_seconds)
            yield f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            if breaks and number == BROKEN_AFTER:
                raise BreakOffError

    @contextlib.asynccontextmanager
    async def announced(self, fleet):
        """Runs the endpoint and sends its heartbeats."""
        async with self.running():
            heartbeats = asyncio.create_task(self.send_heartbeats(fleet))
            try:
                yield self
            finally:
                heartbeats.cancel()

    async def send_heartbeats(self, fleet):
        while True:
            for host in self.hosts if self.state else ():
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with asyncio.timeout(HEARTBEAT_SECONDS):
                        await fleet.send_heartbeat(self, self.state, host)
            await asyncio.sleep(HEARTBEAT_SECONDS)


class Stream:
    """What a caller has of one stream, over all its attempts.

    Attributes:
        id: The id of the first attempt.
        numbers: The numbers of the events received.
        versions: The software versions of these events.
        statuses: The status of each attempt.
        is_complete: Whether the last attempt ended regularly.
    """

    def __init__(self, id):
        self.id = id
        self.numbers = []
        self.versions = []
        self.statuses = []
        self.is_complete = False

    @property
    def is_mixed(self):
        """Whether it holds events of several versions."""
        return len(set(self.versions)) > 1

    @property
    def is_whole(self):
        """Whether it holds each event once."""
        return self.numbers == list(range(1, STREAM_EVENTS + 1))

    def add(self, data):
        """Adds the complete events of a response; returns how many."""
        events = data.split(b"\n\n")[:-1]
        for event in events:
            number, version = event.split(b"\n")
            self.numbers.append(int(number.removeprefix(b"id: ")))
            self.versions.append(version.split()[1].decode())
        return len(events)


attempt_numbers = itertools.count(1)


def document(max_attempts=2, timeout_ms=8000):
    """A configuration with two services of streams that may be resumed.

    The service `chat` has engines, `api` has none.
    """
    options = {
        "resumable": True,
        "timeout_ms": timeout_ms,
        "objective_ms": 4000,
        "max_attempts": max_attempts,
        "open_access": False,
    }
    found = config(
        2,
        route("chat", "/chat/", "stream", service="chat", **options),
        route("plain", "/api/", "stream", **options),
    )
    found["workspaces"].append({"name": "other", "api_keys": [OTHER_KEY]})
    engine = {"slots": 200, "memory_tokens": 10_000_000}
    found["services"].append({"name": "chat", "engine": engine})
    found["limits"] = {"tokens_per_s": 1_000_000}
    return found


OTHER_KEY = "key-of-other-1234"


class VersionedFleet:
    """A fleet of two gateways, and callers of its streams.

    Attributes:
        addresses: Where the gateways serve callers.
    """

    def __init__(self, fleet: GatewayFleet):
        self.fleet = fleet
        self.addresses = [fleet.listen_address, free_address()]

    async def start_second_gateway(self):
        self.fleet.write_settings(
            SECOND_GATEWAY,
            role="gateway",
            internal=free_address(),
            listen=self.addresses[1],
            ready_listen=free_address(),
            grace_seconds=8.0,
        )
        await self.fleet.start(SECOND_GATEWAY)

    async def restart(self, name):
        """Kills a gateway and starts it again."""
        await self.fleet.children[name].kill()
        await self.fleet.start(name)

    async def send(
        self, stream, gateway, path, body=b"?", leave_after=0, **headers
    ):
        """Sends one attempt; reads it, or some of its events and leaves.

        Returns:
            The text of a failure; "" for a stream.
        """
        number = next(attempt_numbers)
        id = f"again-{number}" if stream.statuses else stream.id
        headers = {
            "Host": "shop.example",
            "Request-Id": id,
            "Request-Deadline-Ms": "6000",
            "Api-Key": "key-of-shop-1234",
            "Prompt-Parts": f"{number:x}a:200,{number:x}b:50",
            "Token-Counts": "250,20",
            "Connection": "close",
            **headers,
        }
        url = f"http://{self.addresses[gateway]}{path}"
        stream.is_complete = False
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=body) as response,
        ):
            stream.statuses.append(response.status)
            if response.status != 200:
                return await response.text()
            data = b""
            with contextlib.suppress(aiohttp.ClientError):
                async for piece in response.content.iter_any():
                    data += piece
                    if leave_after and data.count(b"\n\n") >= leave_after:
                        break
                else:
                    stream.is_complete = True
            stream.add(data)
        return ""

    async def begin(self, path, gateway=0, **options):
        """Begins a stream and leaves it after some events."""
        stream = Stream(f"first-{next(attempt_numbers)}")
        await self.send(stream, gateway, path, leave_after=2, **options)
        return stream

    async def resume(self, stream, gateway, path, **options):
        """Takes a stream up again after its last event."""
        last = str(stream.numbers[-1] if stream.numbers else 0)
        names = {"Last-Event-Id": last, "Resumes": stream.id}
        return await self.send(stream, gateway, path, **(names | options))

    async def wait_until_all_serve(self, endpoints, path):
        """Waits until both gateways use all endpoints."""

        async def all_serve():
            for endpoint in endpoints:
                endpoint.requests.clear()
            for gateway in range(2):
                for _ in range(2 * len(endpoints)):
                    stream = Stream(f"probe-{next(attempt_numbers)}")
                    await self.send(stream, gateway, path)
                    if stream.statuses != [200]:
                        return False
            return all(endpoint.requests for endpoint in endpoints)

        await wait_until(all_serve)
