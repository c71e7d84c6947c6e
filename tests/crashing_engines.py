"""Engines that a prompt part can crash, and callers of two gateways."""

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp
from crashing_endpoints import CrashingEndpoint
from gateway_fleet import gateway_fleet, wait_until
from test_crashing_requests import document

from marjoramyard.standin.processes import free_address
from marjoramyard.standin.raw_responses import Framing, RawResponse

CRASHING_PART = "dead0001"
CRASH_SECONDS = 0.03
"""How long after its first event an engine ends under the part."""
EVENTS = 4
EVENT_SECONDS = 0.02
ENGINES = 6
NOTICED_ENDS = 5
CONTACT_SECONDS = 3.0
SOUND_CALLERS = 8
TEST_SECONDS = 20.0
CALM_SECONDS = 2.0
"""Without crashing requests, at the start."""

numbers = itertools.count(1)


def fresh():
    """Returns a part that no other request has."""
    return f"{next(numbers):x}f{random.randrange(1 << 32):08x}:50"


PLACES = {
    "first": lambda: [f"{CRASHING_PART}:300", "aa01:200"],
    "second-after-a-shared-part": lambda: ["aa01:200", f"{CRASHING_PART}:300"],
    "second-after-varying-parts": lambda: [fresh(), f"{CRASHING_PART}:300"],
    "among-many-parts": lambda: [
        *(fresh() for _ in range(150)),
        f"{CRASHING_PART}:300",
        *(fresh() for _ in range(50)),
    ],
}


class Engine(CrashingEndpoint):
    """An engine that ends soon after it begins to write on the part."""

    async def run(self, request):
        parts = request.headers["Prompt-Parts"].split(",")
        crashes = any(part.startswith(CRASHING_PART) for part in parts[:-1])
        if crashes:
            self.crashing_arrivals.append(time.monotonic())
        after = int(request.headers.get("Last-Event-Id") or 0)
        headers = self.response_headers(request)
        headers |= {"Content-Type": "text/event-stream"}
        events = self.events(after, crashes)
        framing = Framing.CLOSE if crashes else Framing.CHUNKS
        return RawResponse(events, framing, headers=headers)

    async def events(self, after, crashes):
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            yield f"id: {number}\ndata: x\n\n".encode()
            if crashes:
                yield b"id: 9\nda"
                await asyncio.sleep(CRASH_SECONDS)
                asyncio.get_running_loop().create_task(self.crash())
                await asyncio.Event().wait()


class PartsFleet:
    """Two gateways and six engines, and callers of them.

    Attributes:
        sound: When each sound request was sent, and whether it was served.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.addresses = [fleet.listen_address, free_address()]
        self.engines = []
        self.sound = []

    async def send(self, parts, route="/chat/x", gateway=None):
        if gateway is None:
            gateway = random.randrange(2)
        number = next(numbers)
        headers = {
            "Host": "shop.example",
            "Request-Id": f"id-{number}",
            "Request-Deadline-Ms": "3000",
            "Prompt-Parts": ",".join([*parts, fresh()]),
            "Connection": "close",
        }
        url = f"http://{self.addresses[gateway]}{route}"
        try:
            async with self.session.post(
                url, headers=headers, data=f"body {number}"
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError):
            return 0

    async def send_sound(self, until, parts):
        while time.monotonic() < until:
            sent_at = time.monotonic()
            status = await self.send(parts())
            self.sound.append((sent_at, status == 200))
            await asyncio.sleep(0.05)

    async def send_crashing(self, until, place):
        pending = set()
        while time.monotonic() < until:
            route = random.choice(("/chat/x", "/chat/other"))
            pending.add(asyncio.create_task(self.send(place(), route)))
            await asyncio.sleep(0.4)
        await asyncio.gather(*pending)

    @property
    def ends(self):
        return sorted(at for engine in self.engines for at in engine.ends)

    def later_arrivals(self):
        """Requests with the part that engines got too late."""
        if len(self.ends) < NOTICED_ENDS:
            return 0
        due = self.ends[NOTICED_ENDS - 1] + CONTACT_SECONDS
        return sum(
            at > due
            for engine in self.engines
            for at in engine.crashing_arrivals
        )

    def served_share(self, since, until=float("inf")):
        found = [ok for at, ok in self.sound if since <= at < until]
        assert len(found) >= 20
        return sum(found) / len(found)


@contextlib.asynccontextmanager
async def parts_fleet(folder):
    async with (
        gateway_fleet(folder) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        found = PartsFleet(fleet)
        timeout = aiohttp.ClientTimeout(total=5.0)
        found.session = await stack.enter_async_context(
            aiohttp.ClientSession(
                timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
            )
        )
        await fleet.put_config(document())
        for number in range(ENGINES):
            engine = Engine(f"i-{number}", fleet, "chat")
            found.engines.append(engine)
            await stack.enter_async_context(engine.running())
        fleet.write_settings(
            "gateway-2",
            role="gateway",
            internal=free_address(),
            listen=found.addresses[1],
            ready_listen=free_address(),
            grace_seconds=8.0,
        )
        await fleet.start("gateway-2")

        async def both_serve():
            return all(
                [await found.send(["aa01:9"], gateway=g) == 200 for g in (0, 1)]
            )

        await wait_until(both_serve)
        yield found


def sound_parts():
    """Parts of a sound request: a shared one, and one of some."""
    return ["aa01:200", f"bb{random.randrange(5):02d}:100"]


async def send_all(found, place, seconds=TEST_SECONDS):
    """Sends both kinds of request; the crashing ones after a calm time.

    Returns:
        When the crashing ones began.
    """
    until = time.monotonic() + seconds
    callers = [
        asyncio.create_task(found.send_sound(until, sound_parts))
        for _ in range(SOUND_CALLERS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    began_at = time.monotonic()
    await found.send_crashing(until, place)
    await asyncio.gather(*callers)
    return began_at
