"""Configurations on their way to gateways."""

import zlib

import msgspec
import pytest
from result import Err

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet import config_transfer
from marjoramyard.fleet.config_transfer import (
    ConfigHistory,
    ConfigUpdate,
    FetchConfig,
    apply_update,
    digest_of,
)


def document(version, routes=1440, changed=0):
    """Returns a configuration; `changed` tells versions apart."""
    text = msgspec.json.encode(
        {
            "version": version,
            "routes": [
                {"name": f"r-{n}", "timeout_ms": changed if n == 7 else 500}
                for n in range(routes)
            ],
        }
    )
    return ConfigDocument(version, text)


def request_for(held):
    return FetchConfig(held.version, digest_of(held.text))


def update(history, request):
    return msgspec.json.decode(
        history.encoded_update(request), type=ConfigUpdate
    )


@pytest.fixture
def history():
    history = ConfigHistory()
    for version in (1, 2, 3):
        history.add(document(version, changed=version))
    return history


def test_a_gateway_without_a_version_gets_the_compressed_document(history):
    received = update(history, FetchConfig())
    assert apply_update(b"", received).ok_value == document(3, changed=3)
    assert len(received.packed) < 0.2 * len(document(3).text)


def test_a_gateway_with_a_recent_version_gets_the_difference(history):
    """Guards against changes that cost the whole configuration each."""
    held = document(1, changed=1)
    reply = history.encoded_update(request_for(held))
    assert len(reply) < 500
    received = msgspec.json.decode(reply, type=ConfigUpdate)
    assert apply_update(held.text, received).ok_value == history.newest


def test_a_version_with_other_content_gets_the_whole_document(history):
    """Guards against a difference to a document that was never the same."""
    held = document(2, changed=99)
    received = update(history, request_for(held))
    assert received.delta is None
    assert apply_update(held.text, received).ok_value == history.newest


def test_a_version_that_is_not_newer_is_not_sent(history):
    assert update(history, FetchConfig(3)).version == 0
    assert update(history, FetchConfig(9)).version == 0


def test_the_history_is_bounded(monkeypatch):
    """Guards against control hosts that run out of memory."""
    size = len(document(1).text)
    monkeypatch.setattr(config_transfer, "MAX_HISTORY_BYTES", 3 * size)
    history = ConfigHistory()
    for version in range(1, 40):
        history.add(document(version, changed=version))
    assert len(history.documents) <= 3
    first = document(1, changed=1)
    received = update(history, request_for(first))
    assert apply_update(first.text, received).ok_value == history.newest


@pytest.mark.parametrize("damage", ["packed", "digest", "cut"])
def test_a_damaged_update_is_rejected(history, damage):
    """Guards against a configuration that differs from the operator's."""
    received = update(history, FetchConfig())
    if damage == "packed":
        received = msgspec.structs.replace(received, packed=b"no zlib")
    elif damage == "cut":
        received = msgspec.structs.replace(
            received, packed=received.packed[:-20]
        )
    else:
        received = msgspec.structs.replace(received, digest="0")
    assert isinstance(apply_update(b"", received), Err)


def test_a_document_beyond_the_limit_is_not_unpacked(monkeypatch):
    """Guards against a small message that fills the memory."""
    monkeypatch.setattr(config_transfer, "MAX_DOCUMENT_BYTES", 10_000)
    text = b"x" * 100_000
    received = ConfigUpdate(1, digest_of(text), packed=zlib.compress(text))
    assert isinstance(apply_update(b"", received), Err)
