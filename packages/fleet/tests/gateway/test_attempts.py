"""What a gateway reads from the head of an endpoint's response."""

import asyncio
import contextlib
import time
from types import SimpleNamespace

import pytest

from marjoramyard.fleet.gateway.attempts import (
    SendFailedError,
    SendOutcome,
    SendPlan,
    check_response_head,
    open_response,
)
from marjoramyard.fleet.gateway.crash_detection import refuses_connections
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session

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


UNCALLABLE = (
    "",
    "[::1",
    "::1]:80",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:port",
    "http://127.0.0.1:80",
    "127.0.0.1:80\x00",
)


@pytest.mark.parametrize("address", UNCALLABLE, ids=lambda text: text[:20])
async def test_nothing_is_sent_to_an_endpoint_that_can_t_be_called(address):
    """Guards against callers that get 500, or 502 as if their request might
    have run, because of an address at which nobody can be called.
    """
    request = SimpleNamespace(
        method="POST",
        target="/a/x",
        headers=[],
        body=b"{}",
        workspace=None,
        seconds_left=lambda now: 1.0,
    )
    endpoint = SimpleNamespace(endpoint="i-1", address=address)
    checks = []
    async with open_endpoint_session() as session:
        with pytest.raises(SendFailedError) as caught:
            async with open_response(
                session,
                request,
                SendPlan(endpoint),
                NAMES,
                lambda: checks.append(time.monotonic()),
                print,
            ):
                pass
    assert caught.value.outcome is SendOutcome.NOT_SENT
    assert not checks


@pytest.mark.parametrize("address", UNCALLABLE, ids=lambda text: text[:20])
async def test_an_endpoint_that_can_t_be_called_has_not_died(address):
    """Guards against requests that are taken for the cause of a death."""
    assert not await refuses_connections(address)


async def test_an_endpoint_that_sends_no_answer_is_broken_but_not_lost():
    """Guards against a request that has run and is sent again as if it had
    not, and against a search for a crash of an endpoint that still runs.
    """

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
                await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    request = SimpleNamespace(
        method="GET",
        target="/a/x",
        headers=[],
        body=b"",
        workspace=None,
        seconds_left=lambda now: 1.0,
    )
    endpoint = SimpleNamespace(endpoint="i-1", address=f"{host}:{port}")
    async with open_endpoint_session() as session:
        with pytest.raises(SendFailedError) as caught:
            async with open_response(
                session,
                request,
                SendPlan(endpoint),
                NAMES,
                lambda: None,
                print,
            ):
                pass
    server.close()
    assert caught.value.outcome is SendOutcome.BROKEN
    assert not caught.value.is_connection_lost
