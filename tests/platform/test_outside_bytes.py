"""Decoders of what endpoints and operators have written."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from odd_json import odd_bytes

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.kernel.util.decoding import decode_json
from marjoramyard.platform.configurations import check_configuration
from marjoramyard.platform.control_api import read_heartbeat
from marjoramyard.platform.gateway_dialect import read_cache_list

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1790000000123,
}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "hostname": "ficu95.example",
            "path_prefix": "/lohu930/",
            "request_kind": "stream",
            "timeout_ms": 5000,
            "objective_ms": 800,
            "destinations": [{"service": "huvo11a", "weight": 90}],
            "max_attempts": 2,
            "gap_objective_ms": 300,
        }
    ],
    "services": [{"name": "huvo11a"}],
    "workspaces": [{"name": "w-1", "api_keys": ["k1"]}],
}


@given(data=odd_bytes(HEARTBEAT), endpoint=st.just("i-1") | st.text())
def test_a_heartbeat_is_registered_or_refused(data, endpoint):
    """Guards against odd entries that fail the processes that read them."""
    read = read_heartbeat(endpoint, data)
    if read.is_ok():
        encoded = msgspec.json.encode(read.ok_value)
        assert decode_json(encoded, Registration) == read.ok_value


@given(data=odd_bytes(CONFIG))
def test_a_configuration_is_valid_or_refused(data):
    """Guards against configurations that fail the host that checks them."""
    checked = check_configuration(data)
    assert checked.is_ok() or checked.err_value


@given(data=odd_bytes({"held": [["text", "p1", 3, "m"]]}))
def test_a_list_of_an_engine_is_decoded_or_refused(data):
    """Guards against tasks that fail at what an engine has written."""
    try:
        read_cache_list(data)
    except msgspec.DecodeError:
        return


@pytest.mark.parametrize("tokens", [-1, 10**400])
def test_a_list_with_an_odd_number_of_tokens_is_refused(tokens):
    """Guards against brokers that fail at the number of an engine."""
    body = json.dumps({"held": [["text", "p1", tokens, "m"]]}).encode()
    with pytest.raises(msgspec.DecodeError):
        read_cache_list(body)
