"""Numbers that callers, endpoints and other processes have written."""

import math
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from marjoramyard.coordination.routing.config import RequestKind, Route
from marjoramyard.coordination.routing.table import MAX_PART_TOKENS
from marjoramyard.fleet.agent.attempt_service import AttemptService
from marjoramyard.fleet.entry.admission import DEADLINE_HEADER
from marjoramyard.fleet.entry.admission import _deadline as entry_deadline
from marjoramyard.fleet.gateway.admission import (
    NETWORK_ALLOWANCE_MS,
    AdmittedRequest,
    read_caller_request,
    stated_seconds,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    EndpointPause,
    gateway_message_decoder,
)
from marjoramyard.fleet.gateway.chunked_body import ChunkedBody
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.gateway.early_refusal import parse_head
from marjoramyard.fleet.gateway.forwarded_response import ForwardedResponse
from marjoramyard.fleet.gateway.gateway_connection import (
    DEFAULT_CORES,
    read_cores,
)
from marjoramyard.fleet.gateway.overload_guard import OverloadGuard
from marjoramyard.fleet.util.pause_requests import (
    MAX_PAUSE_SECONDS,
    parse_retry_after,
)
from marjoramyard.kernel.errors import FailureKind, FleetError

NAMES = HeaderNames()
ROUTE = Route(
    name="llm",
    hostname="h",
    path_prefix="/llm/",
    request_kind=RequestKind.STREAM,
    timeout_ms=5000,
    service="llm",
)
LONG = ("9" * 400, "9" * 5000)
NO_NUMBERS = ("\u00b2", "\udcb2", "\u0663", "nan", "inf", "-inf", "1_000", "x")
ODD = LONG + NO_NUMBERS + ("1e400", "-5", "-" + "9" * 400, "0.5", "+5", "")
odd_texts = st.sampled_from(ODD) | st.text() | st.floats().map(str)


def request_with(name, text):
    return SimpleNamespace(
        headers=CIMultiDict({name: text}), method="POST", raw_path="/llm/x"
    )


def read_request(name, text):
    admitted = AdmittedRequest(ROUTE, None, "", 100.0)
    return read_caller_request(request_with(name, text), admitted, NAMES)


def seconds_allowed(text):
    return read_request(NAMES.deadline_ms, text).deadline_at - 100.0


@pytest.mark.parametrize("text", LONG)
def test_a_long_deadline_is_the_timeout_of_the_route(text):
    """Guards against 500 for callers that wait very long."""
    request = request_with(NAMES.deadline_ms, text)
    assert stated_seconds(request, NAMES) > 5.0
    assert seconds_allowed(text) == 5.0


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_a_deadline_that_is_no_number_is_refused_by_name(text):
    """Guards against 500, and against deadlines that are not a time."""
    request = request_with(NAMES.deadline_ms, text)
    assert stated_seconds(request, NAMES) == 0.0
    with pytest.raises(FleetError) as raised:
        seconds_allowed(text)
    assert raised.value.failure.kind is FailureKind.BAD_REQUEST
    assert NAMES.deadline_ms in raised.value.failure.message


@pytest.mark.parametrize("text", ["1504.5", "+1504.5", "1.5045e3", "01504.5"])
def test_a_decimal_deadline_is_accepted(text):
    """Guards against refusals of deadlines with fractions."""
    request = request_with(NAMES.deadline_ms, text)
    allowed = (1504.5 - NETWORK_ALLOWANCE_MS) / 1000
    assert seconds_allowed(text) == pytest.approx(allowed)
    assert stated_seconds(request, NAMES) == pytest.approx(1.5045)


@pytest.mark.parametrize("text", ["0", "-5", "-" + "9" * 400, "5"])
def test_a_deadline_that_has_passed_leaves_no_time(text):
    """Guards against waits for a caller whose time is over."""
    assert seconds_allowed(text) == 0.0


@given(text=odd_texts)
@example(text="9" * 5000)
def test_any_deadline_is_a_time_within_the_route_s_or_refused(text):
    """Guards against a deadline that no timer and no header can hold."""
    request = request_with(NAMES.deadline_ms, text)
    assert 0.0 <= stated_seconds(request, NAMES) < math.inf
    try:
        assert 0.0 <= seconds_allowed(text) <= 5.0
    except FleetError as error:
        assert error.failure.kind is FailureKind.BAD_REQUEST


@given(text=odd_texts)
@example(text="7,\u00b2")
@example(text="7," + "9" * 5000)
@example(text="7," + "9" * 400)
def test_any_number_of_output_tokens_can_be_counted(text):
    """Guards against 500 for the number of tokens that a caller states."""
    for value in (text, f"7,{text}"):
        tokens = read_request(NAMES.token_counts, value).output_tokens
        assert 0 <= tokens <= MAX_PART_TOKENS


def test_output_tokens_are_read_with_blanks():
    """Guards against counts of callers that are no longer read."""
    caller = read_request(NAMES.token_counts, "12, 34 ")
    assert caller.output_tokens == 34


def forwarding_seconds(text):
    """Returns the time of a request that an overloaded gateway forwards."""
    raw = f"POST /llm/x HTTP/1.1\r\nHost: h\r\n{NAMES.deadline_ms}: {text}\r\n"
    head = parse_head(raw.encode("utf-8", "surrogateescape") + b"\r\n")
    guard = SimpleNamespace(names=NAMES, forwarding_failures=None)
    plan = OverloadGuard._forwarding_plan(guard, head, ROUTE, "w", "peer")
    return plan.seconds_left


@pytest.mark.parametrize("text", [*ODD, "6000"])
def test_a_forwarded_request_has_a_time_whatever_is_stated(text):
    """Guards against connections that end without a response."""
    assert 0.0 <= forwarding_seconds(text) <= 5.0


@pytest.mark.parametrize("text, seconds", [("0", 0.0), ("1504.5", 1.5045)])
def test_a_forwarded_request_has_the_time_that_is_stated(text, seconds):
    """Guards against waits for callers that have left."""
    assert forwarding_seconds(text) == pytest.approx(seconds)


@pytest.mark.parametrize("digits", [20, 400, 5000])
def test_a_length_that_no_body_has_is_left_to_the_library(digits):
    """Guards against connections that end without a response."""
    length = b"9" * digits
    head = b"POST / HTTP/1.1\r\nContent-Length: " + length + b"\r\n\r\n"
    assert parse_head(head) is None


@given(text=odd_texts)
@example(text="9" * 5000)
def test_any_head_is_parsed_or_left_to_the_library(text):
    """Guards against connections that end without a response."""
    value = text.encode("utf-8", "surrogatepass")
    parse_head(b"POST / HTTP/1.1\r\nContent-Length: " + value + b"\r\n\r\n")


@pytest.mark.parametrize("digits", [20, 400, 5000])
def test_a_response_of_an_odd_length_ends_with_its_connection(digits):
    """Guards against forwarded requests that end without a response."""
    length = b"9" * digits
    data = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\nbody"
    response = ForwardedResponse()
    assert response.feed(data) == data
    assert not response.is_complete
    assert not response.is_reusable


@given(data=st.binary(max_size=64), digits=st.sampled_from([1, 400, 4000]))
def test_any_bytes_are_chunks_or_malformed(data, digits):
    """Guards against forwarded requests that end without a response."""
    body = ChunkedBody()
    body.feed(b"f" * digits + b"\r\n" + data)
    body.feed(data)


@given(text=odd_texts)
@example(text="1e306")
@example(text="9" * 300)
def test_any_pause_can_be_passed_on(text):
    """Guards against brokers that don't learn of a pause."""
    seconds = parse_retry_after(text)
    assert 0.0 <= seconds <= MAX_PAUSE_SECONDS
    message = EndpointPause("s", "e", seconds * 1000)
    frame = msgspec.json.encode([message])
    assert gateway_message_decoder.decode(frame) == [message]


@given(text=odd_texts)
@example(text="1e308")
def test_any_number_of_cores_can_be_added_up(text):
    """Guards against shares of peers that are not numbers."""
    cores = read_cores(text)
    assert cores > 0
    assert math.isfinite(cores * 1000)


@pytest.mark.parametrize("text", [*NO_NUMBERS, "-5", "0", ""])
def test_odd_cores_are_those_of_a_gateway_that_states_none(text):
    """Guards against gateways that get no requests of others."""
    assert read_cores(text) == DEFAULT_CORES


SERVICE = SimpleNamespace(deadline_seconds=7.0, max_deadline_seconds=60.0)


@given(text=odd_texts)
def test_any_deadline_at_an_entry_is_a_time_or_refused(text):
    """Guards against a deadline that no timer can hold."""
    request = request_with(DEADLINE_HEADER, text)
    try:
        assert 0.0 < entry_deadline(request, SERVICE) <= 60.0
    except FleetError as error:
        assert error.failure.kind is FailureKind.BAD_REQUEST
        assert DEADLINE_HEADER in error.failure.message


@pytest.mark.parametrize("text", [*NO_NUMBERS, *LONG, "-5", "0", ""])
def test_an_odd_deadline_is_refused_by_an_entry(text):
    """Guards against deadlines that only some readers take for a number."""
    with pytest.raises(FleetError):
        entry_deadline(request_with(DEADLINE_HEADER, text), SERVICE)


@pytest.mark.parametrize("text", [*NO_NUMBERS, "-5", "0.5", ""])
async def test_frames_from_an_odd_number_on_are_refused_by_name(text):
    """Guards against 500 of an agent that is asked to resume."""
    service = AttemptService.__new__(AttemptService)
    service.attempts = {}
    request = SimpleNamespace(match_info={"attempt": "a"}, query={"from": text})
    with pytest.raises(FleetError) as raised:
        await service.on_resume(request)
    assert raised.value.failure.kind is FailureKind.BAD_REQUEST
    assert "from" in raised.value.failure.message


@pytest.mark.parametrize("text", LONG)
async def test_frames_that_an_attempt_can_t_have_are_not_waited_for(text):
    """Guards against 500 of an agent that is asked to resume."""
    service = AttemptService.__new__(AttemptService)
    service.attempts = {}
    request = SimpleNamespace(match_info={"attempt": "a"}, query={"from": text})
    with pytest.raises(FleetError) as raised:
        await service.on_resume(request)
    assert raised.value.failure.kind is FailureKind.NOT_FOUND
