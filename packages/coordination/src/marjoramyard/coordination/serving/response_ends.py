"""Decides whether the response of an endpoint is complete."""

from enum import Enum


class Termination(Enum):
    """What ended the body of a response."""

    FRAMING = "framing"
    """Its length was reached, or its last chunk arrived."""
    CLOSE = "close"
    """It has neither, and the endpoint closed the connection."""
    FAILURE = "failure"
    """The connection failed, or was closed before the framing's end."""


class BodyContent(Enum):
    """Where in its content a body ended."""

    OPAQUE = "opaque"
    """Not a stream; its content says nothing of its end."""
    NO_EVENT = "no-event"
    """A stream without any complete event."""
    INSIDE_EVENT = "inside-event"
    BETWEEN_EVENTS = "between-events"
    FINISHED = "finished"
    """A stream whose last event says that none follows."""


class ResponseEnd(Enum):
    """How a response ended."""

    COMPLETE = "complete"
    BROKEN_OFF = "broken-off"
    UNKNOWN = "unknown"
    """An endpoint that dies may close the connection in the same way."""


def response_end(
    termination: Termination, content: BodyContent, ends_with_mark: bool = False
) -> ResponseEnd:
    """Returns how a response ended.

    Args:
        termination: What ended its body.
        content: Where in its content the body ended.
        ends_with_mark: Whether a stream is complete only with a last event
            that says so.
    """
    if content is BodyContent.FINISHED:
        return ResponseEnd.COMPLETE
    if termination is Termination.FAILURE:
        return ResponseEnd.BROKEN_OFF
    if content is BodyContent.INSIDE_EVENT:
        return ResponseEnd.BROKEN_OFF
    if ends_with_mark and content is not BodyContent.OPAQUE:
        return ResponseEnd.BROKEN_OFF
    if termination is Termination.FRAMING:
        return ResponseEnd.COMPLETE
    if content is BodyContent.NO_EVENT:
        return ResponseEnd.BROKEN_OFF
    return ResponseEnd.UNKNOWN
