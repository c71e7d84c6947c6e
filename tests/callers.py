"""HTTP callers of a fleet for end-to-end tests."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import aiohttp

OUTCOME_HEADER = "X-Marjoramyard-Outcome"


@dataclass
class Response:
    """The response that a caller received.

    Attributes:
        status: HTTP status; 0 if no response began.
        text: The part of the body that was received.
        is_truncated: Whether the connection failed before the end.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    text: str = ""
    is_truncated: bool = False

    @property
    def outcome(self):
        return self.headers.get(OUTCOME_HEADER)

    @property
    def is_complete_stream(self):
        return not self.is_truncated and self.text.endswith("data: [DONE]\n\n")


async def call(fleet, method, path, entry="entry-1", workspace="counter", **kw):
    """Sends a request and returns the response, also if it is truncated."""
    headers = fleet.headers(workspace, **kw.pop("headers", {}))
    received = Response()
    try:
        async with fleet.session.request(
            method, fleet.url(entry, path), headers=headers, **kw
        ) as response:
            received.status = response.status
            received.headers = dict(response.headers)
            async for data in response.content.iter_any():
                received.text += data.decode()
    except (aiohttp.ClientError, OSError):
        received.is_truncated = True
    return received


async def chat(fleet, entry="entry-1", workspace="counter", **body):
    """Sends a chat completion request."""
    content = body.pop("content", "Which boots?")
    message = {"role": "user", "content": content}
    return await call(
        fleet,
        "POST",
        "/v1/chat/completions",
        entry,
        workspace,
        json={"model": "chat", "messages": [message], **body},
    )


async def book(fleet, key, entry="entry-1", body=None, **headers):
    """Sends a booking with an idempotency key."""
    return await call(
        fleet,
        "POST",
        "/services/shop/bookings",
        entry,
        headers={"Idempotency_Key": key, **headers},
        json=body or {"boots": 42},
    )


@contextlib.asynccontextmanager
async def open_stream(fleet, entry="entry-1", workspace="counter", **body):
    """Opens a stream and yields the response after the first event."""
    async with fleet.session.post(
        fleet.url(entry, "/v1/chat/completions"),
        headers=fleet.headers(workspace),
        json={"model": "chat", "stream": True, **body},
    ) as response:
        await response.content.readuntil(b"\n\n")
        yield response


async def read_to_end(response):
    """Returns the rest of a stream and whether it was truncated."""
    text = ""
    try:
        async for data in response.content.iter_any():
            text += data.decode()
    except (aiohttp.ClientError, OSError):
        return text, True
    return text, False


async def read_body(response):
    """Returns the body that arrives, and whether it is complete."""
    body = b""
    try:
        async for data in response.content.iter_any():
            body += data
    except aiohttp.ClientError:
        return body, False
    return body, True


async def gather(*work):
    return await asyncio.gather(*work)
