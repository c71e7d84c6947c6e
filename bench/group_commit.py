"""Throughput of the storage by batch size, and how long a write blocks.

`.venv/bin/python bench/group_commit.py` appends to a data folder in batches of
several sizes and writes bench/out/group_commit.json.
"""

import tempfile
import time
from pathlib import Path

from common import percentile, save

from marjoramyard.coordination.consensus.messages import EntryKind, LogEntry
from marjoramyard.fleet.control.storage import open_storage

BATCH_SIZES = (1, 4, 16, 64, 256)
SECONDS_PER_SIZE = 2.0
DATA = "x" * 400
"""Payload of an entry, about the size of a ledger command."""


def measure(folder: Path, size: int) -> dict:
    """Appends batches of one size and returns throughput and pauses."""
    pauses, index = [], 0
    with open_storage(folder) as storage:
        storage.load()
        end = time.perf_counter() + SECONDS_PER_SIZE
        while time.perf_counter() < end:
            entries = [
                LogEntry(index + n + 1, 1, EntryKind.COMMAND, DATA)
                for n in range(size)
            ]
            started = time.perf_counter()
            storage.append(None, entries)
            pauses.append(time.perf_counter() - started)
            index += size
    return {
        "batch": size,
        "records_per_second": index / sum(pauses),
        "pause_p50_ms": percentile(pauses, 0.5) * 1e3,
        "pause_p99_ms": percentile(pauses, 0.99) * 1e3,
        "pause_worst_ms": max(pauses) * 1e3,
    }


def main() -> None:
    """Prints and saves a row for each batch size."""
    rows = []
    for size in BATCH_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(measure(Path(folder), size))
        row = rows[-1]
        print(
            f"batch {size:4d}: {row['records_per_second']:9.0f} records/s, "
            f"pause p50 {row['pause_p50_ms']:.2f} p99 "
            f"{row['pause_p99_ms']:.2f} worst {row['pause_worst_ms']:.2f} ms",
            flush=True,
        )
    save("group_commit", rows)


if __name__ == "__main__":
    main()
