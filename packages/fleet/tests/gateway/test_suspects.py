"""Tests of what a gateway does about requests that crash endpoints."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    HoldSuspect,
    ReleaseSuspect,
    Reply,
    ReportDeath,
)
from marjoramyard.coordination.governance.suspects import EndedRun, Standing
from marjoramyard.fleet.gateway import suspect_reports
from marjoramyard.fleet.gateway import suspects as module
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.suspect_reports import SuspectReports
from marjoramyard.fleet.gateway.suspects import GatewaySuspects, RunPermit
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.kernel.errors import FailureKind, FleetError, failure
from marjoramyard.kernel.metrics import Metrics

CALLER = SimpleNamespace(fingerprint="f")


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


@pytest.fixture
async def gateway(monkeypatch):
    monkeypatch.setattr(module, "HOLD_WAIT_SECONDS", 0.2)
    monkeypatch.setattr(module, "OWN_DECISION_SECONDS", 0.01)
    monkeypatch.setattr(suspect_reports, "CLEARING_SECONDS", 0.0)
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    async with task_group() as tasks:
        reports = SuspectReports(Control(), tasks, "g~1", set)
        yield GatewaySuspects(view, reports, tasks, Metrics("gateway", "g"))


def announce(gateway, **seconds):
    known = gateway.known
    known.update(known.revision + 1, seconds, [], time.monotonic())


def report_deaths(gateway, count):
    for number in range(count):
        run = EndedRun("f", 0.0, earlier_deaths=number)
        gateway.report_death(f"e{number}", [run], time.monotonic())


async def test_other_requests_need_no_hold(gateway):
    """Guards against delaying each request while there are suspects."""
    announce(gateway, other=5.0)
    permit = RunPermit(gateway, CALLER)
    await permit.acquire()
    permit.check()
    permit.release()
    assert gateway.reports.control.commands == []


async def test_a_request_in_quarantine_is_refused_until_it_ends(gateway):
    """Guards against a caller that is not told when to come back."""
    announce(gateway, f=5.0)
    with pytest.raises(FleetError) as raised:
        await RunPermit(gateway, CALLER).acquire()
    assert raised.value.failure.kind is FailureKind.QUARANTINED
    assert raised.value.failure.kind.status == 503
    assert 4.0 < raised.value.failure.retry_after <= 5.0


async def test_after_its_quarantine_a_request_runs_with_a_hold(gateway):
    """Guards against several endpoints that crash when a quarantine ends."""
    announce(gateway, f=0.0)
    permit = RunPermit(gateway, CALLER)
    await permit.acquire()
    assert permit.is_held
    permit.release()
    await asyncio.sleep(0.01)
    assert gateway.reports.control.kinds() == [HoldSuspect, ReleaseSuspect]


@pytest.mark.parametrize(
    "reply",
    [Ok(Reply(granted=False)), Err(failure(FailureKind.NO_QUORUM, "none"))],
)
async def test_a_suspect_without_a_hold_is_refused(gateway, reply):
    """Guards against running a suspect that runs elsewhere, or while no
    control host can tell.
    """
    announce(gateway, f=0.0)
    gateway.reports.control.reply = reply
    with pytest.raises(FleetError) as raised:
        await RunPermit(gateway, CALLER).acquire()
    assert raised.value.failure.kind is FailureKind.SUSPECT_HELD


async def test_a_suspect_that_is_cleared_while_it_waits_runs(gateway):
    """Guards against refusing a popular request that endpoints answer."""
    announce(gateway, f=0.0)
    gateway.reports.control.reply = Ok(Reply(granted=False))
    waiting = asyncio.create_task(RunPermit(gateway, CALLER).acquire())
    await asyncio.sleep(0.05)
    announce(gateway)
    await waiting


async def test_a_gateway_alone_refuses_what_crashed_its_endpoints(gateway):
    """Guards against crashing endpoint after endpoint while no control host
    leads.
    """
    async with gateway.reports.sending:
        report_deaths(gateway, 1)
        await asyncio.sleep(0.05)
        await RunPermit(gateway, CALLER).acquire()
        report_deaths(gateway, 2)
        await asyncio.sleep(0.05)
        with pytest.raises(FleetError):
            await RunPermit(gateway, CALLER).acquire()


async def test_the_control_hosts_decide_once_they_have_the_report(
    gateway, monkeypatch
):
    """Guards against a gateway that refuses a request which the fleet has
    cleared.
    """
    monkeypatch.setattr(module, "ANNOUNCEMENT_SECONDS", 0.0)
    async with gateway.reports.sending:
        report_deaths(gateway, 2)
        await asyncio.sleep(0.05)
        assert gateway.standing("f") is Standing.CONVICTED
    await asyncio.sleep(0.05)
    assert gateway.reports.control.kinds() == [ReportDeath, ReportDeath]
    assert gateway.standing("f") is Standing.CLEAR


async def test_an_answered_suspect_is_cleared_for_the_fleet(gateway):
    """Guards against a suspicion that outlives a response."""
    announce(gateway, f=5.0)
    RunPermit(gateway, CALLER).on_answered()
    assert gateway.standing("f") is Standing.CLEAR
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == [ClearSuspects(["f"], "g~1")]


async def test_a_suspect_that_was_answered_lately_is_cleared_at_once(gateway):
    """Guards against refusing a popular request that another gateway has seen
    run on endpoints that died.
    """
    RunPermit(gateway, CALLER).on_answered()
    announce(gateway, f=5.0)
    await RunPermit(gateway, CALLER).acquire()
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == [ClearSuspects(["f"], "g~1")]


async def test_a_request_that_was_answered_lately_is_not_reported(gateway):
    """Guards against suspecting a popular request in which an endpoint died."""
    RunPermit(gateway, CALLER).on_answered()
    report_deaths(gateway, 2)
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == []


async def test_responses_to_other_requests_are_not_told(gateway):
    """Guards against a message to the control hosts for each response."""
    announce(gateway, f=5.0)
    other = SimpleNamespace(fingerprint="other")
    RunPermit(gateway, other).on_answered()
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == []


async def test_a_request_that_is_answered_before_the_report_is_left_out(
    gateway,
):
    """Guards against a suspicion that arrives after the response that ends it,
    because no control host was leading in between.
    """
    async with gateway.reports.sending:
        report_deaths(gateway, 1)
        await asyncio.sleep(0)
        RunPermit(gateway, CALLER).on_answered()
    await asyncio.sleep(0.05)
    [reported] = gateway.reports.control.commands
    assert reported.runs == []
