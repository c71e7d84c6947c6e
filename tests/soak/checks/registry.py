"""The registry of checks, and the faults that excuse a violation."""

from collections.abc import Callable, Iterator

from soak.plan import STOPS
from soak.record import Record

Check = Callable[[Record], Iterator[str]]
CHECKS: dict[str, Check] = {}

STOP_KINDS = tuple(kind.value for kind in STOPS)
"""The faults in which a process gets SIGTERM."""

UNDISTURBED_SECONDS = 3.0
"""A guarantee with a time bound holds for a process only if no fault affected
it for this long beforehand."""


def check(function: Check) -> Check:
    """Registers a check under the name of its function."""
    CHECKS[function.__name__] = function
    return function


def violations(record: Record) -> list[str]:
    """Returns all violations, each prefixed with the name of its check."""
    return [
        f"{name}: {violation}"
        for name, function in CHECKS.items()
        for violation in function(record)
    ]


def disturbed(
    record: Record, since: float, until: float, *targets: tuple[str, int]
) -> bool:
    """Whether a fault affected any of the targets between two times."""
    return any(
        (span.target, span.number) in targets
        and span.started_at <= until
        and span.ended_at >= since
        for span in record.fault_spans
    )


def faulted_targets(record: Record, *names: str) -> list[tuple[str, int]]:
    """Returns all targets of these kinds that any fault affected."""
    found = {
        (s.target, s.number) for s in record.fault_spans if s.target in names
    }
    return sorted(found)


def endpoint_number(endpoint: str) -> int:
    """Returns the number of an endpoint in the plan of faults."""
    return int(endpoint.split("-")[1])
