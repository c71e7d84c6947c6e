"""Internal calls: JSON over HTTP, authenticated by a shared secret."""

import asyncio
import functools
import hmac
import ipaddress
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from result import Err, Ok, Result

from marjoramyard.fleet.messages import FailureBody
from marjoramyard.fleet.util.connections import has_caller_left
from marjoramyard.fleet.util.headers import header_bytes
from marjoramyard.fleet.util.held_bytes import (
    HeldBytes,
    HeldKind,
    Holding,
    limit_for,
)
from marjoramyard.fleet.util.request_body import read_body
from marjoramyard.fleet.util.separable import decode_message
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    Outcome,
    failure,
)
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.decoding import decode_json, shorten

logger = get_logger(__name__)

T = TypeVar("T")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
OPEN_PATHS = ("/healthz", "/readyz", "/metrics")
AUTH_HEADER = "Authorization"
MIN_SECRET_BYTES = 16
MAX_INTERNAL_BODY = 256 << 20
MAX_HEAD_BYTES = 256 << 10
READ_BUFFER_BYTES = 1 << 15
"""What is read of a connection at once."""
SMALL_REPLY_BYTES = 64 << 10
"""Replies up to this size are read even if requests fill the account: without
those of control hosts a process loses its lease."""
_HEADER_ESTIMATE = 160
"""Estimated bytes of HTTP headers per message."""
_UNUSED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that no server of ours reads; they were a seventh of a poll."""


def read_secret(path: str) -> str:
    """Reads the shared secret of the fleet.

    Raises:
        ValueError: The file can't be read or the secret is too short.
    """
    try:
        secret = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise ValueError(
            f"secret_file: {path}: {error.strerror}; create it with "
            "`marjoramctl key secret`"
        ) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(
            f"secret_file: {path}: fewer than {MIN_SECRET_BYTES} characters; "
            "create one with `marjoramctl key secret`"
        )
    return secret


def json_response(value: Any, status: int = 200) -> web.Response:
    """Returns a JSON response with a value."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def failure_response(reason: Failure) -> web.Response:
    """Returns the response for a failure."""
    response = json_response(FailureBody(reason), reason.kind.status)
    response.headers["X-Marjoramyard-Outcome"] = reason.outcome
    if reason.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, round(reason.retry_after)))
    return response


def authentication(secret: str) -> Callable:
    """Returns a middleware that rejects requests without the secret."""
    expected = f"Bearer {secret}".encode()

    @web.middleware
    async def check(request: web.Request, handler: Handler) -> Any:
        if request.path not in OPEN_PATHS:
            given = request.headers.get(AUTH_HEADER, "")
            if not hmac.compare_digest(header_bytes(given), expected):
                return failure_response(
                    failure(
                        FailureKind.UNAUTHENTICATED,
                        "internal address; send the secret in secret_file",
                    )
                )
        return await handler(request)

    return check


@web.middleware
async def render_failures(request: web.Request, handler: Handler) -> Any:
    """Converts exceptions to JSON error responses."""
    try:
        return await handler(request)
    except FleetError as error:
        return failure_response(error.failure)
    except msgspec.DecodeError as error:
        return failure_response(
            failure(
                FailureKind.BAD_REQUEST,
                f"{shorten(str(error))}; correct the request",
            )
        )
    except web.HTTPException as error:
        kind = FailureKind.UNKNOWN_ROUTE
        if error.status == FailureKind.TOO_LARGE.status:
            kind = FailureKind.TOO_LARGE
        return failure_response(
            failure(kind, f"{error.reason}; see docs/usage/api.md")
        )
    except Exception as error:
        # Errors of connections to other processes are of the same types.
        if isinstance(error, ConnectionError) and has_caller_left(request):
            raise
        logger.exception("handler_failed", path=request.path)
        return failure_response(
            failure(
                FailureKind.INTERNAL,
                "internal error; report it with the time",
                Outcome.UNKNOWN,
            )
        )


async def read_message(request: web.Request, kind: type[T]) -> T:
    """Decodes a request's body.

    Raises:
        FleetError: It is too large, or there is no room for it.
        msgspec.DecodeError: It is no message of this kind.
    """
    return decode_message(await read_body(request), kind)


class ReplyTooLargeError(aiohttp.ClientPayloadError):
    """There is no room for a reply."""


class SmallReadHandler(ResponseHandler):
    """Reads a connection in small parts.

    What has arrived of many replies at once is not in the account yet.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits what is read at once."""
        super().connection_made(transport)
        transport.max_size = READ_BUFFER_BYTES


class SmallReadConnector(aiohttp.TCPConnector):
    """Opens connections that are read in small parts."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self._factory = functools.partial(SmallReadHandler, loop=self._loop)


class InternalClient:
    """Calls other processes of the fleet and counts the traffic.

    Attributes:
        held_bytes: The account of replies, until they are decoded.
        bytes_sent: Bytes sent, with an estimate for HTTP headers.
        bytes_received: Bytes received, with an estimate for HTTP headers.
    """

    def __init__(
        self,
        secret: str,
        metrics: Metrics,
        held_bytes: HeldBytes | None = None,
    ):
        self.held_bytes = held_bytes or HeldBytes(limit_for(None), metrics)
        self.headers = {AUTH_HEADER: f"Bearer {secret}"} if secret else {}
        self.metrics = metrics
        self.bytes_sent = 0
        self.bytes_received = 0
        connector = SmallReadConnector(limit=0, keepalive_timeout=30)
        self.session = aiohttp.ClientSession(
            connector=connector,
            headers=self.headers,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, connect=2.0),
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            skip_auto_headers=_UNUSED_HEADERS,
        )

    async def call(
        self,
        address: str,
        path: str,
        message: Any,
        reply: type[T],
        timeout: float,
    ) -> Result[T, Failure]:
        """Posts a message and returns the reply.

        Args:
            address: The internal address of the process.
            path: The path to post to.
            message: The message.
            reply: The type of the reply.
            timeout: The total time in seconds.

        Returns:
            The reply or a failure. The outcome of a missing reply is unknown,
                unless the connection could not be established.
        """
        if self.session.closed:
            # A caller that tries again at once can still be cancelled.
            await asyncio.sleep(0)
            return Err(
                failure(
                    FailureKind.NO_ENDPOINT,
                    f"{shorten(address)} was not called; this process stops",
                )
            )
        body = msgspec.json.encode(message)
        with self.held_bytes.holding(source=address) as holding:
            posted = await self._post(address, path, body, timeout, holding)
            if isinstance(posted, Err):
                return posted
            status, data = posted.ok_value
            self.bytes_sent += len(body) + _HEADER_ESTIMATE
            self.bytes_received += len(data) + _HEADER_ESTIMATE
            return decode_reply(status, data, reply)

    async def _post(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: float,
        holding: Holding,
    ) -> Result[tuple[int, bytes], Failure]:
        """Returns the status and the body of a reply."""
        try:
            async with asyncio.timeout(timeout):
                async with self.session.post(
                    f"http://{address}{path}", data=body
                ) as response:
                    data = await read_reply(response, holding)
                    return Ok((response.status, data))
        except (aiohttp.InvalidURL, OverflowError) as error:
            return Err(
                failure(
                    FailureKind.NO_ENDPOINT,
                    f"{shorten(address)} can't be called "
                    f"({type(error).__name__})",
                )
            )
        except aiohttp.ClientConnectorError as error:
            return Err(
                failure(
                    FailureKind.NO_ENDPOINT,
                    f"{address} is unreachable ({error.strerror})",
                )
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(
                failure(
                    FailureKind.NO_ENDPOINT,
                    f"{address} did not reply ({type(error).__name__})",
                    Outcome.UNKNOWN,
                )
            )

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()


async def read_reply(
    response: aiohttp.ClientResponse, holding: Holding
) -> bytes:
    """Returns the body of a reply, which is held.

    Raises:
        ReplyTooLargeError: There is no room for it; its connection is closed.
        aiohttp.ClientError: It is not complete.
    """
    length = response.content_length or 0
    body = bytearray()
    try:
        _hold_reply(holding, length)
        while chunk := await response.content.readany():
            body += chunk
            _hold_reply(holding, max(length, len(body)))
    except ReplyTooLargeError:
        response.close()
        raise
    return bytes(body)


def _hold_reply(holding: Holding, size: int) -> None:
    kind = HeldKind.REPLY
    if size <= SMALL_REPLY_BYTES:
        holding.force(kind, size - holding.sizes[kind])
    elif not holding.resize(kind, size):
        raise ReplyTooLargeError("there is no room for the reply")


def decode_reply(
    status: int, data: bytes, reply: type[T]
) -> Result[T, Failure]:
    """Decodes a reply or the failure sent instead."""
    try:
        if status != web.HTTPOk.status_code:
            return Err(decode_json(data, FailureBody).error)
        return Ok(decode_message(data, reply))
    except msgspec.DecodeError as error:
        return Err(
            failure(
                FailureKind.INTERNAL,
                f"invalid reply: {shorten(str(error))}; "
                "compare the releases in use",
                Outcome.UNKNOWN,
            )
        )


def is_loopback(address: str) -> bool:
    """Returns whether an IP:PORT is a loopback address."""
    host = address.rpartition(":")[0].strip("[]")
    return ipaddress.ip_address(host).is_loopback
