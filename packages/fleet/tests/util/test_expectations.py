"""Requests with `Expect`."""

import asyncio

import pytest
from aiohttp import web

from marjoramyard.fleet.util import rpc
from marjoramyard.fleet.util.expectations import with_expectations

SECRET = "secret-of-the-fleet"


async def echo(request):
    return web.Response(body=await request.read())


async def send(head, *then):
    """Returns what a server answers to a head and to each later part."""
    app = web.Application(
        middlewares=[rpc.render_failures, rpc.authentication(SECRET)]
    )
    routes = [web.get("/readyz", echo), web.route("*", "/{path:.*}", echo)]
    app.add_routes(map(with_expectations, routes))
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        port = site._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head)
        found = []
        for part in then:
            found.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(part)
        found.append(await reader.read())
        writer.close()
        return found
    finally:
        await runner.cleanup()


def head(path, *headers):
    lines = [b"POST " + path + b" HTTP/1.1", b"Host: h", b"Connection: close"]
    lines += [b"Authorization: Bearer " + SECRET.encode(), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


@pytest.mark.parametrize("value", [b"\xb2", b"5", b"9" * 5000, b"100"])
async def test_an_odd_expectation_is_refused(value):
    """Guards against 500 for a caller's `Expect` that is not UTF-8."""
    (response,) = await send(head(b"/x", b"Expect: " + value))
    assert response.startswith(b"HTTP/1.1 417 ")


@pytest.mark.parametrize("value", [b"100-continue", b"100-Continue"])
async def test_a_body_is_asked_for(value):
    """Guards against callers that wait to send their body."""
    first, rest = await send(
        head(b"/x", b"Content-Length: 4", b"Expect: " + value), b"body"
    )
    assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert rest.startswith(b"HTTP/1.1 200 ")
    assert rest.endswith(b"body")


@pytest.mark.parametrize("value", [b"\xb2", b"Bearer \xff", b"9" * 5000])
async def test_odd_credentials_are_refused(value):
    """Guards against 500 for credentials that are not UTF-8."""
    data = head(b"/x").replace(b"Bearer " + SECRET.encode(), value)
    (response,) = await send(data)
    assert response.startswith(b"HTTP/1.1 401 ")
