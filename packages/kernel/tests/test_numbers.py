"""Numbers in text of any origin."""

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from marjoramyard.kernel.util.numbers import (
    MAX_NUMBER,
    MAX_WHOLE,
    read_number,
    read_whole,
)

NO_NUMBERS = (
    "",
    " ",
    "5 ",
    " 5",
    "1_000",
    "0x10",
    "nan",
    "inf",
    "-inf",
    "infinity",
    "\u00b2",
    "\u0663",
    "5\u00b2",
    "\udcb2",
    "1,5",
    "--5",
    "5\x00",
    "soon",
)


@given(text=st.text() | st.from_regex(r"[-+0-9.e]{0,9}", fullmatch=True))
@example(text="e")
@example(text="9" * 5000)
def test_any_text_is_a_finite_number_or_none(text):
    """Guards against infinite numbers and errors that readers don't expect."""
    number = read_number(text)
    assert number is None or abs(number) <= MAX_NUMBER
    whole = read_whole(text)
    assert whole is None or 0 <= whole <= MAX_WHOLE


@given(number=st.integers(0))
def test_a_whole_number_of_any_length_means_what_it_says(number):
    """Guards against requests that fail for a long number."""
    for text in (f"{number}", f"{number:0600}"):
        assert read_whole(text) == min(number, MAX_WHOLE)
        assert read_whole(text.encode()) == min(number, MAX_WHOLE)
        assert read_number(text) == pytest.approx(min(number, MAX_NUMBER))


@given(number=st.floats(allow_nan=False, allow_infinity=False))
def test_a_decimal_number_means_what_it_says(number):
    """Guards against refusals of numbers as programs print them."""
    bounded = min(MAX_NUMBER, max(-MAX_NUMBER, number))
    assert read_number(repr(number)) == bounded
    if abs(number) < MAX_NUMBER:
        assert read_number(f"{number:.3f}") == float(f"{number:.3f}")


@pytest.mark.parametrize("digits", [400, 5000, 60_000])
def test_numbers_are_cut_at_a_bound(digits):
    """Guards against numbers that are infinite, or that int() refuses."""
    assert read_number("9" * digits) == MAX_NUMBER
    assert read_number("-" + "9" * digits) == -MAX_NUMBER
    assert read_number("1e" + "9" * digits) == MAX_NUMBER
    assert read_number("0." + "9" * digits) == 1.0
    assert read_whole("9" * digits) == MAX_WHOLE
    assert read_whole(b"9" * digits) == MAX_WHOLE
    assert read_whole("0" * digits + "7") == 7
    assert math.isfinite(MAX_NUMBER)


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_what_is_no_number_is_none(text):
    """Guards against text that only some readers take for a number."""
    assert read_number(text) is None
    assert read_whole(text) is None
    assert read_whole(text.encode("utf-8", "surrogateescape")) is None


@pytest.mark.parametrize("text", ["-5", "+5", "5.0", "1e3", "."])
def test_only_digits_are_a_whole_number(text):
    """Guards against counts and lengths that are signed or fractions."""
    assert read_whole(text) is None
