"""Endpoints that send without end to gateways with little memory."""

import asyncio
import contextlib
import itertools
import os
import time
from pathlib import Path

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from deployed_fleet import GATEWAY, deployed_fleet
from endless_endpoints import FORMS, EndlessEndpoint
from gateway_fleet import wait_until

from marjoramyard.standin.processes import free_address

pytestmark = pytest.mark.asyncio(loop_scope="module")
PAGE_BYTES = 4096
BEAT_SECONDS = 0.5
SAMPLE_SECONDS = 0.02
PLAYED_SECONDS = 1.0
ENDLESS_CALLERS = 4
SOUND_CALLERS = 4
PROMPT_SECONDS = 2.0
"""Before the deadline; a sound request takes some milliseconds."""
SOCKET_BYTES = 2 << 20
"""What the sockets and buffers between an endpoint and a gateway take."""
MAX_EVENT_BYTES = 4 << 20
LARGE_BODY = b"x" * (8 << 20)
LARGE_CALLERS = int(os.environ.get("LARGE_CALLERS", "60"))
LARGE_DEADLINE_MS = 30_000
SLOWLY_READ_BYTES = 1 << 20
PAUSE_SECONDS = 0.1
ID = "X-Marjoramyard-Attempt-Id"
SIGNATURE = "X-Marjoramyard-Engine-Signature"
DEADLINE = "X-Marjoramyard-Deadline-Ms"
HOSTNAME = "shop.example"


def route(name, service, kind="idempotent"):
    return {
        "name": name,
        "hostname": HOSTNAME,
        "path_prefix": f"/{name}/",
        "request_kind": kind,
        "timeout_ms": 30000,
        "objective_ms": 800,
        "service": service,
        "max_attempts": 2,
        "open_access": True,
    }


CONFIG = {
    "version": 1,
    "routes": [route("sound", "sound"), route("endless", "endless")],
    "services": [{"name": "sound"}, {"name": "endless"}],
    "workspaces": [],
}


class Deployment:
    """A fleet with a sound endpoint and one that sends without end."""

    def __init__(self, fleet, endless):
        self.fleet = fleet
        self.host = fleet.hosts[0]
        self.endless = endless
        self.sound_address = free_address()
        self.sequence = itertools.count(1)
        self.numbers = itertools.count(1)
        self.highest = 0
        self.late = []
        self.refused = 0

    @property
    def child(self):
        return self.host.children[GATEWAY]

    def resident_bytes(self):
        text = Path(f"/proc/{self.child.process.pid}/statm").read_text()
        return int(text.split()[1]) * PAGE_BYTES

    async def answer(self, request):
        fields = {ID: request.headers[ID], SIGNATURE: "s"}
        body = LARGE_BODY if request.path.endswith("/large") else b"ok"
        return web.Response(body=body, headers=fields)

    @contextlib.asynccontextmanager
    async def serving(self):
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", self.answer)])
        runner = web.AppRunner(app)
        await runner.setup()
        ip, port = self.sound_address.split(":")
        await web.TCPSite(runner, ip, int(port)).start()
        task = asyncio.create_task(self.beat())
        try:
            yield
        finally:
            task.cancel()
            await runner.cleanup()

    async def beat(self):
        addresses = {
            "sound": self.sound_address,
            "endless": self.endless.address,
        }
        while True:
            for name, address in addresses.items():
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    await self.register(name, address)
            await asyncio.sleep(BEAT_SECONDS)

    async def register(self, name, address):
        operator = self.fleet.operator_addresses[0]
        url = f"http://{operator}/v1/endpoints/{name}"
        heartbeat = {
            "service": name,
            "address": address,
            "zone": "zone-0",
            "state": "ready",
            "seq": next(self.sequence),
            "born": 1,
            "slots": 64,
        }
        async with self.fleet.session.put(url, json=heartbeat):
            pass

    def request(self, name, deadline_ms, path="x"):
        headers = {
            "Host": HOSTNAME,
            ID: f"a-{next(self.numbers)}",
            DEADLINE: str(deadline_ms),
        }
        address = f"{self.host.ip}:{self.fleet.ports.frontend}"
        url = f"http://{address}/{name}/{path}"
        return self.fleet.session.get(url, headers=headers)

    async def sound_is_served(self):
        async with self.request("sound", 3000) as response:
            return response.status == 200

    async def endless_is_usable(self):
        """Whether a request was sent to the endless endpoint just now."""
        sent = dict(self.endless.sent)
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.request("endless", 300) as response:
                await response.content.read(1)
        return self.endless.sent != sent

    async def call_endless(self, until):
        """Calls the endless endpoint; reads what comes."""
        while time.monotonic() < until:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with self.request("endless", 1000) as response:
                    async for _ in response.content.iter_any():
                        if time.monotonic() > until:
                            break
            await asyncio.sleep(SAMPLE_SECONDS)

    async def call_sound(self, until):
        while time.monotonic() < until:
            started = time.monotonic()
            async with self.request("sound", 3000) as response:
                assert response.status == 200, await response.text()
                assert await response.read() == b"ok"
            self.late.append(time.monotonic() - started)
            await asyncio.sleep(SAMPLE_SECONDS)

    async def read_large(self, pause_seconds):
        """Returns the size of a large response, once it is not refused."""
        while (size := await self.try_large(pause_seconds)) is None:
            self.refused += 1
        return size

    async def try_large(self, pause_seconds):
        """Returns the size of a large response; None if it was refused."""
        size = 0
        async with self.request("sound", LARGE_DEADLINE_MS, "large") as found:
            if found.status == 503:
                refusal = (await found.json())["error"]
                assert refusal["outcome"] == "not-run"
                await asyncio.sleep(refusal["retry_after"])
                return None
            assert found.status == 200, await found.text()
            async for data in found.content.iter_any():
                size += len(data)
                if size < SLOWLY_READ_BYTES:
                    await asyncio.sleep(pause_seconds)
        return size

    async def sample(self, until):
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                self.highest = max(self.highest, self.resident_bytes())
            await asyncio.sleep(SAMPLE_SECONDS)

    async def play(self, form):
        self.endless.form = form
        self.endless.sent = {}
        self.highest = 0
        self.late = []
        await wait_until(self.endless_is_usable)
        until = time.monotonic() + PLAYED_SECONDS
        await asyncio.gather(
            *(self.call_endless(until) for _ in range(ENDLESS_CALLERS)),
            *(self.call_sound(until) for _ in range(SOUND_CALLERS)),
            self.sample(until),
        )


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment(tmp_path_factory):
    folder = tmp_path_factory.mktemp("endless")
    endless = EndlessEndpoint("endless", ID, SIGNATURE)
    async with deployed_fleet(folder, [1, 1, 1], 1) as fleet:
        await fleet.start_all()

        async def config_is_accepted():
            return await fleet.put_config(CONFIG) == 200

        await wait_until(config_is_accepted)
        found = Deployment(fleet, endless)
        with endless.running():
            async with found.serving():
                await wait_until(found.sound_is_served)
                yield found


@pytest.mark.parametrize("pause_seconds", [0.0, PAUSE_SECONDS])
async def test_callers_get_large_responses_within_the_memory(
    deployment, pause_seconds
):
    """Guards against a crowd that asks a sound endpoint for large responses
    and makes a gateway use more memory than it may, or gets parts of them.
    """
    deployment.highest = 0
    deployment.refused = 0
    sampling = asyncio.create_task(deployment.sample(float("inf")))
    try:
        sizes = await asyncio.gather(
            *(
                deployment.read_large(pause_seconds)
                for _ in range(LARGE_CALLERS)
            )
        )
    finally:
        sampling.cancel()
        print(
            f"{LARGE_CALLERS} callers: {deployment.highest / 1e6:.0f} MB, "
            f"refused {deployment.refused} times"
        )
    assert sizes == [len(LARGE_BODY)] * LARGE_CALLERS
    assert deployment.child.is_running
    assert deployment.highest < deployment.host.memory_mb * 1e6


@pytest.mark.parametrize("name", FORMS)
async def test_an_endless_response_costs_neither_memory_nor_time(
    deployment, name
):
    """Guards against an endpoint that sends without end and takes the memory of
    gateways, or the time of callers of other endpoints.
    """
    form = FORMS[name]
    pid = deployment.child.process.pid
    await deployment.play(form)
    most_sent = max(deployment.endless.sent.values())
    print(
        f"{name}: {deployment.highest / 1e6:.0f} MB, "
        f"{len(deployment.late)} answered, the latest after "
        f"{max(deployment.late):.2f} s, sent {most_sent / 1e6:.1f} MB"
    )
    assert deployment.child.is_running
    assert deployment.child.process.pid == pid
    assert deployment.highest < deployment.host.memory_mb * 1e6
    assert max(deployment.late) < PROMPT_SECONDS
    if not form.is_content:
        event_bytes = MAX_EVENT_BYTES if form.is_event else 0
        assert most_sent < event_bytes + SOCKET_BYTES
