"""Heartbeats that come late, twice, out of order or from the dead."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.membership.health import (
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    EndpointHealth,
)
from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
    EndpointState,
    Registration,
    Registrations,
)


def make_word(endpoint="i-1", **changes):
    fields = {
        "endpoint": endpoint,
        "service": "llm",
        "address": f"10.0.0.{len(endpoint)}:80",
        "sequence": 1,
        "born": 100,
    }
    return Registration(**{**fields, **changes})


def usable(table):
    return {word.endpoint for word in table.usable("llm")}


def test_a_late_ready_does_not_bring_back_a_draining_endpoint():
    """The caller would get an endpoint that is about to exit.

    The endpoint says ready (4), then draining (5); the network delivers
    draining first. The older word must not count.
    """
    table = Registrations()
    table.merge(make_word(state=EndpointState.DRAINING, sequence=5), now=0.0)
    assert not table.merge(make_word(sequence=4), now=1.0)
    assert usable(table) == set()


def test_a_heartbeat_after_the_departure_changes_nothing():
    """The caller would be sent to an address where nobody listens.

    The endpoint leaves, and a heartbeat with a higher number, which another
    node had kept, arrives seconds later. Departed is final for a lifetime.
    """
    table = Registrations()
    table.merge(make_word(sequence=7), now=0.0)
    table.mark_departed("i-1", now=1.0)
    assert not table.merge(make_word(sequence=9), now=2.0)
    assert usable(table) == set()


def test_a_new_lifetime_under_the_same_id_counts_from_anew():
    table = Registrations()
    table.merge(make_word(sequence=50), now=0.0)
    table.mark_departed("i-1", now=1.0)
    assert table.merge(make_word(sequence=1, born=200), now=2.0)
    assert usable(table) == {"i-1"}


def test_a_delayed_heartbeat_does_not_take_an_address_back():
    """The caller's request would reach a stranger at the address.

    i-1 crashes, i-2 starts at its address, then a heartbeat of i-1 that a
    partition held up arrives. The lifetime that began last holds.
    """
    table = Registrations()
    table.merge(make_word("i-1", address="10.0.0.9:80"), now=0.0)
    table.merge(make_word("i-2", address="10.0.0.9:80", born=300), now=5.0)
    assert not table.merge(
        make_word("i-1", address="10.0.0.9:80", sequence=8), now=6.0
    )
    assert usable(table) == {"i-2"}


def test_a_heartbeat_alone_is_no_change_but_is_heard():
    table = Registrations()
    assert table.merge(make_word(sequence=1), now=0.0)
    assert not table.merge(make_word(sequence=2), now=3.0)
    assert table.seconds_since_received("i-1", now=4.0) == 1.0


def test_ended_lifetimes_are_forgotten_in_the_end():
    table = Registrations()
    table.merge(make_word(), now=0.0)
    table.mark_departed("i-1", now=1.0)
    table.expire_departed(now=DEPARTED_RETENTION_SECONDS / 2)
    assert "i-1" in table.by_endpoint
    table.expire_departed(now=2 * DEPARTED_RETENTION_SECONDS)
    assert not table.by_endpoint
    assert not table.by_address


words = st.builds(
    Registration,
    endpoint=st.sampled_from(["i-1", "i-22", "i-333"]),
    service=st.just("llm"),
    address=st.just(""),
    state=st.sampled_from(list(EndpointState)),
    sequence=st.integers(0, 6),
    born=st.integers(1, 3),
).map(
    lambda word: msgspec.structs.replace(
        word, address=f"10.0.0.{len(word.endpoint)}:80"
    )
)


@given(
    st.lists(words, max_size=8).flatmap(
        lambda told: st.tuples(st.just(told), st.permutations(told))
    )
)
def test_all_tables_agree_whatever_the_order(told):
    """Nodes hear the same words in different orders, some of them twice."""
    # Two words of one number differ only if a sender lies about itself.
    one_each = {
        (w.endpoint, w.precedence): w for w in sorted(told[0], key=repr)
    }
    first, second = Registrations(), Registrations()
    for word in told[0]:
        first.merge(one_each[word.endpoint, word.precedence], now=0.0)
    for word in [*told[1], *told[0]]:
        second.merge(one_each[word.endpoint, word.precedence], now=0.0)
    assert first.by_endpoint == second.by_endpoint


def test_pauses_grow_and_end_with_a_success():
    health = EndpointHealth()
    health.record_failure(now=0.0)
    assert health.is_backing_off(INITIAL_BACKOFF_SECONDS / 2)
    assert not health.is_backing_off(INITIAL_BACKOFF_SECONDS)
    for _ in range(10):
        health.record_failure(now=1.0)
    assert not health.is_backing_off(1.0 + MAX_BACKOFF_SECONDS)
    health.record_success(now=1.1)
    assert not health.is_backing_off(1.1)
