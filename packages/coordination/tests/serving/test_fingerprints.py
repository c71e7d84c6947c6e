"""Tests of the fingerprints of requests."""

import msgspec
import pytest

from marjoramyard.coordination.serving.fingerprints import (
    MAX_SUSPECTED_PARTS,
    body_digest,
    message_fingerprints,
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


def chat(*contents, **fields):
    messages = [{"role": "user", "content": text} for text in contents]
    return msgspec.json.encode({"messages": messages, **fields})


def test_the_messages_of_a_chat_but_the_last_are_its_shared_parts():
    """Guards against suspecting a caller's own question, and against missing a
    message that others share, wherever it stands and however it is written.
    """
    found = message_fingerprints("llm", chat("a", "b", "own"))
    assert len(set(found)) == 2
    spaced = b'{"messages": [{"content":  "b", "role":"user"}, {"x": 1}]}'
    assert message_fingerprints("llm", spaced) == found[1:]
    assert message_fingerprints("other", chat("a", "own")) != found[:1]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"?",
        b'{"messages": 5}',
        b'{"messages": [',
        b'"messages"\xff',
        b"[]",
    ],
)
def test_other_bodies_have_no_shared_messages(body):
    """Guards against failing requests that are no chats."""
    assert message_fingerprints("llm", body) == []


def test_a_chat_of_many_messages_is_bounded():
    """Guards against work that grows with what callers send."""
    body = chat(*(str(number) for number in range(MAX_SUSPECTED_PARTS + 50)))
    assert len(message_fingerprints("llm", body)) == MAX_SUSPECTED_PARTS
