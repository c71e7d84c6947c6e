"""Decoders of what other programs and processes have written."""

import json
import struct
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from odd_json import odd_bytes

from marjoramyard.fleet import messages
from marjoramyard.fleet.config_transfer import (
    ConfigUpdate,
    FetchConfig,
    apply_update,
)
from marjoramyard.fleet.control.storage import (
    StorageError,
    WalRecord,
    read_records,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    broker_message_decoder,
    gateway_message_decoder,
)
from marjoramyard.fleet.gateway.dialect import (
    decode_cached_parts,
    decode_native,
)
from marjoramyard.fleet.sync_messages import (
    FindEndpoint,
    FoundEndpoint,
    HostAnnouncement,
    HostAnnouncementReply,
    PutConfig,
    StoredConfig,
    SyncReply,
    SyncRequest,
    ZoneStates,
)
from marjoramyard.fleet.util.pause_requests import parse_retry_after
from marjoramyard.fleet.util.rpc import decode_reply
from marjoramyard.fleet.util.separable import decode_message

REGISTRATION = {
    "endpoint": "i-1",
    "service": "llm",
    "address": "10.0.0.1:80",
    "sequence": 3,
    "born": 4,
}
HOST = {"name": "c", "address": "10.0.0.2:9000", "public_address": "x"}
EXAMPLES = {
    HostAnnouncement: {
        "host": HOST,
        "words": [REGISTRATION],
        "alive": {"i-2": [1, 2]},
        "former_versions": [["llm", "v1", 1.0]],
    },
    HostAnnouncementReply: {
        "host": HOST,
        "addresses": ["10.0.0.3:9000"],
        "leader": "",
        "unmatched": ["i-1"],
    },
    FindEndpoint: {"endpoint": "i-1"},
    FoundEndpoint: {"registration": REGISTRATION},
    SyncRequest: {"gateway": "g", "capacity": 1.0, "address": "10.0.0.4:1"},
    SyncReply: {
        "epoch": "e",
        "cursor": 1,
        "words": [REGISTRATION],
        "silent": ["i-1"],
        "addresses": ["10.0.0.3:9000"],
        "brokers": ["10.0.0.4:9000"],
        "evacuated_zones": ["a"],
        "suspects": {"f": 1.0},
        "watched": ["f"],
        "versions": [["llm", "v1"]],
        "former_versions": [["llm", "v1", 1.0]],
    },
    PutConfig: {"document": {"version": 1, "text": "e30="}},
    StoredConfig: {"document": {"version": 1, "text": "e30="}},
    ZoneStates: {"zones": {}},
    FetchConfig: {"version": 1, "digest": "d"},
    ConfigUpdate: {"version": 1, "digest": "d", "packed": "e30="},
    messages.EndpointAnnouncement: {
        "name": "e",
        "incarnation": "e~1",
        "address": "10.0.0.1:80",
        "service": "llm",
        "slots": 2,
        "evicted": ["p"],
        "event_number": 1,
    },
    messages.OfferMessage: {
        "entry": "e",
        "address": "10.0.0.1:80",
        "zone": "a",
        "service": "llm",
        "sequence": 1,
        "rows": [],
    },
    messages.RenewReply: {
        "lease_seconds": 1.0,
        "version": 1,
        "chain": "",
        "rows": {"policy": {}},
        "suspects": ["f"],
        "convicted": {"f": 1.0},
    },
    messages.RunRequest: {
        "attempt": "a",
        "workspace": "w",
        "service": "llm",
        "method": "POST",
        "path": "/x",
        "headers": [["Cookie", "c"]],
        "deadline_seconds": 5.0,
        "stall_seconds": 5.0,
        "fingerprint": "f",
        "request_class": "interactive",
        "call": {"key": "k", "body_digest": "d", "generation": 0},
    },
    messages.FailureBody: {
        "error": {"code": "busy", "message": "m", "outcome": "not_run"}
    },
}
RECORD = {"hard": {"term": 1, "vote": None}, "entries": [], "base": [1, 1]}
BROKER_FRAME = [
    {"type": "beat", "peers": ["10.0.0.1:80"], "peer_cores": [1.0]},
    {"type": "leaving", "service": "s", "endpoint": "e", "born": 1},
]
GATEWAY_FRAME = [
    {"type": "pause", "service": "s", "endpoint": "e", "pause_ms": 5.0},
]


@pytest.mark.parametrize("kind", EXAMPLES, ids=lambda kind: kind.__name__)
@settings(max_examples=60)
@given(data=st.data())
def test_a_message_is_decoded_or_refused(kind, data):
    """Guards against errors of odd bytes that their readers don't expect."""
    assert msgspec.json.decode(json.dumps(EXAMPLES[kind]))
    drawn = data.draw(odd_bytes(EXAMPLES[kind]))
    try:
        value = decode_message(drawn, kind)
    except msgspec.DecodeError:
        assert decode_reply(200, drawn, kind).is_err()
        return
    assert isinstance(value, kind)
    assert msgspec.json.encode(value)


@given(data=odd_bytes(EXAMPLES[messages.FailureBody]))
def test_a_failure_is_decoded_or_replaced(data):
    """Guards against calls that fail at the reply of another process."""
    assert decode_reply(503, data, messages.Empty).is_err()


@given(data=odd_bytes(BROKER_FRAME, GATEWAY_FRAME))
def test_a_frame_of_a_broker_is_decoded_or_refused(data):
    """Guards against loops that end with one frame."""
    for decoder in (gateway_message_decoder, broker_message_decoder):
        try:
            decoder.decode(data)
        except msgspec.DecodeError:
            continue


def test_the_other_messages_of_a_frame_are_read():
    """Guards against brokers lost to one message of another release."""
    data = json.dumps([{"type": "unknown"}, *BROKER_FRAME, 7])
    whole = json.dumps(BROKER_FRAME)
    for decoder in (gateway_message_decoder, broker_message_decoder):
        assert len(decoder.decode(whole)) == len(BROKER_FRAME)
        assert decoder.decode(data) == decoder.decode(whole)


@given(data=odd_bytes([{"digest": "d", "tokens": 3}], EXAMPLES[SyncReply]))
def test_a_list_of_an_engine_is_decoded_or_refused(data):
    """Guards against tasks that fail at what an engine has written."""
    try:
        decode_cached_parts(data)
    except msgspec.DecodeError:
        return


@given(data=odd_bytes({"version": 1, "routes": [], "services": []}))
def test_a_configuration_is_decoded_or_refused(data):
    """Guards against configurations that fail the gateways."""
    decode_native(data)


@given(data=odd_bytes(EXAMPLES[ConfigUpdate]), held=st.binary(max_size=9))
def test_an_update_of_a_configuration_is_applied_or_refused(data, held):
    """Guards against gateways that fetch no configuration any more."""
    try:
        update = decode_message(data, ConfigUpdate)
    except msgspec.DecodeError:
        return
    apply_update(held, update)


@given(payloads=st.lists(odd_bytes(RECORD), max_size=3), cut=st.integers(0, 9))
def test_a_log_on_disk_is_read_or_refused(payloads, cut):
    """Guards against hosts that don't start, without an error that says why."""
    data = b"".join(
        struct.pack("<II", len(payload), zlib.crc32(payload)) + payload
        for payload in payloads
    )
    try:
        records, _ = read_records(data[: len(data) - cut], "wal")
    except StorageError:
        return
    assert all(isinstance(record, WalRecord) for record in records)


@given(text=st.text() | st.floats().map(str) | st.integers().map(str))
def test_a_pause_is_a_number_of_seconds(text):
    """Guards against headers of an endpoint that fail its requests."""
    assert parse_retry_after(text) >= 0.0
