"""Tests of one attempt at an agent's endpoint."""

import asyncio
import math
import time
from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from aiohttp.http_writer import _serialize_headers
from endless_replies import (
    EVENT_WITHOUT_END,
    RESPONSES,
    EndlessServer,
    resident_bytes,
)
from held import new_account, new_holding
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.frames import REPLAY_BUFFER_BYTES
from marjoramyard.fleet.agent.attempts import Attempt
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.messages import (
    CallTicket,
    EndpointAnnouncement,
    RunRequest,
)
from marjoramyard.fleet.util.endpoint_session import create_endpoint_session
from marjoramyard.fleet.util.headers import is_writable
from marjoramyard.fleet.util.held_bytes import HeldBytes, HeldKind, Holding
from marjoramyard.kernel.errors import Failure, FailureKind

LIMIT = 20_000_000
MAX_GROWTH_BYTES = 45_000_000
MAX_SECONDS = 15.0


@pytest.fixture
def attempt():
    endpoint = Endpoint(0)
    endpoint.on_announcement(
        EndpointAnnouncement("e", "e~1", "127.0.0.1:1", "chat", 4, "ready")
    )
    run = RunRequest(
        "a", "w", "chat", "POST", "/v1/x", [], 5.0, 5.0, "f", "interactive"
    )
    found = Attempt(
        run, b"", endpoint, SimpleNamespace(), "engine", new_holding()
    )
    found.events = EventSplitter()
    found.events.feed(b"id: 1\ndata: x\n\n")
    found.resume_path = "/streams/1"
    return found


def test_a_stream_is_not_resumed_while_the_endpoint_pauses(attempt):
    """Guards against requests to an endpoint that has asked for a pause."""
    assert attempt._can_resume()
    attempt.endpoint.paused_until = time.monotonic() + 60.0
    assert not attempt._can_resume()


@pytest.mark.parametrize("event_id", [b"a\x00b", b"a\x0bb", b"\x7f"])
def test_a_stream_is_not_resumed_after_an_id_that_can_t_be_sent(
    attempt, event_id
):
    """Guards against attempts that end without an answer to the entry."""
    attempt.events.feed(b"id: " + event_id + b"\ndata: x\n\n")
    assert not attempt._can_resume()


@given(event_id=st.binary(max_size=20), name=st.just("Last-Event-ID"))
@example(event_id=b"\xb2", name="Last-Event-ID")
def test_an_id_after_which_a_stream_is_resumed_can_be_sent(event_id, name):
    """Guards against attempts that end without an answer to the entry."""
    events = EventSplitter()
    events.feed(b"id: " + event_id + b"\ndata: x\n\n")
    if is_writable(events.last_id):
        headers = CIMultiDict({name: events.last_id})
        assert _serialize_headers("GET / HTTP/1.1", headers)


async def test_what_an_endpoint_says_when_a_stream_is_resumed_counts(attempt):
    """Guards against a pause that is asked for in that response only."""

    class Session:
        async def get(self, _url, **_options):
            headers = {"Retry-After": "60"}
            return SimpleNamespace(
                status=503, headers=headers, close=lambda: None
            )

    with pytest.raises(Exception, match="not resumed"):
        await attempt._resume(Session())
    assert attempt.endpoint.pause_seconds > 50.0


async def run_attempt(
    server: EndlessServer,
    account: HeldBytes,
    enough_bytes: float,
    call: CallTicket | None = None,
) -> Failure | None:
    """Runs an attempt whose frames are read as they come.

    It is cancelled once the endpoint has sent enough bytes.
    """
    endpoint = Endpoint(0)
    endpoint.on_announcement(
        EndpointAnnouncement("e", "e~1", server.address, "chat", 4, "ready")
    )
    fields = ("POST", "/v1/x", [], MAX_SECONDS, 5.0, "f", "batch")
    run = RunRequest("a", "w", "chat", *fields, call=call)
    scheduler = Mock(record_start=lambda _: 0.0)
    with account.holding("w") as holding:
        attempt = Attempt(run, b"{}", endpoint, scheduler, "plain", holding)

        async def write(_):
            await asyncio.sleep(0)

        reader = asyncio.create_task(attempt.stream(0, write, 1.0, b""))
        session = create_endpoint_session(reuses_connections=False)
        try:
            attempt.task = asyncio.create_task(attempt.execute(session))
            while not attempt.task.done() and server.bytes_sent < enough_bytes:
                await asyncio.sleep(0.01)
            attempt.cancel()
            reason = await attempt.task
            attempt.finish(reason)
            await reader
        finally:
            await session.close()
    return reason


async def test_an_event_without_an_end_ends_the_attempt():
    """Guards against agents that an endpoint's event without an end fills."""
    account = new_account(LIMIT)
    before = resident_bytes()
    async with EndlessServer(*EVENT_WITHOUT_END).running() as server:
        reason = await run_attempt(server, account, math.inf)
    assert reason.kind is FailureKind.RESPONSE_TRUNCATED
    assert resident_bytes() - before < MAX_GROWTH_BYTES
    assert account.highest <= LIMIT
    assert account.total == 0


async def test_a_call_s_response_without_an_end_is_not_kept():
    """Guards against agents that a long response to a call fills."""
    account = new_account(LIMIT)
    before = resident_bytes()
    async with EndlessServer(*RESPONSES["chunks"]).running() as server:
        call = CallTicket("k", "d", 0)
        enough = 3 * MAX_GROWTH_BYTES
        reason = await run_attempt(server, account, enough, call)
    assert reason.kind is FailureKind.CANCELLED
    assert resident_bytes() - before < MAX_GROWTH_BYTES


async def test_a_response_without_room_is_passed_on():
    """Guards against frames that are kept for a resume in a full account."""
    account = new_account(LIMIT)
    Holding(account, "other").force(HeldKind.REQUEST, LIMIT)
    async with EndlessServer(*RESPONSES["chunks"]).running() as server:
        reason = await run_attempt(server, account, LIMIT)
    assert reason.kind is FailureKind.CANCELLED
    assert account.highest < LIMIT + REPLAY_BUFFER_BYTES
