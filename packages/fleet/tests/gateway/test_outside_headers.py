"""Headers of callers whose bytes may not be UTF-8."""

from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from marjoramyard.coordination.placement.local_placement import (
    preferred_engine,
)
from marjoramyard.coordination.routing.config import RequestKind, Route
from marjoramyard.coordination.serving.stream_versions import stream_key
from marjoramyard.fleet.gateway.admission import (
    AdmittedRequest,
    read_caller_request,
)
from marjoramyard.fleet.gateway.attempts import check_response_head
from marjoramyard.fleet.gateway.dialect import HeaderNames

NAMES = HeaderNames()
ROUTE = Route(
    name="llm",
    hostname="h",
    path_prefix="/llm/",
    request_kind=RequestKind.STREAM,
    timeout_ms=5000,
    service="llm",
)


def read_request(headers, target="/llm/x"):
    """Reads a request with headers in bytes, as the HTTP library does."""
    found = CIMultiDict(
        (name, value.decode("utf-8", "surrogateescape"))
        for name, value in headers.items()
    )
    target = target if isinstance(target, str) else as_read(target)
    request = SimpleNamespace(headers=found, method="POST", raw_path=target)
    admitted = AdmittedRequest(ROUTE, None, "", 100.0)
    return read_caller_request(request, admitted, NAMES)


def as_read(value):
    return value.decode("utf-8", "surrogateescape")


@given(value=st.binary(max_size=40))
@example(value=b"p\xb2")
def test_any_headers_can_be_passed_on(value):
    """Guards against one caller whose header fails what others have sent in
    the same message.
    """
    part = value.replace(b":", b"").replace(b",", b"") or b"p"
    names = (NAMES.attempt, NAMES.last_event, NAMES.resumes, NAMES.signature)
    headers = dict.fromkeys(names, value)
    headers[NAMES.prompt_parts] = part + b":3," + part + b":4"
    caller = read_request(headers, b"/llm/" + value)
    assert msgspec.json.encode(caller.parts)
    assert msgspec.json.encode([caller.attempt, caller.resumes, caller.headers])
    assert stream_key("w", caller.attempt) and stream_key("w", caller.resumes)
    assert caller.fingerprint
    for found in caller.parts:
        assert preferred_engine(found.digest, ["a", "b"])


@pytest.mark.parametrize("written", [b"a\xb2", "a\u00b2".encode()])
def test_an_attempt_that_is_not_utf_8_is_recognised(written):
    """Guards against responses that are refused for their echoed attempt."""
    caller = read_request({NAMES.attempt: b"a\xb2"})
    echo = {NAMES.attempt: as_read(written), NAMES.signature: "by e"}
    response = SimpleNamespace(status=200, headers=CIMultiDict(echo))
    check_response_head(caller, response, NAMES)
