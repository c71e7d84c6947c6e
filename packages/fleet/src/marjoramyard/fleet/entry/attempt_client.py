"""An attempt seen from the entry: its link to the agent, with resume."""

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
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.kernel.errors import (
    Failure,
    Kind,
    Outcome,
    failure,
)
from marjoramyard.kernel.metrics import Metrics

SILENCE_SECONDS = 4.0
"""An agent says at least once a second that it lives."""
ADMIT_SECONDS = 4.0
ADMIT_CALL_SECONDS = 9.0
"""A call waits for the ledger, a suspect for leave, before its answer."""
RESUME_TRIES = 3
_RESUME_SECONDS = 1.5
_RESUME_PAUSE = 0.3
_CANCEL_SECONDS = 0.5

_LINK_ERRORS = (
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
    """The attempt may have run, and its answer can't be had."""

    def __init__(self, reason: Failure):
        super().__init__(reason.message)
        self.failure = reason


class AttemptClient:
    """Reads one attempt's frames from its agent.

    The link is this attempt's own: an answer can only reach the request
    whose attempt asked for it, so a late answer of an earlier attempt has
    nowhere to go.
    """

    def __init__(
        self,
        client: InternalClient,
        metrics: Metrics,
        address: str,
        run: RunRequest,
        body: bytes,
    ):
        self.client = client
        self.metrics = metrics
        self.address = address
        self.run = run
        self.body = body
        self.reader = ResponseReader()
        self.admitted = False
        self.may_have_arrived = False

    async def frames(self) -> AsyncIterator[Frame]:
        """Yields each frame once, in order, to the last one.

        Raises:
            AttemptRefusedError: Nothing was run.
            AttemptLostError: The link broke and could not be resumed.
        """
        response = await self._open()
        tries = 0
        while True:
            try:
                async for frame in self._read(response):
                    tries = 0
                    yield frame
                    if frame.head.is_last:
                        return
            except _LINK_ERRORS as error:
                last = error
            finally:
                if not response.content.at_eof():
                    response.close()
            response = None
            while response is None:
                tries += 1
                if tries > RESUME_TRIES:
                    raise AttemptLostError(_lost(repr(last)))
                response = await self._resume()

    async def _open(self) -> aiohttp.ClientResponse:
        slow = self.run.call is not None or self.run.suspect
        limit = ADMIT_CALL_SECONDS if slow else ADMIT_SECONDS
        # The answer to the caller is due at its deadline, not after it.
        limit = min(limit, self.run.deadline_seconds)
        self.may_have_arrived = True
        try:
            async with asyncio.timeout(limit):
                response = await self.client.session.post(
                    f"http://{self.address}{RUN_PATH}",
                    headers={
                        RUN_HEADER: msgspec.json.encode(self.run).decode()
                    },
                    data=self.body,
                )
                if response.status != 200:
                    data = await response.read()
        except aiohttp.ClientConnectorError:
            self.may_have_arrived = False
            raise AttemptRefusedError(
                failure(Kind.NO_ENDPOINT, "the agent takes no connection")
            ) from None
        except _LINK_ERRORS as error:
            raise AttemptLostError(_lost(repr(error))) from error
        if response.status != 200:
            self.may_have_arrived = False
            raise AttemptRefusedError(_refusal(data))
        self.admitted = True
        return response

    async def _resume(self) -> aiohttp.ClientResponse | None:
        """Asks for the frames that are missing; None if no answer came."""
        self.metrics.count("link_resumes")
        try:
            async with asyncio.timeout(_RESUME_SECONDS):
                response = await self.client.session.get(
                    f"http://{self.address}{RUN_PATH}/{self.run.attempt}",
                    params={"from": str(self.reader.next_number)},
                )
                if response.status == 200:
                    return response
                data = await response.read()
        except _LINK_ERRORS:
            await asyncio.sleep(_RESUME_PAUSE)
            return None
        raise AttemptLostError(_refusal(data))

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[Frame]:
        parser = FrameParser()
        while True:
            async with asyncio.timeout(SILENCE_SECONDS):
                data = await response.content.readany()
            if not data:
                raise aiohttp.ClientPayloadError("the link ended early")
            for frame in parser.feed(data):
                if frame.head.is_keepalive:
                    continue
                if self.reader.accept(frame):
                    yield frame

    async def cancel(self) -> bool:
        """Cancels the attempt; returns whether it surely was not run."""
        if not self.may_have_arrived:
            return True
        reply = await self.client.call(
            self.address,
            f"{RUN_PATH}/{self.run.attempt}/cancel",
            None,
            CancelReply,
            _CANCEL_SECONDS,
        )
        return not isinstance(reply, Err) and not reply.ok_value.started


def _refusal(data: bytes) -> Failure:
    try:
        return msgspec.json.decode(data, type=FailureBody).error
    except msgspec.DecodeError:
        return failure(Kind.INTERNAL, "the agent's refusal can't be read")


def _lost(detail: str) -> Failure:
    return failure(
        Kind.ENDPOINT_LOST,
        f"the endpoint's agent was lost while the request ran ({detail})",
        Outcome.UNKNOWN,
    )
