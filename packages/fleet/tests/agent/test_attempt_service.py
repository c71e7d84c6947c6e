"""Tests of attempts at an agent: cancellation, calls, suspects, meters."""

import asyncio
import time
from collections import OrderedDict
from types import SimpleNamespace

import msgspec
import pytest
from held import new_account
from result import Err, Ok

from marjoramyard.coordination.governance.commands import Reply
from marjoramyard.coordination.governance.ledger import CallState, LedgerView
from marjoramyard.coordination.governance.recent_answers import RecentAnswers
from marjoramyard.fleet.agent import attempt_service as module
from marjoramyard.fleet.agent.attempt_service import AttemptService
from marjoramyard.fleet.agent.attempts import (
    Attempt,
    AttemptState,
    endpoint_headers,
)
from marjoramyard.fleet.agent.calls import start_call
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.meters import METERS
from marjoramyard.fleet.agent.suspects import SuspectGuard
from marjoramyard.fleet.messages import (
    CallTicket,
    CancelReply,
    EndpointAnnouncement,
    RunRequest,
)
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.kernel.errors import FailureKind, FleetError, failure

LEAVING = {"Endpoint-Leaving": "1"}


def run_request(attempt="a1", call=None):
    return RunRequest(
        attempt,
        "w",
        "chat",
        "POST",
        "/v1/x",
        [],
        5.0,
        5.0,
        "f",
        "interactive",
        call=call,
    )


class FakeControl:
    def __init__(self, *replies):
        self.replies = list(replies)
        self.commands = []

    async def command(self, command, _):
        self.commands.append(command)
        return self.replies.pop(0)


def make_service():
    app = SimpleNamespace(metrics=None, tasks=None, incarnation="agent~1")
    service = AttemptService.__new__(AttemptService)
    service.app = app
    service.attempts = {}
    service.tombstones = OrderedDict()
    return service


def request_for(attempt):
    return SimpleNamespace(match_info={"attempt": attempt})


async def test_an_attempt_that_arrives_after_its_cancellation_is_refused():
    """The reply to the cancellation says that the attempt did not start.

    The caller has received the outcome "not run" when the run request
    arrives late.
    """
    service = make_service()
    response = await service.on_cancel(request_for("a1"))
    assert not msgspec.json.decode(response.body, type=CancelReply).started
    late = SimpleNamespace(
        headers={"X-Marjoramyard-Run": msgspec.json.encode(run_request())},
        read=_read_nothing,
        get=lambda _: None,
    )
    with pytest.raises(FleetError) as refused:
        await service.on_run(late)
    assert refused.value.failure.kind is FailureKind.CANCELLED


async def test_a_cancellation_while_a_hold_is_awaited_prevents_sending():
    """The caller has received the outcome "not run" meanwhile."""
    service = make_service()
    service.tombstones["a1"] = None
    with pytest.raises(FleetError) as refused:
        await service._start_call(run_request())
    assert refused.value.failure.kind is FailureKind.CANCELLED


@pytest.mark.parametrize("headers", [{"Retry-After": "60"}, LEAVING])
async def test_an_endpoint_may_pause_or_leave_while_a_hold_is_awaited(headers):
    """Guards against a suspect, or a call, that is sent to an endpoint which
    has asked for a pause or is leaving since the attempt was admitted.
    """
    service = make_service()
    service.endpoint = ready_endpoint()
    service.membership = SimpleNamespace(
        bundle=SimpleNamespace(services={"chat": SimpleNamespace()}),
        quarantine_seconds_left=lambda *_: None,
    )
    guard = HeldGuard(service.endpoint, headers)
    service.suspect_guard = guard
    service.control = FakeControl()
    run = run_request(call=CallTicket("k", "d", 0))
    with pytest.raises(FleetError) as refused:
        await service._prepare(run, b"")
    assert refused.value.failure.kind is FailureKind.NO_ENDPOINT
    assert service.control.commands == []
    assert guard.released == ["f"]


def ready_endpoint():
    endpoint = Endpoint(0)
    endpoint.on_announcement(
        EndpointAnnouncement("e", "e~1", "127.0.0.1:1", "chat", 4, "ready")
    )
    return endpoint


class HeldGuard:
    """Grants a hold; the endpoint answers another request meanwhile."""

    def __init__(self, endpoint, headers):
        self.endpoint = endpoint
        self.headers = headers
        self.released = []

    def suspected_identity(self, fingerprint, _parts, _marked):
        return fingerprint

    async def hold(self, _fingerprint):
        self.endpoint.on_response("e~1", 503, self.headers)

    def release(self, fingerprint, clear):
        self.released.append(fingerprint)


async def _read_nothing():
    return b""


@pytest.mark.parametrize(
    ("reply", "may_send"),
    [
        (Ok(Reply(call=LedgerView(0, CallState.STARTED, "a1"))), True),
        (Ok(Reply(call=LedgerView(0, CallState.STARTED, "other"))), False),
        (Ok(Reply(call=LedgerView(0, CallState.DONE, "a1"))), False),
        (
            Ok(
                Reply(
                    call=LedgerView(
                        refusal=failure(FailureKind.CANCELLED, "cancelled")
                    )
                )
            ),
            False,
        ),
        (Err(failure(FailureKind.NO_QUORUM, "no reply")), False),
    ],
)
async def test_a_call_is_sent_only_after_its_own_start_is_committed(
    reply, may_send
):
    run = run_request(call=CallTicket("k", "d", 0))
    refusal = await start_call(FakeControl(reply), run)
    assert (refusal is None) == may_send


async def test_a_second_suspect_waits_for_the_first():
    """A death could not be attributed to one of two suspects."""
    control = FakeControl(Ok(Reply(granted=True)))
    app = SimpleNamespace(incarnation="agent~1")
    guard = SuspectGuard(app, SimpleNamespace(), control)
    assert await guard.hold("one") is None
    assert (await guard.hold("two")).kind is FailureKind.SUSPECT_HELD


async def test_a_suspect_that_is_held_elsewhere_waits():
    control = FakeControl(Ok(Reply(granted=False)))
    membership = SimpleNamespace(quarantine_seconds_left=lambda _: None)
    app = SimpleNamespace(incarnation="agent~1")
    guard = SuspectGuard(app, membership, control)
    assert (await guard.hold("one")).kind is FailureKind.SUSPECT_HELD
    assert guard.held is None


def test_an_uncompressed_response_is_requested():
    headers = endpoint_headers([("Connection", "close"), ("X-A", "b")])
    assert headers == [("X-A", "b"), ("Accept-Encoding", "identity")]


def test_tokens_are_charged_as_they_stream_and_corrected_at_the_end():
    meter = METERS.get("engine")()
    meter.begin(b"x" * 400)
    assert meter.collect() == 100.0
    meter.observe(b"data: a\n\ndata: b\n\n")
    assert meter.collect() == 2.0
    meter.observe(
        b'data: {"usage":{"prompt_tokens":90,"completion_tokens":30}}\n\n'
    )
    meter.end()
    assert meter.collect() == 18.0
    meter.total = 0.0
    assert meter.collect() == 0.0


async def test_a_request_that_was_answered_lately_is_not_reported():
    """Guards against isolating a popular request each time its endpoint dies
    for another reason.
    """
    service = make_service()
    service.answered = RecentAnswers()
    service.answered.record("popular", time.monotonic())
    service.attempts = {
        name: SimpleNamespace(
            run_request=SimpleNamespace(fingerprint=name),
            state=AttemptState.SENT,
            sent_at=time.monotonic(),
            held_identity=None,
            parts=[],
            answer_at=None,
        )
        for name in ("popular", "other")
    }
    service.endpoint = ready_endpoint()
    service.endpoint.is_alive = _is_not_alive
    service.membership = SimpleNamespace(announce_now=lambda: None)
    service.app.tasks = SimpleNamespace(spawn=lambda found: found)
    reported = []
    service.suspect_guard = SimpleNamespace(
        report=lambda _death_id, runs: reported.extend(runs)
    )
    service.http_session = None
    await service._check_endpoint()
    assert [run.fingerprint for run in reported] == ["other"]


async def _is_not_alive(_session):
    return False


def lost_attempt(answer_seconds, held=None):
    now = time.monotonic()
    answer_at = None if answer_seconds is None else now - answer_seconds
    return SimpleNamespace(
        run_request=SimpleNamespace(fingerprint="f"),
        sent_at=now - 3.0,
        parts=["part:chat:a", "part:chat:b"],
        held_identity=held,
        answer_at=answer_at,
    )


@pytest.mark.parametrize(
    ("answer_seconds", "seconds"), [(None, 3.0), (0.1, 0.1), (1.5, None)]
)
def test_messages_of_chats_that_have_just_begun_are_suspected(
    answer_seconds, seconds
):
    """Guards against missing the message that ends an endpoint, and against
    suspecting those of streams that had gone on for long.
    """
    attempt = lost_attempt(answer_seconds)
    own, *parts = module.ended_runs(attempt, time.monotonic())
    assert (own.fingerprint, own.request) == ("f", "")
    if seconds is None:
        assert parts == []
        return
    assert [part.fingerprint for part in parts] == attempt.parts
    assert {part.request for part in parts} == {"f"}
    assert parts[0].seconds == pytest.approx(seconds, abs=0.05)


def test_only_what_was_held_counts_as_isolated():
    """Guards against convicting for long what ran beside a held message."""
    attempt = lost_attempt(0.1, held="part:chat:b")
    runs = module.ended_runs(attempt, time.monotonic())
    assert [run.is_isolated for run in runs] == [False, False, True]


@pytest.mark.parametrize(
    ("suspects", "held_parts", "marked", "expected"),
    [
        ((), (), False, None),
        (("f",), (), False, "f"),
        ((), (), True, "f"),
        (("part:chat:b",), (), False, None),
        (("part:chat:b",), ("part:chat:b",), True, "part:chat:b"),
    ],
)
def test_a_message_is_isolated_only_after_its_quarantine(
    suspects, held_parts, marked, expected
):
    """Guards against holding back all chats that share a message with one that
    ran when an endpoint died.
    """
    membership = SimpleNamespace(
        suspects=set(suspects), held_parts=set(held_parts)
    )
    guard = SuspectGuard(None, membership, None)
    parts = ["part:chat:a", "part:chat:b"]
    assert guard.suspected_identity("f", parts, marked) == expected


def test_delivered_responses_leave_room_for_requests():
    """Guards against requests that are refused as the responses before them
    are kept for a resume.
    """
    service = make_service()
    service.app.held_bytes = account = new_account(1000)
    service.ended, service.delivered = {}, OrderedDict()
    service.delivered_bytes = 0
    for number in range(20):
        holding = Holding(account, "w")
        holding.force(HeldKind.RESPONSE, 50)
        attempt = SimpleNamespace(
            holding=holding,
            is_delivered=True,
            run_request=run_request(f"a{number}"),
        )
        service.attempts[f"a{number}"] = attempt
        service._retain_delivered(attempt)
    assert account.total == service.delivered_bytes == 100
    assert list(service.attempts) == list(service.delivered) == ["a18", "a19"]


async def test_an_attempt_that_is_removed_while_it_is_sent_is_released():
    """Guards against bytes that stay in the account for ever once an entry
    reads the rest of a response that is no longer retained.
    """
    account = new_account(1_000_000)
    service = make_service()
    service.app.held_bytes = account
    service.ended, service.delivered = {}, OrderedDict()
    service.delivered_bytes = 0
    endpoint = ready_endpoint()
    attempt = Attempt(
        run_request(),
        b"",
        endpoint,
        SimpleNamespace(),
        "engine",
        Holding(account, "w"),
    )
    service.attempts["a1"] = attempt
    attempt.replay_buffer.begin(200, [])
    attempt.replay_buffer.add_data(b"x" * 10_000)
    attempt._hold_frames()
    attempt.finish(None)
    may_write = asyncio.Event()

    async def write(_):
        await may_write.wait()

    sending = asyncio.create_task(attempt.stream(0, write, 1.0, b""))
    await asyncio.sleep(0)
    service._remove("a1")
    assert account.total == 0
    may_write.set()
    await sending
    service._retain_delivered(attempt)
    service._remove("a1")
    assert account.total == 0
