"""Who may broker, while routers come and go."""

from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.broker_selection import (
    MAX_BROKERS,
    BrokerCandidate,
    BrokerSelector,
)


def candidate(name, capacity=1.0):
    return BrokerCandidate(name, f"at-{name}", capacity)


def test_routers_that_come_in_later_do_not_take_the_place():
    """All routers change their broker several times after a restart.

    The fleet starts again and routers come in one by one, the last by name
    first. The first one named goes on.
    """
    choice = BrokerSelector()
    able = []
    for name in ("d", "c", "b", "a"):
        able.append(candidate(name))
        assert choice.choose(able)[0] == "at-d"


def test_a_larger_host_takes_over_from_a_small_one():
    choice = BrokerSelector()
    assert choice.choose([candidate("small", 0.3)]) == ["at-small"]
    both = [candidate("small", 0.3), candidate("large", 1.0)]
    assert choice.choose(both) == ["at-large", "at-small"]


def test_the_next_one_takes_over_when_the_first_is_gone():
    choice = BrokerSelector()
    choice.choose([candidate("a"), candidate("b"), candidate("c")])
    assert choice.choose([candidate("c"), candidate("b")])[0] == "at-b"


@given(
    st.lists(
        st.dictionaries(
            st.sampled_from("abcdef"), st.sampled_from([0.3, 1.0, 1.2])
        ),
        max_size=8,
    )
)
def test_only_who_is_able_is_named_and_each_once(rounds):
    choice = BrokerSelector()
    for able in rounds:
        named = choice.choose(candidate(n, c) for n, c in able.items())
        assert len(set(named)) == len(named)
        assert set(named) <= {f"at-{name}" for name in able}
        assert len(named) == min(len(able), MAX_BROKERS)
