"""A self-forming fleet of separate processes, with endpoints of the tests."""

import contextlib
import itertools
import sys
import time

import aiohttp
import yaml
from aiohttp import web

from marjoramyard.standin import local_fleet
from marjoramyard.standin.processes import ChildProcess, free_address

SECONDS = 30.0
KEY = "key-of-shop-1234"


async def wait_until(check, seconds=SECONDS):
    """Waits until an async check returns something true, and returns it."""

    async def reached():
        with contextlib.suppress(aiohttp.ClientError, OSError):
            return await check()
        return None

    return await local_fleet.wait_until(reached, check.__name__, seconds)


class FakeEndpoint:
    """An endpoint whose answers the test decides.

    Attributes:
        seen: The requests that reached it, as (id, headers, body).
        answer: An async function of the request; None for a plain answer.
    """

    def __init__(self, name, service="api"):
        self.name = name
        self.service = service
        self.address = free_address()
        self.seen = []
        self.answer = None
        self.sequence = itertools.count(1)

    async def handle(self, request):
        body = await request.read()
        self.seen.append((request.headers["Request-Id"], request.headers, body))
        if self.answer is not None:
            return await self.answer(request)
        return web.Response(
            text=f"whole {body.decode()}", headers=self.signed(request)
        )

    def signed(self, request):
        return {
            "Request-Id": request.headers["Request-Id"],
            "Answer-Signature": f"by {self.name}",
        }

    @contextlib.asynccontextmanager
    async def serving(self):
        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", self.handle)])
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        try:
            yield self
        finally:
            await runner.cleanup()

    def word(self, state="ready"):
        return {
            "endpoint": self.name,
            "service": self.service,
            "address": self.address,
            "state": state,
            "sequence": next(self.sequence),
            "born": 1,
        }


class GatewayFleet:
    """Three control hosts on three loopback addresses, and one gateway."""

    def __init__(self, folder, **gateway_settings):
        self.folder = folder
        self.session = aiohttp.ClientSession()
        peer_port = free_address().split(":")[1]
        operator_port = free_address().split(":")[1]
        self.hosts = [f"127.0.0.{number}" for number in (2, 3, 4)]
        self.operators = [f"{host}:{operator_port}" for host in self.hosts]
        self.peer_port = int(peer_port)
        self.listen = free_address()
        self.ready = free_address()
        self.children = {}
        for number, host in enumerate(self.hosts):
            self.write_control(number, host, first_start=True)
        self.write(
            "gateway",
            role="gateway",
            internal=free_address(),
            listen=self.listen,
            ready_listen=self.ready,
            grace_seconds=8.0,
            **gateway_settings,
        )

    def write_control(self, number, host, first_start):
        self.write(
            f"control-{number}",
            role="control",
            internal=f"{host}:{self.peer_port}",
            operator_listen=self.operators[number],
            data_folder=str(self.folder / f"data-{number}"),
            self_forming=True,
            first_start=first_start,
            losses=1,
        )

    def write(self, name, **settings):
        settings |= {
            "name": name,
            "zone": f"zone-{name}",
            "seeds": self.operators,
            "peer_port": self.peer_port,
            "trust_network": True,
            "log": {"format": "json"},
        }
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(settings))

    async def start(self, name):
        command = [sys.executable, "-m", "marjoramyard.fleet", "run"]
        command.append(str(self.folder / f"{name}.yaml"))
        child = ChildProcess(name, command, self.folder / f"{name}.log")
        self.children[name] = child
        await child.start()
        return child

    async def put_config(self, config, host=0):
        """Sends a configuration until it is acknowledged."""

        async def put():
            url = f"http://{self.operators[host]}/fleet-config"
            async with self.session.put(url, json=config) as response:
                return response.status == 200

        await wait_until(put)

    async def read_config(self, host):
        url = f"http://{self.operators[host]}/fleet-config"
        async with self.session.get(url) as response:
            return response.status, await response.json()

    async def all_hosts_serve(self):
        """Whether each control host has started and knows the leader."""
        found = [await self.read_config(host) for host in range(3)]
        return all(status == 200 for status, _ in found)

    async def tell(self, endpoint, state="ready", host=0):
        """Sends an endpoint's heartbeat."""
        url = f"http://{self.operators[host]}/registrations/{endpoint.name}"
        async with self.session.put(url, json=endpoint.word(state)) as response:
            assert response.status == 200

    async def is_ready(self):
        async with self.session.get(f"http://{self.ready}/readyz") as response:
            return response.status == 200

    def request(self, path="/a/x", method="POST", deadline_ms=3000, **options):
        headers = {
            "Host": "shop.example",
            "Request-Id": options.pop("id", f"id-{time.monotonic_ns()}"),
            "Request-Deadline-Ms": str(deadline_ms),
            **options.pop("headers", {}),
        }
        return self.session.request(
            method, f"http://{self.listen}{path}", headers=headers, **options
        )

    async def served(self, path="/a/x"):
        async with self.request(path) as response:
            return response.status == 200

    async def close(self):
        await self.session.close()
        for child in self.children.values():
            if child.is_running:
                await child.kill()


def route(name, prefix, kind="idempotent", **changes):
    return {
        "name": name,
        "hostname": "shop.example",
        "path_prefix": prefix,
        "request_kind": kind,
        "timeout_ms": 2000,
        "objective_ms": 500,
        "service": "api",
        "max_attempts": 2,
        "open_access": True,
        **changes,
    }


def config(version, *routes, keys=(KEY,)):
    return {
        "version": version,
        "routes": [route("a", "/a/"), *routes],
        "services": [{"name": "api"}],
        "workspaces": [{"name": "shop", "api_keys": list(keys)}],
    }


@contextlib.asynccontextmanager
async def gateway_fleet(folder, **gateway_settings):
    """Runs the fleet until it serves requests of the route `/a/`."""
    fleet = GatewayFleet(folder, **gateway_settings)
    try:
        for name in ("control-0", "control-1", "control-2", "gateway"):
            await fleet.start(name)
        await fleet.put_config(config(1))
        await wait_until(fleet.is_ready)
        await wait_until(fleet.all_hosts_serve)
        yield fleet
    finally:
        await fleet.close()
