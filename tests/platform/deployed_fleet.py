"""The processes of a deployment on loopback, started as the deploy file says.

The platform's part is played here: it renders the settings of each process
from its template and starts its command, each host on an address of its own.
"""

import contextlib
import itertools
import json
import os
import random
import re
import site
import subprocess
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from marjoramyard.standin.processes import ChildProcess, free_address

ROOT = Path(__file__).parents[2]
GATEWAY = "gateway"
CONTROL = "control"
READY_PATH = "/v1/readyz"
SOURCES = sorted([*ROOT.glob("packages/*/src"), ROOT / "platform/src"])
LOG_LINES_PRINTED = 20
BUILT = "target/deps/"
PORT_COUNT = 4
"""Ports of a host for communication between processes."""
BOUNDS = {
    "grace_s": 8,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 128,
}

_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


def render(template: str, values: Any) -> str:
    """Renders a template of the deploy file with the fields of a process."""
    text, rest = _render_section(template, [values], "", "")
    assert not rest
    return text


def _render_section(text, scopes, key, comma):
    """Renders up to the end of the enclosing section; returns the rest too."""
    rendered = ""
    while (tag := _TAG.search(text)) is not None:
        rendered += text[: tag.start()]
        text = text[tag.end() :]
        kind, name = tag.groups()
        if kind == "/":
            return rendered, text
        if kind:
            part, text = _render_entries(kind, name, text, scopes)
            rendered += part
        else:
            rendered += _value_text(name, scopes, key, comma)
    return rendered + text, ""


def _render_entries(kind, name, text, scopes):
    entries = _entries(_look_up(name, scopes))
    _, rest = _render_section(text, scopes, "", "")
    if kind == "^":
        entries = [] if entries else [("", scopes[-1])]
    rendered = ""
    for number, (key, entry) in enumerate(entries):
        comma = "," if number + 1 < len(entries) else ""
        rendered += _render_section(text, [*scopes, entry], key, comma)[0]
    return rendered, rest


def _entries(value):
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return list(enumerate(value))
    return [("", value)] if value not in (None, False, "") else []


def _value_text(name, scopes, key, comma):
    if name == "@":
        return str(key)
    if name == ",":
        return comma
    path, _, form = name.partition("|")
    value = _look_up(path, scopes)
    if form == "json" or isinstance(value, dict):
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    return "" if value is None else str(value)


def _look_up(path, scopes):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            value = _member(value, part)
        if value is not None:
            return value
    return None


def _member(value, part):
    if isinstance(value, dict):
        return value.get(part)
    if isinstance(value, list) and int(part) < len(value):
        return value[int(part)]
    return None


@dataclass
class DeployedHost:
    """A host of the deployment.

    Attributes:
        data_folder: The folder on its disk; None without a disk.
        roles: The roles that it runs.
        memory_mb: The limit of the memory of each of its processes.
    """

    name: str
    zone: str
    ip: str
    data_folder: Path | None
    roles: tuple[str, ...]
    memory_mb: int = 136
    max_descriptors: int = 2870
    cores: float = 0.559
    children: dict[str, ChildProcess] = field(default_factory=dict)


@dataclass
class Ports:
    """The ports of a deployment, the same on all its hosts."""

    frontend: int
    ready: int
    control: int
    first: int
    last: int


class DeployedFleet:
    """A deployment of which each host has a loopback address of its own."""

    def __init__(self, folder: Path, hosts: list[DeployedHost]):
        self.folder = folder
        self.hosts = hosts
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.wire = tomllib.loads((ROOT / "deploy/wire.toml").read_text())
        first = free_port(PORT_COUNT)
        self.ports = Ports(
            frontend=free_port(),
            ready=free_port(),
            control=free_port(),
            first=first,
            last=first + PORT_COUNT - 1,
        )
        self.is_first_start = True
        self.started: list[ChildProcess] = []
        self.session = aiohttp.ClientSession()

    def hosts_of(self, role: str) -> list[DeployedHost]:
        """Returns the hosts that run a role."""
        return [host for host in self.hosts if role in host.roles]

    @property
    def operator_addresses(self) -> list[str]:
        """The addresses for operators and endpoints."""
        return [
            f"{host.ip}:{self.ports.control}" for host in self.hosts_of(CONTROL)
        ]

    def fields(self, host: DeployedHost, role: str) -> dict[str, Any]:
        """Returns what the platform tells a process, by the names of the wire.

        The seeds are hosts with a disk first.
        """
        seeds = sorted(self.hosts_of(CONTROL), key=lambda h: not h.data_folder)
        zones = dict.fromkeys(h.zone for h in self.hosts)
        known = {
            "node_name": host.name,
            "role": role,
            "ip": host.ip,
            "zone": host.zone,
            "region": "region-a",
            "zones": dict.fromkeys(zones, "region-a"),
            "listen": {
                "frontend": f"{host.ip}:{self.ports.frontend}",
                "ready": f"{host.ip}:{self.ports.ready}",
                "control": f"{host.ip}:{self.ports.control}",
            },
            "port_range": [self.ports.first, self.ports.last],
            "seeds": [f"{h.ip}:{self.ports.control}" for h in seeds[:3]],
            "bootstrap": self.is_first_start,
            "limits": {
                "cpu_share": host.cores,
                "memory_mb": host.memory_mb,
                "max_fds": host.max_descriptors,
                "disk_mb": 64 if host.data_folder else None,
            },
            "data_dir": str(host.data_folder) if host.data_folder else None,
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1},
            "bounds": BOUNDS,
        }
        names = self.wire["fields"]
        return {names.get(name, name): known[name] for name in known}

    def settings_path(self, host: DeployedHost, role: str) -> Path:
        """Returns the settings file of a process."""
        return self.folder / f"{host.name}-{role}.yaml"

    def settings_text(self, host: DeployedHost, role: str) -> str:
        """Returns the rendered settings of a process."""
        template = ROOT / self.deploy["roles"][role]["template"]
        return render(template.read_text(), self.fields(host, role))

    def write_settings(self, host: DeployedHost, role: str) -> Path:
        """Writes the settings file of a process."""
        path = self.settings_path(host, role)
        path.write_text(self.settings_text(host, role))
        return path

    def command(self, role: str) -> list[str]:
        """Returns the command of a role, with the interpreter of the tests."""
        words = self.deploy["roles"][role]["run"].split()
        assert words[0] == "python3"
        return [sys.executable, *map(_source_of, words[1:])]

    def environment(self, host: DeployedHost, role: str) -> dict[str, str]:
        """Returns the variables of a process; those of the tests are dropped.

        The sources stand in for what the deploy file builds from them.
        """
        paths = [*map(str, SOURCES), *site.getsitepackages()]
        return {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": os.pathsep.join(paths),
            "MARJORAMYARD_CONFIG": str(self.settings_path(host, role)),
        }

    async def start(
        self, host: DeployedHost, role: str, has_settings: bool = True
    ) -> ChildProcess:
        """Starts a process with its output in a file.

        Args:
            host: Its host.
            role: Its role.
            has_settings: Whether its settings are written before.
        """
        if has_settings:
            self.write_settings(host, role)
        log = self.folder / f"{host.name}-{role}.log"
        child = ChildProcess(f"{host.name}-{role}", self.command(role), log)
        child.env = self.environment(host, role)
        host.children[role] = child
        self.started.append(child)
        await child.start()
        return child

    def popen(
        self, host: DeployedHost, role: str, **options: Any
    ) -> subprocess.Popen:
        """Starts a process with options of `subprocess.Popen`.

        For standard streams and limits that differ. The caller ends it.
        """
        self.write_settings(host, role)
        options.setdefault("env", self.environment(host, role))
        return subprocess.Popen(self.command(role), cwd=ROOT, **options)

    async def start_all(self) -> None:
        """Starts the processes of all hosts."""
        for host in self.hosts:
            for role in host.roles:
                await self.start(host, role)

    async def put_config(self, document: dict, number: int = 0) -> int:
        """Sends a configuration to a control host; returns the status."""
        url = f"http://{self.operator_addresses[number]}/v1/config"
        async with self.session.put(url, json=document) as response:
            return response.status

    async def is_ready(self, host: DeployedHost) -> bool:
        """Returns whether a host's gateway reports that it is ready."""
        return await self._responds(host.ip, self.ports.ready, READY_PATH)

    async def is_alive(self, host: DeployedHost, role: str) -> bool:
        """Returns whether a process responds on its internal address."""
        port = self.ports.first if role == CONTROL else self.ports.last
        return await self._responds(host.ip, port, "/healthz")

    async def _responds(self, ip, port, path):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            url = f"http://{ip}:{port}{path}"
            async with self.session.get(url) as response:
                return response.status == 200
        return False

    def children(self) -> list[ChildProcess]:
        """Returns the newest process of each role of each host."""
        found = [host.children.values() for host in self.hosts]
        return list(itertools.chain.from_iterable(found))

    def print_log_ends(self) -> None:
        """Prints the last lines of each process, for a test that failed."""
        for child in self.children():
            lines = child.log.read_text(encoding="utf-8").splitlines()
            print(f"-- {child.name}, running: {child.is_running}")
            print(*lines[-LOG_LINES_PRINTED:], sep="\n")

    async def close(self) -> None:
        """Kills all processes that are left."""
        await self.session.close()
        for child in self.started:
            if child.is_running:
                await child.kill()


def _source_of(word: str) -> str:
    """Returns the source of a file that the deploy file builds."""
    if not word.startswith(BUILT):
        return word
    paths = [source / word.removeprefix(BUILT) for source in SOURCES]
    return str(next(path for path in paths if path.exists()))


def free_port(consecutive: int = 1) -> int:
    """Returns the first of consecutive ports that nobody else gets."""
    return int(free_address(consecutive).split(":")[1])


def deployed_hosts(
    folder: Path, sizes: list[int], control_count: int = 2
) -> list[DeployedHost]:
    """Returns hosts in zones, of which the first of each zone has a disk.

    Args:
        folder: For the data folders.
        sizes: The number of hosts by zone.
        control_count: How many hosts of each zone run the control role.
    """
    draw = random.SystemRandom()
    # Addresses of other deployments, and the usual 127.0.0.x, are left alone.
    network = f"127.{draw.randrange(16, 250)}.{draw.randrange(250)}"
    hosts = []
    for zone, size in enumerate(sizes):
        for number in range(size):
            name = f"edge-{zone}-{number}"
            has_control = number < control_count
            roles = (CONTROL, GATEWAY) if has_control else (GATEWAY,)
            data = folder / f"data-{name}" if number == 0 else None
            ip = f"{network}.{len(hosts) + 1}"
            hosts.append(DeployedHost(name, f"zone-{zone}", ip, data, roles))
    return hosts


@contextlib.asynccontextmanager
async def deployed_fleet(folder: Path, sizes: list[int], control_count=2):
    """Yields a fleet of which no process has been started yet."""
    fleet = DeployedFleet(folder, deployed_hosts(folder, sizes, control_count))
    try:
        yield fleet
    except BaseException:
        fleet.print_log_ends()
        raise
    finally:
        await fleet.close()
