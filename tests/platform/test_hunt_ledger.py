"""The ledger of hunts, written from the bench's journal."""

import importlib.util
import json
from pathlib import Path

import pytest

TOOL = Path(__file__).parents[2] / "platform/tools/hunt_ledger.py"


@pytest.fixture(scope="module")
def ledger():
    spec = importlib.util.spec_from_file_location("hunt_ledger", TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def entry(number, name, day, **changes):
    fields = {
        "id": f"id-{number}",
        "cmd": "hunt",
        "at": [f"2026-12-0{day}T10:00:00Z", ""],
        "head": f"commit-{number}",
        "argv": [f".../{name}.toml"],
        "site": name,
        "days": [{"G": 0.5, "rules": {}}, {"G": 0.7, "rules": {"LOST": 1}}],
    }
    return fields | changes


def rows(ledger, folder, entries):
    for number, each in enumerate(entries):
        (folder / f"{number}.json").write_text(json.dumps(each))
    hunts = ledger.read_hunts(folder)
    page = ledger.write_ledger(hunts, lambda commit: int(commit[-1]))
    lines = page.removeprefix(ledger.HEAD_LINES).splitlines()
    return [line.strip("| ").split(" | ") for line in lines]


def test_the_deployment_that_was_hunted_longest_ago_comes_first(
    ledger, tmp_path
):
    found = rows(
        ledger, tmp_path, [entry(1, "a", 3), entry(2, "b", 2), entry(3, "b", 1)]
    )
    assert [row[0] for row in found] == ["b", "b", "a"]
    assert found[-1] == (
        ["a", "2026-12-03 10:00", "commit-", "1", "2", "1", "0.600", "id-1"]
    )


def test_a_hunt_that_did_not_end_does_not_count(ledger, tmp_path):
    """Guards against a deployment that counts as hunted by a run without
    results.
    """
    ended_by_hand = entry(1, "a", 4, site=None, days=0)
    killed = entry(4, "a", 5, error="the run ended early (signal: 15): x")
    found = rows(
        ledger,
        tmp_path,
        [entry(2, "a", 1), entry(3, "b", 2), ended_by_hand, killed],
    )
    assert [row[0] for row in found] == ["a", "a", "a", "b"]
    assert found[0][4:] == ["did not end", "", "", "id-4"]
    assert found[1][4] == "did not end"


def test_entries_that_cannot_be_read_are_named(ledger, tmp_path, capsys):
    """Guards against a ledger that fails on, or hides, a broken entry."""
    (tmp_path / "broken.json").write_text("{")
    (tmp_path / "score.json").write_text(json.dumps(entry(1, "a", 1, cmd="x")))
    assert rows(ledger, tmp_path, [entry(2, "a", 1)])[0][0] == "a"
    assert "broken.json is left out" in capsys.readouterr().out
