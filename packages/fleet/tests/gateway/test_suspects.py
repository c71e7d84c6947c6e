"""Tests of what a gateway does about requests that crash endpoints."""

import asyncio
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    ReportDeath,
)
from marjoramyard.coordination.governance.suspects import Standing
from marjoramyard.fleet.gateway import known_suspects
from marjoramyard.fleet.gateway import suspects as module
from marjoramyard.fleet.gateway.run_permit import RunPermit
from marjoramyard.kernel.errors import FleetError

sys.path.insert(0, str(Path(__file__).parent))

from gateway_suspects import CALLER, announce, gateway_suspects, report_deaths  # noqa: E402


@pytest.fixture
async def gateway(monkeypatch):
    async with gateway_suspects(monkeypatch) as found:
        yield found


async def test_a_gateway_alone_refuses_what_crashed_its_endpoints(gateway):
    """Guards against crashing endpoint after endpoint while no control host
    leads.
    """
    async with gateway.reports.sending:
        report_deaths(gateway, 1)
        await asyncio.sleep(0.05)
        await RunPermit(gateway, CALLER, "api").acquire()
        report_deaths(gateway, 2)
        await asyncio.sleep(0.05)
        with pytest.raises(FleetError):
            await RunPermit(gateway, CALLER, "api").acquire()


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
    RunPermit(gateway, CALLER, "api").on_answered()
    assert gateway.standing("f") is Standing.CLEAR
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == [ClearSuspects(["f"], "g~1")]


async def test_a_suspect_that_was_answered_lately_is_cleared_at_once(gateway):
    """Guards against refusing a popular request that another gateway has seen
    run on endpoints that died.
    """
    RunPermit(gateway, CALLER, "api").on_answered()
    announce(gateway, f=5.0)
    await RunPermit(gateway, CALLER, "api").acquire()
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == [ClearSuspects(["f"], "g~1")]


async def test_a_request_that_was_answered_lately_is_not_reported(gateway):
    """Guards against suspecting a popular request in which an endpoint died."""
    RunPermit(gateway, CALLER, "api").on_answered()
    report_deaths(gateway, 2)
    await asyncio.sleep(0.05)
    assert gateway.reports.control.commands == []


async def test_responses_to_other_requests_are_not_told(gateway):
    """Guards against a message to the control hosts for each response."""
    announce(gateway, f=5.0)
    other = SimpleNamespace(fingerprint="other", shared_parts=())
    RunPermit(gateway, other, "api").on_answered()
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
        RunPermit(gateway, CALLER, "api").on_answered()
    await asyncio.sleep(0.05)
    [reported] = gateway.reports.control.commands
    assert reported.runs == []


async def test_a_new_suspect_is_refused_once_others_could_clear_it(gateway):
    """Guards against refusing a popular request, or a part of all prompts, in
    the moment until a gateway that has answered it is heard.
    """
    announce(gateway, other=5.0)
    announce(gateway, f=5.0)
    await RunPermit(gateway, CALLER, "api").acquire()
    await asyncio.sleep(known_suspects.OBJECTION_SECONDS)
    with pytest.raises(FleetError):
        await RunPermit(gateway, CALLER, "api").acquire()
    announce(gateway, f=4.0)
    with pytest.raises(FleetError):
        await RunPermit(gateway, CALLER, "api").acquire()


async def test_a_gateway_that_starts_refuses_all_suspects_at_once(gateway):
    """Guards against a restarted gateway that lets known suspects through."""
    announce(gateway, f=5.0)
    with pytest.raises(FleetError):
        await RunPermit(gateway, CALLER, "api").acquire()
