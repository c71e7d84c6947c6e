"""Drawn request heads: the early parser against that of the HTTP library."""

import asyncio
from unittest.mock import Mock

from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramyard.fleet.gateway.early_refusal import parse_head
from marjoramyard.fleet.gateway.peer_forwarding import (
    can_forward,
    can_keep_connection,
    closing_request,
    keeping_request,
)

LIMIT = 1 << 16
REQUEST_LINES = [
    b"POST /chat HTTP/1.1",
    b"GET /chat?a=b HTTP/1.1",
    b"POST /chat HTTP/1.0",
    b"POST  /chat HTTP/1.1",
    b"POST /ch at HTTP/1.1",
    b"POST /chat\tHTTP/1.1",
    b"POST http://other/chat HTTP/1.1",
    b"post /chat HTTP/1.1",
    b"POST /chat HTTP/1.1 ",
    b"CONNECT h:1 HTTP/1.1",
]
LINES = [
    b"Host: h",
    b"Host: other",
    b"Host : h",
    b"Api-Key: one",
    b"API-KEY: two",
    b"Content-Length: 5",
    b"Content-Length: 7",
    b"content-length:5",
    b"Content-Length: 05",
    b"Content-Length: +5",
    b"Content-Length: 0x5",
    b"Content-Length: 5, 5",
    b"Content-Length: 5 ",
    b"Content-Length:\t5",
    b"Content-Length : 5",
    b"Content-Length: -5",
    b"Content-Length:",
    b"X-Content-Length: 9",
    b"Note: content-length: 9",
    b" Content-Length: 9",
    b"\tfolded: 1",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding : chunked",
    b"transfer_encoding: chunked",
    b"Connection: keep-alive",
    b"Connection: close, api-key",
    b"Expect: 100-continue",
    b"Upgrade: websocket",
    b"Note: a\rb",
    b"Note: a\x00b",
    b"Note: \xff",
    b": empty",
    b"no colon",
    b"",
]
LINE_ENDS = [b"\r\n", b"\r\n", b"\n", b"\r", b"\r\r\n"]
HEAD_LINES = 5

heads = st.builds(
    lambda first, lines, ends: b"".join(
        line + end for line, end in zip([first, *lines], ends, strict=False)
    ),
    st.just(REQUEST_LINES[0]) | st.sampled_from(REQUEST_LINES),
    st.lists(st.sampled_from(LINES), max_size=HEAD_LINES - 1),
    st.just([b"\r\n"] * HEAD_LINES)
    | st.lists(
        st.sampled_from(LINE_ENDS), min_size=HEAD_LINES, max_size=HEAD_LINES
    ),
)


def parse_by_library(data):
    """Returns the messages of some bytes, or None if they are refused."""
    loop = asyncio.new_event_loop()
    try:
        parser = HttpRequestParser(
            Mock(),
            loop,
            LIMIT,
            max_line_size=LIMIT,
            max_field_size=LIMIT,
        )
        messages, _, rest = parser.feed_data(data)
        return messages, rest
    except HttpProcessingError:
        return None
    finally:
        loop.close()


def assert_same(head, data):
    parsed = parse_by_library(data)
    if parsed is None:
        return
    messages, rest = parsed
    assert (len(messages), rest) == (1, b"")
    message, payload = messages[0]
    assert payload.is_eof()
    assert head.path in ("", message.path)
    for name in ("Host", "Api-Key"):
        early = head.header(name.lower().encode())
        assert early in ("", *message.headers.getall(name, [""]))
        if len(message.headers.getall(name, [])) == 1:
            assert early == message.headers[name]


@settings(max_examples=3000)
@given(heads)
def test_both_parsers_agree_where_a_request_ends_and_what_it_says(raw):
    """Guards against requests that are smuggled past a gateway, or routed or
    authorised by a header that the HTTP library does not see.
    """
    head = parse_head(raw + b"\r\n")
    if head is None:
        return
    body = b"x" * (head.size - len(head.raw) - 4)
    data = head.raw + b"\r\n\r\n" + body
    assert_same(head, data)
    if can_forward(head):
        forwarded = closing_request(head, data)
        assert_same(parse_head(forwarded), forwarded)


@settings(max_examples=2000)
@given(heads)
def test_a_kept_connection_has_exactly_the_requests_that_were_sent(raw):
    """Guards against a response to a smuggled request that reaches the next
    caller whose request uses the connection.
    """
    head = parse_head(raw + b"\r\n")
    if head is None or not can_forward(head) or not can_keep_connection(head):
        return
    body = b"x" * (head.size - len(head.raw) - 4)
    forwarded = keeping_request(head, head.raw + b"\r\n\r\n" + body)
    assert_same(parse_head(forwarded), forwarded)
    following = b"POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    parsed = parse_by_library(forwarded + following)
    if parsed is None:
        return
    messages, rest = parsed
    assert rest == b""
    assert [message.path for message, _ in messages][1:] == ["/next"]
