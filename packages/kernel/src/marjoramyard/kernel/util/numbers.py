"""Numbers in text of any origin: headers, query parameters, settings.

float() and int() also accept "nan", "inf", "1_000", blanks and digits of other
scripts, and fail for some text of which str.isdigit() is true.
"""

MAX_NUMBER = float(1 << 53)
"""Numbers beyond it are read as this one, which timers and JSON can hold."""
MAX_WHOLE = 10**18
"""Whole numbers beyond it are read as this one."""
_MAX_DIGITS = 18
_CHARACTERS = frozenset("0123456789.+-eE")


def read_number(text: str) -> float | None:
    """Returns the decimal number that a text is; None if it is none.

    A number of any length means what it says, up to `MAX_NUMBER` and down to
    -`MAX_NUMBER`. It may have a sign, a fraction and an exponent.
    """
    if not _CHARACTERS.issuperset(text):
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return max(-MAX_NUMBER, min(number, MAX_NUMBER))


def read_whole(text: str | bytes) -> int | None:
    """Returns the whole number that a text is; None if it is none.

    A number has digits only, of any number, and means what it says, up to
    `MAX_WHOLE`.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) > _MAX_DIGITS:
        text = text.lstrip("0" if isinstance(text, str) else b"0") or "0"
        if len(text) > _MAX_DIGITS:
            return MAX_WHOLE
    return int(text)


def read_length(text: bytes) -> int | None:
    """Returns the length that a text is; None if it is none or far too large.

    A length that was cut would be that of another body.
    """
    length = read_whole(text)
    return length if length != MAX_WHOLE else None
