"""Responses that are passed on without parsing their body."""

import pytest

from marjoramyard.fleet.gateway.forwarded_response import ForwardedResponse

WHOLE = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
    b"HTTP/1.1 503 Busy\r\ncontent-length:0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
]


@pytest.mark.parametrize("response", WHOLE)
@pytest.mark.parametrize("step", [1, 3, 1000])
def test_only_a_response_that_has_its_end_is_complete(response, step):
    """Guards against logging what a lost gateway broke off as passed on."""
    found = ForwardedResponse()
    for start in range(0, len(response), step):
        assert not found.is_complete
        found.feed(response[start : start + step])
    assert found.is_complete
    assert found.size == len(response)


def test_a_switch_of_protocols_ends_with_the_connection():
    """Guards against bytes of another protocol that are taken for a head."""
    found = ForwardedResponse()
    found.feed(b"HTTP/1.1 101 Switching Protocols\r\n\r\n")
    found.feed(WHOLE[0])
    assert not found.is_complete
    assert not found.is_reusable


@pytest.mark.parametrize("step", [1, 7, 100000])
def test_a_response_after_interim_ones_is_never_reusable(step):
    """Guards against a response that reaches another caller."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    data = interim * 3 + WHOLE[0]
    found = ForwardedResponse(closes_caller=True)
    passed = b"".join(
        found.feed(data[start : start + step])
        for start in range(0, len(data), step)
    )
    closing = WHOLE[0].replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert passed == interim * 3 + closing
    assert found.is_complete
    assert not found.is_reusable
