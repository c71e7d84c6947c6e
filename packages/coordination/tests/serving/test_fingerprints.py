"""Tests of the fingerprints of requests."""

import pytest

from marjoramyard.coordination.serving.fingerprints import (
    body_digest,
    part_fingerprint,
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


def test_a_part_is_the_same_however_its_digest_is_written():
    """Guards against callers that evade a quarantine by the case of a digit,
    and against identities that grow with what callers send.
    """
    assert part_fingerprint("llm", "DEAD01") == part_fingerprint(
        "llm", "dead01"
    )
    assert part_fingerprint("llm", "a") != part_fingerprint("other", "a")
    long = [part_fingerprint("llm", "a" * size) for size in (5000, 5001)]
    assert len(set(long)) == 2
    assert len(long[0]) < 50
