"""The agent's side of "not run" and of suspects, with small fakes."""

from collections import OrderedDict
from types import SimpleNamespace

import msgspec
import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.commands import Reply
from marjoramyard.coordination.governance.ledger import CallState, LedgerView
from marjoramyard.fleet.agent.attempt_service import AttemptService
from marjoramyard.fleet.agent.attempts import endpoint_headers
from marjoramyard.fleet.agent.calls import start_call
from marjoramyard.fleet.agent.meters import METERS
from marjoramyard.fleet.agent.suspects import SuspectGuard
from marjoramyard.fleet.messages import CallTicket, CancelReply, RunRequest
from marjoramyard.kernel.errors import FleetError, Kind, failure


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
    def __init__(self, *answers):
        self.answers = list(answers)
        self.commands = []

    async def command(self, command, _):
        self.commands.append(command)
        return self.answers.pop(0)


def make_service():
    app = SimpleNamespace(metrics=None, tasks=None, incarnation="agent~1")
    runs = AttemptService.__new__(AttemptService)
    runs.app = app
    runs.attempts = {}
    runs.tombstones = OrderedDict()
    return runs


def request_for(attempt):
    return SimpleNamespace(match_info={"attempt": attempt})


async def test_an_attempt_that_arrives_after_its_cancellation_is_refused():
    """The run request hangs on its way; the entry gives up and cancels.

    The agent says that it was not started, so the caller is told "not
    run". The request then arrives: it must find the mark.
    """
    runs = make_service()
    response = await runs.on_cancel(request_for("a1"))
    assert not msgspec.json.decode(response.body, type=CancelReply).started
    late = SimpleNamespace(
        headers={"X-Marjoramyard-Run": msgspec.json.encode(run_request())},
        read=_read_nothing,
    )
    with pytest.raises(FleetError) as refused:
        await runs.on_run(late)
    assert refused.value.failure.kind is Kind.CANCELLED


async def test_a_cancellation_while_leave_is_awaited_is_found_before_sending():
    """The agent waits for leave to run a suspect, and is frozen there.

    Meanwhile the entry gave up, and the caller was told "not run".
    """
    runs = make_service()
    runs.tombstones["a1"] = None
    with pytest.raises(FleetError) as refused:
        await runs._start_call(run_request())
    assert refused.value.failure.kind is Kind.CANCELLED


async def _read_nothing():
    return b""


@pytest.mark.parametrize(
    ("answer", "may_send"),
    [
        (Ok(Reply(call=LedgerView(0, CallState.STARTED, "a1"))), True),
        (Ok(Reply(call=LedgerView(0, CallState.STARTED, "other"))), False),
        (Ok(Reply(call=LedgerView(0, CallState.DONE, "a1"))), False),
        (
            Ok(
                Reply(
                    call=LedgerView(refusal=failure(Kind.CANCELLED, "given up"))
                )
            ),
            False,
        ),
        (Err(failure(Kind.NO_QUORUM, "no answer")), False),
    ],
)
async def test_a_call_is_sent_only_after_its_own_start_is_committed(
    answer, may_send
):
    run = run_request(call=CallTicket("k", "d", 0))
    refusal = await start_call(FakeControl(answer), run)
    assert (refusal is None) == may_send


async def test_a_second_suspect_waits_for_the_first():
    """Two suspects on one endpoint could not be told apart."""
    control = FakeControl(Ok(Reply(granted=True)))
    app = SimpleNamespace(incarnation="agent~1")
    guard = SuspectGuard(app, SimpleNamespace(), control)
    assert await guard.hold("one") is None
    assert (await guard.hold("two")).kind is Kind.SUSPECT_HELD


async def test_a_suspect_that_runs_elsewhere_waits():
    control = FakeControl(Ok(Reply(granted=False)))
    membership = SimpleNamespace(is_convicted=lambda _: None)
    app = SimpleNamespace(incarnation="agent~1")
    guard = SuspectGuard(app, membership, control)
    assert (await guard.hold("one")).kind is Kind.SUSPECT_HELD
    assert guard.held is None


def test_an_endpoint_is_asked_for_a_plain_answer():
    headers = endpoint_headers([("Connection", "close"), ("X-A", "b")])
    assert headers == [("X-A", "b"), ("Accept-Encoding", "identity")]


def test_tokens_are_charged_as_they_stream_and_corrected_at_the_end():
    meter = METERS.get("engine")()
    meter.begin(b"x" * 400)
    assert meter.take() == 100.0
    meter.observe(b"data: a\n\ndata: b\n\n")
    assert meter.take() == 2.0
    meter.observe(
        b'data: {"usage":{"prompt_tokens":90,"completion_tokens":30}}\n\n'
    )
    meter.end()
    assert meter.take() == 18.0
    meter.total = 0.0
    assert meter.take() == 0.0
