"""Prompt parts that crash engines, in requests that are never alike."""

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp
import pytest
from crashing_endpoints import CrashingEndpoint
from gateway_fleet import gateway_fleet, wait_until
from test_crashing_requests import document

from marjoramyard.standin.processes import free_address
from marjoramyard.standin.raw_responses import Framing, RawResponse

GUILTY = "dead0001"
CRASH_SECONDS = 0.03
"""How long after its first event an engine ends under the part."""
EVENTS = 4
EVENT_SECONDS = 0.02
ENGINES = 6
NOTICED_ENDS = 5
ALLOWED_LATER = 3
CONTACT_SECONDS = 3.0
SOUND_CALLERS = 8
TEST_SECONDS = 20.0
CALM_SECONDS = 2.0
"""Without crashing requests, at the start."""
MIN_SERVED_SHARE = 0.5
"""Of the sound requests' share without disturbance."""

numbers = itertools.count(1)


def fresh():
    """Returns a part that no other request has."""
    return f"{next(numbers):x}f{random.randrange(1 << 32):08x}:50"


PLACES = {
    "first": lambda: [f"{GUILTY}:300", "aa01:200"],
    "second-after-a-shared-part": lambda: ["aa01:200", f"{GUILTY}:300"],
    "second-after-varying-parts": lambda: [fresh(), f"{GUILTY}:300"],
    "among-many-parts": lambda: [
        *(fresh() for _ in range(150)),
        f"{GUILTY}:300",
        *(fresh() for _ in range(50)),
    ],
}


class Engine(CrashingEndpoint):
    """An engine that ends soon after it begins to write on the part."""

    async def run(self, request):
        parts = request.headers["Prompt-Parts"].split(",")
        is_guilty = any(part.startswith(GUILTY) for part in parts[:-1])
        if is_guilty:
            self.crashing_arrivals.append(time.monotonic())
        after = int(request.headers.get("Last-Event-Id") or 0)
        headers = self.response_headers(request)
        headers |= {"Content-Type": "text/event-stream"}
        events = self.events(after, is_guilty)
        framing = Framing.CLOSE if is_guilty else Framing.CHUNKS
        return RawResponse(events, framing, headers=headers)

    async def events(self, after, is_guilty):
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            yield f"id: {number}\ndata: x\n\n".encode()
            if is_guilty:
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

    async def send_guilty(self, until, place):
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
    """Sends both kinds of request; the guilty ones after a calm time.

    Returns:
        When the guilty ones began.
    """
    until = time.monotonic() + seconds
    callers = [
        asyncio.create_task(found.send_sound(until, sound_parts))
        for _ in range(SOUND_CALLERS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    began_at = time.monotonic()
    await found.send_guilty(until, place)
    await asyncio.gather(*callers)
    return began_at


def check_sound_ones_were_served(found, began_at):
    before = found.served_share(0.0, began_at)
    ends = found.ends[:NOTICED_ENDS]
    after = found.served_share(ends[-1] + 2 * CONTACT_SECONDS)
    assert after >= MIN_SERVED_SHARE * before


@pytest.mark.parametrize("place", PLACES)
async def test_a_part_that_crashes_engines_is_not_sent_on_and_on(
    tmp_path, place
):
    """Guards against requests that are never alike, and take a service down
    for all by the one prompt part that they share.
    """
    async with parts_fleet(tmp_path) as found:
        began_at = await send_all(found, PLACES[place])
        assert found.later_arrivals() <= ALLOWED_LATER
        check_sound_ones_were_served(found, began_at)


async def test_a_gateway_that_starts_again_refuses_the_part_too(tmp_path):
    """Guards against forgetting a part when a gateway or the leader of the
    control hosts is killed.
    """
    async with parts_fleet(tmp_path) as found:
        began_at = await send_all(found, PLACES["first"], 8.0)
        await found.fleet.children["gateway"].kill()
        await found.fleet.children["control-0"].kill()
        await found.fleet.start("gateway")
        await found.fleet.start("control-0")
        await wait_until(found.fleet.is_ready)
        await send_all(found, PLACES["first"], 8.0)
        assert found.later_arrivals() <= ALLOWED_LATER
        check_sound_ones_were_served(found, began_at)


async def test_gateways_without_control_hosts_refuse_the_part_too(tmp_path):
    """Guards against gateways that let such requests through while no control
    host can decide.
    """
    async with parts_fleet(tmp_path) as found:
        for number in range(3):
            await found.fleet.children[f"control-{number}"].kill()
        await send_all(found, PLACES["first"], 8.0)
        assert found.later_arrivals() <= 2 * ALLOWED_LATER


async def test_a_part_of_all_requests_is_served_while_engines_crash(tmp_path):
    """Guards against refusing a popular part because engines crash for another
    reason while requests with it run.
    """
    async with parts_fleet(tmp_path) as found:
        until = time.monotonic() + TEST_SECONDS

        async def crash_in_turn():
            for engine in itertools.cycle(found.engines):
                if time.monotonic() > until - 4.0:
                    return
                await engine.crash()
                await asyncio.sleep(0.3)

        crashes = asyncio.create_task(crash_in_turn())
        callers = [
            found.send_sound(until, lambda: ["cc01:200"])
            for _ in range(SOUND_CALLERS)
        ]
        await asyncio.gather(*callers)
        await crashes
        assert len(found.ends) >= NOTICED_ENDS
        assert found.served_share(0.0) == 1.0
