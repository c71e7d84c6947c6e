"""Calls that must not repeat, seen from the entry."""

import base64

import msgspec
from aiohttp import web
from result import Err

from marjoramyard.coordination.governance.commands import CancelCall
from marjoramyard.coordination.governance.ledger import (
    CallState,
    LedgerView,
    StoredAnswer,
    verdict,
)
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.entry.responses import OUTCOME_HEADER
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.headers import copy_headers
from marjoramyard.kernel.errors import (
    FleetError,
    Kind,
    Outcome,
    failure,
    raise_failure,
)
from marjoramyard.kernel.ids import AttemptId

_LOOK_UP_SECONDS = 4.0
_CANCEL_SECONDS = 2.0
_RETRY_SECONDS = 2.0
REPLAY_HEADER = "X-Marjoramyard-Replayed"


class CallLedgerClient:
    """Asks the ledger before a call is placed, and when it is given up."""

    def __init__(self, control: ControlClient):
        self.control = control

    async def look_up(self, request: CallerRequest) -> web.Response | None:
        """Returns the stored answer of a resend; None for a call to place.

        Raises:
            FleetError: The call is running, or its outcome is not known.
                Where the ledger can't be asked this try was not sent, but
                an earlier one under the key may have run.
        """
        ticket = request.call
        reply = await self.control.look_up(
            ticket.key,
            ticket.body_digest,
            min(_LOOK_UP_SECONDS, request.seconds_left()),
        )
        if isinstance(reply, Err):
            raise FleetError(
                msgspec.structs.replace(
                    reply.err_value, outcome=Outcome.UNKNOWN.value
                )
            )
        view = reply.ok_value.call
        if view.refusal is not None:
            raise FleetError(view.refusal)
        if view.state is CallState.STARTED:
            _raise_in_progress()
        if view.state is CallState.DONE:
            return _replay(view.answer)
        ticket.epoch = view.epoch
        return None

    async def cancel_unstarted(
        self, request: CallerRequest, attempt: AttemptId
    ) -> Outcome:
        """Rules an attempt out if it has not started; returns the verdict.

        On "not run" the ticket is good for another attempt.
        """
        ticket = request.call
        command = CancelCall(
            ticket.key, ticket.body_digest, attempt, ticket.epoch
        )
        reply = await self.control.command(command, _CANCEL_SECONDS)
        if isinstance(reply, Err):
            return Outcome.UNKNOWN
        view: LedgerView = reply.ok_value.call
        outcome = verdict(view, attempt)
        if outcome is Outcome.NOT_RUN:
            ticket.epoch = view.epoch
        return outcome


def _raise_in_progress() -> None:
    raise_failure(
        Kind.CALL_IN_PROGRESS,
        "this call was started before and has no stored answer yet; it is "
        "not started again. Ask with the same Idempotency-Key later; if "
        "this stays, look at the service itself",
        Outcome.UNKNOWN,
        _RETRY_SECONDS,
    )


def _replay(answer: StoredAnswer | None) -> web.Response:
    if answer is None or answer.body is None:
        raise FleetError(
            failure(
                Kind.CALL_OUTCOME_UNKNOWN,
                "this call ran and ended, but its answer was too large to be "
                "stored; look at the service itself",
                Outcome.COMPLETE,
            )
        )
    response = web.Response(
        status=answer.status, body=base64.b64decode(answer.body)
    )
    copy_headers(answer.headers, response)
    response.headers[OUTCOME_HEADER] = Outcome.COMPLETE.value
    response.headers[REPLAY_HEADER] = "true"
    return response
