"""Parts of the scripts of the second review: a fleet, engines and clients.

The fleet is the project's own, started with the commands of the deploy file.
The platform, the engines, the operator and the clients are stand-ins on
loopback addresses. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2
"""Exit codes: the rule held, it was broken, the case could not run."""
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 25.0
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "fail_closed": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 128,
}
_TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")


class UnableError(Exception):
    """The case could not run."""


# Messages.


@dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The fields of its first line.
        headers: The headers, with names in lower case.
        body: The body.
        is_whole: Whether it has been read to its end.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads the head of a message; returns None at the end of a channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of a message; notes if it breaks off."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while size := int(await _read_line(reader), 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await _read_line(reader)
        else:
            size = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_whole = False


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Reads a line of a chunked body; one without its end is none."""
    line = await reader.readuntil(b"\r\n")
    return line.partition(b";")[0].strip()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 2.0,
) -> Message | None:
    """Sends one request on a channel of its own.

    Returns:
        The response; None if there was no whole one in time.
    """
    writer = None
    fields = {"Host": address, "Content-Length": str(len(body))}
    fields |= headers or {}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*split(address))
            start = f"{method} {path} HTTP/1.1\r\n"
            writer.write(f"{start}{head}\r\n".encode() + body)
            answer = await read_head(reader)
            while answer is not None and answer.status < 200:
                answer = await read_head(reader)
            if answer is not None:
                await read_body(reader, answer)
            return answer if answer is not None and answer.is_whole else None
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def split(address: str) -> tuple[str, int]:
    """Returns host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


# Settings.


def render(template: str, scopes: list[Any]) -> str:
    """Renders a template of settings, as the platform does."""
    text, rest = _render(template, scopes, "", "")
    if rest:
        raise UnableError("a template has an end without a section")
    return text


def _render(text, scopes, key, comma):
    done = ""
    while (tag := _TAG.search(text)) is not None:
        done += text[: tag.start()]
        text = text[tag.end() :]
        kind, name = tag.groups()
        if kind == "/":
            return done, text
        if not kind:
            done += _value(name, scopes, key, comma)
            continue
        found = _look_up(name, scopes)
        if isinstance(found, dict):
            entries = list(found.items())
        elif isinstance(found, list):
            entries = list(enumerate(found))
        else:
            entries = [("", found)] if found not in (None, False, "") else []
        if kind == "^":
            entries = [] if entries else [("", scopes[-1])]
        _, rest = _render(text, scopes, "", "")
        for number, (each, entry) in enumerate(entries, 1):
            between = "," if number < len(entries) else ""
            done += _render(text, [*scopes, entry], str(each), between)[0]
        text = rest
    return done + text, ""


def _value(name, scopes, key, comma):
    if name in ("@", ","):
        return key if name == "@" else comma
    path, _, form = name.partition("|")
    value = scopes[-1] if path == "." else _look_up(path, scopes)
    if form == "json" or isinstance(value, dict):
        return json.dumps(value)
    return "" if value is None else str(value)


def _look_up(path, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


# The fleet.


@dataclass
class Host:
    """A machine with its processes, by role."""

    name: str
    zone: str
    ip: str
    roles: tuple[str, ...]
    has_disk: bool
    processes: dict[str, asyncio.subprocess.Process] = field(
        default_factory=dict
    )


class Fleet:
    """The processes of a small deployment, a loopback address a host.

    The hosts are in three zones, and the first of each zone has a disk. The
    first ones serve control.
    """

    def __init__(self, folder: Path, gateways: int = 3, controls: int = 3):
        self.folder = folder
        draw = random.SystemRandom()
        self.network = f"127.{draw.randrange(16, 250)}.{draw.randrange(250)}"
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.roles = tomllib.loads(deploy)["roles"]
        wire = (ROOT / "deploy/wire.toml").read_text()
        self.names = tomllib.loads(wire)["fields"]
        self.ports = free_ports(f"{self.network}.1", 5)
        self.hosts = [
            Host(
                f"edge-{number}",
                f"zone-{number % 3}",
                f"{self.network}.{number + 1}",
                ("control", "gateway") if number < controls else ("gateway",),
                number < 3,
            )
            for number in range(gateways)
        ]
        self.is_first_start = True

    @property
    def control_addresses(self) -> list[str]:
        """Where engines and the operator call."""
        return [
            f"{host.ip}:{self.ports[2]}"
            for host in self.hosts
            if "control" in host.roles
        ]

    def frontend(self, host: Host) -> str:
        """Where clients call."""
        return f"{host.ip}:{self.ports[0]}"

    def _settings(self, host: Host, role: str) -> str:
        known = {
            "node_name": host.name,
            "role": role,
            "ip": host.ip,
            "zone": host.zone,
            "region": "region",
            "zones": {f"zone-{n}": "region" for n in range(3)},
            "listen": {
                "frontend": f"{host.ip}:{self.ports[0]}",
                "ready": f"{host.ip}:{self.ports[1]}",
                "control": f"{host.ip}:{self.ports[2]}",
            },
            "port_range": [self.ports[3], self.ports[4]],
            "seeds": self.control_addresses[:3],
            "bootstrap": self.is_first_start,
            "limits": {
                "cpu_share": 0.968,
                "memory_mb": 150,
                "max_fds": 4100,
                "disk_mb": 64 if host.has_disk else None,
            },
            "data_dir": (
                str(self.folder / f"data-{host.name}")
                if host.has_disk and role == "control"
                else None
            ),
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        fields = {self.names.get(name, name): known[name] for name in known}
        template = (ROOT / self.roles[role]["template"]).read_text()
        return render(template, [fields])

    async def start(self, host: Host, role: str) -> None:
        """Starts a process."""
        settings = self.folder / f"{host.name}-{role}.yaml"
        settings.write_text(self._settings(host, role))
        log = (self.folder / f"{host.name}-{role}.log").open("ab")
        with log:
            host.processes[role] = await asyncio.create_subprocess_exec(
                *self.roles[role]["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "MARJORAMYARD_CONFIG": str(settings),
                },
                stdout=log,
                stderr=log,
            )

    async def start_all(self) -> None:
        """Starts all processes and waits until operators can call."""
        if not (ROOT / "target/deps").is_dir():
            raise UnableError("the deploy file's build has not been run")
        for host in self.hosts:
            for role in host.roles:
                await self.start(host, role)

    async def put_config(self, document: dict) -> None:
        """Sends a config until it is acknowledged."""
        body = json.dumps(document).encode()
        for _ in range(int(START_SECONDS / 0.2)):
            for address in self.control_addresses:
                answer = await call(address, "PUT", "/v1/config", {}, body)
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise UnableError("the config was not acknowledged")

    async def wait_until_served(
        self, probe: Callable[[Host], Awaitable[bool]]
    ) -> None:
        """Waits until a probe succeeds at each gateway."""
        for host in self.hosts:
            for _ in range(int(START_SECONDS / 0.2)):
                if await probe(host):
                    break
                await asyncio.sleep(0.2)
            else:
                raise UnableError(f"{host.name} does not serve")

    def stop(self) -> None:
        """Kills all processes."""
        for host in self.hosts:
            for process in host.processes.values():
                if process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(signal.SIGKILL)


def free_ports(ip: str, count: int) -> list[int]:
    """Returns ports that nobody uses, in ascending order."""
    held = []
    for _ in range(count):
        listening = socket.socket()
        listening.bind((ip, 0))
        held.append(listening)
    ports = sorted(listening.getsockname()[1] for listening in held)
    for listening in held:
        listening.close()
    return ports


# Engines.


class Engine:
    """An engine of a service, with heartbeats.

    Attributes:
        name: The id of its lifetime.
        is_up: Whether it listens.
        is_leaving: Whether it says in its answers that it is leaving.
        run: Called with each request that it begins to run; returns the
            status and the body of the answer, or None to send nothing.
    """

    def __init__(self, fleet: Fleet, number: int, service: str, run):
        self.fleet = fleet
        self.number = number
        self.service = service
        self.run = run
        ip = f"{fleet.network}.{100 + number}"
        self.address = f"{ip}:{free_ports(ip, 1)[0]}"
        self.lifetimes = 0
        self.name = ""
        self.born = 0
        self.seq = 0
        self.is_up = False
        self.is_leaving = False
        self.server: asyncio.Server | None = None
        self.channels: set[asyncio.StreamWriter] = set()
        self.beating: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts a lifetime."""
        self.lifetimes += 1
        self.name = f"i-{self.service}-{self.number}-{self.lifetimes}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        host, port = split(self.address)
        self.server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )
        self.is_up = True
        self.beating = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """Ends at once, as a process that is killed."""
        if not self.is_up:
            return
        self.is_up = False
        self.beating.cancel()
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()

    def heartbeat(self) -> dict[str, Any]:
        """Returns the fields of a heartbeat."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": f"zone-{self.number % 3}",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def _beat(self) -> None:
        addresses = list(self.fleet.control_addresses)
        while True:
            self.seq += 1
            path = f"/v1/endpoints/{self.name}"
            body = json.dumps(self.heartbeat()).encode()
            for _ in addresses:
                answer = await call(addresses[0], "PUT", path, {}, body, 1.0)
                if answer is not None and answer.status == 200:
                    break
                addresses.append(addresses.pop(0))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer) -> None:
        self.channels.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not request.is_whole:
                    return
                await self.write_answer(request, writer)
                await writer.drain()
                if self.is_leaving:
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.channels.discard(writer)
            writer.close()

    async def write_answer(self, request: Message, writer) -> None:
        """Runs a request and writes its answer."""
        writer.write(await self._answer(request))

    async def _answer(self, request: Message) -> bytes:
        attempt = request.headers.get("x-marjoramyard-attempt-id", "")
        target = request.headers.get("x-marjoramyard-target-instance", "")
        if target not in ("", self.name):
            return _response(421, attempt, b"", self.name)
        status, body = await self.run(self, request)
        answer = _response(status, attempt, body, self.name)
        if self.is_leaving:
            return answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        return answer


def _response(status: int, attempt: str, body: bytes, name: str) -> bytes:
    head = (
        f"HTTP/1.1 {status} Answer\r\n"
        f"X-Marjoramyard-Attempt-Id: {attempt}\r\n"
        f"X-Marjoramyard-Instance-Id: {name}\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    if status == 421:
        head += "X-Marjoramyard-Not-Executed: 1\r\n"
    else:
        head += f"X-Marjoramyard-Engine-Signature: {name}.{attempt}\r\n"
    return head.encode() + b"\r\n" + body


# Cases.


class Record:
    """What was sent, answered and run; written to `record.txt`."""

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_at

    def note(self, what: str) -> None:
        """Notes an event with its time."""
        self.lines.append(f"{self.now():8.3f} {what}")

    def write(self) -> None:
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def run_case(folder: Path, case, gateways: int = 3, controls: int = 3) -> None:
    """Runs a case, ends its processes, and exits with its result.

    Args:
        folder: Where the record is written.
        case: Called with the fleet and the record; returns the exit code.
        gateways: How many gateways there are.
        controls: How many of their hosts serve control, too.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))
    record = Record(folder)
    record.note(f"trouble: {HAS_TROUBLE}")
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(Path(name), gateways, controls)
        try:
            result = asyncio.run(_run(fleet, record, case))
        except UnableError as error:
            record.note(f"could not run: {error}")
            result = UNABLE
        finally:
            fleet.stop()
            if kept := os.environ.get("KEEP_LOGS"):
                for log in Path(name).glob("*.log"):
                    Path(kept, log.name).write_bytes(log.read_bytes())
            record.write()
    print("\n".join(record.lines[-3:]))
    sys.exit(result)


async def _run(fleet: Fleet, record: Record, case) -> int:
    try:
        async with asyncio.timeout(110):
            return await case(fleet, record)
    except TimeoutError:
        raise UnableError("it took too long") from None
    finally:
        fleet.stop()
        for host in fleet.hosts:
            for process in host.processes.values():
                await process.wait()
