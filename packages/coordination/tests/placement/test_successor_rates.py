"""The rates that a new broker estimates from prompts sent before it began."""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.requests import UnbrokeredRequest

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import RATE, make_broker  # noqa: E402

ACTUAL_RATE = 26.0
"""The prefill rate of the engines, in tokens per ms; `RATE` is expected."""
REPORT_MS = 25.0


def report_in_flight(broker, sizes, begun_ms):
    """Reports prompts that one engine prefills in order.

    Args:
        broker: The new broker.
        sizes: The tokens of the prompts.
        begun_ms: For how long the engine has prefilled the first one.

    Returns:
        When the broker learns of each first token, by request.
    """
    reported_at = {}
    end = -begun_ms
    for number, tokens in enumerate(sizes):
        key = f"r{number}"
        end += tokens / ACTUAL_RATE
        reported_at[key] = end + REPORT_MS
        broker.add_unbrokered(
            UnbrokeredRequest(
                key=key,
                endpoint="e0",
                prefill_tokens=float(tokens),
                memory_tokens=float(tokens),
                age_ms=begun_ms,
            ),
            0.0,
        )
    return reported_at


@pytest.mark.parametrize("begun", [0.5, 0.9, 1.0])
@pytest.mark.parametrize("tokens", [2000, 8000, 30_000])
def test_prompts_begun_under_the_predecessor_do_not_raise_the_rate(
    tokens, begun
):
    """Guards against a successor that believes engines to be faster than
    they are, because a prompt was nearly prefilled when it was reported.
    """
    broker = make_broker(1)
    begun_ms = begun * tokens / ACTUAL_RATE
    reported_at = report_in_flight(broker, [tokens] * 8, begun_ms)
    for key, at in reported_at.items():
        broker.record_first_token(key, at)
        broker.finish(key)
        assert broker.engines["e0"].rate <= RATE


def test_engines_that_are_found_later_do_not_raise_the_initial_rate():
    """Guards against a rate of all engines that is too high by the share of
    engines that were not known when the broker began.
    """
    broker = make_broker(10)
    expected = broker.total_prefill_rate
    broker.set_engines(f"e{number}" for number in range(26))
    broker.set_initial_rate(RATE * 10 / 26)
    assert broker.total_prefill_rate == pytest.approx(expected)


def test_a_changed_initial_rate_leaves_measured_engines_as_they_are():
    broker = make_broker(2)
    reported_at = report_in_flight(broker, [8000] * 3, 0.0)
    for key, at in reported_at.items():
        broker.record_first_token(key, at)
    measured = broker.engines["e0"].rate
    assert measured < RATE
    broker.set_initial_rate(RATE / 2)
    assert broker.engines["e0"].rate == measured
    assert broker.engines["e1"].rate == RATE / 2
