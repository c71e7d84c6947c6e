"""Ledger commands of the agent for calls that must not repeat."""

import base64

from result import Err

from marjoramyard.coordination.governance.commands import (
    FinishCall,
    StartCall,
)
from marjoramyard.coordination.governance.ledger import (
    CallState,
    StoredResponse,
)
from marjoramyard.fleet.agent.attempts import Attempt
from marjoramyard.fleet.messages import RunRequest
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.kernel.errors import Failure, FailureKind, failure

_START_TIMEOUT_SECONDS = 4.0
_FINISH_TIMEOUT_SECONDS = 2.0


async def start_call(control: ControlClient, run: RunRequest) -> Failure | None:
    """Commits the call as `started` before it is sent.

    Once this is committed no other attempt of the call is sent. If the
    control hosts do not reply, the command may have been committed, so the
    call is not sent either, and the ledger determines its outcome.

    Returns:
        None if the call may be sent, else the refusal.
    """
    ticket = run.call
    command = StartCall(
        ticket.key, ticket.body_digest, run.attempt, ticket.epoch
    )
    reply = await control.command(command, _START_TIMEOUT_SECONDS)
    if isinstance(reply, Err):
        return reply.err_value
    view = reply.ok_value.call
    if view.refusal is not None:
        return view.refusal
    if view.state is not CallState.STARTED or view.attempt != run.attempt:
        return failure(
            FailureKind.CANCELLED, "another attempt has started this call"
        )
    return None


async def finish_call(control: ControlClient, attempt: Attempt) -> bool:
    """Stores the response for resends; returns whether it was committed.

    A long body is left out.
    """
    response = attempt.stored_response
    encoded_body = None
    if response.body is not None:
        encoded_body = base64.b64encode(response.body).decode()
    stored_response = StoredResponse(
        attempt.status,
        attempt.headers,
        encoded_body,
        response.digest.hexdigest(),
    )
    run = attempt.run_request
    command = FinishCall(run.call.key, run.attempt, stored_response)
    reply = await control.command(command, _FINISH_TIMEOUT_SECONDS)
    return not isinstance(reply, Err)
