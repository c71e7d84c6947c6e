"""The failures of requests that get no response from an endpoint.

Whether a request may have run decides what its caller is told: "not run" is a
promise.
"""

from marjoramyard.fleet.gateway.broker_protocol import PlaceRefusal
from marjoramyard.fleet.gateway.request_trace import Unplaceable
from marjoramyard.fleet.util.jitter import jitter
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    Outcome,
    failure,
)

BUSY_RETRY_SECONDS = 0.4
"""`Retry-After` when no endpoint has capacity, before jitter."""
NO_BROKER_RETRY_SECONDS = 1.5
"""`Retry-After` beyond the pace without a broker, before jitter. A successor
responds within this time."""
RESTART_RETRY_SECONDS = 1.0
"""`Retry-After` when no endpoint of a stream's version accepts requests, before
jitter. One that has crashed starts again within some seconds."""
LEAVING_RETRY_SECONDS = 0.05
"""`Retry-After` while draining; the next connection reaches another gateway."""
MIN_RETRY_SECONDS = 0.15
"""Lower bound of the `Retry-After` of a late request, before jitter."""


def late_failure(reply: PlaceRefusal, may_have_run: bool) -> Failure:
    """Returns the failure of a request that the broker has refused."""
    if may_have_run:
        return no_endpoint_failure(may_have_run)
    seconds = max(reply.retry_after_ms / 1000, MIN_RETRY_SECONDS)
    return failure(
        FailureKind.BUSY,
        "the response would miss its objective; retry after the overload",
        retry_after=jitter(seconds),
    )


def pace_failure(may_have_run: bool) -> Failure:
    """Returns the failure of a request beyond the pace without a broker."""
    if may_have_run:
        return no_endpoint_failure(may_have_run)
    return failure(
        FailureKind.BUSY,
        "all endpoints are at capacity and their broker was lost; retry later",
        retry_after=jitter(NO_BROKER_RETRY_SECONDS),
    )


_UNPLACEABLE_MESSAGES = {
    Unplaceable.NONE_READY: "no endpoint accepts requests now; retry shortly",
    Unplaceable.EVACUATED: "the zones of all endpoints are evacuated",
    Unplaceable.PAUSED: "all endpoints have asked for a pause; retry after it",
    Unplaceable.VERSION_GONE: (
        "no endpoint of the software version that began this stream accepts "
        "requests; begin it again without its last event"
    ),
    Unplaceable.COLD: "all endpoints have just started; retry shortly",
}


def no_endpoint_failure(
    may_have_run: bool,
    why: Unplaceable = Unplaceable.NONE_READY,
    pause_seconds: float = 0.0,
) -> Failure:
    """Returns the failure of a request for which there is no endpoint.

    Args:
        may_have_run: Whether an endpoint may have run the request.
        why: Why there is no endpoint.
        pause_seconds: The time until one ends its pause.
    """
    if may_have_run:
        return failure(
            FailureKind.ENDPOINT_LOST,
            "the endpoint was lost while the request ran, and no other is "
            "available; check the result before sending it again",
            Outcome.UNKNOWN,
        )
    if why is Unplaceable.VERSION_GONE:
        return failure(
            FailureKind.STREAM_VERSION_GONE,
            _UNPLACEABLE_MESSAGES[why],
            retry_after=jitter(RESTART_RETRY_SECONDS),
        )
    return failure(
        FailureKind.NO_ENDPOINT,
        _UNPLACEABLE_MESSAGES[why],
        retry_after=pause_seconds + jitter(BUSY_RETRY_SECONDS),
    )


def unknown_stream_failure(is_final: bool) -> Failure:
    """Returns the failure of a resumed stream whose origin is not known.

    Args:
        is_final: Whether nobody knows its origin.
    """
    message = (
        "the software version that began this stream is not known; begin it "
        "again without its last event"
        if is_final
        else "the hosts that know the software version of this stream don't "
        "reply; retry shortly"
    )
    return failure(
        FailureKind.STREAM_UNKNOWN,
        message,
        retry_after=jitter(NO_BROKER_RETRY_SECONDS),
    )


def attempts_failure(may_have_run: bool, pause_seconds: float) -> Failure:
    """Returns the failure of a request that may not be sent again.

    Args:
        may_have_run: Whether an endpoint may have run the request.
        pause_seconds: The time until an endpoint ends its pause; 0.0 if one
            does not pause. The pause of the last endpoint alone does not keep
            callers from coming back to another one.
    """
    if may_have_run:
        return failure(
            FailureKind.ENDPOINT_LOST,
            "no complete response from the endpoint; the request may have run: "
            "check the result before sending it again",
            Outcome.UNKNOWN,
        )
    return failure(
        FailureKind.BUSY,
        "all available endpoints are at capacity; retry later",
        retry_after=pause_seconds + jitter(BUSY_RETRY_SECONDS),
    )


def deadline_failure(may_have_run: bool) -> Failure:
    """Returns the failure of a request whose deadline has passed."""
    if may_have_run:
        return failure(
            FailureKind.DEADLINE,
            "no response before the deadline; the request may have run",
            Outcome.UNKNOWN,
        )
    return failure(
        FailureKind.BUSY,
        "the deadline passed before the request was sent; it has not run",
        retry_after=jitter(BUSY_RETRY_SECONDS),
    )


def stopped_failure(may_have_run: bool) -> Failure:
    """Returns the failure of a request that the gateway's shutdown ends."""
    if may_have_run:
        return failure(
            FailureKind.STOPPED,
            "the gateway was stopped while the request ran; check the result "
            "before sending it again",
            Outcome.UNKNOWN,
        )
    return failure(
        FailureKind.LEAVING,
        "this gateway is shutting down; use another one",
        retry_after=LEAVING_RETRY_SECONDS,
    )
