"""One send of a request to one endpoint, and what became of it."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum

import aiohttp
import msgspec
from yarl import URL

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.util.headers import Headers


class SendOutcome(Enum):
    """What is known after a send."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """No byte reached the endpoint."""
    REFUSED = "refused"
    """The endpoint says that it did not and will not run it."""
    BROKEN = "broken"
    """It may have run."""


class SendFailedError(Exception):
    """A send that brought no answer to pass on.

    Attributes:
        outcome: What is known of it.
        why: For the log.
        retry_after: What the endpoint said of coming back, in seconds.
        timed_out: No connection came in time.
    """

    def __init__(
        self,
        outcome: SendOutcome,
        reason: str,
        retry_after: float = 0.0,
        timed_out: bool = False,
    ):
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after = retry_after
        self.timed_out = timed_out


class SendPlan(msgspec.Struct, frozen=True):
    """Where and how a request is sent.

    Attributes:
        endpoint: The registration that was chosen.
        fetch_from: Address of the endpoint that keeps parts, or "".
        last_event: The last event that the caller has; "" for none.
        tokens: Prompt tokens that it is expected to read.
        number: Names the request to the broker; 0 for plain services.
        is_granted: The broker chose the endpoint.
    """

    endpoint: Registration
    fetch_from: str = ""
    last_event: str = ""
    prefill_tokens: float = 0.0
    broker_number: int = 0
    is_granted: bool = False


def outgoing_headers(
    request: CallerRequest, plan: SendPlan, names: HeaderNames, now: float
) -> Headers:
    """Returns the headers of a send."""
    left_ms = max(1, int(request.seconds_left(now) * 1000))
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() != names.last_event.lower()
    ]
    headers.append((names.deadline_ms, str(left_ms)))
    headers.append((names.target, plan.endpoint.endpoint))
    if request.workspace is not None:
        headers.append((names.workspace, request.workspace.name))
    if plan.fetch_from:
        headers.append((names.fetch_from, plan.fetch_from))
    if plan.last_event:
        headers.append((names.last_event, plan.last_event))
    return headers


@asynccontextmanager
async def open_response(
    session: aiohttp.ClientSession,
    request: CallerRequest,
    plan: SendPlan,
    names: HeaderNames,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Sends a request and gives the head of its answer.

    Leaving the block before the answer has been read closes the connection,
    which is what makes an endpoint stop.

    Raises:
        SendFailedError: There is no answer that could be passed on.
    """
    url = URL(f"http://{plan.endpoint.address}{request.target}", encoded=True)
    headers = outgoing_headers(request, plan, names, time.monotonic())
    try:
        response = await session.request(
            request.method,
            url,
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise SendFailedError(
            SendOutcome.NOT_SENT,
            repr(error),
            timed_out=isinstance(error, aiohttp.ConnectionTimeoutError),
        ) from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise SendFailedError(SendOutcome.BROKEN, repr(error)) from error
    try:
        check_response_head(request, response, names)
        yield response
    finally:
        response.close()


def check_response_head(
    request: CallerRequest, response: aiohttp.ClientResponse, names: HeaderNames
) -> None:
    """Checks that an answer is this request's, and that it was run.

    An endpoint may send an extra answer late, in the place of the next one.
    Its id tells; so a success without the id or the signature is nobody's.

    Raises:
        SendFailedError: It is not to be passed on.
    """
    echoed = response.headers.get(names.attempt, "")
    if echoed and echoed != request.attempt:
        raise SendFailedError(SendOutcome.BROKEN, "answer of another request")
    if names.not_run in response.headers or response.status == 421:
        raise SendFailedError(
            SendOutcome.REFUSED,
            f"status {response.status}",
            _parse_seconds(response.headers.get("Retry-After", "")),
        )
    if response.status < 300:
        if not echoed or names.signature not in response.headers:
            raise SendFailedError(SendOutcome.BROKEN, "unsigned answer")


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
