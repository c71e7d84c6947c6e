"""What the set-up of a checkout does, with a stand-in for Python."""

import os
import shutil
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
ABI = "cpython-311-aarch64-linux-gnu"
OTHER_ABI = "cpython-312-x86_64-linux-gnu"
TIMEOUT_SECONDS = 60.0

PYTHON = """#!/bin/sh
case "$*" in
*SOABI*) echo "$ABI" ;;
"-m venv "*)
  mkdir -p "$3/bin"
  cp "$0" "$3/bin/python" ;;
"-m pip "*)
  [ -z "$PIP_FAILS" ] || exit 1
  echo "$ABI $PWD" >> .venv/installed ;;
esac
"""


class Checkout:
    """A copy of what a set-up needs."""

    def __init__(self, folder: Path):
        self.root = folder / "checkout"
        python = folder / "bin/python3"
        python.parent.mkdir()
        python.write_text(PYTHON)
        python.chmod(0o755)
        self.path = f"{python.parent}:{os.environ['PATH']}"
        for path in [
            "scripts/setup",
            "requirements.txt",
            "platform/pyproject.toml",
            "packages/kernel/pyproject.toml",
        ]:
            (self.root / path).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(ROOT / path, self.root / path)

    def set_up(self, abi: str = ABI, **variables: str) -> int:
        return subprocess.run(
            ["scripts/setup"],
            cwd=self.root,
            env={"PATH": self.path, "ABI": abi, **variables},
            timeout=TIMEOUT_SECONDS,
        ).returncode

    def installed(self) -> set[str]:
        """Returns for what the present environment has been installed."""
        text = (self.root / ".venv/installed").read_text()
        return set(text.splitlines())


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_a_complete_environment_is_left_alone(checkout):
    """Guards against installing all libraries each time."""
    assert checkout.set_up() == 0
    before = (checkout.root / ".venv/installed").read_text()
    assert checkout.set_up() == 0
    assert (checkout.root / ".venv/installed").read_text() == before


def test_an_environment_of_another_interpreter_is_replaced(checkout):
    """Guards against compiled modules of another machine or Python."""
    assert checkout.set_up(OTHER_ABI) == 0
    assert checkout.set_up(ABI) == 0
    assert checkout.installed() == {f"{ABI} {checkout.root}"}


def test_an_environment_of_another_folder_is_replaced(checkout, tmp_path):
    """Guards against a copied checkout that runs the sources of the first."""
    assert checkout.set_up() == 0
    checkout.root = checkout.root.rename(tmp_path / "moved")
    assert checkout.set_up() == 0
    assert checkout.installed() == {f"{ABI} {checkout.root}"}


def test_a_linked_environment_is_left_alone(checkout, tmp_path):
    """Guards against removing the environment that another checkout uses."""
    shared = tmp_path / "shared"
    shared.mkdir()
    (shared / "installed").touch()
    (checkout.root / ".venv").symlink_to(shared)
    assert checkout.set_up() == 0
    assert [path.name for path in shared.iterdir()] == ["installed"]
    assert checkout.installed() == {f"{ABI} {checkout.root}"}


def test_an_interrupted_set_up_is_repeated(checkout):
    """Guards against an environment without libraries that counts as done."""
    assert checkout.set_up(PIP_FAILS="1") != 0
    assert checkout.set_up() == 0
    assert checkout.installed() == {f"{ABI} {checkout.root}"}


def test_an_interrupted_change_is_repeated(checkout):
    """Guards against libraries of other requirements that count as done."""
    requirements = checkout.root / "requirements.txt"
    text = requirements.read_text()
    assert checkout.set_up() == 0
    requirements.write_text(text + "huvo11a==1.0\n")
    assert checkout.set_up(PIP_FAILS="1") != 0
    requirements.write_text(text)
    (checkout.root / ".venv/installed").unlink()
    assert checkout.set_up() == 0
    assert checkout.installed() == {f"{ABI} {checkout.root}"}
