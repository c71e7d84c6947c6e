"""Tests of the fingerprints of requests."""

import pytest

from marjoramyard.coordination.serving.fingerprints import (
    body_digest,
    request_fingerprint,
)

REQUEST = ("shop", "POST", "shop.example", "/a/x", b"body")


def fingerprint(workspace, *request):
    return request_fingerprint(workspace, body_digest(*request))


def test_a_request_that_is_sent_again_has_the_same_fingerprint():
    """Guards against: a crashing request that is new with each attempt."""
    assert fingerprint(*REQUEST) == fingerprint(*REQUEST)


@pytest.mark.parametrize("position", range(len(REQUEST)))
def test_other_requests_have_other_fingerprints(position):
    """Guards against: refusing a request because of a similar one."""
    other = list(REQUEST)
    other[position] = b"other" if position == 4 else "other"
    assert fingerprint(*other) != fingerprint(*REQUEST)
