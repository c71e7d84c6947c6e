"""Sends a request to one endpoint and classifies the result."""

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import Enum

import aiohttp
import msgspec
from yarl import URL

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.util.endpoint_session import (
    ExcessError,
    check_before_send,
)
from marjoramyard.fleet.util.headers import Headers, header_text
from marjoramyard.fleet.util.pause_requests import parse_retry_after
from marjoramyard.fleet.util.response_body import is_final
from marjoramyard.kernel.util.decoding import shorten

_INVALID = (ValueError, OverflowError)
"""Errors of addresses that can't be called, of URLs and of headers."""


class SendOutcome(Enum):
    """What is known about a request after a send."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    """No byte reached the endpoint."""
    WITHDRAWN = "withdrawn"
    """No byte reached the endpoint, which must not get requests any more."""
    REFUSED = "refused"
    """The endpoint states that it did not and will not run the request."""
    BROKEN = "broken"
    """The endpoint may have run the request."""


class SendFailedError(Exception):
    """A send without a response that can be relayed.

    Attributes:
        outcome: What is known about the request.
        reason: The cause, for logs.
        retry_after: The `Retry-After` of the endpoint in seconds; 0 for none.
        timed_out: The connection could not be established in time.
        is_connection_lost: The connection was lost after the request was sent.
    """

    def __init__(
        self,
        outcome: SendOutcome,
        reason: str,
        retry_after: float = 0.0,
        timed_out: bool = False,
        is_connection_lost: bool = False,
    ):
        super().__init__(f"{outcome.value}: {reason}")
        self.outcome = outcome
        self.reason = reason
        self.retry_after = retry_after
        self.timed_out = timed_out
        self.is_connection_lost = is_connection_lost


class SendPlan(msgspec.Struct, frozen=True):
    """Where and how a request is sent.

    Attributes:
        endpoint: The registration of the chosen endpoint.
        fetch_from: The address of the endpoint to fetch cached prompt parts
            from; "" for none.
        last_event: The ID of the last event that the caller has; "" for none.
        prefill_tokens: Prompt tokens that the endpoint is expected to prefill.
        broker_number: Identifies the request to the broker; 0 for services
            without engines.
        is_granted: Whether the broker chose the endpoint.
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
    """Returns the request headers of a send."""
    remaining_ms = max(1, int(request.seconds_left(now) * 1000))
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() != names.last_event.lower()
    ]
    headers.append((names.deadline_ms, str(remaining_ms)))
    headers.append((names.target, plan.endpoint.endpoint))
    if request.workspace is not None:
        headers.append((names.workspace, request.workspace.name))
    if plan.fetch_from:
        headers.append((names.fetch_from, plan.fetch_from))
    if plan.last_event:
        headers.append((names.last_event, plan.last_event))
    return headers


def request_url(request: CallerRequest, plan: SendPlan) -> URL:
    """Returns the URL of a request at the chosen endpoint.

    Raises:
        ValueError: The endpoint's address can't be part of a URL.
    """
    return URL(f"http://{plan.endpoint.address}{request.target}", encoded=True)


@asynccontextmanager
async def open_response(
    session: aiohttp.ClientSession,
    request: CallerRequest,
    plan: SendPlan,
    names: HeaderNames,
    check: Callable[[], None],
    on_head: Callable[[aiohttp.ClientResponse], None],
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Sends a request and yields the response once its head has arrived.

    Args:
        session: The HTTP session.
        request: The request.
        plan: Where and how it is sent.
        names: The header names of the dialect.
        check: Called once there is a connection. Raises an exception if the
            request must not be sent any more.
        on_head: Called with each response, also one that is not yielded.

    Leaving the context closes the connection, so an endpoint whose response was
    not read to its end stops running the request.

    Raises:
        SendFailedError: There is no response that can be relayed.
    """
    is_connected = False

    def check_connected() -> None:
        nonlocal is_connected
        is_connected = True
        check()

    headers = outgoing_headers(request, plan, names, time.monotonic())
    try:
        with check_before_send(check_connected):
            response = await session.request(
                request.method,
                request_url(request, plan),
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
    except (aiohttp.ClientError, OSError, *_INVALID) as error:
        if isinstance(error, _INVALID) and not is_connected:
            raise SendFailedError(
                SendOutcome.NOT_SENT, shorten(repr(error))
            ) from error
        raise SendFailedError(
            SendOutcome.BROKEN,
            repr(error),
            is_connection_lost=not isinstance(error, ExcessError),
        ) from error
    try:
        on_head(response)
        check_response_head(request, response, names)
        yield response
    finally:
        response.close()


def check_response_head(
    request: CallerRequest, response: aiohttp.ClientResponse, names: HeaderNames
) -> None:
    """Checks that a response belongs to the request and that it was run.

    Endpoints echo the attempt ID. A faulty endpoint may send an extra response
    that arrives as that of the next request, so successful responses without
    the ID or the signature are rejected.

    Raises:
        SendFailedError: The response must not be relayed.
    """
    echoed = header_text(response.headers.get(names.attempt, ""))
    if echoed and echoed != request.attempt:
        raise SendFailedError(SendOutcome.BROKEN, "response to another request")
    if not is_final(response):
        raise SendFailedError(
            SendOutcome.BROKEN, f"no final response, {response.status}"
        )
    if names.not_run in response.headers or response.status == 421:
        retry_after = parse_retry_after(response.headers.get("Retry-After", ""))
        reason = f"status {response.status}"
        if retry_after:
            reason += f", retry after {retry_after:g} s"
        raise SendFailedError(SendOutcome.REFUSED, reason, retry_after)
    if response.status < 300:
        if not echoed or names.signature not in response.headers:
            raise SendFailedError(SendOutcome.BROKEN, "unsigned response")
