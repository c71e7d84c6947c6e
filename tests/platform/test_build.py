"""What the deploy file's build leaves behind, with libraries that are there.

`python3` is a stand-in that installs nothing from the network: its pip links
the libraries of the tests.
"""

import os
import shutil
import site
import subprocess
import sys
from pathlib import Path

import pytest
from deployed_fleet import ROOT

ABI = "cpython-311-aarch64-linux-gnu"
OTHER_ABI = "cpython-311-x86_64-linux-gnu"
PROGRAM = "target/deps/marjoramyard/fleet/__main__.py"
TIMEOUT_SECONDS = 120.0

AS_ANOTHER_PYTHON = """
import os, sys, sysconfig
sys.version_info = tuple(map(int, os.environ["VERSION"].split(".")))
sysconfig.get_config_var = {"SOABI": os.environ["ABI"]}.get
exec(sys.argv[1])
"""
PYTHON = f"""#!/bin/sh
case "$*" in
*SOABI*) exec {sys.executable} -c "$AS_ANOTHER_PYTHON" "$2" ;;
"-m pip "*)
  echo "$ABI" >> pip-runs
  [ -z "$NO_PIP" ] || {{ echo "No module named pip" >&2; exit 1; }}
  while [ "$1" != --target ]; do shift; done
  mkdir -p "$2"
  [ ! -e pip-is-killed ] || kill -KILL "$PPID" $$
  ln -s {site.getsitepackages()[0]}/* "$2"/
  rm -f "$2/__pycache__"
  echo "$ABI" > "$2/installed-for" ;;
*) exec {sys.executable} "$@" ;;
esac
"""


class Checkout:
    """A copy of what a build needs."""

    def __init__(self, folder: Path):
        self.root = folder / "a checkout"
        self.python = folder / "bin/python3"
        self.python.parent.mkdir()
        self.python.write_text(PYTHON)
        self.python.chmod(0o755)
        for package in ["packages/kernel", "packages/coordination"]:
            self.copy(f"{package}/src")
        for path in ["packages/fleet/src", "platform/src", "deploy"]:
            self.copy(path)

    def copy(self, path: str) -> None:
        ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
        shutil.copytree(ROOT / path, self.root / path, ignore=ignored)

    def command(self, abi: str = ABI, **variables: str):
        """Returns the arguments of a call that starts the build."""
        path = f"{self.python.parent}:{os.environ['PATH']}"
        known = {
            "PATH": path,
            "HOME": "/",
            "ABI": abi,
            "VERSION": "3.11.0",
            "AS_ANOTHER_PYTHON": AS_ANOTHER_PYTHON,
        }
        return {
            "args": ["sh", "deploy/build.sh"],
            "cwd": self.root,
            "env": known | variables,
            "stderr": subprocess.PIPE,
            "text": True,
        }

    def build(self, abi: str = ABI, **variables: str):
        command = self.command(abi, **variables)
        return subprocess.run(**command, timeout=TIMEOUT_SECONDS)

    def pip_runs(self) -> list[str]:
        return (self.root / "pip-runs").read_text().split()

    def program(self, *arguments: str, program: str = PROGRAM, **options):
        """Runs the built program."""
        return subprocess.run(
            [sys.executable, "-S", "-P", program, *arguments],
            **{"cwd": self.root, "timeout": TIMEOUT_SECONDS, **options},
            capture_output=True,
            text=True,
        )

    def starts(self) -> bool:
        environment = {"PYTHONPATH": "target/deps"}
        return self.program("--help", env=environment).returncode == 0


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_a_build_that_is_complete_is_left_alone(checkout):
    """Guards against builds that install the libraries at each start."""
    for _ in range(2):
        assert checkout.build().returncode == 0
        assert checkout.starts()
    assert checkout.pip_runs() == [ABI]


def test_a_build_that_is_complete_writes_nothing(checkout):
    """Guards against a build that fails where everything is there already, as
    the checkout is read-only or another user has built it.
    """
    assert checkout.build().returncode == 0
    lock = checkout.root / "target/.lock"
    lock.unlink()
    # Nobody can open it for writing.
    lock.mkdir()
    built = checkout.build()
    assert built.returncode == 0, built.stderr
    assert checkout.starts()


def test_libraries_of_another_interpreter_are_replaced(checkout):
    """Guards against a target folder of another machine or Python version,
    whose compiled modules can't be imported, so that no process starts.
    """
    assert checkout.build(OTHER_ABI).returncode == 0
    assert checkout.build(ABI).returncode == 0
    assert (checkout.root / "target/deps/installed-for").read_text() == (
        f"{ABI}\n"
    )
    assert checkout.starts()


def test_a_build_after_one_that_was_killed_is_complete(checkout):
    """Guards against libraries that a killed build has removed, when the next
    build has the requirements of the one before it.
    """
    requirements = checkout.root / "deploy/requirements.txt"
    assert checkout.build().returncode == 0
    text = requirements.read_text()
    requirements.write_text(text + "huvo11a==1.0\n")
    (checkout.root / "pip-is-killed").touch()
    assert checkout.build().returncode != 0
    (checkout.root / "pip-is-killed").unlink()
    requirements.write_text(text)
    assert checkout.build().returncode == 0
    assert checkout.starts()


def test_a_build_without_its_result_is_repeated(checkout):
    """Guards against a build that succeeds though what it has built is gone."""
    assert checkout.build().returncode == 0
    shutil.rmtree(checkout.root / "target/deps")
    assert checkout.build().returncode == 0
    assert checkout.starts()


def test_builds_at_the_same_time(checkout):
    """Guards against builds that remove each other's files."""
    builds = [subprocess.Popen(**checkout.command()) for _ in range(3)]
    errors = [build.communicate(timeout=TIMEOUT_SECONDS)[1] for build in builds]
    assert [build.returncode for build in builds] == [0, 0, 0], errors
    assert checkout.starts()


def test_other_users_can_read_the_build(checkout):
    """Guards against a program that only the user who built it can start."""
    for path in checkout.root.rglob("*"):
        path.chmod(0o700 if path.is_dir() else 0o600)
    before = os.umask(0o077)
    try:
        assert checkout.build().returncode == 0
    finally:
        os.umask(before)
    deps = checkout.root / "target/deps"
    own = [deps.parent, deps, *(deps / "marjoramyard").rglob("*")]
    assert all(path.stat().st_mode & 0o004 for path in own)


def test_a_copied_build_is_still_compiled(checkout):
    """Guards against processes that compile everything at each start, as they
    can't write, and the build has been copied without its modification times.
    """
    assert checkout.build().returncode == 0
    for path in (checkout.root / "target/deps/marjoramyard").rglob("*.py"):
        os.utime(path, (0, 0))
    environment = {"PYTHONPATH": "target/deps", "PYTHONVERBOSE": "1"}
    started = checkout.program("--help", env=environment)
    assert started.returncode == 0
    assert "marjoramyard/fleet/cmd/__pycache__/daemon" in started.stderr
    assert "bytecode is stale" not in started.stderr


def test_an_interpreter_that_is_too_old_is_named(checkout):
    """Guards against a build that succeeds with a Python that can't start the
    program, or that fails without a reason.
    """
    built = checkout.build(VERSION="3.10.12")
    assert built.returncode != 0
    assert "python3 is 3.10" in built.stderr
    assert not (checkout.root / "target/deps").exists()


def test_a_build_without_pip_names_it(checkout):
    """Guards against a build without pip that succeeds, or gives no reason."""
    built = checkout.build(NO_PIP="1")
    assert built.returncode != 0
    assert "pip" in built.stderr
    assert not (checkout.root / "target/deps").exists()


@pytest.mark.parametrize("is_absolute", [True, False])
def test_the_program_finds_its_libraries(checkout, is_absolute):
    """Guards against a program that starts only if a variable names the folder
    of its libraries, which `-S` makes the only way to set it.
    """
    assert checkout.build().returncode == 0
    program = str(checkout.root / PROGRAM) if is_absolute else PROGRAM
    folder = checkout.root.parent if is_absolute else checkout.root
    started = checkout.program("--help", program=program, cwd=folder, env={})
    assert started.returncode == 0, started.stderr


def test_the_program_prefers_its_own_libraries(checkout, tmp_path):
    """Guards against other versions of the libraries that the host's variable
    names first.
    """
    assert checkout.build().returncode == 0
    for library in ["aiohttp", "msgspec", "marjoramyard/kernel"]:
        other = tmp_path / f"others/{library}/__init__.py"
        other.parent.mkdir(parents=True)
        other.write_text("raise ImportError('another version')\n")
    environment = {"PYTHONPATH": f"{tmp_path}/others:target/deps"}
    started = checkout.program("--help", env=environment)
    assert started.returncode == 0, started.stderr
