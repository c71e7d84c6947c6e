"""Connections to endpoints."""

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from marjoramyard.fleet.util.endpoint_session import (
    check_before_send,
    open_endpoint_session,
)


class NotAllowedError(Exception):
    """The request must not be sent."""


def forbid():
    raise NotAllowedError


async def test_a_request_that_is_forbidden_while_connecting_is_not_sent():
    """Guards against requests to an endpoint that has asked for none while the
    connection was established, and against connections that leak.
    """
    requests, connections = [], set()

    async def respond(request):
        requests.append(request.path)
        connections.add(request.transport)
        return web.Response()

    app = web.Application()
    app.add_routes([web.get("/{path:.*}", respond)])
    async with TestServer(app) as server, open_endpoint_session() as session:
        with check_before_send(forbid), pytest.raises(NotAllowedError):
            await session.get(server.make_url("/forbidden"))
        for _ in range(2):
            with check_before_send(lambda: None):
                async with session.get(server.make_url("/allowed")) as found:
                    await found.read()
        await session.get(server.make_url("/unchecked"))
        assert not session.connector._acquired
    assert requests == ["/allowed", "/allowed", "/unchecked"]
    assert len(connections) == 1
