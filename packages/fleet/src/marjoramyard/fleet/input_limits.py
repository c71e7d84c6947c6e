"""Limits on what a connection sends that no handler reads."""

from enum import Enum

from marjoramyard.fleet.util.raw_responses import mark_closing, response_bytes
from marjoramyard.fleet.util.request_body import no_room_failure
from marjoramyard.fleet.util.rpc import MAX_HEAD_BYTES, failure_response
from marjoramyard.kernel.errors import Failure, FailureKind, failure

READ_BYTES = 1 << 15
"""What is read of a connection in a turn of the event loop. What it takes to
parse, such as many small chunks, delays all other connections."""
RECEIVE_BUFFER_BYTES = 1 << 17
"""What the kernel keeps of a connection that isn't read; twice as much at most.
Without a limit it grows to several megabytes."""
MAX_QUEUED_BYTES = 1 << 15
"""What may have arrived of the requests behind the current one. More is left
to the kernel."""
MAX_FRAMING_BYTES = 1 << 16
"""What a body may have, beyond its own size, in sizes and extensions of chunks
and in trailers."""
MAX_DISCARDED_BYTES = 1 << 24
"""What is read after a refusal, for clients that read only after sending."""
DISCARD_SECONDS = 2.0
"""How long the rest of a request without a handler is discarded."""


class InputExcess(Enum):
    """Why the input of a connection is no longer read."""

    HEAD = "head"
    """The head of a request is too large."""
    NO_ROOM = "no-room"
    """There is no room for a part of a head."""
    FRAMING = "framing"
    """A body has more framing than content."""
    MALFORMED = "malformed"
    """It is no request."""
    DISCARDED = "discarded"
    """Too much follows a request that was refused."""


def excess_failure(excess: InputExcess) -> Failure:
    """Returns the failure for a request whose rest isn't read."""
    if excess is InputExcess.NO_ROOM:
        return no_room_failure()
    if excess is InputExcess.HEAD:
        return failure(
            FailureKind.HEAD_TOO_LARGE,
            f"the head of the request is over {MAX_HEAD_BYTES} bytes; send "
            "fewer or shorter headers",
        )
    if excess is InputExcess.MALFORMED:
        return failure(
            FailureKind.BAD_REQUEST, "the body is malformed; correct it"
        )
    return failure(
        FailureKind.BAD_REQUEST,
        "the body has more chunk sizes, extensions and trailers than content; "
        "send larger chunks",
    )


def excess_response(excess: InputExcess) -> bytes:
    """Returns the response to such a request, which has no handler."""
    response = failure_response(excess_failure(excess))
    return response_bytes(mark_closing(response))
