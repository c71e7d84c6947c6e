"""Decoding of JSON of any origin."""

from typing import Any

import msgspec
import pytest

from marjoramyard.kernel.util.decoding import (
    MAX_SHOWN_CHARS,
    decode_json,
    shorten,
)

NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "data",
    [
        NESTED,
        b'{"unknown":' + NESTED + b"}",
        b'{"' + b"9" * 5000 + b'":' + b"9" * 5000 + b"}",
        b'"\\ud800"',
        b"\xff",
        b"",
        "\ud800",
    ],
)
@pytest.mark.parametrize("kind", [Any, int, list[str], dict[str, int]])
def test_what_can_t_be_decoded_is_one_kind_of_error(data, kind):
    """Guards against errors of odd bytes that their readers don't expect."""
    with pytest.raises(msgspec.DecodeError):
        print(decode_json(data, kind))


def test_a_long_text_is_cut_short():
    """Guards against log lines as long as what somebody else has sent."""
    assert shorten("short") == "short"
    assert len(shorten("x" * 60_000)) < 2 * MAX_SHOWN_CHARS
