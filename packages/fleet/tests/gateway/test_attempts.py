"""What a gateway reads from the head of an endpoint's response."""

from types import SimpleNamespace

import pytest

from marjoramyard.fleet.gateway.attempts import (
    SendFailedError,
    SendOutcome,
    check_response_head,
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
