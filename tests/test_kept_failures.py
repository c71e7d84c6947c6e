"""Files of failed tests are kept."""

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from kept_failures import (
    MAX_FILE_BYTES,
    MAX_KEPT,
    REPORT_NAME,
    FailureReport,
    keep_files,
)

FAILING_TEST = """
import pytest

@pytest.fixture
def process(tmp_path):
    yield
    (tmp_path / "process.log").write_text("stopped")

def test_fails(process):
    assert False

def test_passes(process):
    assert True
"""


def report_on(test):
    return FailureReport(test, "", (0.0, 0.0, 0.0))


def test_the_end_of_a_long_log_is_kept(tmp_path):
    """Guards against kept files that fill the disk."""
    (tmp_path / "files/data").mkdir(parents=True)
    log = tmp_path / "files/data/gateway.log"
    log.write_bytes(b"x" * MAX_FILE_BYTES + b"end")
    kept = keep_files(tmp_path / "files", tmp_path / "kept", report_on("a[b]"))
    copy = (kept / "data/gateway.log").read_bytes()
    assert len(copy) == MAX_FILE_BYTES and copy.endswith(b"end")


def test_only_the_last_failures_are_kept(tmp_path):
    """Guards against kept folders without end."""
    for number in range(MAX_KEPT + 3):
        last = keep_files(tmp_path / "none", tmp_path, report_on(f"t{number}"))
    assert len(list(tmp_path.iterdir())) == MAX_KEPT
    assert (last / REPORT_NAME).exists()


@pytest.mark.parametrize("workers", ["0", "2"])
def test_the_files_of_a_failing_test_are_kept_once_its_processes_ended(
    tmp_path, workers
):
    """Guards against a failure in CI of which no log is left."""
    (tmp_path / "test_it.py").write_text(FAILING_TEST)
    command = [sys.executable, "-m", "pytest", "-q", "-n", workers]
    command += ["-p", "kept_failures", "-p", "no:cacheprovider"]
    command += ["--rootdir", str(tmp_path), "test_it.py"]
    code = "import kept_failures, pathlib, sys; "
    code += f"kept_failures.KEPT = pathlib.Path({str(tmp_path / 'kept')!r})"
    (tmp_path / "conftest.py").write_text(code.replace("; ", "\n"))
    env = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
    ended = subprocess.run(
        command, cwd=tmp_path, env=env, check=False, capture_output=True
    )
    assert str(tmp_path / "kept").encode() in ended.stdout
    (kept,) = (tmp_path / "kept").iterdir()
    assert (kept / "process.log").read_text() == "stopped"
    report = msgspec.json.decode(
        (kept / REPORT_NAME).read_bytes(), type=FailureReport
    )
    assert report.test.endswith("test_fails")
    assert report.running_seconds >= 0
