"""Requests that are refused before they are parsed."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.fleet.application import WrappedSite
from marjoramyard.fleet.gateway.early_refusal import (
    EarlyRefusal,
    parse_head,
    response_bytes,
)

REFUSED = response_bytes(web.Response(status=503, text="refused"))


def request(body=b"", path="/chat", extra=()):
    lines = [f"POST {path} HTTP/1.1", "Host: h", *extra]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Recorder:
    """Stands in for a transport and for the protocol behind."""

    def __init__(self):
        self.passed = b""
        self.written = b""

    def data_received(self, data):
        self.passed += data

    def write(self, data):
        self.written += data


def guarded(judge=lambda head: REFUSED, waits=True):
    recorder = Recorder()
    protocol = EarlyRefusal(recorder, lambda: waits, lambda: True, judge)
    protocol.transport = recorder
    return protocol, recorder


@given(st.lists(st.integers(1, 400), max_size=4))
def test_a_refused_request_is_answered_once_it_is_whole(cuts):
    """Guards against: the rest of a refused request is read as the next."""
    data = request(b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n" * 9)
    head_size = data.find(b"\r\n\r\n") + 4
    protocol, recorder = guarded()
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
    assert recorder.passed == b""
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
def test_what_is_not_plain_is_left_to_the_library(data):
    """Guards against: a request is smuggled within another one."""
    protocol, recorder = guarded()
    protocol.data_received(data)
    protocol.data_received(request())
    assert recorder.passed == data + request()
    assert recorder.written == b""


def test_nothing_is_refused_while_an_answer_is_on_its_way():
    protocol, recorder = guarded(waits=False)
    protocol.data_received(request())
    assert recorder.passed == request()


def test_a_judge_reads_path_and_headers():
    heads = []
    protocol, recorder = guarded(heads.append)
    protocol.data_received(request(b"x", "/a/b?c", ["Api-Key:  k1 "]))
    (head,) = heads
    assert head.path == "/a/b?c"
    assert head.header(b"api-key") == "k1"
    assert head.header(b"host") == "h"
    assert head.header(b"other") == ""
    assert recorder.passed


def test_a_header_that_comes_twice_is_not_believed():
    head = parse_head(request(extra=["Api-Key: a", "Api-Key: b"]))
    assert head.header(b"api-key") == ""


def test_a_request_right_behind_a_refused_one_is_answered_too():
    """Guards against: a caller that sends its next request early waits for
    ever, because the bytes behind a refused one are taken for its body.
    """
    protocol, recorder = guarded()
    data = request(b"x" * 100) + request(b"y")
    protocol.data_received(data[:80])
    protocol.data_received(data[80:])
    assert recorder.written == REFUSED * 2
    assert recorder.passed == b""


async def test_a_connection_goes_on_after_a_refusal():
    """Guards against: a caller that keeps its connection gets no answer, or
    another request's, after one of its requests was refused early.
    """
    refusing = False

    async def echo(received):
        return web.Response(body=await received.read())

    def wrap(behind, waits):
        return EarlyRefusal(
            behind, waits, lambda: refusing, lambda head: REFUSED
        )

    app = web.Application()
    app.add_routes([web.post("/{path:.*}", echo)])
    runner = web.AppRunner(app)
    await runner.setup()
    site = WrappedSite(runner, "127.0.0.1", 0, wrapper=wrap)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    connector = aiohttp.TCPConnector(limit=1)
    try:
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(12):
                refusing = number % 3 == 1
                body = str(number).encode() * 30_000
                async with asyncio.timeout(5):
                    async with session.post(
                        f"http://127.0.0.1:{port}/", data=body
                    ) as response:
                        text = await response.read()
                assert response.status == (503 if refusing else 200)
                assert text == (b"refused" if refusing else body)
    finally:
        await runner.cleanup()
