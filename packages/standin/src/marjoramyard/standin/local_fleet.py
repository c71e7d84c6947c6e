"""A small fleet of separate processes on loopback."""

import asyncio
import hashlib
import json
import shutil
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from marjoramyard.standin.processes import (
    BINARIES,
    ChildProcess,
    free_address,
    run_command,
)

AUTHOR = "awa"
APPROVER = "bento"
WAIT_SECONDS = 30.0
_POLL_SECONDS = 0.05
_QUERY_SECONDS = 1.0


async def wait_until(
    condition: Callable[[], Awaitable[Any]],
    what: str,
    seconds: float = WAIT_SECONDS,
) -> Any:
    """Waits for a condition to be true and returns its value.

    Raises:
        TimeoutError: It did not become true; says what was awaited.
    """
    try:
        async with asyncio.timeout(seconds):
            while True:
                value = await condition()
                if value:
                    return value
                await asyncio.sleep(_POLL_SECONDS)
    except TimeoutError:
        raise TimeoutError(f"waited {seconds:g} s for {what}") from None


def api_key(workspace: str) -> str:
    """Returns the API key that a local fleet gives a workspace."""
    return f"key-of-{workspace}"


def _is_ready_in(page: str, endpoint: str) -> bool:
    return any(
        line.startswith("marjoramyard_known_agents{")
        and f'endpoint="{endpoint}"' in line
        and 'state="ready"' in line
        for line in page.splitlines()
    )


class LocalFleet:
    """Control hosts, entries, agents and stand-ins, each a process."""

    def __init__(self, folder: Path, session: aiohttp.ClientSession):
        self.folder = folder
        self.session = session
        self.children: dict[str, ChildProcess] = {}
        self.control_hosts: dict[str, str] = {}
        self.entries: dict[str, str] = {}
        self.internal_addresses: dict[str, str] = {}
        self.endpoint_addresses: dict[str, str] = {}
        self.announce_addresses: dict[str, str] = {}
        self.public_keys: dict[str, str] = {}

    @property
    def secret_file(self) -> Path:
        """The file of the fleet's secret."""
        return self.folder / "secret"

    # Processes.

    async def start_child(self, name: str, command: list[str]) -> ChildProcess:
        """Starts a process under a name, or again under the same one."""
        log = self.folder / f"{name}.log"
        child = ChildProcess(name, command, log)
        self.children[name] = child
        await child.start()
        return child

    async def start_daemon(self, name: str, settings: dict) -> ChildProcess:
        """Writes settings and starts a daemon with them."""
        base = {
            "name": name,
            "zone": "zone-a",
            "control_hosts": list(self.control_hosts.values()),
            "secret_file": "secret",
            "log": {"format": "json"},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump({**base, **settings}), encoding="utf-8")
        command = [str(BINARIES / "marjoramyard"), "run", str(path)]
        return await self.start_child(name, command)

    async def restart(self, name: str) -> ChildProcess:
        """Starts a process that ended, with its old settings."""
        return await self.start_child(name, self.children[name].command)

    # Control.

    async def make_keys(self) -> None:
        """Makes the secret and two operators' keys."""
        await self.ctl("key", "secret", str(self.secret_file))
        for who in (AUTHOR, APPROVER):
            path = self.folder / f"{who}.key"
            printed = await self.ctl("key", "operator", str(path))
            self.public_keys[who] = printed.strip()

    async def start_control(self, names: list[str]) -> None:
        """Starts control hosts and forms their cluster."""
        for name in names:
            self.control_hosts[name] = free_address()
        for name in names:
            await self.start_control_host(name)
        for name in names:
            await self.wait_until_healthy(self.control_hosts[name])
        await self.ctl("cluster", "init")

    async def start_control_host(self, name: str, **more: Any) -> ChildProcess:
        """Starts one control host."""
        settings = {
            "role": "control",
            "internal": self.control_hosts[name],
            "data_folder": f"{name}-data",
            "bootstrap_operators": self.public_keys,
            **more,
        }
        return await self.start_daemon(name, settings)

    async def ctl(self, *arguments: str, code: int = 0) -> str:
        """Runs marjoramctl; returns its output.

        Raises:
            RuntimeError: Its exit code was another than `code`.
        """
        command = [str(BINARIES / "marjoramctl")]
        for address in self.control_hosts.values():
            command += ["--control", address]
        command += ["--secret-file", str(self.secret_file)]
        command += ["--output", "json", *arguments]
        returned, output, errors = await run_command(command)
        if returned != code:
            raise RuntimeError(f"{arguments}: exit {returned}: {errors}")
        return output if code == 0 else errors

    async def ctl_json(self, *arguments: str) -> Any:
        """Runs marjoramctl and reads its JSON."""
        return json.loads(await self.ctl(*arguments))

    async def query(self, subject: str, argument: str = "") -> Any:
        """Asks the control hosts a question; None if none answers."""
        headers = {
            "Authorization": f"Bearer {self.secret_file.read_text().strip()}"
        }
        body = json.dumps({"subject": subject, "argument": argument})
        for address in self.control_hosts.values():
            try:
                async with asyncio.timeout(_QUERY_SECONDS):
                    async with self.session.post(
                        f"http://{address}/control/v1/query",
                        headers=headers,
                        data=body,
                    ) as response:
                        if response.status == 200:
                            return (await response.json())["value"]
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return None

    def signing_options(self, who: str) -> list[str]:
        """Returns the options that make an operator sign."""
        return ["--as", who, "--key", str(self.folder / f"{who}.key")]

    def write_bundle(self, bundle: dict, name: str = "bundle") -> Path:
        """Writes a bundle file with our operators and API keys."""
        full = json.loads(json.dumps(bundle))
        full["operators"] = {
            who: {"public_key": key} for who, key in self.public_keys.items()
        }
        for workspace, row in full["workspaces"].items():
            key_hash = hashlib.sha256(api_key(workspace).encode())
            row["key_hashes"] = [key_hash.hexdigest()]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(full), encoding="utf-8")
        return path

    async def propose(self, bundle: dict, who: str = AUTHOR) -> str:
        """Proposes a bundle; returns the change id."""
        path = self.write_bundle(bundle)
        arguments = ["propose", str(path), *self.signing_options(who)]
        return (await self.ctl_json(*arguments))["change_id"]

    async def roll_out(self, bundle: dict) -> int:
        """Proposes, approves and rolls a bundle; returns its version."""
        change = await self.propose(bundle)
        await self.ctl("approve", change, *self.signing_options(APPROVER))
        done = await self.ctl_json(
            "roll", change, *self.signing_options(AUTHOR)
        )
        return done["version"]

    # Routers and stand-ins.

    async def start_entry(self, name: str, **more: Any) -> ChildProcess:
        """Starts an entry."""
        self.entries.setdefault(name, free_address())
        self.internal_addresses.setdefault(name, free_address())
        settings = {
            "role": "entry",
            "listen": self.entries[name],
            "internal": self.internal_addresses[name],
            **more,
        }
        return await self.start_daemon(name, settings)

    async def start_agent(self, name: str, **more: Any) -> ChildProcess:
        """Starts the agent of the endpoint called `name`."""
        agent = f"agent-{name}"
        self.internal_addresses.setdefault(agent, free_address())
        self.announce_addresses.setdefault(name, free_address())
        settings = {
            "role": "agent",
            "internal": self.internal_addresses[agent],
            "endpoint_listen": self.announce_addresses[name],
            **more,
        }
        return await self.start_daemon(agent, settings)

    async def start_endpoint(
        self, name: str, kind: str, service: str, *options: str
    ) -> ChildProcess:
        """Starts a stand-in that announces itself to its agent."""
        self.endpoint_addresses.setdefault(name, free_address())
        command = [
            str(BINARIES / "python"),
            "-m",
            "marjoramyard.standin.cmd.endpoint",
            kind,
            "--name",
            name,
            "--service",
            service,
            "--listen",
            self.endpoint_addresses[name],
            "--agent",
            self.announce_addresses[name],
            *options,
        ]
        return await self.start_child(name, command)

    async def add_endpoint(
        self, name: str, kind: str, service: str, *options: str
    ) -> None:
        """Starts a stand-in and the agent beside it."""
        await self.start_agent(name)
        await self.start_endpoint(name, kind, service, *options)

    async def counters(self, endpoint: str) -> dict:
        """Returns a stand-in's counters."""
        address = self.endpoint_addresses[endpoint]
        async with self.session.get(
            f"http://{address}/admin/counters"
        ) as response:
            return await response.json()

    # Conditions.

    async def responds_ok(self, address: str, path: str) -> bool:
        """Returns whether a health page says yes."""
        try:
            async with self.session.get(f"http://{address}{path}") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_until_healthy(self, address: str) -> None:
        """Waits until a process answers."""
        await wait_until(
            lambda: self.responds_ok(address, "/healthz"), f"{address} alive"
        )

    async def wait_until_ready(self, address: str) -> None:
        """Waits until a process takes work."""
        await wait_until(
            lambda: self.responds_ok(address, "/readyz"), f"{address} ready"
        )

    async def wait_until_serving(self, *names: str) -> None:
        """Waits until endpoints are ready in every entry's directory."""
        for entry, address in self.entries.items():
            if not self.children[entry].is_running:
                continue
            await self.wait_until_ready(address)

            async def all_ready(entry: str = entry) -> bool:
                page = await self.metrics_page(self.internal_addresses[entry])
                return all(_is_ready_in(page, name) for name in names)

            await wait_until(all_ready, f"{names} at {entry}")

    async def metrics_page(self, address: str) -> str:
        """Returns a process's metrics, or nothing if it gives none."""
        try:
            async with self.session.get(f"http://{address}/metrics") as page:
                return await page.text()
        except (aiohttp.ClientError, OSError):
            return ""

    # Callers.

    def url(self, entry: str, path: str) -> str:
        """Returns a caller's URL."""
        return f"http://{self.entries[entry]}{path}"

    def headers(self, workspace: str, **more: str) -> dict[str, str]:
        """Returns a caller's headers."""
        named = {name.replace("_", "-"): value for name, value in more.items()}
        return {"Authorization": f"Bearer {api_key(workspace)}", **named}

    async def close(self) -> None:
        """Ends all our processes."""
        running = [c for c in self.children.values() if c.is_running]
        for child in running:
            child.resume()
        await asyncio.gather(*(child.kill() for child in running))


@asynccontextmanager
async def local_fleet(folder: Path | None = None) -> AsyncIterator[LocalFleet]:
    """Owns a fleet's folder and processes."""
    made = Path(tempfile.mkdtemp(prefix="marjoramyard-"))
    place = folder or made
    place.mkdir(parents=True, exist_ok=True)
    timeout = aiohttp.ClientTimeout(total=300)
    # The library's own limit of 100 connections would hold callers back
    # before the fleet sees them.
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        fleet = LocalFleet(place, session)
        try:
            yield fleet
        finally:
            await fleet.close()
            shutil.rmtree(made, ignore_errors=True)


async def start_small_fleet(
    fleet: LocalFleet, bundle: dict, control: int = 3, entries: int = 2
) -> None:
    """Starts control hosts and entries and puts a bundle in force."""
    await fleet.make_keys()
    await fleet.start_control([f"control-{n}" for n in range(1, control + 1)])
    for number in range(1, entries + 1):
        await fleet.start_entry(f"entry-{number}")
    await fleet.roll_out(bundle)
    for address in fleet.entries.values():
        await fleet.wait_until_ready(address)
