"""A gateway's suspects without a network, for tests."""

import asyncio
import contextlib
import time
from types import SimpleNamespace

from result import Ok

from marjoramyard.coordination.governance.commands import Reply
from marjoramyard.coordination.governance.suspects import EndedRun
from marjoramyard.fleet.gateway import run_permit, suspect_reports
from marjoramyard.fleet.gateway import suspects as module
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.suspect_reports import SuspectReports
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.metrics import Metrics

CALLER = SimpleNamespace(fingerprint="f", shared_parts=())


class Control:
    """Records commands, and answers them."""

    def __init__(self):
        self.hosts = []
        self.commands = []
        self.reply = Ok(Reply(granted=True))

    async def command_built_by(self, build, _timeout):
        self.commands.append(build())
        await asyncio.sleep(0)
        return self.reply

    def kinds(self):
        return [type(command) for command in self.commands]


@contextlib.asynccontextmanager
async def gateway_suspects(monkeypatch):
    monkeypatch.setattr(run_permit, "HOLD_WAIT_SECONDS", 0.2)
    monkeypatch.setattr(module, "OWN_DECISION_SECONDS", 0.01)
    monkeypatch.setattr(suspect_reports, "CLEARING_SECONDS", 0.0)
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    async with task_group() as tasks:
        reports = SuspectReports(Control(), tasks, "g~1", set)
        yield GatewaySuspects(view, reports, tasks, Metrics("gateway", "g"))


def announce(gateway, **seconds):
    known = gateway.known
    known.update(known.revision + 1, seconds, time.monotonic())


def report_deaths(gateway, count):
    for number in range(count):
        run = EndedRun("f", 0.0, earlier_deaths=number)
        gateway.report_death(f"e{number}", [run], time.monotonic())
