"""Disk, memory and times of a control host, by number and size of changes.

Run: .venv/bin/python bench/log_size.py [COUNTxKB ...]
"""

import argparse
import asyncio
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
from control_host import control_host  # noqa: E402

from marjoramyard.coordination.governance.commands import (  # noqa: E402
    ConfigDocument,
)

DEFAULT_CASES = ["50x530", "90x530", "300x530", "300x4"]
LIMITS = {"disk_mb": 64, "memory_mb": 150, "snapshot_every": 100}


def routes_document(version: int, size: int) -> bytes:
    """Returns a configuration of many routes of about `size` bytes."""
    rng = random.Random(version // 10)
    routes = []
    length = 0
    while length < size:
        route = {
            "name": f"r-{rng.randbytes(4).hex()}",
            "hostname": f"{rng.randbytes(3).hex()}.example",
            "path_prefix": f"/{rng.randbytes(4).hex()}/",
            "timeout_ms": rng.randrange(1000, 9000, 100),
            "service": f"s-{rng.randrange(20)}",
            "max_attempts": 2,
            "resumable": True,
        }
        routes.append(route)
        length += len(msgspec.json.encode(route)) + 1
    return msgspec.json.encode({"version": version, "routes": routes})


def folder_bytes(folder: Path) -> int:
    """Returns the size of all files in a folder."""
    return sum(path.stat().st_size for path in folder.glob("*"))


def rss_mb() -> float:
    """Returns the largest resident size of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


async def change(folder: Path, count: int, size: int) -> dict[str, float]:
    """Makes changes; returns the largest sizes and the times."""
    times = []
    largest = 0
    async with control_host(folder, **LIMITS) as host:
        before = rss_mb()
        for version in range(1, count + 1):
            document = ConfigDocument(version, routes_document(version, size))
            started = time.perf_counter()
            await host.service.put_config(document)
            times.append(time.perf_counter() - started)
            largest = max(largest, folder_bytes(folder))
    return {
        "disk_mb": round(largest / 1e6, 2),
        "memory_mb": round(rss_mb() - before, 1),
        "median_ms": round(statistics.median(times) * 1000, 2),
        "longest_ms": round(max(times) * 1000, 2),
    }


async def start(folder: Path) -> dict[str, float]:
    """Starts on an existing folder; returns time and memory."""
    before = rss_mb()
    started = time.perf_counter()
    async with control_host(folder, **LIMITS) as host:
        seconds = time.perf_counter() - started
        assert host.service.newest_config() is not None
    return {
        "start_ms": round(seconds * 1000, 1),
        "start_memory_mb": round(rss_mb() - before, 1),
    }


def in_process(step: str, folder: Path, case: str) -> dict[str, float]:
    """Runs one step in a process of its own, for its memory."""
    command = [sys.executable, __file__, "--step", step, "--folder", folder]
    output = subprocess.run(
        [*command, case], capture_output=True, check=True
    ).stdout
    return msgspec.json.decode(output.splitlines()[-1])


def main() -> None:
    """Prints one line of figures for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", default=DEFAULT_CASES)
    parser.add_argument("--step", choices=["change", "start"])
    parser.add_argument("--folder", type=Path)
    options = parser.parse_args()
    if options.step:
        count, size = map(int, options.cases[0].split("x"))
        work = start(options.folder)
        if options.step == "change":
            work = change(options.folder, count, size * 1000)
        print(msgspec.json.encode(asyncio.run(work)).decode())
        return
    for case in options.cases:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            figures = in_process("change", folder, case)
            figures |= in_process("start", folder, case)
        print(case, msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
