"""Signals that a process was started with as blocked or ignored."""

import signal
from collections.abc import Iterable
from typing import NamedTuple


class InheritedSignals(NamedTuple):
    """Signals that a process was started with.

    Attributes:
        blocked: The numbers of those that were blocked.
        ignored: The numbers of those that the program uses and that were
            ignored.
    """

    blocked: Iterable[int] = ()
    ignored: Iterable[int] = ()

    def log_fields(self) -> dict[str, list[str]]:
        """Returns names for a log line; without those that are empty."""
        fields = {
            "signals_blocked": _names(self.blocked),
            "signals_ignored": _names(self.ignored),
        }
        return {name: names for name, names in fields.items() if names}


def _names(numbers: Iterable[int]) -> list[str]:
    return [_name(number) for number in sorted(numbers)]


def _name(number: int) -> str:
    try:
        return signal.Signals(number).name
    except ValueError:
        # Most real-time signals have no name.
        return str(number)
