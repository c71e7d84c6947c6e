"""HTTP headers of forwarded requests and responses."""

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


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones."""
    return [
        (str(name), value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    ]


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
