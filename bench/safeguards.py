"""Mutation test of the safeguards listed in bench/safeguards.yaml.

`.venv/bin/python bench/safeguards.py [NAME ...]` removes each safeguard from a
copy of the tree, runs its test there and expects the test to fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import yaml

ROOT = Path(__file__).parents[1]
LIST = ROOT / "bench/safeguards.yaml"
WORKERS = 4
TEST_TIMEOUT_SECONDS = 150
_NOT_COPIED = (".venv", ".git", "__pycache__", ".pytest_cache", ".hypothesis")


class Safeguard(msgspec.Struct):
    """One safeguard and the mutation that removes it.

    Attributes:
        file: End of the path of the source file below packages/.
        find: The lines of the safeguard, which must occur exactly once.
        replace: The lines that replace them.
        test: The test that must fail after the replacement.
    """

    name: str
    file: str
    find: str
    replace: str
    test: str


def remove(safeguard: Safeguard, folder: Path) -> None:
    """Removes a safeguard from the copy of the tree in `folder`.

    Raises:
        ValueError: Its lines do not occur exactly once.
    """
    path = next((folder / "packages").rglob(safeguard.file))
    text = path.read_text(encoding="utf-8")
    if text.count(safeguard.find) != 1:
        raise ValueError(
            f"{safeguard.name}: not found exactly once in {path.name}"
        )
    text = text.replace(safeguard.find, safeguard.replace)
    path.write_text(text, encoding="utf-8")


def run_test(safeguard: Safeguard, folder: Path) -> tuple[int, str]:
    """Runs the test of a safeguard; returns exit code and output."""
    paths = [str(p) for p in (folder / "packages").glob("*/src")]
    extra_env = {
        "PYTHONPATH": os.pathsep.join(paths),
        "HYPOTHESIS_PROFILE": "safeguards",
    }
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", safeguard.test],
        cwd=folder,
        env={**os.environ, **extra_env},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_SECONDS,
        check=False,
    )
    return done.returncode, done.stdout


def reason_of(output: str) -> str:
    """Returns the first error line of a pytest output."""
    errors = [line for line in output.splitlines() if line.startswith("E  ")]
    return errors[0][1:].strip() if errors else "(no reason printed)"


def check(safeguard: Safeguard) -> bool:
    """Returns whether the test fails without the safeguard."""
    with tempfile.TemporaryDirectory(prefix="safeguard-") as temporary:
        folder = Path(temporary) / "tree"
        ignored = shutil.ignore_patterns(*_NOT_COPIED)
        shutil.copytree(ROOT, folder, ignore=ignored)
        remove(safeguard, folder)
        try:
            code, output = run_test(safeguard, folder)
        except subprocess.TimeoutExpired:
            code, output = -1, "E   the test timed out"
    failed = code == 1
    verdict = "fails without it" if failed else f"NOT DETECTED (exit {code})"
    print(f"{safeguard.name}: {verdict}: {reason_of(output)}", flush=True)
    return failed


def main() -> None:
    """Checks the named safeguards, or all of them."""
    text = LIST.read_text(encoding="utf-8")
    listed = msgspec.convert(yaml.safe_load(text), list[Safeguard])
    chosen = [s for s in listed if not sys.argv[1:] or s.name in sys.argv[1:]]
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(check, chosen))
    print(f"{sum(results)} of {len(results)} safeguards are covered by a test")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
