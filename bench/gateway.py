"""Processor time of a gateway per request and per forwarded event.

`.venv/bin/python bench/gateway.py` starts control hosts, a gateway that brokers
and the measured gateway, sends prompts to fake engines, and writes
bench/out/gateway.json. `--profile FILE` profiles the measured gateway.
"""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

import click
from common import fit, save, show_fit

from marjoramyard.standin.processes import ChildProcess, free_address

from gateway_fleet import (  # isort: skip
    API_KEY,
    GatewayFleet,
    config,
    route,
    wait_until,
)

CALLERS = 24
REQUESTS_PER_CALLER = 60
EVENT_COUNTS = (1, 13, 40, 70)
"""Events per response; the slope is the cost of an event."""
EVENT = b'id: %d\ndata: {"text": "four tokens of a response"}\n\n'
EVENT_INTERVAL_SECONDS = 0.005
ENGINES = 4
BODY = b'{"prompt": "' + b"x" * 2000 + b'"}'


class EngineConnection(asyncio.Protocol):
    """A connection to a fake engine that streams a fixed number of events."""

    events = 1

    def connection_made(self, transport):
        """Called when the connection is established."""
        self.transport = transport
        self.received = b""

    def data_received(self, data):
        """Responds to each complete request."""
        self.received += data
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if found and len(rest) >= self._length(head):
            self.received = b""
            asyncio.ensure_future(self._respond(head))

    @staticmethod
    def _header(head, name):
        for line in head.split(b"\r\n"):
            if line.lower().startswith(name + b":"):
                return line.partition(b":")[2].strip()
        return b""

    def _length(self, head):
        return int(self._header(head, b"content-length") or 0)

    async def _respond(self, head):
        request_id = self._header(head, b"request-id")
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Request-Id: " + request_id + b"\r\nAnswer-Signature: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(self.events):
            event = EVENT % number
            self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        self.transport.write(b"0\r\n\r\n")


class EngineRegistration:
    """What a fake engine says in its heartbeats."""

    def __init__(self, name, address):
        self.name = name
        self.address = address

    def registration(self, state):
        """Returns the content of a heartbeat."""
        return {
            "endpoint": self.name,
            "service": "chat",
            "address": self.address,
            "state": state,
            "sequence": time.monotonic_ns(),
            "born": 1,
        }


async def send_prompt(reader, writer, number):
    """Sends one prompt on an open connection and reads its response."""
    writer.write(
        b"POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Request-Id: bench-%d\r\nRequest-Deadline-Ms: 20000\r\n"
        b"Api-Key: %s\r\nPrompt-Parts: aa:100,%x:50\r\n"
        b"Token-Counts: 150,40\r\nContent-Length: %d\r\n\r\n"
        % (number, API_KEY.encode(), number, len(BODY))
        + BODY
    )
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        raise click.ClickException(f"not served: {head!r}")
    await reader.readuntil(b"\r\n0\r\n\r\n")


async def run_callers(address, first_number):
    """Sends prompts from concurrent callers; returns their number."""
    host, port = address.split(":")

    async def caller(offset):
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(REQUESTS_PER_CALLER):
            await send_prompt(
                reader,
                writer,
                first_number + offset * REQUESTS_PER_CALLER + number,
            )
        writer.close()

    await asyncio.gather(*(caller(offset) for offset in range(CALLERS)))
    return CALLERS * REQUESTS_PER_CALLER


def user_seconds(child):
    """Returns the processor time that a process used in user mode.

    The rest depends on the kernel, which differs between machines.
    """
    stat = Path(f"/proc/{child.pid}/stat").read_text(encoding="ascii")
    ticks = int(stat.rpartition(")")[2].split()[11])
    return ticks / os.sysconf("SC_CLK_TCK")


async def start_fleet(folder, profile):
    """Starts the fleet; returns it with the measured gateway running."""
    fleet = GatewayFleet(folder, processor_cores=1.0)
    fleet.write_settings(
        "broker",
        role="gateway",
        internal=free_address(),
        listen=free_address(),
        ready_listen=free_address(),
        grace_seconds=8.0,
        processor_cores=4.0,
    )
    for name in ("control-0", "control-1", "control-2", "broker"):
        await fleet.start(name)
    await start_measured_gateway(fleet, profile)
    await put_chat_config(fleet, slots=200, timeout_ms=20000)
    return fleet


async def start_measured_gateway(fleet, profile):
    """Starts the measured gateway; profiles it if `profile` names a file."""
    command = [sys.executable, "-m", "marjoramyard.fleet", "run"]
    if profile:
        command[1:1] = ["-m", "cProfile", "-o", profile]
    command.append(str(fleet.folder / "gateway.yaml"))
    child = ChildProcess("gateway", command, fleet.folder / "gateway.log")
    fleet.children["gateway"] = child
    await child.start()


async def put_chat_config(fleet, slots, timeout_ms):
    """Configures the service of the prompts; waits for the gateway."""
    chat = route("chat", "/chat/", "non_idempotent", service="chat")
    chat |= {
        "open_access": False,
        "timeout_ms": timeout_ms,
        "objective_ms": 9000,
    }
    document = config(1, chat)
    engine = {"slots": slots, "memory_tokens": 10_000_000}
    document["services"].append({"name": "chat", "engine": engine})
    document["limits"] = {"tokens_per_s": 1_000_000}
    await fleet.put_config(document)
    await wait_until(fleet.is_ready)


async def measure(profile):
    """Measures all event counts; returns the points (events, ms)."""
    points = []
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start_fleet(Path(folder), profile)
        engines = []
        try:
            for number in range(ENGINES):
                address = free_address()
                host, port = address.split(":")
                engines.append(
                    await loop.create_server(EngineConnection, host, int(port))
                )
                engine = EngineRegistration(f"engine-{number}", address)
                for control_host in range(3):
                    await fleet.send_heartbeat(engine, host=control_host)
            await asyncio.sleep(1.0)
            gateway = fleet.children["gateway"]
            first_number = 0
            for events in (EVENT_COUNTS[0], *EVENT_COUNTS):
                EngineConnection.events = events
                before = gateway.cpu_seconds()
                user_before = user_seconds(gateway)
                started_at = time.monotonic()
                count = await run_callers(fleet.listen_address, first_number)
                first_number += count
                used = gateway.cpu_seconds() - before
                seconds = time.monotonic() - started_at
                user = user_seconds(gateway) - user_before
                points.append((events, user / count * 1000))
                print(
                    f"{events} events: {used / count * 1000:.3f} ms a request, "
                    f"{user / count * 1000:.3f} of it in user mode, "
                    f"{count / seconds:.0f} requests/s, "
                    f"{used / seconds:.2f} of a core",
                    flush=True,
                )
            await gateway.terminate()
        finally:
            for engine in engines:
                engine.close()
            await fleet.close()
    # The first pass warms up.
    return points[1:]


@click.command()
@click.option("--profile", help="Where to write a cProfile of the gateway.")
def main(profile: str | None) -> None:
    """Measures the processor time of a gateway."""
    line = fit("gateway, per event", "ms", asyncio.run(measure(profile)))
    show_fit(line)
    if not profile:
        save("gateway", line)


if __name__ == "__main__":
    main()
