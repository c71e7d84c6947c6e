"""Tests of orders that an agent forwards to its endpoint."""

from types import SimpleNamespace

from marjoramyard.coordination.governance.orders import Order
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.orders import OrderForwarder
from marjoramyard.fleet.messages import EndpointAnnouncement


class Session:
    """Records what is posted."""

    def __init__(self):
        self.posted = []

    def post(self, url, data):
        self.posted.append(url)
        raise OSError("closed")


async def test_an_order_waits_while_the_endpoint_pauses():
    """Guards against orders to an endpoint that has asked for a pause."""
    endpoint = Endpoint(0)
    endpoint.on_announcement(
        EndpointAnnouncement("e", "e~1", "127.0.0.1:1", "chat", 4, "ready")
    )
    forwarder = OrderForwarder(SimpleNamespace(), endpoint)
    forwarder.on_order(Order(1, "e", "load", "m", "awa"), 1)
    session = Session()
    endpoint.on_response("e~1", 503, {"Retry-After": "60"})
    assert not await forwarder._forward(session)
    assert session.posted == []
    endpoint.paused_until = 0.0
    assert not await forwarder._forward(session)
    assert len(session.posted) == 1
