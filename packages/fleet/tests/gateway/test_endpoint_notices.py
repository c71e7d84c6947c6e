"""What a gateway learns from the heads of endpoints' responses."""

from types import SimpleNamespace

import pytest

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.endpoint_notices import (
    EndpointNotices,
    requested_pause,
)


@pytest.mark.parametrize(
    "status, text, seconds",
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "", 0.0),
        (503, "-1", 0.0),
        (503, "inf", 0.0),
        (503, "nan", 0.0),
        (503, "soon", 0.0),
        # The limit of one workspace says nothing on requests of others.
        (429, "3", 0.0),
        (200, "3", 0.0),
    ],
)
def test_a_pause_is_a_finite_time_in_a_503(status, text, seconds):
    response = SimpleNamespace(status=status, headers={"Retry-After": text})
    assert requested_pause(response) == seconds


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize("value, leaves", [("1", True), ("0", False)])
def test_every_response_may_say_that_the_endpoint_leaves(status, value, leaves):
    """Guards against a notice that only some kinds of responses bring."""
    recorded, told = [], []
    view = SimpleNamespace(
        record_leaving=lambda *found: recorded.append(found) or True
    )
    brokers = SimpleNamespace(on_leaving=told.append)
    endpoint = Registration(endpoint="e0", service="api", address="", born=3)
    notices = EndpointNotices(view, brokers, "Server-Leaving")
    notices.read(
        endpoint,
        SimpleNamespace(status=status, headers={"Server-Leaving": value}),
    )
    assert recorded == ([("e0", 3)] if leaves else [])
    assert told == ([endpoint] if leaves else [])
