"""What an agent learns from its endpoint."""

import pytest

from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.messages import EndpointAnnouncement

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
