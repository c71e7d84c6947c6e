"""Registrations on their way between control hosts, and to gateways."""

import random
import zlib

import msgspec
import pytest

from marjoramyard.coordination.membership import registrations
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.fleet.control import endpoint_feed
from marjoramyard.fleet.control.endpoint_feed import (
    MAX_REGISTRATIONS,
    EndpointFeed,
)
from marjoramyard.fleet.sync_messages import SignOfLife

ENDPOINTS = 3000
HOSTS = 3


def make_registration(endpoint="engine-1", **changes):
    fields = {
        "endpoint": endpoint,
        "service": "assistant",
        "address": f"10.0.0.1:{zlib.crc32(endpoint.encode()) % 60000}",
        "availability_zone": "zone-a",
        "sequence": 1,
        "born": 1_790_000_000_000,
    }
    return Registration(**{**fields, **changes})


def make_feed(name="control"):
    return EndpointFeed(name, lambda: None)


def announce(sender, receiver, is_request_lost=False, is_reply_lost=False):
    """Sends what `sender` has to announce; returns its bytes."""
    peer = receiver.epoch
    updates, alive = sender.take_updates(peer)
    if is_request_lost:
        sender.announce_all(peer)
        return 0
    unmatched = receiver.merge_updates(updates, alive)
    if is_reply_lost:
        sender.announce_all(peer)
    else:
        sender.announce_in_full(peer, unmatched)
    return len(msgspec.json.encode((updates, alive)))


def test_a_heartbeat_without_news_is_announced_in_a_few_bytes():
    """Guards against control hosts of 3,000 engines that send each other all
    registrations all the time.
    """
    sender, receiver = make_feed("a"), make_feed("b")
    for sequence in (1, 2):
        for number in range(ENDPOINTS):
            sender.register(
                make_registration(f"engine-{number}", sequence=sequence)
            )
        while sender.pending.get(receiver.epoch) is None or (
            sender.pending[receiver.epoch].full
        ):
            announce(sender, receiver)
        size = announce(sender, receiver)
    assert receiver.registrations.by_endpoint.keys() == (
        sender.registrations.by_endpoint.keys()
    )
    held = receiver.registrations.by_endpoint["engine-7"]
    assert held.sequence == 2
    assert size < 50 * ENDPOINTS


def test_a_host_that_lost_its_table_gets_it_again():
    """Guards against a restarted control host that knows no endpoints."""
    sender, receiver = make_feed("a"), make_feed("b")
    sender.register(make_registration())
    for _ in range(2):
        announce(sender, receiver)
    restarted = make_feed("b")
    restarted.epoch = receiver.epoch
    sender.register(make_registration(sequence=2))
    for _ in range(2):
        announce(sender, restarted)
    assert restarted.registrations.by_endpoint["engine-1"].sequence == 2


def test_a_message_holds_a_bounded_number_of_registrations():
    """Guards against a small host that a large fleet's table, encoded for
    many gateways at once, drives out of memory.
    """
    feed = make_feed()
    for number in range(ENDPOINTS):
        feed.register(make_registration(f"engine-{number}"))
    received, cursor = {}, 0
    while cursor < feed.cursor:
        page, cursor = feed.changes_since(feed.epoch, cursor)
        assert 0 < len(page) <= MAX_REGISTRATIONS
        received |= {held.endpoint: held for held in page}
    assert received == feed.registrations.by_endpoint


def test_a_change_between_two_pages_is_not_missed():
    feed = make_feed()
    names = [f"engine-{number}" for number in range(MAX_REGISTRATIONS + 1)]
    for name in names:
        feed.register(make_registration(name))
    _, cursor = feed.changes_since(feed.epoch, 0)
    draining = make_registration(
        names[0], sequence=2, state=EndpointState.DRAINING
    )
    feed.register(draining)
    page, cursor = feed.changes_since(feed.epoch, cursor)
    assert draining in page
    assert cursor == feed.cursor


def test_a_leaving_endpoint_is_reported_to_all_gateways():
    """Guards against new work for an endpoint whose leaving only hosts of
    other zones have heard of.
    """
    feed = make_feed()
    for number in range(10):
        feed.register(make_registration(f"engine-{number}"))
    assert feed.changes_since(feed.epoch, 0, urgent_only=True) == ([], 10)
    draining = make_registration(
        "engine-3", sequence=2, state=EndpointState.DRAINING
    )
    feed.register(draining)
    feed.mark_departed("engine-4")
    page, cursor = feed.changes_since(feed.epoch, 10, urgent_only=True)
    assert [held.endpoint for held in page] == ["engine-3", "engine-4"]
    assert cursor == feed.cursor == feed.last_change(urgent_only=True)


def test_an_endpoint_that_turns_cold_is_reported_to_all_gateways():
    """Guards against a usual load on an engine that was just restarted."""
    feed = make_feed()
    feed.register(make_registration())
    cold = make_registration(born=1_790_000_900_000, cold_left_ms=3000.0)
    feed.register(cold)
    assert feed.changes_since(feed.epoch, 1, urgent_only=True) == ([cold], 2)
    feed.register(
        msgspec.structs.replace(cold, sequence=2, cold_left_ms=1800.0)
    )
    assert feed.changes_since(feed.epoch, 2, urgent_only=True) == ([], 3)


def test_old_news_does_not_make_an_endpoint_responsive():
    """Guards against requests to a lost endpoint whenever announcements are
    repeated.
    """
    feed = make_feed()
    feed.register(make_registration())
    held = feed.registrations.by_endpoint["engine-1"]
    sign = SignOfLife(held.sequence, feed.registrations.digest_of("engine-1"))
    feed.detect_unresponsive(-1.0)
    assert feed.merge_updates([held], {"engine-1": sign}) == []
    assert feed.unresponsive == {"engine-1"}
    newer = SignOfLife(held.sequence + 1, sign.digest)
    assert feed.merge_updates([], {"engine-1": newer}) == []
    assert not feed.unresponsive


def test_a_host_that_restarted_between_two_announcements_is_told_all():
    """Guards against departures that a restarted host is never told, as no
    announcement to it has failed.
    """
    sender, receiver = make_feed("a"), make_feed("b")
    sender.register(make_registration())
    for _ in range(2):
        announce(sender, receiver)
        sender.on_heard(receiver.epoch, "first")
    sender.mark_departed("engine-1")
    announce(sender, receiver)
    restarted = make_feed("b")
    restarted.epoch = receiver.epoch
    sender.on_heard(receiver.epoch, "second")
    for _ in range(2):
        announce(sender, restarted)
        sender.on_heard(receiver.epoch, "second")
    held = restarted.registrations.by_endpoint["engine-1"]
    assert held.state is EndpointState.DEPARTED
    assert sender.take_updates(receiver.epoch) == ([], {})


def test_a_restart_during_an_announcement_is_no_error():
    """Guards against a host that fails on the reply to an announcement, as the
    receiver was heard of again meanwhile.
    """
    sender = make_feed("a")
    sender.register(make_registration())
    sender.take_updates("b")
    sender.on_heard("b", "first")
    sender.on_heard("b", "second")
    sender.announce_in_full("b", ["engine-1"])
    assert list(sender.take_updates("b")[1]) == ["engine-1"]


@pytest.mark.parametrize(
    "state", [EndpointState.DRAINING, EndpointState.DEPARTED]
)
def test_a_leaving_endpoint_is_announced_by_hosts_that_were_told(state):
    """Guards against a departure that is known to one host, after the one that
    announced it has been lost.
    """
    first, second, third = (make_feed(name) for name in "abc")
    first.register(make_registration())
    for receiver in (second, third):
        announce(first, receiver)
        announce(first, receiver)
        announce(second, receiver)
    leaving = make_registration(sequence=2, state=state)
    second.merge_updates([leaving], {})
    assert second.take_updates(third.epoch) == ([leaving], {})
    second.merge_updates([leaving], {})
    assert second.take_updates(third.epoch) == ([], {})


def random_heartbeats(draw, count):
    """Returns heartbeats of a few endpoints, some late, twice or restarted."""
    sequence, born, beats = 0, 100, []
    for _ in range(count):
        sequence += 1
        if draw.random() < 0.1:
            born, sequence = born + 100, 1
        state = draw.choice(list(EndpointState))
        beats.append(
            make_registration(
                f"engine-{draw.randrange(3)}",
                state=state,
                sequence=sequence,
                born=born,
            )
        )
        if draw.random() < 0.3:
            beats.append(draw.choice(beats))
    return beats


@pytest.mark.parametrize("seed", range(40))
def test_tables_agree_after_lost_announcements(seed):
    """Guards against a control host that keeps an outdated state because
    others only tell it that the endpoint is alive.
    """
    draw = random.Random(seed)
    feeds = [make_feed(f"c{number}") for number in range(HOSTS)]
    for beat in random_heartbeats(draw, 60):
        draw.choice(feeds).register(beat)
        sender, receiver = draw.sample(feeds, 2)
        announce(sender, receiver, draw.random() < 0.2, draw.random() < 0.2)
    for _ in range(4):
        for sender in feeds:
            for receiver in feeds:
                if sender is not receiver:
                    announce(sender, receiver)
    tables = [feed.registrations.by_endpoint for feed in feeds]
    assert tables[0] == tables[1] == tables[2]


def test_silent_endpoints_make_room(monkeypatch):
    """Guards against names without end that keep new endpoints out for good."""
    monkeypatch.setattr(registrations, "MAX_ENDPOINTS", 3)
    monkeypatch.setattr(endpoint_feed, "ROOM_MADE", 2)
    feed = make_feed()
    for name in ("silent-1", "silent-2", "silent-3"):
        feed.register(make_registration(name))
    feed.register(make_registration("engine-1"))
    table = feed.registrations.by_endpoint
    assert "engine-1" not in table
    feed.detect_unresponsive(-1.0)
    feed.detect_unresponsive(-1.0)
    departed = [
        name
        for name, held in table.items()
        if held.state is EndpointState.DEPARTED
    ]
    assert departed == ["silent-1", "silent-2"]
    for name in departed:
        feed.registrations.received_at[name] -= 1000.0
    feed.detect_unresponsive(1000.0)
    feed.register(make_registration("engine-1"))
    assert set(table) == {"silent-3", "engine-1"}
