"""Requests on a route whose prefix has a percent-encoded letter."""

import asyncio
import itertools
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
SERVICE = "files"
PLAIN_PREFIX, ENCODED_PREFIX = "/plain/", "/ol%C3%A1/"
"""The second is how a path with an accent is sent: letters beyond ASCII can't
stand in a request line."""
REQUESTS = 30
APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
ALLOWED_DENIALS = 5
ALLOWED_SHARE = 1 / 500
_numbers = itertools.count(1)


def document(version: int, *prefixes: str) -> dict:
    """A config with a route for each prefix."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "hostname": HOSTNAME,
                "path_prefix": prefix,
                "request_kind": "idempotent",
                "timeout_ms": 1000,
                "objective_ms": 200,
                "priority": 2,
                "service": SERVICE,
                "max_attempts": 2,
                "open_access": False,
            }
            for number, prefix in enumerate(prefixes)
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
    """The runs at the engines, and the answers."""

    def __init__(self, fleet: Fleet, record: Record):
        self.fleet = fleet
        self.record = record
        self.statuses: list[int | None] = []

    async def run(self, engine: Engine, request: Message) -> tuple[int, bytes]:
        """Runs a request."""
        attempt = request.headers["x-marjoramyard-attempt-id"]
        self.record.note(f"run {attempt} {request.start[1]} at {engine.name}")
        await asyncio.sleep(0.03)
        return 200, b"done"

    async def send(self, host: Host, path: str) -> int | None:
        """Sends a request; returns the status of its answer."""
        attempt = f"a-{next(_numbers)}"
        headers = {
            "Host": HOSTNAME,
            "X-Api-Key": KEY,
            "X-Marjoramyard-Attempt-Id": attempt,
            "X-Marjoramyard-Deadline-Ms": "1000",
        }
        self.record.note(f"send {attempt} {path} to {host.name}")
        answer = await call(
            self.fleet.frontend(host), "GET", path, headers, b"", 1.5
        )
        status = answer.status if answer is not None else None
        self.record.note(f"answer {attempt} {status}")
        return status

    async def send_all(self, prefix: str) -> None:
        """Sends requests on a route to all gateways in turn."""
        for number in range(REQUESTS):
            host = self.fleet.hosts[number % len(self.fleet.hosts)]
            status = await self.send(host, f"{prefix}{number}")
            self.statuses.append(status)


async def case(fleet: Fleet, record: Record) -> int:
    """Runs the case."""
    await fleet.start_all()
    await fleet.put_config(document(1, PLAIN_PREFIX))
    state = Case(fleet, record)
    for number in range(3):
        await Engine(fleet, number, SERVICE, state.run).start()

    async def is_served(host: Host) -> bool:
        return await state.send(host, f"{PLAIN_PREFIX}first") == 200

    await fleet.wait_until_served(is_served)
    await asyncio.sleep(CONTACT_SECONDS + 1)
    added = ENCODED_PREFIX if HAS_TROUBLE else "/ola/"
    record.note(f"config 2 adds a route for {added}")
    await fleet.put_config(document(2, PLAIN_PREFIX, added))
    record.note("config 2 is acknowledged")
    await asyncio.sleep(APPLY_SECONDS + 1)
    await state.send_all(PLAIN_PREFIX)
    await state.send_all(added)
    total = len(state.statuses)
    denied = [status for status in state.statuses if status in (401, 403, 404)]
    allowed = ALLOWED_DENIALS + ALLOWED_SHARE * total
    record.note(f"{len(denied)} of {total} denied, {allowed:.2f} allowed")
    if 200 not in state.statuses:
        raise UnableError("no request was served")
    return BROKEN if len(denied) > allowed else HELD


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
