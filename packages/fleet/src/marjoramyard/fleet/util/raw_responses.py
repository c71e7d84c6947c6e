"""Responses that are written without the HTTP library."""

from aiohttp import web


def response_bytes(response: web.Response) -> bytes:
    """Returns the serialized form of a response."""
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + response.body
