"""One attempt at the endpoint: sent, metered, buffered for a resume."""

import asyncio
import hashlib
import time
from collections.abc import Callable
from enum import Enum

import aiohttp

from marjoramyard.coordination.fairness.scheduler import FairScheduler
from marjoramyard.coordination.serving.events import EventSplitter
from marjoramyard.coordination.serving.frames import ReplayBuffer
from marjoramyard.coordination.serving.response_ends import ResponseEnd
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.meters import METERS
from marjoramyard.fleet.messages import RunRequest
from marjoramyard.fleet.util.deadlines import timeout_after_input
from marjoramyard.fleet.util.headers import (
    end_to_end,
    is_stream,
    is_writable,
)
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.fleet.util.response_body import (
    BrokenOffError,
    ResponseBody,
    is_final,
)
from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure
from marjoramyard.kernel.ids import Fingerprint, WorkspaceId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

ORPHAN_TIMEOUT_SECONDS = 5.0
"""How long an attempt may run without a connection from its entry."""
MAX_ENGINE_RESUMES = 3
"""Consecutive resumes without an event in between."""
HTTP_OK = 200
_CONNECT_TIMEOUT_SECONDS = 2.0


MAX_STORED_BYTES = 64 << 10
"""Longer responses of calls are not stored."""
MAX_FRAME_BYTES = 64 << 10
"""The largest frame of a response other than a stream."""
MAX_EVENT_BYTES = 4 << 20
"""The largest event of a stream."""


class AttemptState(Enum):
    """The progress of an attempt."""

    ADMITTED = "admitted"
    SENT = "sent"
    ENDED = "ended"


class EventTooLargeError(Exception):
    """There is no room for an event of a stream."""


class CallResponse:
    """The body of a call's response as it will be stored.

    Attributes:
        body: The body; None if it is too long to be stored.
        digest: The digest of the whole body.
    """

    def __init__(self):
        self.body: bytes | None = b""
        self.digest = hashlib.sha256()

    def add(self, chunk: bytes) -> None:
        """Adds the next part of the body."""
        self.digest.update(chunk)
        if self.body is None or len(self.body) + len(chunk) > MAX_STORED_BYTES:
            self.body = None
        else:
            self.body += chunk


def endpoint_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns the headers for the endpoint.

    Compression is disabled explicitly, as the client library would request
    it by default, and a compressed response can't be metered.
    """
    return [*end_to_end(headers), ("Accept-Encoding", "identity")]


def broken_off(error: BrokenOffError) -> Failure:
    """Returns the failure of a response that broke off."""
    if error.is_connection_lost:
        return _endpoint_lost(error)
    return failure(
        FailureKind.RESPONSE_TRUNCATED,
        "the endpoint ended the stream without its last event",
        Outcome.UNKNOWN,
    )


def _endpoint_lost(error: Exception) -> Failure:
    """Returns the failure of a request without a whole response.

    The text of the error is for the log only: it may hold an endpoint's bytes.
    """
    logger.info("endpoint_lost", why=repr(error))
    return failure(
        FailureKind.ENDPOINT_LOST,
        "the connection to the endpoint was lost before its response was "
        "complete",
        Outcome.UNKNOWN,
    )


class Attempt:
    """Runs one request on the endpoint and buffers the response's frames.

    Attributes:
        holding: What is held of its request and its response.
        progress: Set when frames were added.
        space_available: Set when frames were sent to the entry.
        reader: Identifies the connection that reads the frames, if any.
        orphaned_at: When the last connection ended; monotonic time, in
            seconds.
        deadline_at: Monotonic time, in seconds.
        stored_response: The body of a call's response, to be stored.
        resume_path: Where the engine's stream can be resumed, or "".
        resumes: How often the engine's stream was resumed.
        parts: The fingerprints of the shared parts of its prompt.
        held_identity: The fingerprint for which the agent has been granted a
            hold, if the request is a suspect.
        answer_at: When data of its response arrived first; monotonic time, in
            seconds. None if none has.
        sent_to: What the endpoint had announced when the request was sent.
        sent_at: When it was sent to the endpoint; monotonic time, in seconds.
        is_delivered: The last frame was written to an entry.
    """

    def __init__(
        self,
        run: RunRequest,
        body: bytes,
        endpoint: Endpoint,
        scheduler: FairScheduler,
        kind: str,
        holding: Holding,
    ):
        self.holding = holding
        self.run_request = run
        self.body = body
        self.endpoint = endpoint
        self.sent_to = endpoint.announced
        self.scheduler = scheduler
        self.meter = METERS.get(kind)()
        self.replay_buffer = ReplayBuffer()
        self.state = AttemptState.ADMITTED
        self.progress = asyncio.Event()
        self.space_available = asyncio.Event()
        self.reader: object | None = None
        self.orphaned_at = time.monotonic()
        self.deadline_at = time.monotonic() + run.deadline_seconds
        self.cancelled = False
        self.stored_response = CallResponse()
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.last_token_at: float | None = None
        self.upstream: aiohttp.ClientResponse | None = None
        self.events: EventSplitter | None = None
        self.resume_path = ""
        self.resumes = 0
        self.task: asyncio.Task | None = None
        self.parts: list[Fingerprint] = []
        self.held_identity: Fingerprint | None = None
        self.answer_at: float | None = None
        self.sent_at = 0.0
        self.is_delivered = False

    @property
    def workspace(self) -> WorkspaceId:
        """The workspace of the request."""
        return WorkspaceId(self.run_request.workspace)

    # Exchange with the endpoint.

    async def execute(self, session: aiohttp.ClientSession) -> Failure | None:
        """Sends the request and reads the response.

        Returns:
            The failure, or None if the response is complete.
        """
        reserved = self.scheduler.record_start(self.workspace)
        self.meter.begin(self.body)
        self._charge()
        now = asyncio.get_running_loop().time()
        due_at = now + self.run_request.deadline_seconds
        try:
            async with timeout_after_input(due_at):
                return await self._exchange(session)
        except TimeoutError:
            return failure(
                FailureKind.DEADLINE,
                "the deadline passed while the request ran; retry with a "
                "later one",
                Outcome.UNKNOWN,
            )
        except asyncio.CancelledError:
            if not self.cancelled:
                raise
            return failure(
                FailureKind.CANCELLED,
                "the caller disconnected",
                Outcome.UNKNOWN,
            )
        finally:
            self.meter.end()
            self._charge()
            self.scheduler.release(self.workspace, reserved)
            self.scheduler.record_finish(self.workspace, self.meter.total)
            self._release_request()

    def _release_request(self) -> None:
        """Forgets what is not needed to deliver the response."""
        self.body = b""
        self.events = None
        self.holding.resize(HeldKind.REQUEST, 0)
        self.holding.resize(HeldKind.EVENT, 0)

    async def _exchange(self, session: aiohttp.ClientSession) -> Failure | None:
        run = self.run_request
        self.sent_to = self.endpoint.announced
        incarnation = self.sent_to.incarnation
        url = f"http://{self.sent_to.address}{run.path}"
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_SECONDS,
            sock_read=run.stall_seconds,
        )
        self.state = AttemptState.SENT
        self.sent_at = time.monotonic()
        try:
            self.upstream = await session.request(
                run.method,
                url,
                headers=endpoint_headers(run.headers),
                data=self.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
            self.endpoint.on_response(
                incarnation, self.upstream.status, self.upstream.headers
            )
            self._begin_response(self.upstream)
            await self._read_response(session)
            return None
        except aiohttp.ClientConnectorError:
            self.state = AttemptState.ADMITTED
            return failure(
                FailureKind.ENDPOINT_LOST, "connection to the endpoint failed"
            )
        except aiohttp.ServerTimeoutError:
            return failure(
                FailureKind.ENDPOINT_STALLED,
                f"the endpoint sent no data for {run.stall_seconds:g} s",
                Outcome.UNKNOWN,
            )
        except BrokenOffError as error:
            return broken_off(error)
        except EventTooLargeError:
            return failure(
                FailureKind.RESPONSE_TRUNCATED,
                "the endpoint sent an event for which there is no room",
                Outcome.UNKNOWN,
            )
        except (aiohttp.ClientError, OSError) as error:
            return _endpoint_lost(error)
        finally:
            # A connection with unread data must not be reused: the data
            # would be read as the next response.
            self._release_upstream()

    def _begin_response(self, response: aiohttp.ClientResponse) -> None:
        """Adds the head of a response to the replay buffer.

        Raises:
            BrokenOffError: It is not the response to the request.
        """
        if not is_final(response):
            raise BrokenOffError(
                f"no final response, {response.status}", is_connection_lost=True
            )
        self.status = response.status
        self.headers = end_to_end(list(response.headers.items()))
        self.replay_buffer.begin(self.status, self.headers)
        if is_stream(self.headers):
            self.events = EventSplitter()
            self.resume_path = response.headers.get("Content-Location", "")
            self.progress.set()

    def _release_upstream(self) -> None:
        response = self.upstream
        if response is not None and not response.content.at_eof():
            response.close()
        elif response is not None:
            response.release()

    async def _read_response(self, session: aiohttp.ClientSession) -> None:
        """Reads the response; resumes a broken-off stream if possible.

        Raises:
            BrokenOffError: The response is not complete.
            aiohttp.ClientError: The stream can't be resumed.
        """
        tries = 0
        while True:
            before = self.events.last_id if self.events else ""
            try:
                await self._read_body(self.upstream, session)
                return
            except BrokenOffError:
                # Resumes are limited only while no new event arrives.
                progressed = self.events and self.events.last_id != before
                tries = 1 if progressed else tries + 1
                if not self._can_resume() or tries > MAX_ENGINE_RESUMES:
                    raise
                self.upstream.close()
                self.upstream = await self._resume(session)

    async def _read_body(
        self, response: aiohttp.ClientResponse, session: aiohttp.ClientSession
    ) -> None:
        body = ResponseBody(response, self.events, ends_with_mark=True)
        try:
            while chunk := await body.read_any():
                if self.events is None:
                    for start in range(0, len(chunk), MAX_FRAME_BYTES):
                        part = chunk[start : start + MAX_FRAME_BYTES]
                        await self._add_chunk(part)
                elif events := self._feed_events(chunk):
                    await self._add_chunk(events)
            if body.check_end() is ResponseEnd.UNKNOWN:
                await self._check_survival(session)
        finally:
            if body.has_ended:
                logger.info(
                    "endpoint_response",
                    attempt=self.run_request.attempt,
                    status=response.status,
                    ended_by=body.termination.value,
                    end_position=body.content.value,
                )

    def _feed_events(self, data: bytes) -> bytes:
        """Returns the events that are complete now; holds what is left.

        Raises:
            EventTooLargeError: There is no room for it.
        """
        events = self.events.feed(data)
        size = len(self.events.buffer)
        is_large = size > MAX_EVENT_BYTES
        if is_large or not self.holding.resize(HeldKind.EVENT, size):
            self.events.discard_partial()
            self.holding.resize(HeldKind.EVENT, 0)
            raise EventTooLargeError
        return events

    async def _check_survival(self, session: aiohttp.ClientSession) -> None:
        """Checks that the endpoint has not ended together with its response.

        One that leaves may end right after its last response.

        Raises:
            BrokenOffError: It has; the response may have been broken off.
        """
        if self.endpoint.is_leaving or await self.endpoint.is_alive(session):
            return
        raise BrokenOffError(
            "the endpoint ended with its response", is_connection_lost=True
        )

    async def _add_chunk(self, chunk: bytes) -> None:
        if self.answer_at is None:
            self.answer_at = time.monotonic()
        self._observe(chunk)
        self.replay_buffer.add_data(chunk)
        self._hold_frames()
        self.progress.set()
        while self.replay_buffer.is_full:
            self.space_available.clear()
            await self.space_available.wait()

    def _hold_frames(self) -> None:
        """Holds the frames; without room only those that were not sent yet."""
        size = self.replay_buffer.kept_bytes
        if self.holding.resize(HeldKind.RESPONSE, size):
            return
        self.replay_buffer.keep_unsent()
        rest = self.replay_buffer.kept_bytes
        self.holding.force(
            HeldKind.RESPONSE, rest - self.holding.sizes[HeldKind.RESPONSE]
        )

    def _can_resume(self) -> bool:
        if self.endpoint.pause_seconds:
            return False
        if not self.endpoint.continues(self.sent_to):
            logger.info(
                "stream_not_resumed",
                attempt=self.run_request.attempt,
                why="the endpoint was started again, maybe at another version",
            )
            return False
        last_id = self.events.last_id if self.events else ""
        return bool(last_id and is_writable(last_id) and self.resume_path)

    async def _resume(
        self, session: aiohttp.ClientSession
    ) -> aiohttp.ClientResponse:
        """Requests the events after the last one that was forwarded.

        The stream's URL comes from Content-Location; Last-Event-ID
        identifies the last event.

        Raises:
            aiohttp.ClientPayloadError: The engine refuses.
        """
        self.events.discard_partial()
        address = self.endpoint.announced.address
        incarnation = self.endpoint.announced.incarnation
        response = await session.get(
            f"http://{address}{self.resume_path}",
            headers={"Last-Event-ID": self.events.last_id},
            allow_redirects=False,
        )
        self.endpoint.on_response(
            incarnation, response.status, response.headers
        )
        if response.status != HTTP_OK:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"stream not resumed: status {response.status}"
            )
        self.resumes += 1
        return response

    def _observe(self, chunk: bytes) -> None:
        tokens = self.meter.observe(chunk)
        self._charge()
        now = time.monotonic()
        if tokens:
            if self.last_token_at is not None:
                gap = (now - self.last_token_at) / tokens
                self.endpoint.slot_limit.record_gap(gap)
            self.last_token_at = now
        if self.run_request.call is not None:
            self.stored_response.add(chunk)

    def _charge(self) -> None:
        amount = self.meter.collect()
        if amount > 0:
            self.scheduler.charge(self.workspace, amount)

    def cancel(self) -> None:
        """Cancels the request at the endpoint, which frees the slot."""
        self.cancelled = True
        if self.task is not None:
            self.task.cancel()

    # Delivery to the entry.

    def finish(self, reason: Failure | None) -> None:
        """Adds the last frame: the end, or the failure if there is one."""
        self.state = AttemptState.ENDED
        if reason is None:
            self.replay_buffer.end()
        else:
            self.replay_buffer.fail(reason)
        self.progress.set()

    async def stream(
        self,
        first: int,
        write: Callable,
        keepalive_seconds: float,
        keepalive: bytes,
    ) -> None:
        """Writes frames from number `first` on until the last one.

        One connection reads at a time. A resume replaces the previous one,
        which may still appear to be open.

        Args:
            first: The number of the first frame.
            write: Sends bytes to the entry.
            keepalive_seconds: Interval of keepalives while nothing arrives.
            keepalive: The encoded keepalive frame.
        """
        reader = self.reader = object()
        number = first
        try:
            while self.reader is reader:
                frames = self.replay_buffer.frames_from(number)
                if frames:
                    # One write for all frames: a system call for each of them
                    # was a tenth of the agent's time.
                    await write(b"".join(frame.encode() for frame in frames))
                    number = frames[-1].header.n + 1
                    self.replay_buffer.mark_sent(number)
                    self._hold_frames()
                    self.space_available.set()
                    if frames[-1].header.is_last:
                        self.is_delivered = True
                        return
                    continue
                self.progress.clear()
                try:
                    async with asyncio.timeout(keepalive_seconds):
                        await self.progress.wait()
                except TimeoutError:
                    await write(keepalive)
        finally:
            if self.reader is reader:
                self.reader = None
                self.orphaned_at = time.monotonic()

    def is_orphan(self, now: float) -> bool:
        """Returns whether the entry has not reconnected within the timeout."""
        if self.reader is not None:
            return False
        return now - self.orphaned_at > ORPHAN_TIMEOUT_SECONDS
