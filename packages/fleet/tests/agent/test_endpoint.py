"""What an agent learns from its endpoint."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec
import pytest
from endless_replies import RESPONSES, EndlessServer, resident_bytes

from marjoramyard.coordination.governance.orders import Order
from marjoramyard.fleet.agent import endpoint as endpoint_module
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.orders import OrderForwarder
from marjoramyard.fleet.messages import EndpointAnnouncement
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.processes import free_address

MAX_GROWTH_BYTES = 30_000_000
PROMPT_SECONDS = 2.0
PAUSE = {"Retry-After": "60"}
LEAVING = {"Endpoint-Leaving": "1"}


def announcement(incarnation):
    return EndpointAnnouncement(
        "e", incarnation, "127.0.0.1:1", "chat", 4, "ready"
    )


@pytest.fixture
def endpoint():
    instance = Endpoint(0)
    instance.on_announcement(announcement("e~1"))
    assert instance.is_ready
    return instance


@pytest.mark.parametrize("status, headers", [(503, PAUSE), (200, LEAVING)])
def test_an_endpoint_that_says_so_gets_no_new_attempts(
    endpoint, status, headers
):
    """Guards against attempts at an endpoint that has asked for a pause or is
    leaving, until it is restarted.
    """
    endpoint.on_response("e~1", status, headers)
    assert not endpoint.is_ready
    endpoint.on_announcement(announcement("e~1"))
    assert not endpoint.is_ready
    endpoint.on_announcement(announcement("e~2"))
    assert endpoint.is_ready


def test_a_late_response_of_the_last_incarnation_changes_nothing(endpoint):
    endpoint.on_announcement(announcement("e~2"))
    endpoint.on_response("e~1", 503, {**PAUSE, **LEAVING})
    assert endpoint.is_ready


def test_other_responses_change_nothing(endpoint):
    endpoint.on_response("e~1", 429, PAUSE)
    endpoint.on_response("e~1", 503, {})
    assert endpoint.is_ready


def test_refused_attempts_are_told_when_the_pause_ends(endpoint):
    """Guards against callers that come back before an endpoint's pause ends."""
    endpoint.on_response("e~1", 503, PAUSE)
    assert 60.0 < endpoint.refusal().retry_after < 64.0


@contextlib.asynccontextmanager
async def endpoint_that_sends(data):
    """Yields the view of an endpoint that sends bytes and closes."""

    async def serve(_reader, writer):
        writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    found = Endpoint(0)
    found.on_announcement(
        msgspec.structs.replace(announcement("e~1"), address=f"{host}:{port}")
    )
    yield found
    server.close()


@pytest.mark.parametrize(
    "data", [b"", b"garbage", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\nha"]
)
async def test_an_endpoint_that_accepts_connections_is_alive(data):
    """Guards against counting an endpoint dead, for good, because the
    response to one probe broke off.
    """
    async with (
        endpoint_that_sends(data) as endpoint,
        open_endpoint_session() as session,
    ):
        assert await endpoint.is_alive(session)


async def test_an_endpoint_that_refuses_connections_is_dead(endpoint):
    """Guards against requests to an endpoint that has died."""
    endpoint.announced = msgspec.structs.replace(
        endpoint.announced, address=free_address()
    )
    async with open_endpoint_session() as session:
        assert not await endpoint.is_alive(session)


@pytest.mark.parametrize("form", RESPONSES)
async def test_a_health_response_without_an_end_is_not_kept(form, monkeypatch):
    """Guards against agents that a response without an end fills."""
    monkeypatch.setattr(
        endpoint_module, "_PROBE_TIMEOUT_SECONDS", 2 * PROMPT_SECONDS
    )
    before = resident_bytes()
    async with EndlessServer(*RESPONSES[form]).running() as server:
        endpoint = Endpoint(0)
        endpoint.on_announcement(
            EndpointAnnouncement("e", "e~1", server.address, "chat", 4, "ready")
        )
        async with open_endpoint_session() as session:
            async with asyncio.timeout(PROMPT_SECONDS):
                assert await endpoint.is_alive(session)
    assert resident_bytes() - before < MAX_GROWTH_BYTES


@pytest.mark.parametrize("form", ["length", "close", "chunks"])
async def test_a_response_to_an_order_without_an_end_is_not_kept(form):
    """Guards against agents that a response without an end fills."""
    before = resident_bytes()
    async with EndlessServer(*RESPONSES[form]).running() as server:
        endpoint = Endpoint(0)
        endpoint.on_announcement(
            EndpointAnnouncement("e", "e~1", server.address, "chat", 4, "ready")
        )
        app = SimpleNamespace(metrics=Metrics("agent", "a"))
        forwarder = OrderForwarder(app, endpoint)
        forwarder.on_order(Order(1, "e", "load", "m", "awa"), 1)
        async with open_endpoint_session() as session:
            async with asyncio.timeout(PROMPT_SECONDS):
                assert await forwarder._forward(session)
    assert resident_bytes() - before < MAX_GROWTH_BYTES
