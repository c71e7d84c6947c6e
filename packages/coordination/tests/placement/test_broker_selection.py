"""Tests of the selection of brokers while candidates change."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.broker_selection import (
    MAX_BROKERS,
    BrokerCandidate,
    BrokerSelector,
)


def candidate(name, capacity=1.0):
    return BrokerCandidate(name, f"at-{name}", capacity)


def test_later_candidates_do_not_replace_the_first_broker():
    """Guards against a change of broker with each router that joins after a
    restart.
    """
    selector = BrokerSelector()
    candidates = []
    for name in ("d", "c", "b", "a"):
        candidates.append(candidate(name))
        assert selector.choose(candidates)[0] == "at-d"


def test_a_much_larger_candidate_replaces_the_first_broker():
    selector = BrokerSelector()
    assert selector.choose([candidate("small", 0.3)]) == ["at-small"]
    both = [candidate("small", 0.3), candidate("large", 1.0)]
    assert selector.choose(both) == ["at-large", "at-small"]


def test_a_large_candidate_that_returns_replaces_only_small_ones():
    """Guards against a second change of broker when a cut heals.

    While most large ones are cut off, small ones are among the successors.
    """
    selector = BrokerSelector()
    first, returning = candidate("first", 1.4), candidate("returning", 1.4)
    small = candidate("small", 0.3)
    selector.choose([returning, first, small])
    selector.choose([first, small])
    selected = selector.choose([returning, first, small])
    assert selected == ["at-first", "at-returning", "at-small"]


def test_the_next_broker_succeeds_one_that_is_no_longer_a_candidate():
    selector = BrokerSelector()
    selector.choose([candidate("a"), candidate("b"), candidate("c")])
    assert selector.choose([candidate("c"), candidate("b")])[0] == "at-b"


@given(
    st.lists(
        st.dictionaries(
            st.sampled_from("abcdef"), st.sampled_from([0.3, 1.0, 1.2])
        ),
        max_size=8,
    )
)
def test_only_candidates_are_selected_and_each_once(rounds):
    selector = BrokerSelector()
    for candidates in rounds:
        selected = selector.choose(
            candidate(n, c) for n, c in candidates.items()
        )
        assert len(set(selected)) == len(selected)
        assert set(selected) <= {f"at-{name}" for name in candidates}
        assert len(selected) == min(len(candidates), MAX_BROKERS)
