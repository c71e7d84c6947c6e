"""Keeps the files of failed tests: the logs of their processes and a report.

The folder is printed with the failure. `run/` isn't committed.
"""

import os
import shutil
import subprocess
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from marjoramyard.kernel.util.thread_times import (
    ThreadClock,
    ThreadTimes,
    thread_clock,
)

ROOT = Path(__file__).parents[1]
KEPT = ROOT / "run/failures"
MAX_KEPT = 20
MAX_FILE_BYTES = 4 << 20
"""Of a longer file, such as a log, the end is kept."""
REPORT_NAME = "report.json"
_TIMES = pytest.StashKey[tuple[ThreadClock, ThreadTimes | None]]()
_HAS_FAILED = pytest.StashKey[bool]()


class FailureReport(msgspec.Struct):
    """What is known of a failed test beside its files.

    Attributes:
        test: Its id.
        commit: The commit it was run on; "" if unknown.
        load: The load of the host over 1, 5 and 15 minutes.
        running_seconds: How long its process was on a processor.
        waiting_seconds: How long its process waited for one.
    """

    test: str
    commit: str
    load: tuple[float, float, float]
    running_seconds: float | None = None
    waiting_seconds: float | None = None


def find_commit() -> str:
    """Returns the commit of the checkout; "" outside of one."""
    found = subprocess.run(
        ["git", "rev-parse", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()


def copy_end(source: str, target: str) -> str:
    """Copies a file, or the end of a long one."""
    with open(source, "rb") as file:
        file.seek(max(0, os.fstat(file.fileno()).st_size - MAX_FILE_BYTES))
        Path(target).write_bytes(file.read())
    return target


def keep_files(folder: Path, kept: Path, report: FailureReport) -> Path:
    """Copies the files of a test, and removes what was kept first.

    Returns:
        The folder of the copies.
    """
    name = "".join(c if c.isalnum() else "-" for c in report.test)[-80:]
    target = kept / name
    shutil.rmtree(target, ignore_errors=True)
    if folder.is_dir():
        shutil.copytree(
            folder,
            target,
            copy_function=copy_end,
            ignore_dangling_symlinks=True,
        )
    target.mkdir(parents=True, exist_ok=True)
    (target / REPORT_NAME).write_bytes(msgspec.json.encode(report))
    oldest_first = sorted(kept.iterdir(), key=lambda path: path.stat().st_mtime)
    for expired in oldest_first[:-MAX_KEPT]:
        shutil.rmtree(expired, ignore_errors=True)
    return target


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Iterator[None]:
    """Measures the processor time of a test."""
    with thread_clock() as clock:
        item.stash[_TIMES] = clock, clock.read()
        return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    """Keeps the files once the fixtures have ended their processes."""
    report = yield
    if report.failed:
        item.stash[_HAS_FAILED] = True
    if report.when == "teardown" and item.stash.get(_HAS_FAILED, False):
        folder = item.funcargs.get("tmp_path")
        if folder is not None:
            keep_files(folder, KEPT, describe(item))
    return report


def pytest_terminal_summary(terminalreporter) -> None:
    """Says where the files are."""
    failed = terminalreporter.getreports("failed")
    if failed:
        terminalreporter.write_line(f"Files of failed tests are in {KEPT}")


def describe(item: pytest.Item) -> FailureReport:
    """Returns the report on a test that has failed."""
    report = FailureReport(item.nodeid, find_commit(), os.getloadavg())
    clock, before = item.stash[_TIMES]
    now = clock.read()
    if before is not None and now is not None:
        times = now.since(before)
        report.running_seconds = round(times.running, 3)
        report.waiting_seconds = round(times.waiting, 3)
    return report
