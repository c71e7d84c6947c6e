"""Requests whose handlers or responses fail unexpectedly."""

import asyncio
import contextlib

import aiohttp
import pytest
from aiohttp import web

import marjoramyard.fleet.settings  # noqa: F401  (registers the roles)
from marjoramyard.fleet.application import Application
from marjoramyard.kernel.settings import ROLE_SETTINGS
from marjoramyard.standin.processes import free_address

UNWRITABLE = {"Note": "a\x01b"}
ERRORS = {
    "/stream/lost": ConnectionResetError("another process"),
    "/stream/unexpected": KeyError("unexpected"),
}


async def lose_another_connection(_):
    raise ConnectionResetError("the connection to another process")


async def fail_to_write(_):
    return web.Response(text="whole", headers=UNWRITABLE)


async def respond(_):
    return web.Response(text="whole")


async def fail_in_a_stream(request):
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"first")
    raise ERRORS[request.path]


ROUTES = [
    web.get("/lost", lose_another_connection),
    web.get("/unwritable", fail_to_write),
    *(web.get(path, fail_in_a_stream) for path in ERRORS),
    web.get("/whole", respond),
]


@contextlib.asynccontextmanager
async def served():
    """Yields a session and the URL of a served address."""
    address = free_address()
    settings = ROLE_SETTINGS.get("entry")(
        role="entry",
        name="entry-1",
        zone="a",
        internal=free_address(),
        listen=address,
    )
    app = Application(settings)
    async with (
        app.serve(address, ROUTES),
        aiohttp.ClientSession() as session,
    ):
        yield session, f"http://{address}"


@pytest.mark.parametrize("path", ["/lost", "/unwritable"])
async def test_a_request_is_answered_whatever_its_handler_runs_into(path):
    """Guards against closing a caller's connection without a response, because
    another connection was lost or the response can't be written.
    """
    async with served() as (session, url):
        for _ in range(2):
            async with session.get(url + path) as response:
                assert response.status == 500
                assert (await response.json())["error"]["outcome"] == "unknown"
        async with session.get(f"{url}/whole") as response:
            assert await response.text() == "whole"


@pytest.mark.parametrize("path", ERRORS)
async def test_a_stream_whose_handler_fails_does_not_go_on_with_an_error(path):
    """Guards against an error response within a response that has begun."""
    async with served() as (session, url), asyncio.timeout(5.0):
        async with session.get(url + path) as response:
            received = b""
            with pytest.raises(aiohttp.ClientPayloadError):
                async for piece in response.content.iter_any():
                    received += piece
            assert received == b"first"
