"""Responses that are passed on without parsing their body."""

import pytest

from marjoramyard.fleet.gateway.forwarded_response import ForwardedResponse

WHOLE = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
    b"HTTP/1.1 503 Busy\r\ncontent-length:0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n0\r\n\r\n",
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
