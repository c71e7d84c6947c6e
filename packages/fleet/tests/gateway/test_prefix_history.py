"""What a gateway remembers of the prompts that it has sent."""

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway import prefix_history
from marjoramyard.fleet.gateway.prefix_history import (
    MAX_PREFIXES,
    PrefixHistory,
)


def prompt(shared, own="own"):
    return (PromptPart(shared, 3000), PromptPart(own, 500))


def remembered(history):
    return [(p.endpoint, p.parts[-1].digest) for p in history.recent()]


def test_shared_parts_are_remembered_once_for_each_engine():
    history = PrefixHistory()
    history.add("e0", prompt("a"))
    history.add("e1", prompt("a"))
    history.add("e0", prompt("b"))
    history.add("e0", prompt("a", own="other"))
    assert remembered(history) == [("e1", "a"), ("e0", "b"), ("e0", "a")]


def test_a_prompt_without_shared_parts_is_not_remembered():
    history = PrefixHistory()
    history.add("e0", prompt("a")[1:])
    assert remembered(history) == []


def test_the_memory_of_a_history_is_bounded():
    history = PrefixHistory()
    for number in range(2 * MAX_PREFIXES):
        history.add("e0", prompt(f"part-{number}"))
    assert len(history.prefixes) == MAX_PREFIXES
    assert remembered(history)[-1] == ("e0", f"part-{2 * MAX_PREFIXES - 1}")


def test_old_prefixes_are_not_reported(monkeypatch):
    history = PrefixHistory()
    history.add("e0", prompt("a"))
    monkeypatch.setattr(prefix_history, "MAX_AGE_SECONDS", 0.0)
    assert remembered(history) == []
