"""Requests on connections without a relay."""

from collections import defaultdict
from collections.abc import Iterator

from soak.checks.registry import (
    STOP_KINDS,
    UNDISTURBED_SECONDS,
    check,
    disturbed,
    endpoint_number,
)
from soak.plan import FaultKind
from soak.record import Attempt, ConnectionOutcome, Exchange, Record

LOSS_SLACK_SECONDS = 0.2
"""A reset within this time after a request shows that the request crossed the
end of its connection."""
DEADLINE_MARGIN_SECONDS = 0.05
"""Gateways end a request somewhat before its deadline, as the end takes its
time to reach the caller."""
LAST_PART_SECONDS = 8.0 * 5 / 6
"""Requests that run at least so long after SIGTERM may be cut off, ..."""
LAST_SENT_SECONDS = 3.0
"""... if they were sent within this time after it."""
HARMLESS_KINDS = (*STOP_KINDS, FaultKind.TURNS.value)
"""Faults through which whole requests are answered."""


@check
def whole_requests_are_answered(record: Record) -> Iterator[str]:
    """A whole request that a process has read gets a response.

    Requests during faults of their process are ignored, except stops and turns
    of its processor. Stalled connections are those of relays only.
    """
    ran_at: dict[str, float] = {}
    for attempt in record.attempts:
        if attempt.was_taken:
            ran_at.setdefault(attempt.id, attempt.started_at)
    for exchange in record.exchanges:
        if not exchange.sent_at or exchange.has_response:
            continue
        ran = ran_at.get(exchange.id, float("inf")) < exchange.ended_at
        if _is_lost(record, exchange, ran) and not _is_excused(
            record, exchange
        ):
            yield _message(record, exchange, ran)


@check
def begun_responses_are_complete(record: Record) -> Iterator[str]:
    """A response that a gateway has begun ends as its endpoint ends it.

    Requests during faults of their gateway or of the endpoints that ran them
    are ignored, except stops and turns of the processor, and so are those that
    reach their deadline, or the end of a stopping gateway's time.
    """
    attempts = defaultdict(list)
    for attempt in record.attempts:
        attempts[attempt.id].append(attempt)
    for exchange in record.exchanges:
        if exchange.target != "gateway" or not exchange.has_response:
            continue
        if exchange.status or any(
            _may_be_cut(record, exchange, attempt)
            for attempt in attempts[exchange.id]
        ):
            continue
        if not (
            _has_met_deadline(exchange)
            or _outlasted_its_gateway(record, exchange)
            or _is_excused(record, exchange)
        ):
            yield _message(record, exchange, True).replace(
                "no response", "no complete response"
            )


def _may_be_cut(record: Record, exchange: Exchange, attempt: Attempt) -> bool:
    """Whether the endpoint has, or may have, broken its response off."""
    endpoint = ("endpoint", endpoint_number(attempt.endpoint))
    since = exchange.sent_at - UNDISTURBED_SECONDS
    return attempt.broke_off or disturbed(
        record, since, exchange.ended_at, endpoint
    )


def _has_met_deadline(exchange: Exchange) -> bool:
    seconds = exchange.ended_at - exchange.began_at
    is_ended = exchange.outcome is not ConnectionOutcome.OPEN
    due = exchange.deadline_seconds - DEADLINE_MARGIN_SECONDS
    return is_ended and seconds >= due


def _outlasted_its_gateway(record: Record, exchange: Exchange) -> bool:
    """Whether the request ran into the last part of a stop's time."""
    return any(
        (shutdown.target, shutdown.number) == (exchange.target, exchange.number)
        and exchange.sent_at <= shutdown.signalled_at + LAST_SENT_SECONDS
        and shutdown.signalled_at + LAST_PART_SECONDS <= exchange.ended_at
        for shutdown in record.shutdowns
    )


def _is_lost(record: Record, exchange: Exchange, ran: bool) -> bool:
    """Whether a request without a response was read, as far as can be told."""
    if exchange.outcome is ConnectionOutcome.OPEN:
        # Control hosts may wait for a majority longer than their clients do.
        return exchange.target == "gateway"
    if ran or exchange.outcome is ConnectionOutcome.FIN:
        return True
    seconds = exchange.ended_at - exchange.sent_at
    return seconds - _longest_stall(record, exchange) > LOSS_SLACK_SECONDS


def _longest_stall(record: Record, exchange: Exchange) -> float:
    """Returns by how many seconds its end may have been seen too late."""
    return max(
        (
            stall.ended_at - stall.started_at
            for stall in record.stalls
            if stall.started_at <= exchange.ended_at
            and stall.ended_at >= exchange.sent_at
        ),
        default=0.0,
    )


def _is_excused(record: Record, exchange: Exchange) -> bool:
    since = exchange.sent_at - UNDISTURBED_SECONDS
    return any(
        (span.target, span.number) == (exchange.target, exchange.number)
        and span.kind not in HARMLESS_KINDS
        and span.started_at <= exchange.ended_at
        and _ended_at(span) >= since
        for span in record.fault_spans
    )


def _ended_at(span) -> float:
    if span.kind == FaultKind.STALL_CONNECTIONS.value:
        return span.started_at
    return span.ended_at


def _message(record: Record, exchange: Exchange, ran: bool) -> str:
    signals = [
        shutdown.signalled_at
        for shutdown in record.shutdowns
        if (shutdown.target, shutdown.number)
        == (exchange.target, exchange.number)
        and shutdown.signalled_at <= exchange.ended_at
    ]
    after = "with no SIGTERM before it"
    if signals:
        after = f"{exchange.sent_at - max(signals):.2f} s after SIGTERM"
    seconds = exchange.ended_at - exchange.sent_at
    return (
        f"{exchange.id} at {exchange.target} {exchange.number}, sent {after} "
        f"on a connection that had carried {exchange.carried}: no response, "
        f"{exchange.outcome.value} after {seconds:.3f} s, "
        f"{'ran' if ran else 'not run'}"
    )
