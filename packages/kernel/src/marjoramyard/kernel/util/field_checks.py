"""Checks of fields in what operators write: one rule for each kind of value.

Each check yields the problems of a field, of which each names the field and
the remedy. Texts aren't repeated: they may be long, or secret.
"""

import re
from collections.abc import Iterator

MAX_NUMBER = (1 << 53) - 1
"""Larger integers are not exact in all implementations of JSON."""
MAX_NAME_CHARS = 256
MAX_TEXT_CHARS = 8192
_CONTROL_CHARACTER = re.compile("[\x00-\x1f\x7f-\x9f]")


def number_problems(
    field: str, value: float, is_zero_valid: bool = True
) -> Iterator[str]:
    """Checks that a number is finite and not negative.

    Args:
        field: The path of the field.
        value: The number.
        is_zero_valid: Whether it may be 0.
    """
    lowest = "not negative" if is_zero_valid else "greater than 0"
    is_valid = 0 <= value <= MAX_NUMBER and (is_zero_valid or value != 0)
    if not is_valid:
        yield f"{field}: must be a number {lowest}, and at most {MAX_NUMBER}"


def text_problems(
    field: str,
    text: str,
    is_required: bool = False,
    limit: int = MAX_TEXT_CHARS,
) -> Iterator[str]:
    """Checks that a text has no control characters and isn't too long.

    Args:
        field: The path of the field.
        text: The text.
        is_required: Whether it must not be empty.
        limit: The maximum number of characters.
    """
    if is_required and not text:
        yield f"{field}: must not be empty"
    if len(text) > limit:
        yield f"{field}: must have at most {limit} characters"
    elif _CONTROL_CHARACTER.search(text):
        yield f"{field}: must not have control characters"
