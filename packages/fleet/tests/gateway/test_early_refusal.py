"""Requests that are rejected before they are parsed."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.fleet.gateway.early_refusal import (
    EarlyRefusal,
    parse_head,
)
from marjoramyard.fleet.listener import Listener, ListenerSite
from marjoramyard.fleet.util.raw_responses import response_bytes
from marjoramyard.kernel.metrics import Metrics

REFUSED = response_bytes(web.Response(status=503, text="refused"))


def request(body=b"", path="/chat", extra=()):
    lines = [f"POST {path} HTTP/1.1", "Host: h", *extra]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Recorder:
    """A transport and an inner protocol that record bytes."""

    def __init__(self):
        self.forwarded = b""
        self.written = b""
        self.is_closed = False

    def close(self):
        self.is_closed = True

    def data_received(self, data):
        self.forwarded += data

    def write(self, data):
        self.written += data


def filtered_connection(check=lambda head: REFUSED, is_idle=True):
    recorder = Recorder()
    protocol = EarlyRefusal(recorder, lambda: is_idle, lambda: True, check)
    protocol.transport = recorder
    return protocol, recorder


@given(st.lists(st.integers(1, 400), max_size=4))
def test_a_rejected_request_is_answered_once_it_is_complete(cuts):
    """Guards against parsing the body of a rejected request as a request."""
    data = request(b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n" * 9)
    head_size = data.find(b"\r\n\r\n") + 4
    protocol, recorder = filtered_connection()
    position = 0
    for cut in cuts:
        end = min(len(data), max(position, head_size) + cut)
        if end > position:
            assert recorder.written == b""
            protocol.data_received(data[position:end])
            position = end
    if position < len(data):
        protocol.data_received(data[position:])
    assert recorder.written == REFUSED
    assert recorder.forwarded == b""
    protocol.data_received(data)
    assert recorder.written == REFUSED * 2


@pytest.mark.parametrize(
    "data",
    [
        request(b"x")[:20],
        request(extra=["Transfer-Encoding: chunked"]),
        request(extra=["Content-Length: 5", "Content-Length: 6"]),
        request(extra=["Content-Length : 5"]),
        request(extra=["Content-Length: +5"]),
        request(extra=["X: a\n Content-Length: 5"]),
        request(extra=["X: a\nContent-Length: 5"]),
        request(extra=["Expect: 100-continue", "Content-Length: 5"]),
        request() + request(),
    ],
)
def test_unusual_requests_are_left_to_the_http_library(data):
    """Guards against request smuggling."""
    protocol, recorder = filtered_connection()
    protocol.data_received(data)
    protocol.data_received(request())
    assert recorder.forwarded == data + request()
    assert recorder.written == b""


def test_nothing_is_rejected_while_a_response_is_in_progress():
    protocol, recorder = filtered_connection(is_idle=False)
    protocol.data_received(request())
    assert recorder.forwarded == request()


def test_a_check_can_read_path_and_headers():
    heads = []
    protocol, recorder = filtered_connection(heads.append)
    protocol.data_received(request(b"x", "/a/b?c", ["Api-Key:  k1 "]))
    (head,) = heads
    assert head.path == "/a/b?c"
    assert head.header(b"api-key") == "k1"
    assert head.header(b"host") == "h"
    assert head.header(b"other") == ""
    assert recorder.forwarded


def test_a_repeated_header_is_ignored():
    head = parse_head(request(extra=["Api-Key: a", "Api-Key: b"]))
    assert head.header(b"api-key") == ""


def test_a_pipelined_request_after_a_rejected_one_is_answered():
    """Guards against a pipelined request being discarded as part of a body."""
    protocol, recorder = filtered_connection()
    data = request(b"x" * 100) + request(b"y")
    protocol.data_received(data[:80])
    protocol.data_received(data[80:])
    assert recorder.written == REFUSED * 2
    assert recorder.forwarded == b""


async def test_a_connection_stays_usable_after_a_refusal():
    """Guards against missing or swapped responses on a connection that is kept
    alive after an early refusal.
    """
    is_refusing = False

    async def echo(received):
        return web.Response(body=await received.read())

    def wrap(inner, is_idle):
        return EarlyRefusal(
            inner, is_idle, lambda: is_refusing, lambda head: REFUSED
        )

    app = web.Application()
    app.add_routes([web.post("/{path:.*}", echo)])
    runner = web.AppRunner(app)
    await runner.setup()
    site = ListenerSite(
        runner, Listener("", Metrics("gateway", "g")), "127.0.0.1", 0, wrap
    )
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    connector = aiohttp.TCPConnector(limit=1)
    try:
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(12):
                is_refusing = number % 3 == 1
                body = str(number).encode() * 30_000
                async with asyncio.timeout(5):
                    async with session.post(
                        f"http://127.0.0.1:{port}/", data=body
                    ) as response:
                        text = await response.read()
                assert response.status == (503 if is_refusing else 200)
                assert text == (b"refused" if is_refusing else body)
    finally:
        await runner.cleanup()


def test_an_overloaded_gateway_closes_connections_that_it_rejects():
    """Guards against callers that stay with an overloaded gateway while the
    load balancer would direct them to another one.
    """
    recorder = Recorder()
    protocol = EarlyRefusal(
        recorder,
        lambda: True,
        lambda: True,
        lambda head: REFUSED,
        lambda: True,
    )
    protocol.transport = recorder
    protocol.data_received(request(b"x" * 100)[:-50])
    assert not recorder.is_closed
    protocol.data_received(b"x" * 50)
    assert recorder.written == REFUSED
    assert recorder.is_closed
