"""What the fields of a registration may hold.

Anyone who reaches a control host can register an endpoint. A value that can't
be used must be refused when it is read: any later, it would fail the processes
that use it.
"""

from marjoramyard.kernel.util.addresses import parse_callable_address

MAX_NAME_CHARS = 256
MAX_SLOTS = 1 << 20
MAX_INTEGER = (1 << 53) - 1
"""Larger integers are not exact in all implementations of JSON."""
MAX_COLD_MS = 24 * 3600 * 1000.0


def check_text(field: str, text: str) -> None:
    """Checks a name or version, which may be empty.

    Raises:
        ValueError: It is too long or has control characters.
    """
    if len(text) > MAX_NAME_CHARS:
        raise ValueError(f"{field}: longer than {MAX_NAME_CHARS} characters")
    if not text.isprintable():
        raise ValueError(f"{field}: has a character that can't be printed")


def check_name(field: str, text: str) -> None:
    """Checks a name that must not be empty.

    Raises:
        ValueError: It is empty, too long or has control characters.
    """
    if not text:
        raise ValueError(f"{field}: must not be empty")
    check_text(field, text)


def check_number(field: str, number: float, limit: float) -> None:
    """Checks that a number is in range.

    Raises:
        ValueError: It is less than 0 or greater than the limit.
    """
    if not 0 <= number <= limit:
        raise ValueError(f"{field}: must be from 0 to {limit:g}")


def check_address(field: str, text: str) -> None:
    """Checks an address at which a process is to be called.

    Raises:
        ValueError: It is not `IP:PORT`.
    """
    try:
        parse_callable_address(text)
    except ValueError as error:
        raise ValueError(f"{field}: {error}") from None
