"""How the response of an endpoint ended."""

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
