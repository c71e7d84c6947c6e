"""Record of what callers, endpoints and the operator observed in a run.

All times are in seconds of the monotonic clock.
"""

import re
from enum import Enum

import msgspec


class RouteKind(Enum):
    """Kinds of routes; each value is the name of the route."""

    PLAIN = "plain"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumed"
    KEYED = "keyed"


REPEATABLE_KINDS = (
    RouteKind.PLAIN,
    RouteKind.KEYED,
    RouteKind.RESUMABLE_STREAM,
)
STREAM_KINDS = (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)


class Call(msgspec.Struct, kw_only=True):
    """A request of a caller and its response.

    Attributes:
        status: HTTP status; 0 if no response began.
        is_complete: Whether the response ended without an error.
        body: The part of the body that was received.
        error: The error that ended the call; empty if there was none.
        resumes: The id of the call that began the stream; "" if this one does.
        after_event: The last event of the stream that the caller has.
        left: Whether the caller closed the connection before the end.
        version: The configuration that added the route; 0 for a route of all
            versions.
    """

    id: str
    kind: RouteKind
    gateway: int
    sent_at: float
    deadline_seconds: float
    key: str = ""
    status: int = 0
    is_complete: bool = False
    body: str = ""
    ended_at: float = 0.0
    retry_after: str = ""
    error: str = ""
    reused: bool = False
    resumes: str = ""
    after_event: int = 0
    left: bool = False
    version: int = 0

    @property
    def stream_id(self) -> str:
        """The id of the call that began the stream."""
        return self.resumes or self.id

    @property
    def expected_body(self) -> str:
        """The complete response body, without software versions."""
        return expected_body(self.stream_id, self.kind, self.after_event)


class ConnectionOutcome(Enum):
    """How a connection has ended, as its client saw it."""

    OPEN = "open"
    FIN = "fin"
    """The process had read all that was sent to it."""
    RST = "rst"
    """Something that was sent was not read."""


class Exchange(msgspec.Struct, kw_only=True):
    """A request on a connection that leads to a process without a relay.

    Attributes:
        target: The kind of the process, "gateway" or "control".
        number: The number of the process.
        connection: The number of the connection.
        carried: The requests that the connection carried before.
        began_at: When the client began to send the request.
        sent_at: When all of the request was sent; 0.0 if it was not.
        has_response: Whether any byte of a response came.
        status: The status of the response; 0 if none came whole.
        outcome: The end of the connection, if it ended before the response.
        ended_at: When the connection ended, or the client had the response or
            gave up.
        deadline_seconds: The time that the request allows for the response; 0.0
            if it states none.
    """

    id: str
    target: str
    number: int
    connection: int
    carried: int
    began_at: float = 0.0
    sent_at: float = 0.0
    has_response: bool = False
    status: int = 0
    outcome: ConnectionOutcome = ConnectionOutcome.OPEN
    ended_at: float = 0.0
    deadline_seconds: float = 0.0


class Attempt(msgspec.Struct, kw_only=True):
    """An attempt of a request at an endpoint.

    Attributes:
        id: The id of the request.
        stream_id: The id of the request that began the stream.
        key_sent: Whether the endpoint got the caller's API key.
        after_event: The last event the gateway had; 0 for a new stream.
        pause_seconds: The pause that the endpoint asked for when it turned the
            request away; 0.0 if it took it.
        said_leaving: Whether the response said that the endpoint is leaving.
        crashing: The body or the prompt part of a request that crashes the
            endpoint, or "".
        broke_off: Whether the endpoint broke its response off.
        whole_at: When it had sent all of its response; 0.0 if it has not.
    """

    id: str
    endpoint: str
    started_at: float
    stream_id: str = ""
    key_sent: bool = False
    after_event: int = 0
    pause_seconds: float = 0.0
    said_leaving: bool = False
    crashing: str = ""
    broke_off: bool = False
    whole_at: float = 0.0

    @property
    def was_taken(self) -> bool:
        """Whether the endpoint did not turn the request away."""
        return not self.pause_seconds


class EndpointCrash(msgspec.Struct, kw_only=True):
    """An endpoint that has ended under a request.

    Attributes:
        body: The body of the request, or its prompt part, that did it.
    """

    body: str
    at: float


class ConfigChange(msgspec.Struct, kw_only=True):
    """A configuration change that was acknowledged."""

    version: int
    sent_at: float
    acknowledged_at: float
    revoked_keys: list[str] = []


class ConfigRead(msgspec.Struct, kw_only=True):
    """A version of the configuration that a control host returned."""

    host: int
    version: int
    sent_at: float


class Departure(msgspec.Struct, kw_only=True):
    """An endpoint whose draining was acknowledged."""

    endpoint: str
    acknowledged_at: float


class FaultSpan(msgspec.Struct, kw_only=True):
    """The time during which a fault was present."""

    target: str
    kind: str
    number: int
    started_at: float
    ended_at: float = float("inf")


class Stall(msgspec.Struct, kw_only=True):
    """A time in which the soak process itself did not run its event loop."""

    started_at: float
    ended_at: float


class Shutdown(msgspec.Struct, kw_only=True):
    """A process that got SIGTERM, and how it exited.

    Attributes:
        had_started: Whether it had logged its start, from when on it handles
            the signal.
    """

    target: str
    number: int
    signalled_at: float
    ended_at: float
    exit_code: int
    had_started: bool = True


class OwnEnd(msgspec.Struct, kw_only=True):
    """A process that has ended though nothing was done to end it.

    Attributes:
        had_started: Whether it had logged its start.
    """

    target: str
    number: int
    exit_code: int
    at: float
    had_started: bool = True


class MemoryExcess(msgspec.Struct, kw_only=True):
    """A process that was killed because it used more memory than it has.

    Attributes:
        used: Its resident memory in bytes.
    """

    target: str
    number: int
    used: int
    at: float


class Record(msgspec.Struct):
    """Everything observed in a run.

    Attributes:
        unacknowledged: Versions that were sent but never acknowledged.
        faults_ended_at: When the last fault of the plan was over.
        ended_at: The end of the run.
        final_version: The version in force at the end; 0 if not readable.
        is_unreplaced: Whether a lost disk was not replaced in time.
        peak_memory: The most resident memory of any process, in bytes.
    """

    calls: list[Call] = []
    exchanges: list[Exchange] = []
    attempts: list[Attempt] = []
    config_changes: list[ConfigChange] = []
    unacknowledged: list[int] = []
    config_reads: list[ConfigRead] = []
    departures: list[Departure] = []
    crashes: list[EndpointCrash] = []
    fault_spans: list[FaultSpan] = []
    stalls: list[Stall] = []
    shutdowns: list[Shutdown] = []
    own_ends: list[OwnEnd] = []
    memory_excesses: list[MemoryExcess] = []
    faults_ended_at: float = 0.0
    ended_at: float = 0.0
    final_version: int = 0
    is_unreplaced: bool = False
    peak_memory: int = 0


CRASHING_PREFIX = "crash"
"""The bodies of requests that crash endpoints begin so."""
CRASHING_PART = "dead"
"""The prompt parts that crash endpoints begin so."""
SHARED_PART = "aa01"
"""A prompt part that all requests have."""
MAX_EVENTS = 12


def added_hostname(version: int) -> str:
    """Returns the hostname of the route that a version adds."""
    return f"v{version}.example"


def event_count(call_id: str) -> int:
    """Returns the number of events in the stream of a request."""
    return 2 + sum(call_id.encode()) % (MAX_EVENTS - 1)


def event_text(call_id: str, number: int, version: str = "") -> str:
    """Returns one event of a request's stream, numbered from 1.

    Args:
        call_id: The id of the call that began the stream.
        number: The number of the event.
        version: The software version of the endpoint; "" to leave it out.
    """
    told = f"event: {version}\n" if version else ""
    return f"id: {number}\n{told}data: {call_id} {number}\n\n"


_VERSION_LINE = re.compile(r"^event: (.*)\n", re.MULTILINE)


def without_versions(body: str) -> str:
    """Returns a stream without the software versions of its events."""
    return _VERSION_LINE.sub("", body)


def versions_of(body: str) -> set[str]:
    """Returns the software versions of a stream's events."""
    return set(_VERSION_LINE.findall(body))


def last_event(body: str) -> int:
    """Returns the number of the last complete event; 0 for none."""
    complete, _, _ = body.rpartition("\n\n")
    numbers = re.findall(r"^id: (\d+)$", complete, re.MULTILINE)
    return int(numbers[-1]) if numbers else 0


def expected_body(call_id: str, kind: RouteKind, after_event: int = 0) -> str:
    """Returns the complete response body of a request.

    Args:
        call_id: The id of the call that began the stream.
        kind: The kind of its route.
        after_event: The last event that the caller has.
    """
    if kind not in STREAM_KINDS:
        return f"answer of {call_id} " + "x" * (sum(call_id.encode()) % 3000)
    return "".join(
        event_text(call_id, number)
        for number in range(after_event + 1, event_count(call_id) + 1)
    )
