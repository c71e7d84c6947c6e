"""The account of the bytes that a process holds for others."""

from collections import Counter

import pytest
from held import new_account
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from marjoramyard.fleet.util.held_bytes import (
    COPIES,
    LOG_INTERVAL_SECONDS,
    OWN_BYTES,
    HeldKind,
    Holding,
    limit_for,
)

LIMIT = 1000


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from(list(HeldKind)),
            st.integers(0, 400),
        )
    )
)
def test_the_sum_of_all_owners_stays_within_the_limit(requests):
    """Guards against limits that are kept for each and not for the sum."""
    account = new_account(LIMIT)
    holdings = [Holding(account, owner) for owner, _, _ in requests]
    for holding, (_, kind, size) in zip(holdings, requests, strict=True):
        holding.add(kind, size)
        assert account.total <= LIMIT
        assert account.total == sum(h.total for h in holdings)
    for holding in holdings:
        holding.release()
    assert account.total == 0
    assert not account.by_owner
    assert not +account.by_kind


@pytest.mark.parametrize("owners", [1, 2, 8])
def test_owners_that_want_more_than_there_is_get_equal_parts(owners):
    """Guards against one workspace that fills the account for all others."""
    account = new_account(LIMIT)
    holdings = {
        number: Holding(account, str(number)) for number in range(owners)
    }
    for _ in range(LIMIT):
        for holding in holdings.values():
            holding.add(HeldKind.REQUEST, 1)
    held = Counter(holding.total for holding in holdings.values())
    assert max(held) - min(held) <= 4
    assert min(held) >= 4 * LIMIT // (1 + 4 * owners) - 4


def test_a_newcomer_finds_room_beside_an_owner_that_takes_all_it_can():
    """Guards against workspaces that are shut out by one that came first."""
    account = new_account(LIMIT)
    greedy = Holding(account, "greedy")
    while greedy.add(HeldKind.REQUEST, 1):
        pass
    assert Holding(account, "other").add(HeldKind.REQUEST, LIMIT // 10)


def test_what_cannot_be_refused_leaves_less_for_what_can():
    """Guards against responses in progress that are not counted."""
    account = new_account(LIMIT)
    running = Holding(account, "a")
    running.force(HeldKind.RESPONSE, LIMIT)
    assert not Holding(account, "b").add(HeldKind.REQUEST, 1)
    running.release()
    assert Holding(account, "b").add(HeldKind.REQUEST, 1)


def test_bytes_move_with_their_owner():
    """Guards against bytes that stay with nobody once a key was read."""
    account = new_account(LIMIT)
    holding = Holding(account)
    holding.add(HeldKind.HEAD, 100)
    holding.assign("a")
    assert dict(account.by_owner) == {"a": 100}
    holding.release()
    assert not account.by_owner


def test_the_limit_follows_from_the_memory_of_the_process():
    """Guards against an account that is larger than the process may be."""
    memory = 136_000_000
    assert COPIES * limit_for(136) + OWN_BYTES <= memory
    assert limit_for(None) == limit_for(0) > limit_for(136)
    assert limit_for(1) > 0


def test_refusals_are_counted_and_only_some_are_logged():
    """Guards against a log that is filled by callers without room."""
    account = new_account(LIMIT)
    holding = Holding(account, "a", source="127.0.0.1:1")
    with capture_logs() as lines:
        for _ in range(100):
            holding.add(HeldKind.REPLY, 2 * LIMIT)
        Holding(account, "b").add(HeldKind.REQUEST, 2 * LIMIT)
        account.logged_at[HeldKind.REPLY] -= 2 * LOG_INTERVAL_SECONDS
        holding.add(HeldKind.REPLY, 2 * LIMIT)
    found = [(line["kind"], line["not_logged"]) for line in lines]
    assert found == [("reply", 0), ("request", 0), ("reply", 99)]
    assert lines[0]["source"] == "127.0.0.1:1"
