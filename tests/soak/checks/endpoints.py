"""What endpoints get."""

from collections import defaultdict
from collections.abc import Iterator

from soak.checks.registry import (
    UNDISTURBED_SECONDS,
    check,
    disturbed,
    endpoint_number,
    faulted_targets,
)
from soak.record import Record

PAUSE_NOTICE_SECONDS = 0.5
"""An endpoint that asked a gateway for a pause must get it after this time."""
MAX_PAUSED_REQUESTS = 2
DRAIN_NOTICE_SECONDS = 2.0
"""A draining endpoint must get no new requests after this time."""


@check
def draining_endpoints_get_no_new_requests(record: Record) -> Iterator[str]:
    """A draining endpoint gets no new requests."""
    draining_since = {
        departure.endpoint: departure.acknowledged_at
        for departure in record.departures
    }
    by_id = {call.id: call for call in record.calls}
    control = faulted_targets(record, "control")
    for attempt in record.attempts:
        at = draining_since.get(attempt.endpoint)
        call = by_id.get(attempt.id)
        if (
            at is None
            or call is None
            or attempt.started_at <= at + DRAIN_NOTICE_SECONDS
        ):
            continue
        gateway = ("gateway", call.gateway)
        since = at - UNDISTURBED_SECONDS
        if not disturbed(record, since, attempt.started_at, gateway, *control):
            yield (
                f"{attempt.id} reached {attempt.endpoint} "
                f"{attempt.started_at - at:.1f} s after it began to drain"
            )


@check
def pauses_are_kept(record: Record) -> Iterator[str]:
    """An endpoint that asks a gateway for a pause gets it.

    Pauses during a fault of the gateway or of the endpoint are ignored.
    """
    gateway_of = {call.id: call.gateway for call in record.calls}
    arrivals = defaultdict(list)
    for attempt in record.attempts:
        sender = gateway_of.get(attempt.id)
        arrivals[attempt.endpoint, sender].append(attempt.started_at)
    for attempt in record.attempts:
        gateway = gateway_of.get(attempt.id)
        if not attempt.pause_seconds or gateway is None:
            continue
        asked_at, seconds = attempt.started_at, attempt.pause_seconds
        found = [
            at
            for at in arrivals[attempt.endpoint, gateway]
            if asked_at + PAUSE_NOTICE_SECONDS < at < asked_at + seconds
        ]
        targets = (
            ("gateway", gateway),
            ("endpoint", endpoint_number(attempt.endpoint)),
            ("soak", 0),
        )
        if len(found) > MAX_PAUSED_REQUESTS and not disturbed(
            record, asked_at, asked_at + seconds, *targets
        ):
            yield (
                f"{attempt.endpoint} got {len(found)} requests of gateway "
                f"{gateway} in a pause of {seconds} s"
            )


@check
def leaving_endpoints_get_no_new_requests(record: Record) -> Iterator[str]:
    """An endpoint that told a gateway that it leaves gets no new requests.

    That holds for each gateway that has passed on such a response. Faults of
    the gateway since then are excused.
    """
    by_id = {call.id: call for call in record.calls}
    last_endpoint = {one.id: one.endpoint for one in record.attempts}
    told_at: dict[tuple[str, int], float] = {}
    for attempt in record.attempts:
        call = by_id.get(attempt.id)
        if call is None:
            continue
        pair = (attempt.endpoint, call.gateway)
        at = told_at.get(pair)
        due = None if at is None else at + DRAIN_NOTICE_SECONDS
        if due is not None and call.sent_at > due:
            gateway = ("gateway", call.gateway)
            if not disturbed(record, at, attempt.started_at, gateway):
                yield (
                    f"{attempt.id} reached {attempt.endpoint} "
                    f"{attempt.started_at - at:.1f} s after it said to gateway "
                    f"{call.gateway} that it leaves"
                )
        was_passed_on = (
            call.status == 200
            and call.is_complete
            and last_endpoint[call.id] == attempt.endpoint
        )
        if attempt.said_leaving and was_passed_on:
            told_at.setdefault(pair, call.ended_at)


@check
def api_keys_are_not_forwarded(record: Record) -> Iterator[str]:
    """Gateways do not forward API keys to endpoints."""
    for attempt in record.attempts:
        if attempt.key_sent:
            yield f"{attempt.id} forwarded its key to {attempt.endpoint}"
