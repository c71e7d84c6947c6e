"""A fleet of separate processes on loopback."""

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
WAIT_TIMEOUT_SECONDS = 30.0
_POLL_INTERVAL_SECONDS = 0.05
_QUERY_TIMEOUT_SECONDS = 1.0


async def wait_until(
    condition: Callable[[], Awaitable[Any]],
    what: str,
    seconds: float = WAIT_TIMEOUT_SECONDS,
) -> Any:
    """Polls a condition until its value is true, and returns the value.

    Args:
        condition: Awaited at each poll.
        what: What is waited for, for the error message.
        seconds: The timeout.

    Raises:
        TimeoutError: The condition did not become true in time.
    """
    try:
        async with asyncio.timeout(seconds):
            while True:
                value = await condition()
                if value:
                    return value
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    except TimeoutError:
        raise TimeoutError(f"waited {seconds:g} s for {what}") from None


def api_key(workspace: str) -> str:
    """Returns the API key of a workspace in a local fleet."""
    return f"key-of-{workspace}"


def _lists_endpoint_as_ready(metrics: str, endpoint: str) -> bool:
    return any(
        line.startswith("marjoramyard_known_agents{")
        and f'endpoint="{endpoint}"' in line
        and 'state="ready"' in line
        for line in metrics.splitlines()
    )


class LocalFleet:
    """Control hosts, entries, agents and test endpoints, each a process.

    Attributes:
        folder: Holds settings, logs, keys and data of the processes.
        children: The processes by name.
        control_hosts: Addresses of the control hosts by name.
        entries: Public addresses of the entries by name.
        internal_addresses: Internal addresses of entries and agents by name.
        endpoint_addresses: Addresses of the test endpoints by name.
        announce_addresses: By endpoint, where its agent accepts its
            announcements.
        public_keys: Public keys of the operators by name.
    """

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
        """The file that holds the fleet's shared secret."""
        return self.folder / "secret"

    # Processes.

    async def start_child(self, name: str, command: list[str]) -> ChildProcess:
        """Starts a process under a name that no running process has."""
        log = self.folder / f"{name}.log"
        child = ChildProcess(name, command, log)
        self.children[name] = child
        await child.start()
        return child

    async def start_daemon(self, name: str, settings: dict) -> ChildProcess:
        """Writes a settings file and starts a daemon with it."""
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
        """Starts an exited process again with the same command."""
        return await self.start_child(name, self.children[name].command)

    # Control.

    async def make_keys(self) -> None:
        """Creates the shared secret and the keys of two operators."""
        await self.ctl("key", "secret", str(self.secret_file))
        for who in (AUTHOR, APPROVER):
            path = self.folder / f"{who}.key"
            public_key = await self.ctl("key", "operator", str(path))
            self.public_keys[who] = public_key.strip()

    async def start_control(self, names: list[str]) -> None:
        """Starts control hosts and bootstraps their cluster."""
        for name in names:
            self.control_hosts[name] = free_address()
        for name in names:
            await self.start_control_host(name)
        for name in names:
            await self.wait_until_healthy(self.control_hosts[name])
        await self.ctl("cluster", "init")

    async def start_control_host(self, name: str, **more: Any) -> ChildProcess:
        """Starts one control host; `more` adds or replaces settings."""
        settings = {
            "role": "control",
            "internal": self.control_hosts[name],
            "data_folder": f"{name}-data",
            "bootstrap_operators": self.public_keys,
            **more,
        }
        return await self.start_daemon(name, settings)

    async def ctl(self, *arguments: str, code: int = 0) -> str:
        """Runs marjoramctl with JSON output.

        Returns:
            Its standard output, or its standard error if a failure is
            expected.

        Raises:
            RuntimeError: The exit code was not `code`.
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
        """Runs marjoramctl and decodes its JSON output."""
        return json.loads(await self.ctl(*arguments))

    async def query(self, subject: str, argument: str = "") -> Any:
        """Queries the control hosts in turn; None if none responds."""
        headers = {
            "Authorization": f"Bearer {self.secret_file.read_text().strip()}"
        }
        body = json.dumps({"subject": subject, "argument": argument})
        for address in self.control_hosts.values():
            try:
                async with asyncio.timeout(_QUERY_TIMEOUT_SECONDS):
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
        """Returns the marjoramctl options for signing as an operator."""
        return ["--as", who, "--key", str(self.folder / f"{who}.key")]

    def write_bundle(self, bundle: dict, name: str = "bundle") -> Path:
        """Writes a bundle file, adding the fleet's operators and API keys."""
        document = json.loads(json.dumps(bundle))
        document["operators"] = {
            who: {"public_key": key} for who, key in self.public_keys.items()
        }
        for workspace, row in document["workspaces"].items():
            key_hash = hashlib.sha256(api_key(workspace).encode())
            row["key_hashes"] = [key_hash.hexdigest()]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
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

    # Routers and test endpoints.

    async def start_entry(self, name: str, **more: Any) -> ChildProcess:
        """Starts an entry; `more` adds or replaces settings."""
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
        """Starts the agent of an endpoint; `more` adds or replaces settings."""
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
        """Starts a test endpoint with options of its command."""
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
        """Starts a test endpoint and its agent."""
        await self.start_agent(name)
        await self.start_endpoint(name, kind, service, *options)

    async def counters(self, endpoint: str) -> dict:
        """Returns the counters of a test endpoint."""
        address = self.endpoint_addresses[endpoint]
        async with self.session.get(
            f"http://{address}/admin/counters"
        ) as response:
            return await response.json()

    # Conditions.

    async def responds_ok(self, address: str, path: str) -> bool:
        """Returns whether a GET request is answered with status 200."""
        try:
            async with self.session.get(f"http://{address}{path}") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_until_healthy(self, address: str) -> None:
        """Waits until a process responds to its liveness check."""
        await wait_until(
            lambda: self.responds_ok(address, "/healthz"),
            f"{address} to be alive",
        )

    async def wait_until_ready(self, address: str) -> None:
        """Waits until a process reports that it is ready."""
        await wait_until(
            lambda: self.responds_ok(address, "/readyz"),
            f"{address} to be ready",
        )

    async def wait_until_serving(self, *names: str) -> None:
        """Waits until all running entries list the endpoints as ready."""
        for entry, address in self.entries.items():
            if not self.children[entry].is_running:
                continue
            await self.wait_until_ready(address)

            async def all_ready(entry: str = entry) -> bool:
                metrics = await self.metrics_page(
                    self.internal_addresses[entry]
                )
                return all(
                    _lists_endpoint_as_ready(metrics, name) for name in names
                )

            await wait_until(all_ready, f"{names} to be ready at {entry}")

    async def metrics_page(self, address: str) -> str:
        """Returns the metrics of a process; "" if it does not respond."""
        try:
            async with self.session.get(
                f"http://{address}/metrics"
            ) as response:
                return await response.text()
        except (aiohttp.ClientError, OSError):
            return ""

    # Requests of callers.

    def url(self, entry: str, path: str) -> str:
        """Returns the public URL of a path at an entry."""
        return f"http://{self.entries[entry]}{path}"

    def headers(self, workspace: str, **more: str) -> dict[str, str]:
        """Returns request headers that authenticate as a workspace.

        Args:
            workspace: The workspace whose API key is sent.
            more: Further headers, with "_" for "-" in their names.
        """
        extra = {name.replace("_", "-"): value for name, value in more.items()}
        return {"Authorization": f"Bearer {api_key(workspace)}", **extra}

    async def close(self) -> None:
        """Kills all processes of the fleet."""
        running = [c for c in self.children.values() if c.is_running]
        for child in running:
            child.resume()
        await asyncio.gather(*(child.kill() for child in running))


@asynccontextmanager
async def local_fleet(folder: Path | None = None) -> AsyncIterator[LocalFleet]:
    """Provides a fleet and kills its processes at the end.

    Args:
        folder: Holds the fleet's files and is kept; by default a temporary
            folder that is removed.
    """
    temporary = Path(tempfile.mkdtemp(prefix="marjoramyard-"))
    root = folder or temporary
    root.mkdir(parents=True, exist_ok=True)
    timeout = aiohttp.ClientTimeout(total=300)
    # The default limit of 100 connections would queue requests in the client.
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        fleet = LocalFleet(root, session)
        try:
            yield fleet
        finally:
            await fleet.close()
            shutil.rmtree(temporary, ignore_errors=True)


async def start_small_fleet(
    fleet: LocalFleet, bundle: dict, control: int = 3, entries: int = 2
) -> None:
    """Starts control hosts and entries and rolls out a bundle."""
    await fleet.make_keys()
    await fleet.start_control([f"control-{n}" for n in range(1, control + 1)])
    for number in range(1, entries + 1):
        await fleet.start_entry(f"entry-{number}")
    await fleet.roll_out(bundle)
    for address in fleet.entries.values():
        await fleet.wait_until_ready(address)
