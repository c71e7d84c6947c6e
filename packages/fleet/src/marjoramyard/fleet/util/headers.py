"""HTTP headers of forwarded requests and responses."""

import re

from aiohttp import web

STREAM_TYPE = "text/event-stream"
Headers = list[tuple[str, str]]

_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "proxy-authenticate",
        "proxy-authorization",
    }
)
_OWN_HEADERS = frozenset({"date", "server", "content-length"})
_CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers to pass on, without the hop-by-hop ones.

    Their values can be written, whatever was received.
    """
    return [
        (str(name), writable_value(value))
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    ]


def writable_value(value: str) -> str:
    """Returns a header value that the HTTP library can write.

    Args:
        value: A value as the library has read it. Bytes that are not UTF-8 are
            surrogate characters; they are taken for ISO 8859-1.

    Returns:
        The value, with spaces in place of control characters.
    """
    if value.isascii() and value.isprintable():
        return value
    return _CONTROL_CHARACTERS.sub(" ", header_text(value))


def is_writable(text: str) -> bool:
    """Returns whether a header can have a text as its value."""
    return not _CONTROL_CHARACTERS.search(text)


def header_bytes(value: str) -> bytes:
    """Returns the bytes of a header value that the HTTP library has read."""
    return value.encode("utf-8", "surrogateescape")


def header_text(value: str) -> str:
    """Returns a header value as text that can be encoded.

    Args:
        value: A value as the library has read it. Bytes that are not UTF-8 are
            surrogate characters; they are taken for ISO 8859-1.
    """
    if value.isascii():
        return value
    try:
        value.encode()
    except UnicodeEncodeError:
        return header_bytes(value).decode("latin-1")
    return value


def is_stream(headers: Headers) -> bool:
    """Returns whether the content type is that of server-sent events."""
    return any(
        name.lower() == "content-type" and value.startswith(STREAM_TYPE)
        for name, value in headers
    )


def copy_headers(headers: Headers, response: web.StreamResponse) -> None:
    """Adds an endpoint's headers to a response, except those set by aiohttp."""
    response.headers.popall("Content-Type", None)
    for name, value in headers:
        if name.lower() not in _OWN_HEADERS:
            response.headers.add(name, value)
