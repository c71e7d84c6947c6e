"""Reads the bodies of requests within the account of held bytes."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from marjoramyard.fleet.util.held_bytes import HeldBytes, HeldKind, Holding
from marjoramyard.fleet.util.jitter import jitter
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    failure,
)

HOLDING = web.RequestKey("holding", Holding)
"""What is held for a request; set by its listener."""
SMALL_BODY_BYTES = 1 << 16
"""Bodies up to this need no announcement."""
BODY_SECONDS = 30.0
"""How long a body may take to arrive where no deadline ends it sooner."""
RETRY_SECONDS = 0.5
"""`Retry-After` when there is no room. Most bodies are held for less."""


def no_room_failure() -> Failure:
    """Returns the failure for a request for which there is no room."""
    return failure(
        FailureKind.BUSY,
        "this process holds too many bytes of requests; use another one or "
        "send the request again",
        retry_after=jitter(RETRY_SECONDS),
    )


async def read_body(
    request: web.Request, max_bytes: int | None = None
) -> bytes:
    """Returns the body of a request, which is held until its response is sent.

    The room for a body of known length is taken at once, where there may ever
    be so much: requests that are read in parts could otherwise fill the account
    with none of them complete.

    Args:
        request: The request.
        max_bytes: The largest body; None for that of the listener.

    Raises:
        FleetError: The body is too large, there is no room for it now, or it
            does not arrive in time.
        web.RequestPayloadError: The body is malformed.
    """
    holding = request.get(HOLDING)
    if holding is None:
        # No listener of an application received it.
        return await request.read()
    if max_bytes is None:
        max_bytes = request.client_max_size
    account = holding.account
    length = request.content_length or 0
    _check_size(account, length, max_bytes)
    if not account.can_ever_announce(length):
        length = 0
    is_small = length <= SMALL_BODY_BYTES
    if not is_small and not account.may_announce(length, holding.owner):
        raise FleetError(no_room_failure())
    _hold(holding, length)
    announced = 0 if is_small else length
    try:
        with account.announcing(announced, holding.owner) as on_arrived:
            async with asyncio.timeout(BODY_SECONDS) as limit:
                return await _read(request, length, max_bytes, on_arrived)
    except TimeoutError:
        if not limit.expired():
            raise
        raise FleetError(
            failure(
                FailureKind.REQUEST_TIMEOUT,
                "the body did not arrive in time; send it again",
            )
        ) from None


async def _read(
    request: web.Request,
    length: int,
    max_bytes: int,
    on_arrived: Callable[[int], None],
) -> bytes:
    """Reads a body.

    Args:
        request: The request.
        length: The bytes of it that are held already.
        max_bytes: The largest body.
        on_arrived: Called with the size of each part.
    """
    holding = request[HOLDING]
    _note_reading(request)
    # Joined once: a growing buffer would leave memory in pieces.
    chunks: list[bytes] = []
    size = 0
    while chunk := await request.content.readany():
        chunks.append(chunk)
        on_arrived(len(chunk))
        size += len(chunk)
        if size > length:
            _check_size(holding.account, size, max_bytes)
            _hold(holding, size)
    return b"".join(chunks)


def _note_reading(request: web.Request) -> None:
    """Releases what has arrived: it is in the size of the whole body."""
    connection = getattr(request.protocol, "connection", None)
    if connection is not None:
        connection.count_unread(is_awaited=True)


def _hold(holding: Holding, size: int) -> None:
    if not holding.resize(HeldKind.REQUEST, size):
        raise FleetError(no_room_failure())


def _check_size(account: HeldBytes, size: int, max_bytes: int) -> None:
    if size > max_bytes or not account.can_ever_hold(size):
        raise FleetError(
            failure(
                FailureKind.TOO_LARGE,
                f"the body is over {max_bytes} bytes or the memory of this "
                "process; send less",
            )
        )
