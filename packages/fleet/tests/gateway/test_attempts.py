"""What a gateway reads from the head of an endpoint's response."""

from types import SimpleNamespace

import pytest

from marjoramyard.fleet.gateway.attempts import (
    SendFailedError,
    SendOutcome,
    check_response_head,
    requested_pause,
)
from marjoramyard.fleet.gateway.dialect import HeaderNames

NAMES = HeaderNames()
REQUEST = SimpleNamespace(attempt="a")


def refusal(**headers):
    response = SimpleNamespace(
        status=503, headers={"Request-Id": "a", "Not-Run": "1", **headers}
    )
    with pytest.raises(SendFailedError) as caught:
        check_response_head(REQUEST, response, NAMES)
    assert caught.value.outcome is SendOutcome.REFUSED
    return caught.value


def test_a_refusal_says_how_long_the_endpoint_wants_no_requests():
    error = refusal(**{"Retry-After": "2.5"})
    assert error.retry_after == 2.5
    assert error.reason == "status 503, retry after 2.5 s"


def test_a_refusal_without_retry_after_has_none():
    error = refusal()
    assert error.retry_after == 0.0
    assert error.reason == "status 503"


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
        # The limit of one workspace says nothing on requests of others.
        (429, "3", 0.0),
        (200, "3", 0.0),
    ],
)
def test_a_pause_is_a_finite_time_in_a_503(status, text, seconds):
    response = SimpleNamespace(status=status, headers={"Retry-After": text})
    assert requested_pause(response) == seconds
