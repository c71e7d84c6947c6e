"""Loaded into control hosts by their settings: a bad disk, a wrong clock.

The soak writes what is wrong into a file beside the data folder; the host
looks at it at each write. So its disk and its time of day go wrong from
outside, at any moment, and the code under test stays as it is.
"""

import errno
import time
from pathlib import Path

import msgspec

from marjoramyard.fleet.control import storage


class Wrong(msgspec.Struct):
    """What is wrong now.

    Attributes:
        sync_seconds: How much longer each write takes.
        is_full: Each write is refused.
        clock_seconds: How far the time of day is off.
    """

    sync_seconds: float = 0.0
    is_full: bool = False
    clock_seconds: float = 0.0


def path_of(data_folder: Path) -> Path:
    """Returns the file that says what is wrong."""
    return data_folder.with_suffix(".wrong.json")


def write(data_folder: Path, wrong: Wrong) -> None:
    """Says what is wrong from now on."""
    path_of(data_folder).write_bytes(msgspec.json.encode(wrong))


def read(path: Path) -> Wrong:
    """Reads what is wrong; nothing while the file is being written."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Wrong)
    except (OSError, msgspec.DecodeError):
        return Wrong()


def setup(app) -> None:
    """Puts the faults between the control host and its folder and clock."""
    path = path_of(Path(app.settings.data_folder))
    write_batch = storage.Storage.append
    write_file = storage.replace_file
    time_of_day = time.time

    def suffer() -> None:
        wrong = read(path)
        time.sleep(wrong.sync_seconds)
        if wrong.is_full:
            raise OSError(errno.ENOSPC, "no space left (soak)")

    def slow_write(self, *args) -> None:
        suffer()
        write_batch(self, *args)

    def slow_file(*args) -> None:
        suffer()
        write_file(*args)

    storage.Storage.append = slow_write
    storage.replace_file = slow_file
    time.time = lambda: time_of_day() + read(path).clock_seconds
