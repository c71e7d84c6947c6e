"""Tests of the memory of answered requests."""

from marjoramyard.coordination.governance.recent_answers import (
    ANSWERED_SECONDS,
    MAX_ANSWERED,
    RecentAnswers,
)


def test_an_answer_is_remembered_for_a_while():
    """Guards against a request that could be answered once, and is never
    suspected again.
    """
    answers = RecentAnswers()
    answers.record("f", 100.0)
    assert answers.contains("f", 100.0 + ANSWERED_SECONDS)
    assert not answers.contains("f", 101.0 + ANSWERED_SECONDS)
    answers.record("g", 101.0 + ANSWERED_SECONDS)
    assert list(answers.answered_at) == ["g"]


def test_few_answers_are_remembered():
    """Guards against memory that grows with each request."""
    answers = RecentAnswers()
    for number in range(2 * MAX_ANSWERED):
        answers.record(f"f{number}", 100.0)
    assert len(answers.answered_at) == MAX_ANSWERED
    assert answers.contains(f"f{2 * MAX_ANSWERED - 1}", 100.0)
