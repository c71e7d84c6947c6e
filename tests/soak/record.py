"""What callers, endpoints and the operator saw during a run."""

from enum import Enum

import msgspec


class Kind(Enum):
    """The routes that are called."""

    PLAIN = "plain"
    ONCE = "once"
    STREAM = "stream"
    RESUMED = "resumed"
    KEYED = "keyed"


MAY_REPEAT = (Kind.PLAIN, Kind.KEYED, Kind.RESUMED)
STREAMS = (Kind.STREAM, Kind.RESUMED)


class Call(msgspec.Struct, kw_only=True):
    """One attempt of a caller; times are seconds of one clock.

    Attributes:
        status: 0 if no head of an answer came.
        is_whole: The answer ended as complete.
        body: What came of it.
        error: What ended it instead.
    """

    id: str
    kind: Kind
    gateway: int
    sent_at: float
    patience: float
    key: str = ""
    status: int = 0
    is_whole: bool = False
    body: str = ""
    ended_at: float = 0.0
    retry_after: str = ""
    error: str = ""
    reused: bool = False


class Run(msgspec.Struct, kw_only=True):
    """One run of a request at an endpoint."""

    id: str
    endpoint: str
    at: float
    key_sent: bool = False
    after_event: int = 0


class Order(msgspec.Struct, kw_only=True):
    """A configuration that was acknowledged."""

    version: int
    sent_at: float
    acked_at: float
    lost_keys: list[str] = []


class Read(msgspec.Struct, kw_only=True):
    """A configuration that a control host gave."""

    host: int
    version: int
    sent_at: float


class Leave(msgspec.Struct, kw_only=True):
    """An endpoint whose leaving was acknowledged."""

    endpoint: str
    acked_at: float


class Span(msgspec.Struct, kw_only=True):
    """A fault as it was carried out."""

    target: str
    kind: str
    number: int
    since: float
    until: float = float("inf")


class Stop(msgspec.Struct, kw_only=True):
    """A process that was told to stop."""

    target: str
    number: int
    at: float
    ended_at: float
    code: int


class Record(msgspec.Struct):
    """All that was seen.

    Attributes:
        healed_at: From then on nothing was disturbed.
        ended_at: The end of the run.
    """

    calls: list[Call] = []
    runs: list[Run] = []
    orders: list[Order] = []
    unclear: list[int] = []
    reads: list[Read] = []
    leaves: list[Leave] = []
    spans: list[Span] = []
    stops: list[Stop] = []
    healed_at: float = 0.0
    ended_at: float = 0.0
    final_version: int = 0


EVENTS_MOST = 12


def events_of(call_id: str) -> int:
    """Returns how many events the stream of a request has."""
    return 2 + sum(call_id.encode()) % (EVENTS_MOST - 1)


def event(call_id: str, number: int) -> str:
    """Returns one event of a request's stream, numbered from 1."""
    return f"id: {number}\ndata: {call_id} {number}\n\n"


def whole_body(call_id: str, kind: Kind) -> str:
    """Returns the one right answer of a request."""
    if kind not in STREAMS:
        return f"answer of {call_id} " + "x" * (sum(call_id.encode()) % 3000)
    return "".join(
        event(call_id, number) for number in range(1, events_of(call_id) + 1)
    )
