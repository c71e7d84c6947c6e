"""Stand-in routers (the real membership code) and a fast operator."""

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

COMMAND_SECONDS = 20.0

# Routers in a benchmark's own process would fill its output.
configure_logs(LogSettings(level="error"))


class QuietMetrics:
    """Counts nothing: many routers in one process would share one page."""

    def count(self, *_: object, **__: object) -> None:
        """Does nothing."""

    def gauge(self, *_: object, **__: object) -> None:
        """Does nothing."""


class Operator:
    """Proposes, approves and rolls without a process for each step."""

    def __init__(self, fleet: LocalFleet):
        secret = fleet.secret_file.read_text().strip()
        self.client = InternalClient(secret, QuietMetrics())
        self.control = ControlClient(
            self.client, list(fleet.control_hosts.values())
        )
        self.keys = {
            who: (fleet.folder / f"{who}.key").read_text().strip()
            for who in (AUTHOR, APPROVER)
        }
        self.version = 0

    async def send(self, command):
        """Has a command replicated."""
        reply = await self.control.command(command, COMMAND_SECONDS)
        return reply.unwrap()

    async def put(self, rows: dict, remove: list[str] | None = None) -> int:
        """Puts rows in force; returns the version."""
        change = Change(
            secrets.token_hex(8), self.version, AUTHOR, rows, remove or []
        )

        def signed(who: str, action: str) -> str:
            return sign(self.keys[who], change.signed_bytes(action))

        name = change.change_id
        await self.send(Propose(change, signed(AUTHOR, "propose")))
        await self.send(Approve(name, APPROVER, signed(APPROVER, "approve")))
        done = await self.send(Roll(name, AUTHOR, signed(AUTHOR, "roll")))
        self.version = done.change.version
        return self.version


class StandInRouter:
    """One router's membership, with its own connection."""

    def __init__(self, fleet: LocalFleet, number: int, role: str = "agent"):
        secret = fleet.secret_file.read_text().strip()
        self.client = InternalClient(secret, QuietMetrics())
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
        self.membership = RouterMembership(control, QuietMetrics(), lambda: row)
        self.installed: dict[int, float] = {}
        self.membership.on_bundle.append(self._note)
        self.task: asyncio.Task | None = None

    def _note(self) -> None:
        version = self.membership.bundle.version
        now = time.monotonic()
        # A router that was behind gets several versions at once.
        for number in range(max(self.installed, default=0) + 1, version + 1):
            self.installed[number] = now

    def start(self) -> None:
        """Starts to renew."""
        self.task = asyncio.ensure_future(self.membership.run())

    async def close(self) -> None:
        """Ends it."""
        if self.task is not None:
            self.task.cancel()
        await self.client.close()


async def start_routers(
    fleet: LocalFleet, count: int, role: str = "agent"
) -> list[StandInRouter]:
    """Starts routers and waits until all hold a lease."""
    routers = [StandInRouter(fleet, n, role) for n in range(count)]
    for router in routers:
        router.start()
    while not all(r.membership.holds_lease() for r in routers):
        await asyncio.sleep(0.05)
    return routers


def first_rows(fleet: LocalFleet, workspaces: int = 0) -> dict:
    """Returns the rows of a first bundle."""
    rows: dict = {
        f"operators/{who}": {"public_key": key}
        for who, key in fleet.public_keys.items()
    }
    rows["services/chat"] = {"kind": "engine", "models": ["chat"]}
    for number in range(workspaces):
        rows[f"workspaces/w{number}"] = workspace_row(number)
    return rows


def workspace_row(number: int, share: float = 1.0) -> dict:
    """Returns a workspace's row."""
    return {
        "share": share,
        "services": ["chat"],
        "key_hashes": [f"{number:064x}"],
    }
