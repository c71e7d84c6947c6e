"""One attempt on the endpoint: sent, metered, kept for a resume."""

import asyncio
import time
from collections.abc import Callable
from enum import Enum

import aiohttp

from marjoramyard.coordination.fairness.scheduler import FairScheduler
from marjoramyard.coordination.serving.events import EventCutter
from marjoramyard.coordination.serving.frames import AnswerTail
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.meters import METERS
from marjoramyard.fleet.messages import RunRequest
from marjoramyard.fleet.util.headers import end_to_end, is_stream
from marjoramyard.kernel.errors import Failure, Kind, Outcome, failure
from marjoramyard.kernel.ids import WorkspaceId

RESUME_SECONDS = 5.0
"""How long an attempt whose entry is gone goes on before it is cancelled."""
STREAM_END = b"[DONE]"
ENGINE_RESUME_TRIES = 3
HTTP_OK = 200
_STREAM_TAIL = 64


class AttemptState(Enum):
    """How far an attempt has come."""

    ADMITTED = "admitted"
    SENT = "sent"
    ENDED = "ended"


def endpoint_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns the headers for the endpoint.

    The client library would offer compression by itself; a compressed
    answer can't be metered, and its caller may not have asked for it.
    """
    return [*end_to_end(headers), ("Accept-Encoding", "identity")]


class Attempt:
    """Runs one request on the endpoint and keeps the answer's frames."""

    def __init__(
        self,
        run: RunRequest,
        body: bytes,
        endpoint: Endpoint,
        scheduler: FairScheduler,
        kind: str,
    ):
        self.run_request = run
        self.body = body
        self.endpoint = endpoint
        self.scheduler = scheduler
        self.meter = METERS.get(kind)()
        self.tail = AnswerTail()
        self.state = AttemptState.ADMITTED
        self.progress = asyncio.Event()
        self.drained = asyncio.Event()
        self.reader: object | None = None
        self.orphaned_at = time.monotonic()
        self.deadline_at = time.monotonic() + run.deadline_seconds
        self.cancelled = False
        self.answer = bytearray()
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.last_token_at: float | None = None
        self.stream_tail = b""
        self.upstream: aiohttp.ClientResponse | None = None
        self.events: EventCutter | None = None
        self.resume_path = ""
        self.resumes = 0
        self.task: asyncio.Task | None = None
        self.held_suspect = False
        self.is_delivered = False

    @property
    def workspace(self) -> WorkspaceId:
        """Whose request it is."""
        return WorkspaceId(self.run_request.workspace)

    # Towards the endpoint.

    async def execute(self, session: aiohttp.ClientSession) -> Failure | None:
        """Sends the request and takes the answer; returns why it failed."""
        reserved = self.scheduler.started(self.workspace)
        self.meter.begin(self.body)
        self._charge()
        try:
            async with asyncio.timeout(self.run_request.deadline_seconds):
                return await self._exchange(session)
        except TimeoutError:
            return failure(
                Kind.DEADLINE,
                "the deadline passed while it ran; ask for a later one",
                Outcome.UNKNOWN,
            )
        except asyncio.CancelledError:
            if not self.cancelled:
                raise
            return failure(
                Kind.CANCELLED, "the caller went away", Outcome.UNKNOWN
            )
        finally:
            self.meter.end()
            self._charge()
            self.scheduler.release(self.workspace, reserved)
            self.scheduler.finished(self.workspace, self.meter.total)

    async def _exchange(self, session: aiohttp.ClientSession) -> Failure | None:
        run = self.run_request
        url = f"http://{self.endpoint.announced.address}{run.path}"
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=2.0, sock_read=run.stall_seconds
        )
        self.state = AttemptState.SENT
        try:
            self.upstream = await session.request(
                run.method,
                url,
                headers=endpoint_headers(run.headers),
                data=self.body or None,
                timeout=timeout,
                allow_redirects=False,
            )
            self._begin_response(self.upstream)
            await self._read_response(session)
            return self._check_complete()
        except aiohttp.ClientConnectorError:
            self.state = AttemptState.ADMITTED
            return failure(
                Kind.ENDPOINT_LOST, "the endpoint takes no connection"
            )
        except aiohttp.ServerTimeoutError:
            return failure(
                Kind.ENDPOINT_STALLED,
                f"the endpoint was silent for {run.stall_seconds:g} s",
                Outcome.UNKNOWN,
            )
        except (aiohttp.ClientError, OSError) as error:
            return failure(
                Kind.ENDPOINT_LOST,
                f"the endpoint cut the answer: {error!r}",
                Outcome.UNKNOWN,
            )
        finally:
            # A connection with an answer half read must never carry the
            # next request: the rest would be taken for its answer.
            self._release_upstream()

    def _begin_response(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self.headers = end_to_end(list(response.headers.items()))
        self.tail.begin(self.status, self.headers)
        if is_stream(self.headers):
            self.events = EventCutter()
            self.resume_path = response.headers.get("Content-Location", "")
            self.progress.set()

    def _release_upstream(self) -> None:
        response = self.upstream
        if response is not None and not response.content.at_eof():
            response.close()
        elif response is not None:
            response.release()

    async def _read_response(self, session: aiohttp.ClientSession) -> None:
        """Takes the answer; a broken stream is resumed if it can be."""
        tries = 0
        while True:
            before = self.events.last_id if self.events else ""
            try:
                await self._read_chunks(self.upstream)
                return
            except aiohttp.ClientPayloadError:
                # Progress in between makes it a new break, not the same.
                moved = self.events and self.events.last_id != before
                tries = 1 if moved else tries + 1
                if not self._can_resume() or tries > ENGINE_RESUME_TRIES:
                    raise
                self.upstream.close()
                self.upstream = await self._resume(session)

    async def _read_chunks(self, response: aiohttp.ClientResponse) -> None:
        async for chunk in response.content.iter_any():
            if self.events is not None:
                chunk = self.events.feed(chunk)
                if not chunk:
                    continue
            await self._take(chunk)

    async def _take(self, chunk: bytes) -> None:
        self._observe(chunk)
        self.tail.data(chunk)
        self.progress.set()
        while self.tail.is_full:
            self.drained.clear()
            await self.drained.wait()

    def _can_resume(self) -> bool:
        return bool(self.events and self.events.last_id and self.resume_path)

    async def _resume(
        self, session: aiohttp.ClientSession
    ) -> aiohttp.ClientResponse:
        """Asks for the events behind the last one that we passed on.

        This is the usual protocol of server-sent events: the stream's place
        from Content-Location, the last event in Last-Event-ID.
        """
        self.events.drop_rest()
        address = self.endpoint.announced.address
        response = await session.get(
            f"http://{address}{self.resume_path}",
            headers={"Last-Event-ID": self.events.last_id},
            allow_redirects=False,
        )
        if response.status != HTTP_OK:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the stream can't be resumed: status {response.status}"
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
                self.endpoint.slots.observe(gap)
            self.last_token_at = now
        if self.run_request.call is not None:
            self.answer += chunk
        self.stream_tail = (self.stream_tail + chunk)[-_STREAM_TAIL:]

    def _charge(self) -> None:
        amount = self.meter.take()
        if amount > 0:
            self.scheduler.charge(self.workspace, amount)

    def _check_complete(self) -> Failure | None:
        """Finds a stream that ended early although its connection did not.

        An engine that gives up mid-answer may close the body in order; only
        the last event tells a whole stream from a cut one.
        """
        if is_stream(self.headers) and STREAM_END not in self.stream_tail:
            return failure(
                Kind.RESPONSE_TRUNCATED,
                "the endpoint ended the stream without its last event",
                Outcome.UNKNOWN,
            )
        return None

    def cancel(self) -> None:
        """Stops it at the endpoint, which frees the slot."""
        self.cancelled = True
        if self.task is not None:
            self.task.cancel()

    # Towards the entry.

    def finish(self, reason: Failure | None) -> None:
        """Ends the answer, whole or with the reason why not."""
        self.state = AttemptState.ENDED
        if reason is None:
            self.tail.end()
        else:
            self.tail.fail(reason)
        self.progress.set()

    async def stream(
        self,
        first: int,
        write: Callable,
        keepalive_seconds: float,
        keepalive: bytes,
    ) -> None:
        """Writes frames from number `first` on until the last one.

        One link reads at a time: a resume takes over from a link that the
        entry has given up, which may still look open from here.
        """
        me = self.reader = object()
        number = first
        try:
            while self.reader is me:
                frames = self.tail.from_number(number)
                if frames:
                    # One write for all that is there: a system call for
                    # each frame was a tenth of the agent's time.
                    await write(b"".join(frame.encode() for frame in frames))
                    number = frames[-1].head.n + 1
                    self.tail.mark_sent(number)
                    self.drained.set()
                    if frames[-1].head.is_last:
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
            if self.reader is me:
                self.reader = None
                self.orphaned_at = time.monotonic()

    def is_orphan(self, now: float) -> bool:
        """Returns whether no entry has come back for it in time."""
        if self.reader is not None:
            return False
        return now - self.orphaned_at > RESUME_SECONDS
