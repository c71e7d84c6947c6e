"""What a gateway learns from the heads of endpoints' responses."""

from types import SimpleNamespace

import pytest

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize("value, leaves", [("1", True), ("0", False)])
def test_every_response_may_say_that_the_endpoint_leaves(status, value, leaves):
    """Guards against a notice that only some kinds of responses bring."""
    recorded, told = [], []
    view = SimpleNamespace(
        record_leaving=lambda *found: recorded.append(found) or True
    )
    brokers = SimpleNamespace(on_leaving=told.append)
    endpoint = Registration(
        endpoint="e0", service="api", address="10.0.0.1:1", born=3
    )
    notices = EndpointNotices(view, brokers, "Endpoint-Leaving")
    notices.read(
        endpoint,
        SimpleNamespace(status=status, headers={"Endpoint-Leaving": value}),
    )
    assert recorded == ([("e0", 3)] if leaves else [])
    assert told == ([endpoint] if leaves else [])
