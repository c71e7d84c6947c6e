"""Forwards requests beyond a gateway's limit to other gateways.

The bytes of the request and of the response are copied without parsing them, so
that a gateway can forward several times as many requests as it can serve. The
other gateway authenticates, places and answers the request as one of its own.
It never forwards a request again.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

import msgspec

from marjoramyard.fleet.gateway.early_refusal import RequestHead
from marjoramyard.fleet.gateway.forwarded_response import ForwardedResponse
from marjoramyard.fleet.gateway.peer_connections import PeerConnections
from marjoramyard.fleet.gateway.peer_naming import usable_cores
from marjoramyard.fleet.half_closed import CONTINUE, LEADING_ZERO
from marjoramyard.fleet.input_limits import DISCARD_SECONDS
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.addresses import parse_callable_address

logger = get_logger(__name__)

CONNECT_TICK_SECONDS = 0.05
CONNECT_TICKS = 5
"""Connect timeout, in ticks. After it the request has not run and is
refused."""
DEADLINE_MARGIN_SECONDS = 0.25
"""How long after its deadline a forwarded request is given up. The other
gateway responds at the deadline if it is able to."""
AVOID_SECONDS = 1.0
"""How long a gateway that could not be reached gets no requests."""

NO_CORES: Mapping[str, float] = MappingProxyType({})

MAX_UNSENT_BYTES = 1 << 16
"""What is read of a request until the connection to its peer is established."""

_CONNECTION = b"\r\nconnection:"
_PLAIN_OPTIONS = (b"", b"keep-alive", b"close")


class ForwardingFailures(msgspec.Struct, frozen=True):
    """The complete responses to requests without a response from the peer.

    Attributes:
        not_sent: The connection could not be established; it has not run.
        lost: The connection was lost; the request may have run.
        timed_out: The deadline has passed; the request may have run.
        leaving: This gateway stops; the request has not been sent whole.
    """

    not_sent: bytes
    lost: bytes
    timed_out: bytes
    leaving: bytes


class ForwardingPlan(msgspec.Struct, frozen=True):
    """Where a request is forwarded to.

    Attributes:
        peer: The address of the other gateway.
        attempt: The caller's ID of the attempt, for logs.
        seconds_left: Seconds until the request's deadline.
        failures: The responses if the peer sends none.
        workspace: The workspace of the caller.
        request_size: The bytes of the complete request as it is sent; -1 if
            the connection is not used again.
    """

    peer: str
    attempt: str
    seconds_left: float
    failures: ForwardingFailures
    workspace: str = ""
    request_size: int = -1


class PeerSelector:
    """Chooses the gateway for each forwarded request.

    Attributes:
        active: Requests that are being forwarded, by peer.
        avoided_until: When peers that could not be reached are used again, on
            the event loop clock in seconds.
    """

    def __init__(self):
        self.active: Counter[str] = Counter()
        self.avoided_until: dict[str, float] = {}

    def choose(
        self,
        peers: Iterable[str],
        now: float,
        cores: Mapping[str, float] = NO_CORES,
    ) -> str:
        """Returns the peer with the fewest requests for its processor.

        Args:
            peers: The peers that have room.
            now: The time on the event loop clock in seconds.
            cores: The processor cores of peers; 1.0 for others.

        Returns:
            The peer; "" if there is none.
        """
        usable = [p for p in peers if self.avoided_until.get(p, 0.0) <= now]

        def load(peer: str) -> float:
            return (self.active[peer] + 1) / usable_cores(cores.get(peer, 1.0))

        return min(usable, key=load, default="")

    def avoid(self, peer: str, now: float) -> None:
        """Stops using a peer for a while."""
        self.avoided_until[peer] = now + AVOID_SECONDS

    def on_started(self, peer: str) -> None:
        """Counts a forwarded request."""
        self.active[peer] += 1

    def on_ended(self, peer: str) -> None:
        """Discounts a forwarded request."""
        self.active[peer] -= 1
        if not self.active[peer]:
            del self.active[peer]


def can_forward(head: RequestHead) -> bool:
    """Whether a request can be forwarded without parsing it further.

    A request whose `Connection` header names other headers can't, and neither
    can one of HTTP/1.0, whose response may end with the peer's connection.
    """
    if not head.lowered.partition(b"\r\n")[0].endswith(b" http/1.1"):
        return False
    if head.lowered.count(_CONNECTION) > 1:
        return False
    value = head.header(b"connection").lower().encode("latin-1")
    return value in _PLAIN_OPTIONS


def can_keep_connection(head: RequestHead) -> bool:
    """Whether the end of the response can be told from the response alone."""
    return head.raw.startswith(b"POST ")


def closing_request(head: RequestHead, data: bytes) -> bytes:
    """Returns the bytes of a request with `Connection: close`.

    The peer closes the connection after the response, so the response ends
    with it and need not be parsed.

    Args:
        head: The head of the request.
        data: The bytes received so far: the head and a part of the body.
    """
    raw = _without_connection(head)
    return raw + b"\r\nConnection: close" + data[len(head.raw) :]


def keeping_request(head: RequestHead, data: bytes) -> bytes:
    """Returns the bytes of a request after which the connection is kept.

    Args:
        head: The head of the request.
        data: The bytes received so far: the head and a part of the body.
    """
    return _without_connection(head) + data[len(head.raw) :]


def _without_connection(head: RequestHead) -> bytes:
    """Returns the head without its `Connection` header."""
    start = head.lowered.find(_CONNECTION)
    if start < 0:
        return head.raw
    end = head.raw.find(b"\r\n", start + 2)
    return head.raw[:start] + (head.raw[end:] if end >= 0 else b"")


class ForwardedRequest(asyncio.Protocol):
    """The connection to a peer for one request.

    Attributes:
        plan: Where the request is forwarded to.
        caller: The connection of the caller.
        on_end: Called once when the request has ended.
        connections: The connections that are kept; None to keep none.
        sent_size: Bytes of the request so far.
        is_paused: Whether reading of the response is paused.
        is_kept: Whether the connection waits for another request.
        unsent: Bytes of the request until the connection is established.
        peer: The connection to the peer; None before it is established.
        response: What has been received of the response.
        has_responded: Whether part of it was sent to the caller.
        has_ended: Whether the request has ended.
        is_answered: Whether the caller has got a whole response.
        is_half_closed: Whether the caller has closed its sending side.
        missing_size: Bytes of the request that the caller has not sent yet.
        closing_timer: Closes the caller's connection after a response that
            came before the whole request.
    """

    def __init__(
        self,
        plan: ForwardingPlan,
        caller: asyncio.Transport,
        on_end: Callable[["ForwardedRequest", str], None],
        connections: PeerConnections | None = None,
    ):
        self.plan = plan
        self.caller = caller
        self.on_end = on_end
        self.unsent = bytearray()
        self.peer: asyncio.Transport | None = None
        self.connections = connections
        self.sent_size = 0
        self.is_paused = False
        self.is_kept = False
        self.has_responded = False
        self.response = ForwardedResponse(connections is not None)
        self.has_ended = False
        self.is_answered = False
        self.is_half_closed = False
        self.missing_size = 0
        self.closing_timer: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        self.connecting: asyncio.Task | None = None
        kept = connections.take(plan.peer) if connections else None
        if kept is None:
            self.connecting = loop.create_task(self._connect())
        else:
            kept.set_protocol(self)
            self.peer = kept
        self.timer = loop.call_later(
            plan.seconds_left + DEADLINE_MARGIN_SECONDS, self._time_out
        )

    @property
    def is_sent(self) -> bool:
        """Whether part of the request may have reached the peer."""
        return self.peer is not None

    def send(self, data: bytes) -> None:
        """Sends bytes of the request."""
        self.sent_size += len(data)
        if self.peer is None:
            self.unsent += data
            if len(self.unsent) > MAX_UNSENT_BYTES:
                self.pause_writing()
        elif not self.peer.is_closing():
            self.peer.write(data)

    def pause_reading(self) -> None:
        """Stops reading the response while the caller is slow."""
        self.is_paused = True
        if self.peer is not None and not self.peer.is_closing():
            self.peer.pause_reading()

    def resume_reading(self) -> None:
        """Continues to read the response."""
        self.is_paused = False
        if self.peer is not None and not self.peer.is_closing():
            self.peer.resume_reading()

    def pause_writing(self) -> None:
        """Stops reading the request while the peer is slow."""
        if not self.has_ended and not self.caller.is_closing():
            self.caller.pause_reading()

    def resume_writing(self) -> None:
        """Continues to read the request."""
        if not self.has_ended and not self.caller.is_closing():
            self.caller.resume_reading()

    def next_probe(self) -> bytes:
        """Returns bytes for the caller that don't change the response.

        Only a response whose end is known has a place for them once it has
        begun.
        """
        self.is_half_closed = True
        if not self.has_responded:
            return CONTINUE
        chunks = self.response.chunks
        if self.connections is None or chunks is None:
            return b""
        has_chunks = self.response.length < 0 and chunks.is_between_chunks
        return LEADING_ZERO if has_chunks else b""

    def cancel(self) -> None:
        """Ends the request because its caller has left."""
        is_complete = self.response.is_complete
        self._end("forwarded" if is_complete else "caller-left", b"")

    @property
    def deadline_at(self) -> float:
        """The deadline of the request, on the event loop clock in seconds."""
        return self.started_at + self.plan.seconds_left

    @property
    def is_partial(self) -> bool:
        """Whether a part of the request has not been received yet."""
        return self.sent_size < self.plan.request_size

    def refuse(self) -> None:
        """Ends a request that was sent in part, as this gateway stops."""
        response = b"" if self.has_responded else self.plan.failures.leaving
        self._end("refused", response)

    def stop(self) -> None:
        """Ends the request because this gateway stops."""
        not_sent = self.plan.failures.not_sent
        response = self.plan.failures.lost if self.is_sent else not_sent
        self._end("stopped", b"" if self.has_responded else response)

    async def _connect(self) -> None:
        """Connects to the peer.

        The timeout is counted in wake-ups, as the event loop of a gateway that
        forwards requests is often late.
        """
        try:
            host, port = parse_callable_address(self.plan.peer)
        except ValueError as error:
            self._end_unsent(repr(error))
            return
        connecting = asyncio.ensure_future(
            asyncio.get_running_loop().create_connection(
                lambda: self, host, port
            )
        )
        try:
            for _ in range(CONNECT_TICKS):
                await asyncio.wait({connecting}, timeout=CONNECT_TICK_SECONDS)
                if connecting.done() or self.is_sent:
                    await connecting
                    return
            self._end_unsent("timeout")
        except OSError as error:
            self._end_unsent(repr(error))
        finally:
            connecting.cancel()

    def _end_unsent(self, why: str) -> None:
        logger.info("peer_unreachable", peer=self.plan.peer, why=why)
        self._end("not-sent", self.plan.failures.not_sent)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection to the peer is established."""
        if self.has_ended:
            transport.abort()
            return
        self.peer = transport
        self.resume_writing()
        transport.write(bytes(self.unsent))
        self.unsent.clear()

    def data_received(self, data: bytes) -> None:
        """Called when bytes of the response are received."""
        if self.has_ended or self.caller.is_closing():
            return
        passed = self.response.feed(data)
        if passed:
            self.has_responded = True
            self.caller.write(passed)
        if self.connections is None:
            return
        if self.response.is_malformed:
            self._end("malformed", b"")
        elif self.response.is_complete:
            self._keep_connection()
            self._end("forwarded", b"")

    def _keep_connection(self) -> None:
        """Keeps the connection if nothing is left of request and response."""
        is_sent = (
            self.sent_size == self.plan.request_size
            and not self.peer.get_write_buffer_size()
        )
        if is_sent and self.response.is_reusable and not self.is_paused:
            self.connections.keep(self.plan.peer, self.peer)
            self.is_kept = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Called when the peer has closed the connection."""
        outcome = "forwarded" if self.response.is_complete else "peer-lost"
        lost = self.plan.failures.lost
        self._end(outcome, b"" if self.has_responded else lost)

    def _time_out(self) -> None:
        not_sent = self.plan.failures.not_sent
        late = self.plan.failures.timed_out if self.is_sent else not_sent
        self._end("deadline", b"" if self.has_responded else late)

    def _end(self, outcome: str, response: bytes) -> None:
        """Ends the request; sends a response if the peer has sent none."""
        if self.has_ended:
            return
        self.has_ended = True
        self.timer.cancel()
        if not self.is_sent:
            self.connecting.cancel()
        elif not self.is_kept and not self.peer.is_closing():
            # Not closed gracefully: the peer stops running the request.
            self.peer.abort()
        if not self.caller.is_closing():
            self.is_answered = bool(response) or self.response.is_complete
            if response:
                self.caller.write(response)
            self._close_caller()
        self.on_end(self, outcome)

    def _close_caller(self) -> None:
        """Closes the caller's connection once its request has arrived.

        The rest of the request is discarded before: unread, it would reset the
        connection, and the caller might lose its response.
        """
        if not self.missing_size:
            self.caller.close()
            return
        self.caller.resume_reading()
        self.closing_timer = asyncio.get_running_loop().call_later(
            DISCARD_SECONDS, self.caller.close
        )
