"""The agent's service for entries: run, resume and cancel attempts."""

import asyncio
import time
from collections import OrderedDict

from aiohttp import web

from marjoramyard.coordination.governance.recent_answers import RecentAnswers
from marjoramyard.coordination.governance.suspects import (
    PART_SECONDS,
    EndedRun,
)
from marjoramyard.coordination.serving.fingerprints import (
    message_fingerprints,
)
from marjoramyard.coordination.serving.frames import KEEPALIVE, ReplayLostError
from marjoramyard.fleet.agent.attempts import Attempt, AttemptState
from marjoramyard.fleet.agent.calls import finish_call, start_call
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.slot_allocator import SlotAllocator
from marjoramyard.fleet.agent.suspects import SuspectGuard
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import CancelReply, OfferMessage, RunRequest
from marjoramyard.fleet.paths import OFFER_PATH, RUN_HEADER, RUN_PATH
from marjoramyard.fleet.refusals import quarantined
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.endpoint_session import create_endpoint_session
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.fleet.util.request_body import HOLDING, read_body
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    Outcome,
    failure,
    raise_failure,
)
from marjoramyard.kernel.ids import AttemptId, Fingerprint, WorkspaceId
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.decoding import decode_json
from marjoramyard.kernel.util.numbers import read_whole

logger = get_logger(__name__)

KEEPALIVE_INTERVAL_SECONDS = 1.0
_RETENTION_SECONDS = 15.0
"""How long an ended attempt's frames are kept for a resume."""
_MAX_DELIVERED_ATTEMPTS = 200
"""Attempts kept after their last frame was sent. Keeping all of the retention
time took an agent with 800 short calls a second past 100 MB."""
_DELIVERED_SHARE = 0.125
"""The part of the account for them."""
_SWEEP_INTERVAL_SECONDS = 1.0
_MAX_TOMBSTONES = 20_000


class AttemptService:
    """Runs attempts on the endpoint and serves their frames to entries.

    Attributes:
        attempts: The running and retained attempts, by id.
        ended: When each attempt ended; monotonic time, in seconds.
        delivered: The bytes of attempts whose last frame was sent, oldest
            first.
        delivered_bytes: The sum of them.
        tombstones: Cancelled attempt ids, oldest first.
        answered: The requests that the endpoint has answered lately.
        http_session: The HTTP client session for the endpoint.
    """

    def __init__(
        self,
        app: Application,
        membership: RouterMembership,
        control: ControlClient,
        endpoint: Endpoint,
        slot_allocator: SlotAllocator,
    ):
        self.app = app
        self.membership = membership
        self.control = control
        self.endpoint = endpoint
        self.slot_allocator = slot_allocator
        self.suspect_guard = SuspectGuard(app, membership, control)
        self.attempts: dict[AttemptId, Attempt] = {}
        self.ended: dict[AttemptId, float] = {}
        self.delivered: OrderedDict[AttemptId, int] = OrderedDict()
        self.delivered_bytes = 0
        self.tombstones: OrderedDict[AttemptId, None] = OrderedDict()
        self.answered = RecentAnswers()
        self.http_session = create_endpoint_session(
            app.metrics, reuses_connections=False
        )

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes for entries."""
        return [
            web.post(OFFER_PATH, self.on_offer),
            web.post(RUN_PATH, self.on_run),
            web.get(f"{RUN_PATH}/{{attempt}}", self.on_resume),
            web.post(f"{RUN_PATH}/{{attempt}}/cancel", self.on_cancel),
        ]

    async def on_offer(self, request: web.Request) -> web.Response:
        """Handles an entry's offer of queued requests."""
        message = await read_message(request, OfferMessage)
        return json_response(self.slot_allocator.on_offer(message))

    # Run.

    async def on_run(self, request: web.Request) -> web.StreamResponse:
        """Admits an attempt and streams its frames.

        Raises:
            FleetError: The attempt is refused; nothing was sent to the
                endpoint.
        """
        run = decode_json(request.headers.get(RUN_HEADER, ""), RunRequest)
        holding = request.get(HOLDING)
        if holding is not None:
            holding.assign(run.workspace)
        body = await read_body(request)
        # The entry may have cancelled while the body was read. There must
        # be no await between this check and the allocation of the slot.
        if run.attempt in self.tombstones or run.attempt in self.attempts:
            raise_failure(
                FailureKind.CANCELLED, "the entry cancelled this attempt"
            )
        workspace = WorkspaceId(run.workspace)
        refusal = self.slot_allocator.admit(workspace, run.grant)
        if refusal is not None:
            raise FleetError(refusal)
        try:
            attempt = await self._prepare(run, body)
        except BaseException:
            self.slot_allocator.release()
            raise
        del body
        if holding is not None:
            holding.release()
        attempt.task = self.app.tasks.spawn(self._execute(attempt))
        return await self._stream(request, attempt, 0)

    async def _prepare(self, run: RunRequest, body: bytes) -> Attempt:
        """Registers an attempt once all checks have passed.

        Raises:
            FleetError: The attempt must not be sent to the endpoint.
        """
        service = self.membership.bundle.services.get(run.service)
        if service is None or run.service != self.endpoint.announced.service:
            raise_failure(
                FailureKind.NO_ENDPOINT,
                f"the agent's endpoint does not serve {run.service}",
            )
        fingerprint = Fingerprint(run.fingerprint)
        parts = message_fingerprints(run.service, body)
        seconds = self.membership.quarantine_seconds_left(fingerprint, *parts)
        if seconds is not None:
            raise FleetError(quarantined(seconds))
        held = self.suspect_guard.suspected_identity(
            fingerprint, parts, run.suspect
        )
        if held is not None:
            refusal = await self.suspect_guard.hold(held)
            if refusal is not None:
                raise FleetError(refusal)
        try:
            self._recheck_endpoint()
            await self._start_call(run)
        except BaseException:
            if held is not None:
                self.suspect_guard.release(held, clear=False)
            raise
        attempt = Attempt(
            run,
            body,
            self.endpoint,
            self.slot_allocator.scheduler,
            service.kind,
            self._hold_request(run, body),
        )
        attempt.parts = parts
        attempt.held_identity = held
        self.attempts[AttemptId(run.attempt)] = attempt
        return attempt

    def _hold_request(self, run: RunRequest, body: bytes) -> Holding:
        """Returns a holding that lasts as long as the attempt.

        The connection on which it arrived may end before.
        """
        holding = Holding(self.app.held_bytes, run.workspace)
        holding.force(HeldKind.REQUEST, len(body))
        return holding

    def _recheck_endpoint(self) -> None:
        """Checks after the wait for a hold that the endpoint takes requests.

        A call can't be refused any more once the ledger has its start.

        Raises:
            FleetError: It pauses, leaves or has died.
        """
        if not self.endpoint.is_ready:
            raise FleetError(self.endpoint.refusal())

    async def _start_call(self, run: RunRequest) -> None:
        if run.call is not None:
            refusal = await start_call(self.control, run)
            if refusal is not None:
                raise FleetError(refusal)
        # The entry may have cancelled while the hold was awaited. A call
        # that was started in the ledger runs regardless.
        elif run.attempt in self.tombstones:
            raise_failure(
                FailureKind.CANCELLED, "the entry cancelled this attempt"
            )

    async def _execute(self, attempt: Attempt) -> None:
        run = attempt.run_request
        try:
            reason = await attempt.execute(self.http_session)
            if reason is not None and reason.kind is FailureKind.ENDPOINT_LOST:
                await self._check_endpoint()
            elif reason is None and run.call is not None:
                # Stored first, so that a resend gets the response even if
                # the delivery fails.
                if not await finish_call(self.control, attempt):
                    self.app.metrics.count("answers_not_stored")
            self._record_result(attempt, reason)
            attempt.finish(reason)
        finally:
            if attempt.state is not AttemptState.ENDED:
                attempt.finish(_interrupted())
            self.ended[AttemptId(run.attempt)] = time.monotonic()
            self.slot_allocator.release()
        if attempt.resumes:
            self.app.metrics.count("engine_resumes", attempt.resumes)
        outcome = "complete" if reason is None else reason.code
        self.app.metrics.count(
            "runs", outcome=outcome, request_class=run.request_class
        )

    def _record_result(self, attempt: Attempt, reason: Failure | None) -> None:
        run = attempt.run_request
        if reason is None:
            self.endpoint.prefixes.record_run(run.prefix)
            for identity in (run.fingerprint, *attempt.parts):
                self.answered.record(identity, time.monotonic())
            self.suspect_guard.clear_parts(attempt.parts)
        if attempt.held_identity is not None:
            self.suspect_guard.release(
                attempt.held_identity, clear=reason is None
            )

    async def _check_endpoint(self) -> None:
        """Checks whether the endpoint died, and if so reports it.

        The report lists the requests that were running.
        """
        now = time.monotonic()
        running = [
            run
            for attempt in self.attempts.values()
            if attempt.state is AttemptState.SENT
            for run in ended_runs(attempt, now)
            if not self.answered.contains(run.fingerprint, now)
        ]
        announced = self.endpoint.announced
        if announced.incarnation == self.endpoint.dead_incarnation:
            return
        if await self.endpoint.is_alive(self.http_session):
            return
        if announced.incarnation != self.endpoint.announced.incarnation:
            return
        death_id = self.endpoint.mark_dead()
        self.membership.announce_now()
        self.app.tasks.spawn(self.suspect_guard.report(death_id, running))

    # Resume and cancel.

    async def _stream(
        self, request: web.Request, attempt: Attempt, first: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "application/octet-stream"
        await response.prepare(request)
        await attempt.stream(
            first,
            response.write,
            KEEPALIVE_INTERVAL_SECONDS,
            KEEPALIVE.encode(),
        )
        self._retain_delivered(attempt)
        await response.write_eof()
        return response

    def _retain_delivered(self, attempt: Attempt) -> None:
        if not attempt.is_delivered:
            return
        attempt_id = AttemptId(attempt.run_request.attempt)
        size = attempt.holding.total
        self.delivered_bytes += size - self.delivered.get(attempt_id, 0)
        self.delivered[attempt_id] = size
        max_bytes = self.app.held_bytes.limit * _DELIVERED_SHARE
        while (
            len(self.delivered) > _MAX_DELIVERED_ATTEMPTS
            or self.delivered_bytes > max_bytes
        ):
            self._remove(next(iter(self.delivered)))

    def _remove(self, attempt_id: AttemptId) -> None:
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is not None:
            attempt.holding.close()
        self.ended.pop(attempt_id, None)
        self.delivered_bytes -= self.delivered.pop(attempt_id, 0)

    async def on_resume(self, request: web.Request) -> web.StreamResponse:
        """Resumes the frames of an attempt whose connection was lost.

        Raises:
            FleetError: The attempt or the frames are no longer available.
        """
        attempt = self.attempts.get(AttemptId(request.match_info["attempt"]))
        first = read_whole(request.query.get("from", "0"))
        if first is None:
            raise_failure(
                FailureKind.BAD_REQUEST,
                "`from` must be the number of a frame",
                Outcome.UNKNOWN,
            )
        if attempt is None:
            raise_failure(
                FailureKind.NOT_FOUND,
                "the agent does not have this attempt",
                Outcome.UNKNOWN,
            )
        if first < attempt.replay_buffer.first_kept:
            raise_failure(
                FailureKind.RESPONSE_TRUNCATED,
                f"frame {first} is no longer buffered",
                Outcome.UNKNOWN,
            )
        self.app.metrics.count("resumes")
        try:
            return await self._stream(request, attempt, first)
        except ReplayLostError:
            raise_failure(
                FailureKind.RESPONSE_TRUNCATED,
                "the next frame is no longer buffered",
                Outcome.UNKNOWN,
            )

    async def on_cancel(self, request: web.Request) -> web.Response:
        """Cancels an attempt; one that arrives later is refused.

        The tombstone guarantees the outcome "not run" for an attempt whose
        run request is delayed in the network or in this process.
        """
        attempt_id = AttemptId(request.match_info["attempt"])
        self.tombstones[attempt_id] = None
        while len(self.tombstones) > _MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            return json_response(CancelReply(started=False))
        if attempt.run_request.call is None:
            attempt.cancel()
        return json_response(CancelReply(started=True))

    # Maintenance.

    async def sweep(self) -> None:
        """Cancels orphaned attempts and removes ended ones, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            now = time.monotonic()
            for attempt_id, attempt in list(self.attempts.items()):
                ended_at = self.ended.get(attempt_id)
                if ended_at is not None and now - ended_at > _RETENTION_SECONDS:
                    self._remove(attempt_id)
                elif ended_at is None and attempt.is_orphan(now):
                    self._cancel_orphan(attempt)

    def _cancel_orphan(self, attempt: Attempt) -> None:
        """Cancels an attempt that no entry reads, which frees its slot.

        A call that must not repeat continues, so that its response is
        stored in the ledger for a resend.
        """
        if attempt.run_request.call is None and not attempt.cancelled:
            self.app.metrics.count("orphans_cancelled")
            attempt.cancel()

    async def close(self) -> None:
        """Closes the connections to the endpoint."""
        await self.http_session.close()


def ended_runs(attempt: Attempt, now: float) -> list[EndedRun]:
    """Returns the identities under which a request may end its endpoint."""
    fingerprint = attempt.run_request.fingerprint
    held = attempt.held_identity
    own = EndedRun(
        fingerprint, now - attempt.sent_at, is_isolated=held == fingerprint
    )
    began_at = attempt.answer_at or attempt.sent_at
    if attempt.answer_at is not None and now - began_at >= PART_SECONDS:
        return [own]
    parts = [
        EndedRun(
            part,
            now - began_at,
            is_isolated=held == part,
            request=fingerprint,
        )
        for part in attempt.parts
    ]
    return [own, *parts]


def _interrupted() -> Failure:
    return failure(
        FailureKind.INTERNAL,
        "the agent was stopped while the request ran",
        Outcome.UNKNOWN,
    )
