"""Tests of the permission to run a request."""

import asyncio
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.commands import (
    HoldSuspect,
    ReleaseSuspect,
    Reply,
)
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.run_permit import RunPermit
from marjoramyard.kernel.errors import FailureKind, FleetError, failure

sys.path.insert(0, str(Path(__file__).parent))

from gateway_suspects import CALLER, announce, gateway_suspects  # noqa: E402


@pytest.fixture
async def gateway(monkeypatch):
    async with gateway_suspects(monkeypatch) as found:
        yield found


async def test_other_requests_need_no_hold(gateway):
    """Guards against delaying each request while there are suspects."""
    announce(gateway, other=5.0)
    permit = RunPermit(gateway, CALLER, "api")
    await permit.acquire()
    permit.check()
    permit.release()
    assert gateway.reports.control.commands == []


async def test_a_request_in_quarantine_is_refused_until_it_ends(gateway):
    """Guards against a caller that is not told when to come back."""
    announce(gateway, f=5.0)
    with pytest.raises(FleetError) as raised:
        await RunPermit(gateway, CALLER, "api").acquire()
    assert raised.value.failure.kind is FailureKind.QUARANTINED
    assert raised.value.failure.kind.status == 503
    assert 4.0 < raised.value.failure.retry_after <= 5.0


async def test_after_its_quarantine_a_request_runs_with_a_hold(gateway):
    """Guards against several endpoints that crash when a quarantine ends."""
    announce(gateway, f=0.0)
    permit = RunPermit(gateway, CALLER, "api")
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
        await RunPermit(gateway, CALLER, "api").acquire()
    assert raised.value.failure.kind is FailureKind.SUSPECT_HELD


async def test_a_suspect_that_is_cleared_while_it_waits_runs(gateway):
    """Guards against refusing a popular request that endpoints answer."""
    announce(gateway, f=0.0)
    gateway.reports.control.reply = Ok(Reply(granted=False))
    waiting = asyncio.create_task(RunPermit(gateway, CALLER, "api").acquire())
    await asyncio.sleep(0.05)
    announce(gateway)
    await waiting


def request_with(*digests):
    parts = tuple(PromptPart(digest, 10) for digest in digests)
    return SimpleNamespace(fingerprint="f", shared_parts=parts)


async def test_a_request_with_a_part_in_quarantine_is_refused(gateway):
    """Guards against sending a new request with a part that crashes engines,
    however its caller writes the part, and against refusing others.
    """
    announce(gateway, **{"part:llm:dead": 5.0})
    for digests in (("a", "dead"), ("DEAD", "b")):
        with pytest.raises(FleetError) as raised:
            await RunPermit(gateway, request_with(*digests), "llm").acquire()
        assert raised.value.failure.kind is FailureKind.QUARANTINED
    await RunPermit(gateway, request_with("a", "b"), "llm").acquire()
    await RunPermit(gateway, request_with("dead"), "other").acquire()


async def test_after_its_quarantine_one_request_with_the_part_runs(gateway):
    """Guards against many requests that crash engines at the same time."""
    announce(gateway, **{"part:llm:dead": 0.0})
    permit = RunPermit(gateway, request_with("a", "dead"), "llm")
    await permit.acquire()
    assert permit.held == {"part:llm:dead"}
    permit.release()
    await asyncio.sleep(0.01)
    assert gateway.reports.control.kinds() == [HoldSuspect, ReleaseSuspect]


async def test_an_answer_clears_the_parts_of_its_prompt(gateway):
    """Guards against refusing a popular part that another gateway has seen run
    on engines that died.
    """
    RunPermit(gateway, request_with("a", "b"), "llm").on_answered()
    announce(gateway, **{"part:llm:b": 5.0, "part:llm:c": 5.0})
    await RunPermit(gateway, request_with("b"), "llm").acquire()
    with pytest.raises(FleetError):
        await RunPermit(gateway, request_with("c"), "llm").acquire()
