"""Requests that crash endpoints, and those that do not."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from soak.checks.registry import (
    UNDISTURBED_SECONDS,
    check,
    disturbed,
    faulted_targets,
)
from soak.record import CRASHING_PART, Record

CRASHES_TO_NOTICE = 3
CRASHES_TO_NOTICE_A_PART = 5
MAX_LATER_CRASHING_REQUESTS = 3
CRASH_NOTICE_SECONDS = 3.0
"""When a request has crashed that many endpoints, only so many may get it
later than this."""
ANSWERED_SECONDS = 10.0
"""A request that was answered so recently must not be taken for the cause of
crashes."""


@check
def crashing_requests_are_stopped(record: Record) -> Iterator[str]:
    """A request that crashes endpoints is not sent on and on.

    Requests during faults of control hosts or gateways are ignored.
    """
    targets = [*faulted_targets(record, "control", "gateway"), ("soak", 0)]
    crashes = defaultdict(list)
    for crash in record.crashes:
        crashes[crash.body].append(crash.at)
    for body, times in crashes.items():
        needed = _crashes_to_notice(body)
        if len(times) < needed:
            continue
        noticed_at = times[needed - 1] + CRASH_NOTICE_SECONDS
        later = [
            attempt
            for attempt in record.attempts
            if attempt.crashing == body
            and attempt.started_at > noticed_at
            and not disturbed(
                record,
                attempt.started_at - UNDISTURBED_SECONDS,
                attempt.started_at,
                *targets,
            )
        ]
        if len(later) > MAX_LATER_CRASHING_REQUESTS:
            yield f"{body!r} was sent {len(later)} times after {needed} crashes"


def _crashes_to_notice(cause: str) -> int:
    """Returns after how many crashes a request, or a part, must be known."""
    if cause.startswith(CRASHING_PART):
        return CRASHES_TO_NOTICE_A_PART
    return CRASHES_TO_NOTICE


@check
def crashes_by_one_request_are_few(record: Record) -> Iterator[str]:
    """Faults let a request crash a few endpoints more, and not any number.

    Each gateway alone stops it after two, and after each of its restarts.
    """
    disturbances = sum(
        span.target in ("control", "gateway") for span in record.fault_spans
    )
    gateways = len({call.gateway for call in record.calls})
    allowed = 2 * (gateways + disturbances)
    crashes = Counter(crash.body for crash in record.crashes)
    for body, count in crashes.items():
        if count > _crashes_to_notice(body) + allowed:
            yield f"{body!r} crashed {count} endpoints"


@check
def harmless_requests_are_not_quarantined(record: Record) -> Iterator[str]:
    """Requests that endpoints answer are not refused for crashing them.

    All requests of a kind and a host are the same. While none of them has been
    answered for long, and endpoints end one after the other, they may be the
    cause.
    """
    answered = defaultdict(list)
    for call in record.calls:
        if call.status == 200 and call.is_complete:
            answered[call.kind, call.version].append(call.ended_at)
    for call in record.calls:
        if call.status != 503 or "request_quarantined" not in call.body:
            continue
        since = call.sent_at - ANSWERED_SECONDS
        if any(
            since < at < call.sent_at
            for at in answered[call.kind, call.version]
        ):
            yield f"{call.id} was refused as one that crashes endpoints"
