"""The memory of processes."""

from collections.abc import Iterator

from soak.checks.registry import check
from soak.record import Record


@check
def memory_stays_within_its_limit(record: Record) -> Iterator[str]:
    """No process uses more memory than it has, whatever is sent to it."""
    for excess in record.memory_excesses:
        yield (
            f"{excess.target} {excess.number} used {excess.used / 1e6:.0f} MB"
        )
