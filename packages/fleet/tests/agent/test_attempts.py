"""Tests of one attempt at an agent's endpoint."""

import time
from types import SimpleNamespace

import pytest
from aiohttp.http_writer import _serialize_headers
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.fleet.agent.attempts import Attempt
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.messages import EndpointAnnouncement, RunRequest
from marjoramyard.fleet.util.headers import is_writable


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


@pytest.mark.parametrize("event_id", [b"a\x00b", b"a\x0bb", b"\x7f"])
def test_a_stream_is_not_resumed_after_an_id_that_can_t_be_sent(
    attempt, event_id
):
    """Guards against attempts that end without an answer to the entry."""
    attempt.events.feed(b"id: " + event_id + b"\ndata: x\n\n")
    assert not attempt._can_resume()


@given(event_id=st.binary(max_size=20), name=st.just("Last-Event-ID"))
@example(event_id=b"\xb2", name="Last-Event-ID")
def test_an_id_after_which_a_stream_is_resumed_can_be_sent(event_id, name):
    """Guards against attempts that end without an answer to the entry."""
    events = EventSplitter()
    events.feed(b"id: " + event_id + b"\ndata: x\n\n")
    if is_writable(events.last_id):
        headers = CIMultiDict({name: events.last_id})
        assert _serialize_headers("GET / HTTP/1.1", headers)


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
