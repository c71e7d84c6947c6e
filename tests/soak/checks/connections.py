"""Requests on connections without a relay."""

from collections.abc import Iterator

from soak.checks.registry import (
    STOP_KINDS,
    UNDISTURBED_SECONDS,
    check,
)
from soak.plan import FaultKind
from soak.record import ConnectionOutcome, Exchange, Record

LOSS_SLACK_SECONDS = 0.2
"""A reset within this time after a request shows that the request crossed the
end of its connection."""
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
