"""Messages of another release, with entries that can't be used here."""

import json

import msgspec
import pytest

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.messages import RenewReply
from marjoramyard.fleet.sync_messages import (
    HostAnnouncement,
    HostAnnouncementReply,
    SyncReply,
)
from marjoramyard.fleet.util.separable import decode_message, refused_entries

SOUND = {"endpoint": "i-1", "service": "llm", "address": "10.0.0.1:80"}
ODD = [
    {**SOUND, "address": "10.0.0.1:70000"},
    {**SOUND, "state": "resting"},
    {**SOUND, "slots": "many"},
    {"endpoint": "i-2"},
    None,
    7,
    {**SOUND, "cold_left_ms": 10**400},
]
HOST = {
    "name": "control-1",
    "address": "10.0.0.2:9000",
    "public_address": "10.0.0.2:80",
}


def encode(**fields):
    return json.dumps(fields).encode()


@pytest.mark.parametrize("odd", ODD, ids=str)
def test_a_gateway_uses_the_other_entries_of_a_reply(odd):
    """Guards against gateways that follow no control host any more."""
    before = refused_entries["SyncReply"]
    reply = decode_message(
        encode(epoch="e", cursor=3, words=[odd, SOUND], silent=[None, "i-9"]),
        SyncReply,
    )
    assert reply == SyncReply(
        "e", 3, words=[Registration(**SOUND)], silent=["i-9"]
    )
    assert refused_entries["SyncReply"] == before + 2


@pytest.mark.parametrize("odd", ODD, ids=str)
def test_a_control_host_uses_the_other_entries_of_an_announcement(odd):
    """Guards against control hosts that don't hear of each other any more."""
    alive = {"i-1": [1, 2], "i-2": [1 << 53, 2], "i-3": None, "i-4": [1]}
    former = [["llm", "v1", 3.0], ["llm", "v1", -1.0], ["llm"]]
    message = decode_message(
        encode(
            host=HOST, words=[SOUND, odd], alive=alive, former_versions=former
        ),
        HostAnnouncement,
    )
    assert message.words == [Registration(**SOUND)]
    assert list(message.alive) == ["i-1"]
    assert [each.version for each in message.former_versions] == ["v1"]


@pytest.mark.parametrize(
    "address",
    ["", "10.0.0.1:70000", "10.0.0.1", "[::1", "host:80", "x" * 60_000],
)
def test_an_address_that_can_t_be_called_is_left_out(address):
    """Guards against calls that fail the tasks that make them."""
    sound = ["10.0.0.3:9000", "[::1]:65535"]
    reply = decode_message(
        encode(host=HOST, addresses=[address, *sound]), HostAnnouncementReply
    )
    assert reply.addresses == sound
    with pytest.raises(msgspec.DecodeError):
        decode_message(
            encode(host={**HOST, "address": address}), HostAnnouncement
        )


def test_a_message_whose_entries_depend_on_each_other_is_refused():
    """Guards against a bundle that lacks one of its changes."""
    with pytest.raises(msgspec.DecodeError):
        decode_message(
            encode(lease_seconds=1.0, version=1, chain="", deltas=[7]),
            RenewReply,
        )


def test_a_message_without_odd_entries_is_unchanged():
    words = [Registration(**SOUND)]
    message = SyncReply("e", 1, words=words, brokers=["10.0.0.3:9000"])
    assert decode_message(msgspec.json.encode(message), SyncReply) == message
