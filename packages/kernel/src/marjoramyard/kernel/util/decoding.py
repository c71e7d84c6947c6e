"""Decoding of JSON that another process or program has written."""

from typing import TypeVar

import msgspec

T = TypeVar("T")
MAX_SHOWN_CHARS = 200


def decode_json(data: bytes | str | msgspec.Raw, kind: type[T]) -> T:
    """Decodes JSON of any origin.

    Args:
        data: The text.
        kind: The type of the value.

    Raises:
        msgspec.DecodeError: The text is no JSON, or not that of a value of this
            type. There is no other error, whatever the text.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        raise
    except RecursionError as error:
        raise msgspec.DecodeError("too deeply nested") from error
    except (ValueError, ArithmeticError) as error:
        raise msgspec.DecodeError(type(error).__name__) from error


def shorten(text: str) -> str:
    """Returns a text of another process for a log line or an error."""
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f"{text[:MAX_SHOWN_CHARS]}... ({len(text)} characters)"
