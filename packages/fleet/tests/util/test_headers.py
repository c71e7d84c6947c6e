"""Header values that are passed on."""

import pytest

from marjoramyard.fleet.util.headers import end_to_end, writable_value


@pytest.mark.parametrize(
    ("received", "passed_on"),
    [
        (b"plain", "plain"),
        (b"tab\tkept", "tab\tkept"),
        (b"a\x01b\x7fc\x00d\re", "a b c d e"),
        ("caf\u00e9".encode(), "caf\u00e9"),
        (b"caf\xe9", "caf\u00e9"),
        (b"\xed\xa0\x80", "\u00ed\u00a0\u0080"),
    ],
)
def test_each_value_can_be_written(received, passed_on):
    """Guards against values that make the HTTP library, or an encoder of JSON,
    fail after the request was run.
    """
    value = received.decode("utf-8", "surrogateescape")
    assert writable_value(value) == passed_on
    assert passed_on.encode()
    assert end_to_end([("Note", value)]) == [("Note", passed_on)]
