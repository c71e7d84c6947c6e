"""Decoders of what other programs and processes have written."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from odd_json import odd_bytes

from marjoramyard.coordination.consensus.messages import Envelope, Snapshot
from marjoramyard.coordination.governance.state import ControlSnapshot
from marjoramyard.coordination.membership.registrations import (
    FormerVersion,
    Registration,
)
from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.coordination.routing.table import (
    MAX_PART_TOKENS,
    PromptPart,
    parse_prompt_parts,
)
from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.fingerprints import (
    message_fingerprints,
)
from marjoramyard.coordination.serving.frames import (
    BrokenResponseError,
    FrameParser,
)
from marjoramyard.kernel.util.decoding import decode_json

REGISTRATION = {
    "endpoint": "i-1",
    "service": "llm",
    "address": "10.0.0.1:80",
    "availability_zone": "a",
    "slots": 2,
    "state": "ready",
    "sequence": 3,
    "born": 4,
    "cold_left_ms": 0.5,
    "software_version": "v1",
}
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "a",
            "hostname": "shop.example",
            "path_prefix": "/a/",
            "request_kind": "idempotent",
            "timeout_ms": 2000,
            "objective_ms": 500,
            "service": "api",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "api"}],
    "workspaces": [{"name": "shop", "api_keys": ["k"]}],
}
CHAT = {
    "model": "m",
    "messages": [
        {"role": "user", "content": "one"},
        {"role": "user", "content": "two"},
    ],
}


def odd_events():
    """Draws events with any IDs and line ends."""
    ends = st.sampled_from([b"\n", b"\r", b"\r\n", b"\n\n"])
    ids = st.sampled_from([b"id:", b"id: ", b"data: ", b":"])
    return st.builds(
        lambda name, value, end: name + value + end + end,
        ids,
        st.binary(max_size=9),
        ends,
    )


TYPES = (
    Registration,
    FormerVersion,
    FleetConfig,
    list[PromptPart],
    list[Envelope],
    Snapshot,
    ControlSnapshot,
)


@pytest.mark.parametrize("kind", TYPES, ids=str)
@settings(max_examples=60)
@given(data=odd_bytes(REGISTRATION, CONFIG, [REGISTRATION], ["llm", "v1", 1.0]))
def test_bytes_give_a_value_or_an_error_of_decoding(kind, data):
    """Guards against errors of odd bytes that their readers don't expect."""
    try:
        value = decode_json(data, kind)
    except msgspec.DecodeError:
        return
    assert msgspec.json.encode(value)


@given(data=odd_bytes(REGISTRATION))
def test_what_is_registered_can_be_passed_on(data):
    """Guards against registrations that fail the messages they are part of."""
    try:
        registration = decode_json(data, Registration)
    except msgspec.DecodeError:
        return
    encoded = msgspec.json.encode(registration)
    assert decode_json(encoded, Registration) == registration
    encoded.decode("ascii", "strict" if encoded.isascii() else "ignore")


@given(data=odd_bytes(CONFIG))
def test_a_configuration_is_valid_or_has_problems(data):
    """Guards against configurations that fail the host that checks them."""
    try:
        config = decode_json(data, FleetConfig)
    except msgspec.DecodeError:
        return
    assert all(isinstance(problem, str) for problem in config.problems())


@given(data=odd_bytes(CHAT))
def test_any_body_of_a_chat_has_fingerprints_or_none(data):
    """Guards against callers whose odd requests get 500."""
    for fingerprint in message_fingerprints("llm", data):
        assert fingerprint


@given(pieces=st.lists(st.binary(max_size=20) | odd_events()))
def test_any_bytes_are_events(pieces):
    """Guards against streams that fail at what an endpoint has written."""
    splitter = EventSplitter()
    complete = b"".join(splitter.feed(piece) for piece in pieces)
    assert complete + splitter.buffer == b"".join(pieces)
    assert splitter.content and isinstance(splitter.last_id, str)


@given(pieces=st.lists(odd_bytes({"kind": "data", "size": 3, "number": 1})))
def test_any_bytes_are_frames_or_a_broken_response(pieces):
    """Guards against responses that end without an error that callers know."""
    parser = FrameParser()
    try:
        for piece in pieces:
            parser.feed(piece + b"\n")
    except BrokenResponseError:
        return


@given(
    text=st.text()
    | st.sampled_from(
        ["p:" + "9" * 400, "p:" + "9" * 5000, "p:\u00b2", "p:-1", "p:\u0663"]
    )
)
def test_parts_of_a_prompt_have_numbers_that_brokers_can_use(text):
    """Guards against a caller's header that fails the requests of others."""
    for part in parse_prompt_parts(f"a:3,{text}"):
        assert 0 <= part.tokens <= MAX_PART_TOKENS
