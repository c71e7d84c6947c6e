"""The agent's service to entries: run, resume, cancel."""

import asyncio
import time
from collections import OrderedDict

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.serving.frames import KEEPALIVE, TailLostError
from marjoramyard.fleet.agent.attempts import Attempt, AttemptState
from marjoramyard.fleet.agent.calls import finish_call, start_call
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.slot_allocator import SlotAllocator
from marjoramyard.fleet.agent.suspects import SuspectGuard
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import Membership
from marjoramyard.fleet.messages import CancelReply, OfferMessage, RunRequest
from marjoramyard.fleet.paths import OFFER_PATH, RUN_HEADER, RUN_PATH
from marjoramyard.fleet.refusals import quarantined
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import (
    Failure,
    FleetError,
    Kind,
    Outcome,
    failure,
    raise_failure,
)
from marjoramyard.kernel.ids import AttemptId, Fingerprint, WorkspaceId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

KEEPALIVE_SECONDS = 1.0
_KEPT_SECONDS = 15.0
"""How long an ended attempt's frames are kept for a resume."""
_KEPT_DELIVERED = 200
"""How many are kept whose last frame a link has taken. All of 15 seconds'
worth took an agent that serves 800 short calls a second past 100 MB."""
_SWEEP_SECONDS = 1.0
_TOMBSTONES = 20_000


class AttemptService:
    """All attempts on this agent's endpoint."""

    def __init__(
        self,
        app: Application,
        membership: Membership,
        control: ControlClient,
        endpoint: Endpoint,
        slots: SlotAllocator,
    ):
        self.app = app
        self.membership = membership
        self.control = control
        self.endpoint = endpoint
        self.slots = slots
        self.guard = SuspectGuard(app, membership, control)
        self.attempts: dict[AttemptId, Attempt] = {}
        self.ended: dict[AttemptId, float] = {}
        self.delivered: OrderedDict[AttemptId, None] = OrderedDict()
        self.tombstones: OrderedDict[AttemptId, None] = OrderedDict()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None),
        )

    def routes(self) -> list[web.RouteDef]:
        """Returns the service to entries."""
        return [
            web.post(OFFER_PATH, self.on_offer),
            web.post(RUN_PATH, self.on_run),
            web.get(f"{RUN_PATH}/{{attempt}}", self.on_resume),
            web.post(f"{RUN_PATH}/{{attempt}}/cancel", self.on_cancel),
        ]

    async def on_offer(self, request: web.Request) -> web.Response:
        """Takes in what waits at an entry."""
        message = await read_message(request, OfferMessage)
        return json_response(self.slots.on_offer(message))

    # Run.

    async def on_run(self, request: web.Request) -> web.StreamResponse:
        """Admits an attempt and streams its frames.

        Any failure raised here is an answer of its own kind, and it is
        raised only while nothing was sent to the endpoint.
        """
        run = msgspec.json.decode(
            request.headers.get(RUN_HEADER, ""), type=RunRequest
        )
        body = await request.read()
        # The entry may have given up while the body was on its way; no
        # await stands between this check and the slot being taken.
        if run.attempt in self.tombstones or run.attempt in self.attempts:
            raise_failure(Kind.CANCELLED, "the entry gave this attempt up")
        workspace = WorkspaceId(run.workspace)
        refusal = self.slots.admit(workspace, run.grant)
        if refusal is not None:
            raise FleetError(refusal)
        try:
            attempt = await self._prepare(run, body)
        except BaseException:
            self.slots.release()
            raise
        attempt.task = self.app.tasks.spawn(self._execute(attempt))
        return await self._stream(request, attempt, 0)

    async def _prepare(self, run: RunRequest, body: bytes) -> Attempt:
        """Does what must be done before the first byte is sent."""
        service = self.membership.bundle.services.get(run.service)
        if service is None or run.service != self.endpoint.announced.service:
            raise_failure(Kind.NO_ENDPOINT, f"{run.service} is not here")
        fingerprint = Fingerprint(run.fingerprint)
        left = self.membership.is_convicted(fingerprint)
        if left is not None:
            raise FleetError(quarantined(left))
        held = False
        if self.guard.is_suspect(fingerprint, run.suspect):
            refusal = await self.guard.hold(fingerprint)
            if refusal is not None:
                raise FleetError(refusal)
            held = True
        try:
            await self._start_call(run)
        except BaseException:
            if held:
                self.guard.release(fingerprint, clear=False)
            raise
        attempt = Attempt(
            run, body, self.endpoint, self.slots.scheduler, service.kind
        )
        attempt.held_suspect = held
        self.attempts[AttemptId(run.attempt)] = attempt
        return attempt

    async def _start_call(self, run: RunRequest) -> None:
        if run.call is not None:
            refusal = await start_call(self.control, run)
            if refusal is not None:
                raise FleetError(refusal)
        # Waiting for a hold or the ledger may have taken long, or this
        # process was frozen. A call that started is the ledger's matter;
        # for any other the entry's word is asked again.
        elif run.attempt in self.tombstones:
            raise_failure(Kind.CANCELLED, "the entry gave this attempt up")

    async def _execute(self, attempt: Attempt) -> None:
        run = attempt.run_request
        try:
            reason = await attempt.execute(self.session)
            if reason is not None and reason.kind is Kind.ENDPOINT_LOST:
                await self._check_endpoint()
            elif reason is None and run.call is not None:
                # A resend must find the answer even if this one is lost.
                if not await finish_call(self.control, attempt):
                    self.app.metrics.count("answers_not_stored")
            self._settle(attempt, reason)
            attempt.finish(reason)
        finally:
            if attempt.state is not AttemptState.ENDED:
                attempt.finish(_fault())
            self.ended[AttemptId(run.attempt)] = time.monotonic()
            self.slots.release()
        if attempt.resumes:
            self.app.metrics.count("engine_resumes", attempt.resumes)
        outcome = "complete" if reason is None else reason.code
        self.app.metrics.count(
            "runs", outcome=outcome, request_class=run.request_class
        )

    def _settle(self, attempt: Attempt, reason: Failure | None) -> None:
        run = attempt.run_request
        if reason is None:
            self.endpoint.prefixes.ran(run.prefix)
        if attempt.held_suspect:
            fingerprint = Fingerprint(run.fingerprint)
            self.guard.release(fingerprint, clear=reason is None)

    async def _check_endpoint(self) -> None:
        """Finds out whether the endpoint died, and under whom."""
        running = [
            Fingerprint(a.run_request.fingerprint)
            for a in self.attempts.values()
            if a.state is AttemptState.SENT
        ]
        word = self.endpoint.announced
        if word.incarnation == self.endpoint.dead_incarnation:
            return
        if await self.endpoint.is_alive(self.session):
            return
        if word.incarnation != self.endpoint.announced.incarnation:
            return
        death_id = self.endpoint.mark_dead()
        self.membership.announce_soon()
        self.app.tasks.spawn(self.guard.report(death_id, running))

    # Resume and cancel.

    async def _stream(
        self, request: web.Request, attempt: Attempt, first: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "application/octet-stream"
        await response.prepare(request)
        await attempt.stream(
            first, response.write, KEEPALIVE_SECONDS, KEEPALIVE.encode()
        )
        self._note_delivered(attempt)
        await response.write_eof()
        return response

    def _note_delivered(self, attempt: Attempt) -> None:
        if not attempt.is_delivered:
            return
        self.delivered[AttemptId(attempt.run_request.attempt)] = None
        while len(self.delivered) > _KEPT_DELIVERED:
            self._forget(self.delivered.popitem(last=False)[0])

    def _forget(self, name: AttemptId) -> None:
        self.attempts.pop(name, None)
        self.ended.pop(name, None)
        self.delivered.pop(name, None)

    async def on_resume(self, request: web.Request) -> web.StreamResponse:
        """Goes on with an attempt whose link broke."""
        attempt = self.attempts.get(AttemptId(request.match_info["attempt"]))
        first = int(request.query.get("from", "0"))
        if attempt is None:
            raise_failure(
                Kind.NOT_FOUND, "no such attempt here", Outcome.UNKNOWN
            )
        if first < attempt.tail.first_kept:
            raise_failure(
                Kind.RESPONSE_TRUNCATED,
                "the frames to resume from are gone",
                Outcome.UNKNOWN,
            )
        self.app.metrics.count("resumes")
        try:
            return await self._stream(request, attempt, first)
        except TailLostError:
            raise_failure(
                Kind.RESPONSE_TRUNCATED, "the frames are gone", Outcome.UNKNOWN
            )

    async def on_cancel(self, request: web.Request) -> web.Response:
        """Stops an attempt, and rules out one that has not arrived yet.

        The mark is what makes "not run" true: a run request that was held
        up on its way, or an agent that thaws later, finds it and refuses.
        """
        name = AttemptId(request.match_info["attempt"])
        self.tombstones[name] = None
        while len(self.tombstones) > _TOMBSTONES:
            self.tombstones.popitem(last=False)
        attempt = self.attempts.get(name)
        if attempt is None:
            return json_response(CancelReply(started=False))
        if attempt.run_request.call is None:
            attempt.cancel()
        return json_response(CancelReply(started=True))

    # Upkeep.

    async def sweep(self) -> None:
        """Cancels orphans and forgets ended attempts until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = time.monotonic()
            for name, attempt in list(self.attempts.items()):
                ended_at = self.ended.get(name)
                if ended_at is not None and now - ended_at > _KEPT_SECONDS:
                    self._forget(name)
                elif ended_at is None and attempt.is_orphan(now):
                    self._cancel_orphan(attempt)

    def _cancel_orphan(self, attempt: Attempt) -> None:
        """Frees the slot of an attempt that nobody will read.

        A call that must not repeat goes on: its effect is on its way, and
        only the answer in the ledger tells a resend of it.
        """
        if attempt.run_request.call is None and not attempt.cancelled:
            self.app.metrics.count("orphans_cancelled")
            attempt.cancel()

    async def close(self) -> None:
        """Closes the connections to the endpoint."""
        await self.session.close()


def _fault() -> Failure:
    return failure(
        Kind.INTERNAL, "the agent was stopped while it ran", Outcome.UNKNOWN
    )
