"""Control hosts and a gateway in separate processes, with fake endpoints."""

import contextlib
import itertools
import sys
import time

import aiohttp
import yaml
from aiohttp import web

from marjoramyard.fleet import paths
from marjoramyard.standin import local_fleet
from marjoramyard.standin.processes import ChildProcess, free_address

TIMEOUT_SECONDS = 30.0
API_KEY = "key-of-shop-1234"
LOG_LINES_PRINTED = 20
CACHED_PARTS_PATH = "/cached-parts"


async def wait_until(check, seconds=TIMEOUT_SECONDS):
    """Waits until an async check returns a true value, and returns it.

    Connection errors count as false.
    """

    async def reached():
        with contextlib.suppress(aiohttp.ClientError, OSError):
            return await check()
        return None

    return await local_fleet.wait_until(reached, check.__name__, seconds)


class FakeEndpoint:
    """An endpoint whose responses are set by the test.

    Attributes:
        requests: The requests received, as (id, headers, body).
        respond: An async handler of requests; None for a default response.
    """

    def __init__(self, name, service="api", zone=""):
        self.name = name
        self.zone = zone
        self.service = service
        self.address = free_address()
        self.requests = []
        self.respond = None
        self.sequence = itertools.count(1)

    async def handle(self, request):
        if request.path == CACHED_PARTS_PATH:
            return web.json_response([])
        body = await request.read()
        self.requests.append(
            (request.headers["Request-Id"], request.headers, body)
        )
        if self.respond is not None:
            return await self.respond(request)
        return web.Response(
            text=f"echo {body.decode()}", headers=self.response_headers(request)
        )

    def response_headers(self, request):
        return {
            "Request-Id": request.headers["Request-Id"],
            "Answer-Signature": f"by {self.name}",
        }

    @contextlib.asynccontextmanager
    async def running(self):
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

    def registration(self, state="ready"):
        return {
            "endpoint": self.name,
            "service": self.service,
            "address": self.address,
            "availability_zone": self.zone,
            "state": state,
            "sequence": next(self.sequence),
            "born": 1,
        }


class GatewayFleet:
    """Control hosts on separate loopback addresses, and one gateway."""

    def __init__(
        self,
        folder,
        forwarding_port_offset=0,
        control_count=3,
        **gateway_settings,
    ):
        self.folder = folder
        self.session = aiohttp.ClientSession()
        peer_port = free_address().split(":")[1]
        operator_port = free_address().split(":")[1]
        self.hosts = [
            f"127.0.0.{2 + number}" for number in range(control_count)
        ]
        self.operator_addresses = [
            f"{host}:{operator_port}" for host in self.hosts
        ]
        self.peer_port = int(peer_port)
        self.listen_address = free_address()
        self.ready_address = free_address()
        self.children = {}
        for number, host in enumerate(self.hosts):
            self.write_control_settings(number, host, first_start=True)
        self.write_settings(
            "gateway",
            role="gateway",
            internal=free_address(consecutive=1 + forwarding_port_offset),
            listen=self.listen_address,
            ready_listen=self.ready_address,
            grace_seconds=8.0,
            forwarding_port_offset=forwarding_port_offset,
            **gateway_settings,
        )

    def write_control_settings(self, number, host, first_start, **changes):
        settings = {
            "role": "control",
            "internal": f"{host}:{self.peer_port}",
            "operator_listen": self.operator_addresses[number],
            "data_folder": str(self.folder / f"data-{number}"),
            "self_forming": True,
            "first_start": first_start,
            "losses": 1,
        }
        self.write_settings(f"control-{number}", **(settings | changes))

    def write_settings(self, name, **settings):
        settings = {
            "name": name,
            "zone": f"zone-{name}",
            "seeds": self.operator_addresses,
            "peer_port": self.peer_port,
            "trust_network": True,
            "log": {"format": "json"},
        } | settings
        (self.folder / f"{name}.yaml").write_text(yaml.safe_dump(settings))

    async def start(self, name):
        command = [sys.executable, "-m", "marjoramyard.fleet", "run"]
        command.append(str(self.folder / f"{name}.yaml"))
        child = ChildProcess(name, command, self.folder / f"{name}.log")
        self.children[name] = child
        await child.start()
        return child

    async def put_config(self, config, host=0):
        """Sends a configuration repeatedly until it is acknowledged."""

        async def put():
            url = f"http://{self.operator_addresses[host]}/fleet-config"
            async with self.session.put(url, json=config) as response:
                return response.status == 200

        await wait_until(put)

    async def read_config(self, host):
        url = f"http://{self.operator_addresses[host]}/fleet-config"
        async with self.session.get(url) as response:
            return response.status, await response.json()

    async def control_hosts_are_ready(self):
        """Whether every control host returns the configuration."""
        found = [
            await self.read_config(host) for host in range(len(self.hosts))
        ]
        return all(status == 200 for status, _ in found)

    async def change_zone(self, method, zone, host=0):
        """Sends an order on a zone repeatedly until it is acknowledged."""

        async def change():
            url = f"http://{self.operator_addresses[host]}/evacuations/{zone}"
            async with self.session.request(method, url) as response:
                return response.status == 200

        await wait_until(change)

    async def send_heartbeat(self, endpoint, state="ready", host=0):
        """Sends an endpoint's heartbeat."""
        url = f"http://{self.operator_addresses[host]}/registrations/{endpoint.name}"
        async with self.session.put(
            url, json=endpoint.registration(state)
        ) as response:
            assert response.status == 200

    async def sync_reply(self, host):
        """Returns what a control host tells a gateway that has just started."""
        url = f"http://{self.hosts[host]}:{self.peer_port}{paths.SYNC_PATH}"
        request = {"gateway": "g-x", "versions_revision": -1}
        async with self.session.post(url, json=request) as response:
            return await response.json()

    async def is_ready(self):
        async with self.session.get(
            f"http://{self.ready_address}/readyz"
        ) as response:
            return response.status == 200

    def request(self, path="/a/x", method="POST", deadline_ms=3000, **options):
        headers = {
            "Host": "shop.example",
            "Request-Id": options.pop("id", f"id-{time.monotonic_ns()}"),
            "Request-Deadline-Ms": str(deadline_ms),
            **options.pop("headers", {}),
        }
        return self.session.request(
            method,
            f"http://{self.listen_address}{path}",
            headers=headers,
            **options,
        )

    async def is_serving(self, path="/a/x"):
        async with self.request(path) as response:
            return response.status == 200

    def print_log_ends(self):
        """Prints the last lines of each process, for a test that failed."""
        for child in self.children.values():
            lines = child.log.read_text(encoding="utf-8").splitlines()
            print(f"-- {child.name}, running: {child.is_running}")
            print(*lines[-LOG_LINES_PRINTED:], sep="\n")

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


def config(version, *routes, keys=(API_KEY,)):
    return {
        "version": version,
        "routes": [route("a", "/a/"), *routes],
        "services": [{"name": "api"}],
        "workspaces": [{"name": "shop", "api_keys": list(keys)}],
    }


@contextlib.asynccontextmanager
async def gateway_fleet(folder, **gateway_settings):
    """Starts a fleet and yields it once all processes are ready."""
    fleet = GatewayFleet(folder, **gateway_settings)
    try:
        for number in range(len(fleet.hosts)):
            await fleet.start(f"control-{number}")
        await fleet.start("gateway")
        await fleet.put_config(config(1))
        await wait_until(fleet.is_ready)
        await wait_until(fleet.control_hosts_are_ready)
        yield fleet
    except BaseException:
        fleet.print_log_ends()
        raise
    finally:
        await fleet.close()
