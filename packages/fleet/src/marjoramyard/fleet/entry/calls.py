"""The entry's access to the ledger of calls that must not repeat."""

import base64

import msgspec
from aiohttp import web
from result import Err

from marjoramyard.coordination.governance.commands import CancelCall
from marjoramyard.coordination.governance.ledger import (
    CallState,
    LedgerView,
    StoredResponse,
    outcome_after_cancel,
)
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.entry.responses import OUTCOME_HEADER
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.headers import copy_headers
from marjoramyard.kernel.errors import (
    FailureKind,
    FleetError,
    Outcome,
    failure,
    raise_failure,
)
from marjoramyard.kernel.ids import AttemptId

_LOOK_UP_TIMEOUT_SECONDS = 4.0
_CANCEL_TIMEOUT_SECONDS = 2.0
_RETRY_AFTER_SECONDS = 2.0
REPLAY_HEADER = "X-Marjoramyard-Replayed"


class CallLedgerClient:
    """Looks up calls before they are sent and cancels failed attempts."""

    def __init__(self, control: ControlClient):
        self.control = control

    async def look_up(self, request: CallerRequest) -> web.Response | None:
        """Returns the stored response of a resent call.

        Returns None, and sets the ticket's epoch, if the call may be sent.

        Raises:
            FleetError: The call is running, or its outcome is unknown. The
                latter includes an unreachable ledger, as an earlier request
                with the same key may have run.
        """
        ticket = request.call
        reply = await self.control.look_up(
            ticket.key,
            ticket.body_digest,
            min(_LOOK_UP_TIMEOUT_SECONDS, request.seconds_left()),
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
        """Cancels an attempt that has not started; returns its outcome.

        If the outcome is "not run" the ticket can be used for another
        attempt.
        """
        ticket = request.call
        command = CancelCall(
            ticket.key, ticket.body_digest, attempt, ticket.epoch
        )
        reply = await self.control.command(command, _CANCEL_TIMEOUT_SECONDS)
        if isinstance(reply, Err):
            return Outcome.UNKNOWN
        view: LedgerView = reply.ok_value.call
        outcome = outcome_after_cancel(view, attempt)
        if outcome is Outcome.NOT_RUN:
            ticket.epoch = view.epoch
        return outcome


def _raise_in_progress() -> None:
    raise_failure(
        FailureKind.CALL_IN_PROGRESS,
        "this call was started before and has no stored response yet; it is "
        "not started again. Retry with the same Idempotency-Key later; if "
        "this persists, check the service itself",
        Outcome.UNKNOWN,
        _RETRY_AFTER_SECONDS,
    )


def _replay(stored: StoredResponse | None) -> web.Response:
    if stored is None or stored.body is None:
        raise FleetError(
            failure(
                FailureKind.CALL_OUTCOME_UNKNOWN,
                "this call was completed, but its response was too large to "
                "be stored; check the service itself",
                Outcome.COMPLETE,
            )
        )
    response = web.Response(
        status=stored.status, body=base64.b64decode(stored.body)
    )
    copy_headers(stored.headers, response)
    response.headers[OUTCOME_HEADER] = Outcome.COMPLETE.value
    response.headers[REPLAY_HEADER] = "true"
    return response
