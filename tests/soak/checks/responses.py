"""What callers get."""

from collections import defaultdict
from collections.abc import Iterator

from soak.checks.registry import (
    UNDISTURBED_SECONDS,
    check,
    disturbed,
    endpoint_number,
)
from soak.record import (
    REPEATABLE_KINDS,
    STREAM_KINDS,
    Call,
    Record,
    versions_of,
    without_versions,
)

RECOVERY_SECONDS = 12.0
"""Callers must be served again within this time after the last fault."""
DEADLINE_TOLERANCE_SECONDS = 0.7
"""How long after its deadline a response may still end."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_SERVED_SHARE = 0.9
MIN_WINDOW_SHARE = 0.25
"""The least share of the calls of one second that are served."""
MIN_WINDOW_CALLS = 8
"""Windows with fewer calls of a kind say nothing."""


@check
def complete_responses(record: Record) -> Iterator[str]:
    """A response with status 200 is the expected one, or a prefix of it."""
    for call in record.calls:
        if call.status != 200:
            continue
        expected, body = call.expected_body, without_versions(call.body)
        if call.is_complete and body != expected:
            yield f"{call.id} ({call.kind.value}) got a wrong or truncated body"
        elif not call.is_complete and not _begins(expected, body):
            yield f"{call.id} ({call.kind.value}) began with unexpected bytes"


def _begins(expected: str, body: str) -> bool:
    """Whether a body may be the beginning of the expected one.

    Of the last line of a stream, a part of its version may have arrived.
    """
    head, _, line = body.rpartition("\n")
    if "event: ".startswith(line[:7]) and line and head:
        body = head + "\n"
    return expected.startswith(body)


@check
def streams_hold_one_version(record: Record) -> Iterator[str]:
    """A stream holds events of one software version, over all its calls."""
    versions = defaultdict(set)
    for call in record.calls:
        if call.kind in STREAM_KINDS:
            versions[call.stream_id] |= versions_of(call.body)
    for stream, found in versions.items():
        if len(found) > 1:
            yield f"{stream} holds events of {sorted(found)}"


@check
def whole_responses_are_delivered(record: Record) -> Iterator[str]:
    """A response that its endpoint has sent to its end reaches its caller.

    Calls during a fault of their gateway or of the endpoint are ignored, and so
    are responses that came too late for their caller.
    """
    by_id = {call.id: call for call in record.calls}
    for attempt in record.attempts:
        call = by_id.get(attempt.id)
        if call is None or call.left or not attempt.whole_at:
            continue
        is_late = (
            attempt.whole_at + DEADLINE_TOLERANCE_SECONDS
            > call.sent_at + call.deadline_seconds
        )
        targets = (
            ("gateway", call.gateway),
            ("endpoint", endpoint_number(attempt.endpoint)),
            ("soak", 0),
        )
        since = call.sent_at - UNDISTURBED_SECONDS
        if is_late or disturbed(record, since, call.ended_at, *targets):
            continue
        if not (call.status == 200 and call.is_complete):
            yield f"{call.id} got {call.status} for a whole response"


@check
def at_most_once(record: Record) -> Iterator[str]:
    """A request that must not be repeated runs at most once."""
    attempts = defaultdict(int)
    for attempt in record.attempts:
        attempts[attempt.id] += attempt.was_taken
    for call in record.calls:
        if call.kind not in REPEATABLE_KINDS and attempts[call.id] > 1:
            yield f"{call.id} ({call.kind.value}) ran {attempts[call.id]} times"


@check
def attempts_are_bounded(record: Record) -> Iterator[str]:
    """A repeatable request is attempted at most twice."""
    attempts = defaultdict(int)
    for attempt in record.attempts:
        attempts[attempt.id] += 1
    for call in record.calls:
        if attempts[call.id] > 2:
            yield f"{call.id} ran {attempts[call.id]} times, limit is 2"


@check
def not_run_means_not_executed(record: Record) -> Iterator[str]:
    """A request with a "not run" status was taken by no endpoint."""
    ran = {attempt.id for attempt in record.attempts if attempt.was_taken}
    for call in record.calls:
        is_reported_not_run = (
            call.status in NOT_RUN_STATUSES
            and call.kind not in REPEATABLE_KINDS
        )
        if is_reported_not_run and call.id in ran:
            yield f"{call.id} got {call.status} although it ran"


@check
def refusals_have_retry_after(record: Record) -> Iterator[str]:
    """Responses 429 and 503 have a Retry-After header."""
    for call in record.calls:
        if call.status in (429, 503) and not call.retry_after:
            yield f"{call.id} got {call.status} without Retry-After"


@check
def no_unexpected_client_errors(record: Record) -> Iterator[str]:
    """Valid requests get no 4xx status but the "not run" ones.

    Status 401 is expected for a key that was revoked. Calls on routes that a
    version has added: `added_routes_are_known`.
    """
    revoked = {
        key for change in record.config_changes for key in change.revoked_keys
    }
    for call in record.calls:
        is_unexpected = (
            400 <= call.status < 500 and call.status not in NOT_RUN_STATUSES
        )
        if call.version and call.status == 404:
            continue
        if is_unexpected and not (call.status == 401 and call.key in revoked):
            yield f"{call.id} ({call.kind.value}) got {call.status}"


@check
def responses_meet_deadlines(record: Record) -> Iterator[str]:
    """Every response ends by its deadline, within the tolerance.

    Calls during a fault of their gateway are ignored, and so are those during
    a stall of the soak process itself.
    """
    for call in record.calls:
        late_seconds = call.ended_at - call.sent_at - call.deadline_seconds
        since = call.sent_at - UNDISTURBED_SECONDS
        targets = (("gateway", call.gateway), ("soak", 0))
        if late_seconds > DEADLINE_TOLERANCE_SECONDS and not disturbed(
            record, since, call.ended_at, *targets
        ):
            yield f"{call.id} ended {late_seconds:.2f} s late: {call.status}"


@check
def every_second_is_served_after_the_recovery(
    record: Record,
) -> Iterator[str]:
    """Calls of each kind are served in each second after the recovery time."""
    due = record.faults_ended_at + RECOVERY_SECONDS
    windows = defaultdict(list)
    for call in _calls_after(record, due):
        windows[int(call.sent_at - due), call.kind].append(call)
    for (second, kind), calls in sorted(windows.items(), key=str):
        served = sum(_is_served(call) for call in calls)
        if len(calls) < MIN_WINDOW_CALLS:
            continue
        if served < MIN_WINDOW_SHARE * len(calls):
            yield (
                f"{served} of {len(calls)} calls ({kind.value}) served from "
                f"{second} s after the recovery time on"
            )


def _calls_after(record: Record, due: float) -> list[Call]:
    """Returns the calls after a time that should be served."""
    revoked = {
        key for change in record.config_changes for key in change.revoked_keys
    }
    return [
        call
        for call in record.calls
        if call.sent_at > due and call.key not in revoked and not call.left
    ]


def _is_served(call: Call) -> bool:
    return call.is_complete and call.status == 200


@check
def service_recovers(record: Record) -> Iterator[str]:
    """Callers are served again after the last fault."""
    due = record.faults_ended_at + RECOVERY_SECONDS
    calls = _calls_after(record, due)
    served = [call for call in calls if _is_served(call)]
    if not calls:
        yield "no request was sent after the recovery"
    elif len(served) < MIN_SERVED_SHARE * len(calls):
        yield f"only {len(served)} of {len(calls)} served after the recovery"
