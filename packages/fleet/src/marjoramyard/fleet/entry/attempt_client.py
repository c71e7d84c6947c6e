"""The entry's client of one attempt at an agent, with resume."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from result import Err

from marjoramyard.coordination.serving.frames import (
    BrokenResponseError,
    Frame,
    FrameParser,
    ResponseReader,
)
from marjoramyard.fleet.messages import CancelReply, FailureBody, RunRequest
from marjoramyard.fleet.paths import RUN_HEADER, RUN_PATH
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.fleet.util.rpc import InternalClient, read_reply
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    Outcome,
    failure,
)
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.decoding import decode_json

logger = get_logger(__name__)

READ_TIMEOUT_SECONDS = 4.0
"""Must exceed the agent's keepalive interval."""
ADMIT_TIMEOUT_SECONDS = 4.0
SLOW_ADMIT_TIMEOUT_SECONDS = 9.0
"""For calls and suspects, which also need a reply of the control hosts."""
MAX_RESUME_ATTEMPTS = 3
_RESUME_TIMEOUT_SECONDS = 1.5
_RESUME_DELAY_SECONDS = 0.3
_CANCEL_TIMEOUT_SECONDS = 0.5

SMALL_FRAME_BYTES = 512 << 10
"""Frames up to this size are read even if the account is full: a response that
is passed on must go on."""

_CONNECTION_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    BrokenResponseError,
)


class AttemptRefusedError(Exception):
    """The agent refused the attempt; nothing was sent to the endpoint."""

    def __init__(self, reason: Failure):
        super().__init__(reason.message)
        self.failure = reason


class AttemptLostError(Exception):
    """The attempt may have run, but its response can't be read."""

    def __init__(self, reason: Failure):
        super().__init__(reason.message)
        self.failure = reason


class AttemptClient:
    """Starts one attempt at an agent and reads its frames.

    Each attempt has a client of its own, so a late response of an earlier
    attempt can't be delivered to the request.

    Attributes:
        holding: What is held for the request.
        reader: Checks the order of the frames.
        admitted: The agent accepted the attempt.
        may_have_arrived: The agent may have received the attempt.
    """

    def __init__(
        self,
        client: InternalClient,
        metrics: Metrics,
        address: str,
        run: RunRequest,
        body: bytes,
        holding: Holding,
    ):
        self.holding = holding
        self.client = client
        self.metrics = metrics
        self.address = address
        self.run = run
        self.body = body
        self.reader = ResponseReader()
        self.admitted = False
        self.may_have_arrived = False

    async def frames(self) -> AsyncIterator[Frame]:
        """Yields each frame once and in order, up to the last one.

        Raises:
            AttemptRefusedError: The agent refused the attempt.
            AttemptLostError: The connection was lost and could not be
                resumed.
        """
        response = await self._open()
        tries = 0
        while True:
            try:
                async for frame in self._read(response):
                    tries = 0
                    yield frame
                    if frame.header.is_last:
                        return
            except _CONNECTION_ERRORS as error:
                last_error = error
            finally:
                if not response.content.at_eof():
                    response.close()
            response = None
            while response is None:
                tries += 1
                if tries > MAX_RESUME_ATTEMPTS:
                    raise AttemptLostError(_lost(repr(last_error)))
                response = await self._resume()

    async def _open(self) -> aiohttp.ClientResponse:
        slow = self.run.call is not None or self.run.suspect
        timeout = SLOW_ADMIT_TIMEOUT_SECONDS if slow else ADMIT_TIMEOUT_SECONDS
        timeout = min(timeout, self.run.deadline_seconds)
        self.may_have_arrived = True
        try:
            async with asyncio.timeout(timeout):
                response = await self.client.session.post(
                    f"http://{self.address}{RUN_PATH}",
                    headers={
                        RUN_HEADER: msgspec.json.encode(self.run).decode()
                    },
                    data=self.body,
                )
                if response.status != 200:
                    reason = await self._read_refusal(response)
        except aiohttp.ClientConnectorError:
            self.may_have_arrived = False
            raise AttemptRefusedError(
                failure(
                    FailureKind.NO_ENDPOINT, "connection to the agent failed"
                )
            ) from None
        except _CONNECTION_ERRORS as error:
            raise AttemptLostError(_lost(repr(error))) from error
        if response.status != 200:
            self.may_have_arrived = False
            raise AttemptRefusedError(reason)
        self.admitted = True
        return response

    async def _resume(self) -> aiohttp.ClientResponse | None:
        """Requests the missing frames; returns None if that failed.

        Raises:
            AttemptLostError: The agent no longer has the frames.
        """
        self.metrics.count("link_resumes")
        try:
            async with asyncio.timeout(_RESUME_TIMEOUT_SECONDS):
                response = await self.client.session.get(
                    f"http://{self.address}{RUN_PATH}/{self.run.attempt}",
                    params={"from": str(self.reader.next_number)},
                )
                if response.status == 200:
                    return response
                reason = await self._read_refusal(response)
        except _CONNECTION_ERRORS:
            await asyncio.sleep(_RESUME_DELAY_SECONDS)
            return None
        raise AttemptLostError(reason)

    async def _read_refusal(self, response: aiohttp.ClientResponse) -> Failure:
        with self.client.held_bytes.holding(source=self.address) as holding:
            try:
                return _refusal(await read_reply(response, holding))
            finally:
                response.release()

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[Frame]:
        parser = FrameParser()
        while True:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                data = await response.content.readany()
            if not data:
                raise aiohttp.ClientPayloadError(
                    "the agent closed the connection before the last frame"
                )
            frames = parser.feed(data)
            self._hold_partial(len(parser.buffer))
            for frame in frames:
                if frame.header.is_keepalive:
                    continue
                if self.reader.accept(frame):
                    yield frame

    def _hold_partial(self, size: int) -> None:
        """Holds a part of a frame.

        Raises:
            AttemptLostError: There is no room for it.
        """
        change = size - self.holding.sizes[HeldKind.EVENT]
        if size <= SMALL_FRAME_BYTES:
            self.holding.force(HeldKind.EVENT, change)
        elif not self.holding.add(HeldKind.EVENT, change):
            raise AttemptLostError(_lost("no room for a frame"))

    async def cancel(self) -> bool:
        """Cancels the attempt; returns whether it is certain not to run."""
        if not self.may_have_arrived:
            return True
        reply = await self.client.call(
            self.address,
            f"{RUN_PATH}/{self.run.attempt}/cancel",
            None,
            CancelReply,
            _CANCEL_TIMEOUT_SECONDS,
        )
        return not isinstance(reply, Err) and not reply.ok_value.started


def _refusal(data: bytes) -> Failure:
    try:
        return decode_json(data, FailureBody).error
    except msgspec.DecodeError:
        return failure(
            FailureKind.INTERNAL, "the agent's refusal can't be decoded"
        )


def _lost(detail: str) -> Failure:
    logger.info("agent_lost", why=detail)
    return failure(
        FailureKind.ENDPOINT_LOST,
        "the connection to the agent was lost while the request ran",
        Outcome.UNKNOWN,
    )
