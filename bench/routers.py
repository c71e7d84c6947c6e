"""Routers and an operator that run in a benchmark's own process."""

import asyncio
import secrets
import time

from marjoramyard.coordination.governance.commands import (
    Approve,
    Propose,
    Roll,
)
from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.coordination.governance.lifecycle import Change
from marjoramyard.fleet.control.signatures import sign
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.kernel.logs import configure_logs
from marjoramyard.kernel.settings import LogSettings
from marjoramyard.standin.local_fleet import APPROVER, AUTHOR, LocalFleet

COMMAND_TIMEOUT_SECONDS = 20.0

# Suppresses the log lines of the routers.
configure_logs(LogSettings(level="error"))


class NullMetrics:
    """Discards all metrics, as many routers share the process."""

    def count(self, *_: object, **__: object) -> None:
        """Discards the value."""

    def gauge(self, *_: object, **__: object) -> None:
        """Discards the value."""


class Operator:
    """Proposes, approves and rolls changes without starting marjoramctl.

    Attributes:
        version: The version of the last bundle that was rolled out.
    """

    def __init__(self, fleet: LocalFleet):
        secret = fleet.secret_file.read_text().strip()
        self.client = InternalClient(secret, NullMetrics())
        self.control = ControlClient(
            self.client, list(fleet.control_hosts.values())
        )
        self.keys = {
            who: (fleet.folder / f"{who}.key").read_text().strip()
            for who in (AUTHOR, APPROVER)
        }
        self.version = 0

    async def send(self, command):
        """Sends a command to the control leader and returns its result."""
        reply = await self.control.command(command, COMMAND_TIMEOUT_SECONDS)
        return reply.unwrap()

    async def put(self, rows: dict, remove: list[str] | None = None) -> int:
        """Rolls out rows and removals; returns the version of the bundle."""
        change = Change(
            secrets.token_hex(8), self.version, AUTHOR, rows, remove or []
        )

        def signature(who: str, action: str) -> str:
            return sign(self.keys[who], change.signed_bytes(action))

        change_id = change.change_id
        await self.send(Propose(change, signature(AUTHOR, "propose")))
        await self.send(
            Approve(change_id, APPROVER, signature(APPROVER, "approve"))
        )
        done = await self.send(
            Roll(change_id, AUTHOR, signature(AUTHOR, "roll"))
        )
        self.version = done.change.version
        return self.version


class BenchmarkRouter:
    """The membership of one router, with its own connections.

    Attributes:
        installed: When each bundle version was installed, by version.
    """

    def __init__(self, fleet: LocalFleet, number: int, role: str = "agent"):
        secret = fleet.secret_file.read_text().strip()
        self.client = InternalClient(secret, NullMetrics())
        control = ControlClient(self.client, list(fleet.control_hosts.values()))
        row = DirectoryRow(
            f"router-{number}~{secrets.token_hex(4)}",
            role,
            f"zone-{number % 8}",
            f"127.0.0.1:{20000 + number}",
            "chat" if role == "agent" else "",
            slots=8,
            endpoint=f"endpoint-{number}",
        )
        self.membership = RouterMembership(control, NullMetrics(), lambda: row)
        self.installed: dict[int, float] = {}
        self.membership.bundle_listeners.append(self._record_install)
        self.task: asyncio.Task | None = None

    def _record_install(self) -> None:
        version = self.membership.bundle.version
        now = time.monotonic()
        # A router that lags behind installs several versions at once.
        for number in range(max(self.installed, default=0) + 1, version + 1):
            self.installed[number] = now

    def start(self) -> None:
        """Starts to renew the lease."""
        self.task = asyncio.ensure_future(self.membership.run())

    async def close(self) -> None:
        """Stops the renewals and closes the connections."""
        if self.task is not None:
            self.task.cancel()
        await self.client.close()


async def start_routers(
    fleet: LocalFleet, count: int, role: str = "agent"
) -> list[BenchmarkRouter]:
    """Starts routers and waits until all of them hold a lease."""
    routers = [BenchmarkRouter(fleet, n, role) for n in range(count)]
    for router in routers:
        router.start()
    while not all(r.membership.holds_lease() for r in routers):
        await asyncio.sleep(0.05)
    return routers


def first_rows(fleet: LocalFleet, workspaces: int = 0) -> dict:
    """Returns the rows of an initial bundle."""
    rows: dict = {
        f"operators/{who}": {"public_key": key}
        for who, key in fleet.public_keys.items()
    }
    rows["services/chat"] = {"kind": "engine", "models": ["chat"]}
    for number in range(workspaces):
        rows[f"workspaces/w{number}"] = workspace_row(number)
    return rows


def workspace_row(number: int, share: float = 1.0) -> dict:
    """Returns the bundle row of a workspace."""
    return {
        "share": share,
        "services": ["chat"],
        "key_hashes": [f"{number:064x}"],
    }
