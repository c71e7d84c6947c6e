"""Differences between versions of a document."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.fleet.util.text_delta import (
    DeltaError,
    Piece,
    apply_delta,
    make_delta,
)

LIMIT = 1 << 20
CHUNKS = st.lists(st.sampled_from([b"a", b"b", b"c", b"},", b"{}", b""]))
DOCUMENTS = CHUNKS.map(b"},".join)


@given(DOCUMENTS, DOCUMENTS)
def test_a_delta_leads_to_the_new_version(old, new):
    assert apply_delta(old, make_delta(old, new), LIMIT) == new


def test_a_changed_object_costs_about_its_own_length():
    """Guards against changes that cost as much as the whole document."""
    objects = [b'{"name":"r-%d"' % n for n in range(1000)]
    old = b"},".join(objects)
    objects[500] = b'{"name":"other"'
    delta = make_delta(old, b"},".join(objects))
    assert len(delta) == 2
    assert sum(len(piece.text) for piece in delta) < 30


@pytest.mark.parametrize(
    "piece", [Piece(-1, 1, b""), Piece(0, 3, b""), Piece(5, 1, b"")]
)
def test_a_delta_of_another_version_is_rejected(piece):
    with pytest.raises(DeltaError):
        apply_delta(b"a},b", [piece], LIMIT)


def test_a_delta_can_t_exceed_the_limit():
    """Guards against a small message that fills the memory."""
    with pytest.raises(DeltaError):
        apply_delta(b"x" * 1000, [Piece(0, 1, b"")] * 100, 50_000)
