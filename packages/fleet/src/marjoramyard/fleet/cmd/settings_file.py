"""Reads a settings file that may be in the middle of being written."""

import time
from collections.abc import Callable
from pathlib import Path

from result import Err, Ok, Result

from marjoramyard.fleet.application import modified_ns
from marjoramyard.kernel.settings import RoleSettings, load_settings

WAIT_SECONDS = 2.0
_POLL_SECONDS = 0.02
_SETTLED_NS = 100_000_000
"""A file that has not changed for so long is complete. Parts of a file may be
valid settings too."""


def load_when_written(
    path: Path, on_wait: Callable[[str], None]
) -> tuple[Result[RoleSettings, str], int]:
    """Reads settings once their file is there, complete and valid.

    Args:
        path: The file.
        on_wait: Called with the first problem that is waited for.

    Returns:
        The settings or the last problem, and the file's modification time.
    """
    ends_at = time.monotonic() + WAIT_SECONDS
    is_told = False
    while True:
        modified = modified_ns(path)
        loaded = load_settings(path)
        is_final = isinstance(loaded, Ok) and _is_settled(path, modified)
        is_stream = path.exists() and not path.is_file()
        if is_final or is_stream or time.monotonic() >= ends_at:
            return loaded, modified
        if isinstance(loaded, Err) and not is_told:
            on_wait(loaded.err_value)
            is_told = True
        time.sleep(_POLL_SECONDS)


def _is_settled(path: Path, modified: int) -> bool:
    """Returns whether the file has not changed since, and is not about to."""
    age = time.time_ns() - modified
    return modified_ns(path) == modified and not 0 <= age < _SETTLED_NS
