"""How configurations are kept in the log and in snapshots."""

import base64
import json
import random

import msgspec

from marjoramyard.coordination.governance.commands import (
    AcceptConfig,
    ConfigDocument,
    PackedConfig,
)
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.coordination.routing.config import FleetConfig
from marjoramyard.kernel.util.decoding import decode_json


def text_of_routes(count):
    rng = random.Random(1)
    routes = [
        {"name": rng.randbytes(4).hex(), "timeout_ms": rng.randrange(9000)}
        for _ in range(count)
    ]
    return msgspec.json.encode({"version": 1, "routes": routes})


def encoded(command):
    return msgspec.json.encode(command).decode()


def test_an_entry_costs_no_more_than_its_configuration():
    """Guards against a log that is longer than the configurations in it."""
    document = ConfigDocument(1, text_of_routes(2000))
    command = AcceptConfig(config=PackedConfig.of(document))
    state = ControlState()
    state.apply_encoded(encoded(command))
    assert state.config == document
    assert len(encoded(command)) <= len(document.text)
    assert len(state.snapshot()) <= len(document.text)
    assert ControlState.restore(state.snapshot()).config == document


def test_logs_and_snapshots_of_earlier_releases_are_read():
    """Guards against a configuration that an upgrade loses."""
    text = base64.b64encode(b"{}").decode()
    document = {"version": 3, "text": text}
    command = {"type": "accept-config", "document": document, "at": 1.0}
    state = ControlState()
    state.apply_encoded(msgspec.json.encode(command).decode())
    assert state.config == ConfigDocument(3, b"{}")
    snapshot = msgspec.json.encode({"now": 1.0, "config": document}).decode()
    assert ControlState.restore(snapshot).config == ConfigDocument(3, b"{}")


def test_a_stored_configuration_is_not_validated_again():
    """Guards against an upgrade that loses what is in force."""
    route = {
        "name": "r-1",
        "hostname": "",
        "path_prefix": "a",
        "request_kind": "idempotent",
        "timeout_ms": 5000,
        "objective_ms": -1,
        "max_attempts": 0,
        "service": "api",
    }
    services = [{"name": "api", "max_connections": -1}]
    limits = {"max_header_bytes": -1, "max_body_bytes": 10**400}
    config = {"version": 0, "routes": [route], "services": services}
    text = msgspec.json.encode({**config, "limits": {}}).replace(
        b"{}", json.dumps(limits).encode()
    )
    assert decode_json(text, FleetConfig).refusal()
    document = ConfigDocument(3, text)
    command = AcceptConfig(config=PackedConfig.of(document))
    state = ControlState()
    state.apply_encoded(encoded(command))
    assert state.config == document
    assert ControlState.restore(state.snapshot()).config == document
    assert decode_json(state.config.text, FleetConfig).routes[0].name == "r-1"
