"""Which responses ask for a pause."""

import pytest

from marjoramyard.fleet.util.pause_requests import (
    MAX_PAUSE_SECONDS,
    requested_pause,
)


@pytest.mark.parametrize(
    "status, text, seconds",
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "", 0.0),
        (503, "-1", 0.0),
        (503, "inf", 0.0),
        (503, "nan", 0.0),
        (503, "soon", 0.0),
        (503, "1_0", 0.0),
        (503, "9" * 400, MAX_PAUSE_SECONDS),
        # The limit of one workspace says nothing on requests of others.
        (429, "3", 0.0),
        (200, "3", 0.0),
    ],
)
def test_a_pause_is_a_finite_time_in_a_503(status, text, seconds):
    assert requested_pause(status, {"Retry-After": text}) == seconds
