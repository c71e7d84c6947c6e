"""Processes that get SIGTERM."""

import signal
from collections.abc import Iterator

from soak.checks.registry import (
    STOP_KINDS,
    UNDISTURBED_SECONDS,
    check,
    disturbed,
    faulted_targets,
)
from soak.record import Call, Record

GRACE_SECONDS = 8.0


@check
def shutdown_truncates_nothing(record: Record) -> Iterator[str]:
    """A gateway that gets SIGTERM completes the requests it has accepted.

    Gateways under another fault are ignored, and so are calls during a fault
    of an endpoint. One that has not started yet may be ended by the signal; it
    has accepted nothing. Its time to exit is not measured during a stall of
    the soak process itself.
    """
    for shutdown in record.shutdowns:
        if shutdown.target != "gateway":
            continue
        gateway = ("gateway", shutdown.number)
        other_faults = [
            span
            for span in record.fault_spans
            if (span.target, span.number) == gateway
            and span.kind not in STOP_KINDS
            and span.started_at <= shutdown.ended_at
            and span.ended_at >= shutdown.signalled_at - UNDISTURBED_SECONDS
        ]
        if other_faults:
            continue
        ended_at_start = (
            shutdown.exit_code == -signal.SIGTERM and not shutdown.had_started
        )
        if shutdown.exit_code != 0 and not ended_at_start:
            yield f"gateway {shutdown.number} exited with {shutdown.exit_code}"
        seconds = shutdown.ended_at - shutdown.signalled_at
        if seconds > GRACE_SECONDS and not disturbed(
            record, shutdown.signalled_at, shutdown.ended_at, ("soak", 0)
        ):
            yield f"gateway {shutdown.number} took {seconds:.1f} s to exit"
        for call in record.calls:
            if _was_truncated(record, call, shutdown):
                yield (
                    f"{call.id} was truncated by the shutdown of "
                    f"gateway {shutdown.number}"
                )


def _was_truncated(record: Record, call: Call, shutdown) -> bool:
    if call.gateway != shutdown.number or call.is_complete or call.left:
        return False
    if (
        not shutdown.signalled_at - call.deadline_seconds
        < call.sent_at
        < shutdown.ended_at
    ):
        return False
    if call.ended_at < shutdown.signalled_at:
        return False
    attempts = [one for one in record.attempts if one.id == call.id]
    ran = bool(attempts) and not any(one.broke_off for one in attempts)
    endpoints = faulted_targets(record, "endpoint")
    since = call.sent_at - UNDISTURBED_SECONDS
    endpoint_faulted = disturbed(record, since, call.ended_at, *endpoints)
    return ran and not endpoint_faulted


@check
def no_process_ends_by_itself(record: Record) -> Iterator[str]:
    """A process runs until it is stopped or killed.

    SIGHUP may end one that has not started: Python can't handle a signal before
    its interpreter is set up.
    """
    for end in record.own_ends:
        if end.exit_code != -signal.SIGHUP or end.had_started:
            yield f"{end.target} {end.number} ended with {end.exit_code}"
