"""Extension for control hosts that injects disk and clock faults.

The soak test writes the current faults into a file beside the data folder.
The control host reads it at each write and each reading of the clock.
"""

import errno
import time
from pathlib import Path

import msgspec

from marjoramyard.fleet.control import storage


class HostFaults(msgspec.Struct):
    """The current faults of a control host.

    Attributes:
        write_delay_seconds: Delay added to each write.
        is_full: Whether each write fails with ENOSPC.
        clock_offset_seconds: Offset added to the time of day.
    """

    write_delay_seconds: float = 0.0
    is_full: bool = False
    clock_offset_seconds: float = 0.0


def path_of(data_folder: Path) -> Path:
    """Returns the file with the faults of a control host."""
    return data_folder.with_suffix(".faults.json")


def write(data_folder: Path, faults: HostFaults) -> None:
    """Replaces the faults of a control host."""
    path_of(data_folder).write_bytes(msgspec.json.encode(faults))


def read(path: Path) -> HostFaults:
    """Returns the current faults; none if the file cannot be read."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=HostFaults)
    except (OSError, msgspec.DecodeError):
        return HostFaults()


def setup(app) -> None:
    """Patches the storage and the clock of the control host."""
    path = path_of(Path(app.settings.data_folder))
    append = storage.Storage.append
    replace_file = storage.replace_file
    time_of_day = time.time

    def apply_faults() -> None:
        faults = read(path)
        time.sleep(faults.write_delay_seconds)
        if faults.is_full:
            raise OSError(errno.ENOSPC, "no space left (soak)")

    def faulty_append(self, *args) -> None:
        apply_faults()
        append(self, *args)

    def faulty_replace_file(*args) -> None:
        apply_faults()
        replace_file(*args)

    storage.Storage.append = faulty_append
    storage.replace_file = faulty_replace_file
    time.time = lambda: time_of_day() + read(path).clock_offset_seconds
