"""Tests of one attempt at an agent's endpoint."""

import time
from types import SimpleNamespace

import pytest

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.fleet.agent.attempts import Attempt
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.messages import EndpointAnnouncement, RunRequest


@pytest.fixture
def attempt():
    endpoint = Endpoint(0)
    endpoint.on_announcement(
        EndpointAnnouncement("e", "e~1", "127.0.0.1:1", "chat", 4, "ready")
    )
    run = RunRequest(
        "a", "w", "chat", "POST", "/v1/x", [], 5.0, 5.0, "f", "interactive"
    )
    found = Attempt(run, b"", endpoint, SimpleNamespace(), "engine")
    found.events = EventSplitter()
    found.events.feed(b"id: 1\ndata: x\n\n")
    found.resume_path = "/streams/1"
    return found


def test_a_stream_is_not_resumed_while_the_endpoint_pauses(attempt):
    """Guards against requests to an endpoint that has asked for a pause."""
    assert attempt._can_resume()
    attempt.endpoint.paused_until = time.monotonic() + 60.0
    assert not attempt._can_resume()


async def test_what_an_endpoint_says_when_a_stream_is_resumed_counts(attempt):
    """Guards against a pause that is asked for in that response only."""

    class Session:
        async def get(self, _url, **_options):
            headers = {"Retry-After": "60"}
            return SimpleNamespace(
                status=503, headers=headers, close=lambda: None
            )

    with pytest.raises(Exception, match="not resumed"):
        await attempt._resume(Session())
    assert attempt.endpoint.pause_seconds > 50.0
