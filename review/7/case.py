"""Engines that leave, and control processes that are killed after the ack."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts_2 import (  # noqa: E402
    BROKEN,
    HAS_TROUBLE,
    HELD,
    Engine,
    Fleet,
    Host,
    Message,
    Record,
    UnableError,
    call,
    run_case,
)

HOSTNAME = "site.example"
KEY = "key-of-the-tenant"
SERVICE = "rental-api"
HOSTS = 6
ENGINES = 5
LEAVING = 2
"""So many engines leave shortly after each other."""
LEAVE_GAP_SECONDS = 0.012
LINGER_SECONDS = 12.0
"""How long they go on serving after the ack."""
DOWN_SECONDS = 0.5
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
CLIENTS = 6
_numbers = itertools.count(1)


def document() -> dict:
    """The config."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "check",
                "hostname": HOSTNAME,
                "path_prefix": "/check/",
                "request_kind": "idempotent",
                "timeout_ms": 1000,
                "objective_ms": 200,
                "priority": 2,
                "service": SERVICE,
                "max_attempts": 2,
                "open_access": False,
            }
        ],
        "services": [
            {"name": SERVICE, "health_path": "/healthz", "max_connections": 260}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "workspaces": [{"name": "tenant", "api_keys": [KEY], "priority": 1}],
    }


class Case:
    """The engines, the clients and what the engines got.

    Attributes:
        arrivals: When requests reached each engine.
        acked_at: When the departure of an engine was acknowledged.
    """

    def __init__(self, fleet: Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.arrivals: dict[str, list[float]] = {}
        self.acked_at: dict[str, float] = {}

    async def run(self, engine: Engine, request: Message) -> tuple[int, bytes]:
        """Runs a request."""
        attempt = request.headers["x-marjoramyard-attempt-id"]
        self.record.note(f"run {attempt} at {engine.name}")
        now = self.record.now()
        self.arrivals.setdefault(engine.name, []).append(now)
        await asyncio.sleep(0.045)
        return 200, b"done"

    async def send(self, host: Host) -> int | None:
        """Sends a request; returns the status of its answer."""
        attempt = f"a-{next(_numbers)}"
        headers = {
            "Host": HOSTNAME,
            "X-Api-Key": KEY,
            "X-Marjoramyard-Attempt-Id": attempt,
            "X-Marjoramyard-Deadline-Ms": "1000",
        }
        self.record.note(f"send {attempt} to {host.name}")
        answer = await call(
            self.fleet.frontend(host), "GET", "/check/x", headers, b"", 1.5
        )
        status = answer.status if answer is not None else None
        self.record.note(f"answer {attempt} {status}")
        return status

    async def client(self, number: int) -> None:
        """Sends requests at one gateway."""
        while True:
            await self.send(self.fleet.hosts[number % HOSTS])
            await asyncio.sleep(0.1)

    async def leave(self, engine: Engine, address: str) -> None:
        """Tells a control host that an engine leaves; it serves on."""
        engine.is_leaving = True
        engine.beating.cancel()
        path = f"/v1/endpoints/{engine.name}"
        answer = await call(address, "DELETE", path)
        if answer is None or answer.status != 200:
            raise UnableError("a departure was not acknowledged")
        self.acked_at[engine.name] = self.record.now()

    async def kill_control(self) -> None:
        """Kills all processes that serve control; they are soon back."""
        killed = [h for h in self.fleet.hosts if "control" in h.roles]
        for host in killed:
            host.processes["control"].send_signal(signal.SIGKILL)
        self.record.note("all processes that serve control are killed")
        for host in killed:
            await host.processes["control"].wait()
        await asyncio.sleep(DOWN_SECONDS)
        self.fleet.is_first_start = False
        for host in killed:
            await self.fleet.start(host, "control")
        self.record.note("they are started")


async def case(fleet: Fleet, record: Record) -> int:
    """Runs the case."""
    await fleet.start_all()
    await fleet.put_config(document())
    state = Case(fleet, record)
    engines = [Engine(fleet, n, SERVICE, state.run) for n in range(ENGINES)]
    for engine in engines:
        await engine.start()

    async def is_served(host: Host) -> bool:
        return await state.send(host) == 200

    await fleet.wait_until_served(is_served)
    await asyncio.sleep(CONTACT_SECONDS + 2)
    clients = [asyncio.create_task(state.client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(2)
    leaving = engines[:LEAVING]
    address = fleet.control_addresses[0]
    departures = []
    for engine in leaving:
        departures.append(asyncio.create_task(state.leave(engine, address)))
        await asyncio.sleep(LEAVE_GAP_SECONDS)
    await asyncio.gather(*departures)
    in_touch_at = max(state.acked_at.values())
    for engine in leaving:
        at = state.acked_at[engine.name]
        record.note(f"the departure of {engine.name} was acked at {at:.3f}")
    if HAS_TROUBLE:
        await state.kill_control()
        in_touch_at = record.now() + CONTACT_SECONDS
    record.note(f"all machines are in touch from {in_touch_at:.1f} on")
    await asyncio.sleep(LINGER_SECONDS)
    for client in clients:
        client.cancel()
    late = []
    for engine in leaving:
        since = max(in_touch_at, state.acked_at[engine.name] + DRAIN_SECONDS)
        times = state.arrivals.get(engine.name, [])
        found = [at for at in times if at > since]
        record.note(f"{engine.name}: {len(found)} requests after {since:.1f}")
        late += found
    if not state.arrivals:
        raise UnableError("no request was run")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case, HOSTS, HOSTS)
