"""What engines report of the tokens of a response."""

import json
import math

import pytest
from hypothesis import given
from odd_json import odd_bytes

from marjoramyard.fleet.agent.meters import METERS

USAGE = {"prompt_tokens": 12, "completion_tokens": 30}


def charged(usage):
    """Returns what is charged for a response with a report of usage."""
    meter = METERS.get("engine")()
    meter.begin(b"x" * 400)
    first = meter.collect()
    meter.observe(b'data: {"usage": ' + usage + b"}\n\n")
    meter.end()
    return first, meter.collect(), meter.collect()


def test_the_count_of_the_engine_is_charged():
    """Guards against reports that are no longer read."""
    usage = {"prompt_tokens": 1000, "completion_tokens": 500.5}
    assert sum(charged(json.dumps(usage).encode())) == 1500.5


@pytest.mark.parametrize(
    "usage",
    [
        b'{"prompt_tokens": 1e308, "completion_tokens": 1e308}',
        b'{"prompt_tokens": 1e300}',
        b'{"prompt_tokens": ' + b"9" * 300 + b"}",
        b'{"completion_tokens": -1e300}',
        b'{"prompt_tokens": -5}',
    ],
)
def test_a_count_that_no_response_has_is_not_charged(usage):
    """Guards against workspaces that are never served again."""
    assert charged(usage) == charged(b"7")


@given(data=odd_bytes(USAGE))
def test_any_report_charges_a_number_that_can_be_added_up(data):
    """Guards against shares that are infinite or no numbers."""
    for amount in charged(data):
        assert 0.0 <= amount
        assert math.isfinite(amount * 1000)
