"""The promises, checked on a record. Each returns what broke them."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from soak.record import MAY_REPEAT, Call, Record, whole_body

Check = Callable[[Record], Iterator[str]]
CHECKS: dict[str, Check] = {}

REVOKE_SECONDS = 5.0
"""A key that was taken away is refused everywhere after so long."""
LEAVE_SECONDS = 2.0
"""A leaving endpoint gets nothing new after so long."""
CONFIG_SECONDS = 2.0
"""A control host that reads back at all reads back what was acknowledged."""
RECOVER_SECONDS = 12.0
"""After the last fault, callers are served again."""
LATE_SECONDS = 0.7
"""An answer is final so long after the caller's patience, host awake."""
CONTACT_SECONDS = 3.0
"""So long before a moment nothing must have disturbed a host that is held
to a promise with a time bound."""
NOT_RUN = (408, 421, 429, 503)
GRACE_SECONDS = 8.0
SERVED_SHARE = 0.9


def check(function: Check) -> Check:
    """Registers a check under its name."""
    CHECKS[function.__name__] = function
    return function


def violations(record: Record) -> list[str]:
    """Returns everything that broke a promise."""
    return [
        f"{name}: {what}"
        for name, function in CHECKS.items()
        for what in function(record)
    ]


def disturbed(
    record: Record, since: float, until: float, *targets: tuple[str, int]
) -> bool:
    """Whether a fault touched any of the targets between two moments."""
    return any(
        (span.target, span.number) in targets
        and span.since <= until
        and span.until >= since
        for span in record.spans
    )


def all_of(record: Record, *names: str) -> list[tuple[str, int]]:
    """Returns all targets of these kinds that a fault ever struck."""
    found = {(s.target, s.number) for s in record.spans if s.target in names}
    return sorted(found)


@check
def whole_answers(record: Record) -> Iterator[str]:
    """A success that looks complete is the request's own, in full."""
    for call in record.calls:
        if call.status != 200:
            continue
        right = whole_body(call.id, call.kind)
        if call.is_whole and call.body != right:
            yield f"{call.id} ({call.kind.value}) got another or a cut body"
        elif not call.is_whole and not right.startswith(call.body):
            yield f"{call.id} ({call.kind.value}) began with foreign bytes"


@check
def at_most_once(record: Record) -> Iterator[str]:
    """What must not repeat runs once at the most."""
    runs = defaultdict(int)
    for run in record.runs:
        runs[run.id] += 1
    for call in record.calls:
        if call.kind not in MAY_REPEAT and runs[call.id] > 1:
            yield f"{call.id} ({call.kind.value}) ran {runs[call.id]} times"


@check
def attempts_are_bounded(record: Record) -> Iterator[str]:
    """A repeatable request reaches two endpoints at the most."""
    runs = defaultdict(int)
    for run in record.runs:
        runs[run.id] += 1
    for call in record.calls:
        if runs[call.id] > 2:
            yield f"{call.id} ran {runs[call.id]} times, 2 attempts allowed"


@check
def not_run_is_true(record: Record) -> Iterator[str]:
    """A request that was told "not run" never ran."""
    ran = {run.id for run in record.runs}
    for call in record.calls:
        told = call.status in NOT_RUN and call.kind not in MAY_REPEAT
        if told and call.id in ran:
            yield f"{call.id} was told {call.status} and ran"


@check
def refusals_say_when(record: Record) -> Iterator[str]:
    """A refusal that means "come back" says when."""
    for call in record.calls:
        if call.status in (429, 503) and not call.retry_after:
            yield f"{call.id} got {call.status} without Retry-After"


@check
def only_proper_statuses(record: Record) -> Iterator[str]:
    """Proper requests are never called unknown, forbidden or malformed."""
    lost = {key for order in record.orders for key in order.lost_keys}
    for call in record.calls:
        wrong = 400 <= call.status < 500 and call.status not in NOT_RUN
        if wrong and not (call.status == 401 and call.key in lost):
            yield f"{call.id} ({call.kind.value}) got {call.status}"


@check
def keys_are_revoked(record: Record) -> Iterator[str]:
    """A key that was taken away opens nothing, wherever it is tried."""
    lost_at = {
        key: order.acked_at
        for order in record.orders
        for key in order.lost_keys
    }
    ran = {run.id for run in record.runs}
    for call in record.calls:
        at = lost_at.get(call.key)
        if at is None or call.id not in ran:
            continue
        if call.sent_at > at + REVOKE_SECONDS:
            yield (
                f"{call.id} ran with a key that was taken away "
                f"{call.sent_at - at:.1f} s before"
            )


@check
def keys_stay_here(record: Record) -> Iterator[str]:
    """No endpoint sees a caller's key."""
    for run in record.runs:
        if run.key_sent:
            yield f"{run.id} brought its key to {run.endpoint}"


@check
def the_leaving_get_nothing_new(record: Record) -> Iterator[str]:
    """An endpoint that leaves gets no new work after some seconds."""
    left = {leave.endpoint: leave.acked_at for leave in record.leaves}
    by_id = {call.id: call for call in record.calls}
    control = all_of(record, "control")
    for run in record.runs:
        at = left.get(run.endpoint)
        call = by_id.get(run.id)
        if at is None or call is None or run.at <= at + LEAVE_SECONDS:
            continue
        mine = ("gateway", call.gateway)
        since = at - CONTACT_SECONDS
        if not disturbed(record, since, run.at, mine, *control):
            yield f"{run.id} reached {run.endpoint} {run.at - at:.1f} s late"


@check
def nothing_reverts(record: Record) -> Iterator[str]:
    """No control host reads back less than was acknowledged."""
    for read in record.reads:
        for order in record.orders:
            due = order.acked_at + CONFIG_SECONDS
            if read.version < order.version and read.sent_at > due:
                yield (
                    f"control {read.host} gave {read.version} "
                    f"{read.sent_at - order.acked_at:.1f} s after "
                    f"{order.version} was acknowledged"
                )


@check
def the_last_is_kept(record: Record) -> Iterator[str]:
    """What was acknowledged is in force at the end."""
    newest = max((order.version for order in record.orders), default=0)
    if record.final_version < newest:
        yield f"version {record.final_version} at the end, {newest} was acked"


@check
def answers_are_final_in_time(record: Record) -> Iterator[str]:
    """No caller waits past its patience for the final word."""
    for call in record.calls:
        over = call.ended_at - call.sent_at - call.patience
        since = call.sent_at - CONTACT_SECONDS
        ours = (("gateway", call.gateway), ("soak", 0))
        if over > LATE_SECONDS and not disturbed(
            record, since, call.ended_at, *ours
        ):
            yield f"{call.id} ended {over:.2f} s late: {call.status}"


@check
def shutdown_cuts_nothing(record: Record) -> Iterator[str]:
    """A gateway that is told to stop answers what it has read.

    Streams are cut where their endpoint is struck as well.
    """
    for stop in record.stops:
        if stop.target != "gateway":
            continue
        mine = ("gateway", stop.number)
        others = [
            span
            for span in record.spans
            if (span.target, span.number) == mine
            and span.kind != "stop"
            and span.since <= stop.ended_at
            and span.until >= stop.at - CONTACT_SECONDS
        ]
        if others:
            continue
        if stop.code != 0:
            yield f"gateway {stop.number} ended with {stop.code}"
        if stop.ended_at - stop.at > GRACE_SECONDS:
            yield f"gateway {stop.number} took {stop.ended_at - stop.at:.1f} s"
        for call in record.calls:
            if _was_cut(record, call, stop):
                yield f"{call.id} was cut by the stop of gateway {stop.number}"


def _was_cut(record: Record, call: Call, stop) -> bool:
    if call.gateway != stop.number or call.is_whole:
        return False
    if not stop.at - call.patience < call.sent_at < stop.ended_at:
        return False
    if call.ended_at < stop.at:
        return False
    ran = any(run.id == call.id for run in record.runs)
    endpoints = all_of(record, "endpoint")
    since = call.sent_at - CONTACT_SECONDS
    struck = disturbed(record, since, call.ended_at, *endpoints)
    return ran and not struck


@check
def service_returns(record: Record) -> Iterator[str]:
    """Once all faults are over, callers are served again."""
    due = record.healed_at + RECOVER_SECONDS
    lost = {key for order in record.orders for key in order.lost_keys}
    late = [
        call
        for call in record.calls
        if call.sent_at > due and call.key not in lost
    ]
    served = [call for call in late if call.is_whole and call.status == 200]
    if not late:
        yield "no request was sent after the recovery"
    elif len(served) < SERVED_SHARE * len(late):
        yield f"only {len(served)} of {len(late)} served after the recovery"
