"""Runs one request: sends, and retries after failed sends."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

from aiohttp import web

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import Service
from marjoramyard.coordination.serving.response_ends import ResponseEnd
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.attempts import (
    SendFailedError,
    SendOutcome,
    SendPlan,
    open_response,
)
from marjoramyard.fleet.gateway.broker_protocol import RunningRequest
from marjoramyard.fleet.gateway.crash_detection import (
    BrokenRun,
    lifetime_of,
)
from marjoramyard.fleet.gateway.delivery import ResponseDelivery
from marjoramyard.fleet.gateway.engine_load import LocalRequest
from marjoramyard.fleet.gateway.request_trace import RequestTrace
from marjoramyard.fleet.gateway.run_failures import (
    BUSY_RETRY_SECONDS,
    attempts_failure,
    deadline_failure,
)
from marjoramyard.fleet.gateway.run_permit import RunPermit
from marjoramyard.fleet.gateway.send_planning import (
    MAX_CONNECT_ATTEMPTS,
    RequestRunContext,
    SendPlanner,
    SendProgress,
)
from marjoramyard.kernel.errors import (
    FailureKind,
    FleetError,
    Outcome,
    failure,
)

MIN_EVENTS = 8
"""Events after which the longest gap of a stream shows how its engine does."""


class RequestRun:
    """Sends one request, with retries, until it has a response or fails.

    Attributes:
        progress: What has become of its sends so far.
        planner: Chooses the endpoint of each send.
        permit: Is needed if the request may crash endpoints.
    """

    def __init__(
        self,
        context: RequestRunContext,
        caller: CallerRequest,
        delivery: ResponseDelivery,
        trace: RequestTrace,
        service: Service,
        budget: RetryBudget,
    ):
        self.context = context
        self.view = context.view
        self.caller = caller
        self.delivery = delivery
        self.trace = trace
        self.service = service
        self.budget = budget
        self.progress = SendProgress()
        self.permit = RunPermit(context.suspects, caller, service.name)
        self.planner = SendPlanner(
            context, caller, delivery, trace, service, self.progress
        )

    async def run_to_completion(self) -> web.StreamResponse:
        """Sends the request until it has a response or may not be sent again.

        Raises:
            FleetError: There is no response; the outcome says whether the
                request may have run.
        """
        try:
            while True:
                with self._permit_refusals():
                    await self.permit.acquire()
                plan = await self._plan()
                try:
                    response = await self._send(plan)
                except SendFailedError as error:
                    self._on_send_failed(plan, error)
                else:
                    self.permit.on_answered()
                    return response
        finally:
            self.permit.release()

    async def _plan(self) -> SendPlan:
        """Plans the next send.

        Raises:
            FleetError: The request can't be placed, or not in time.
        """
        if self.progress.may_have_run:
            return await self.planner.plan()
        async with self.context.outlasting.refusing(self.caller.deadline_at):
            return await self.planner.plan()

    @contextmanager
    def _permit_refusals(self) -> Iterator[None]:
        """Says truly of refused requests whether they may have run.

        Raises:
            FleetError: The request must not run, or not now.
        """
        try:
            yield
        except FleetError as error:
            if not self.progress.may_have_run:
                raise
            message = error.failure.message
            raise FleetError(
                failure(FailureKind.ENDPOINT_LOST, message, Outcome.UNKNOWN)
            ) from None

    def _recheck_caller(self) -> None:
        """Checks right before the send that the caller is still waiting.

        While the event loop is late, neither its timeouts nor the closing of
        callers' connections have been processed.

        Raises:
            FleetError: The deadline has passed.
            CallerGoneError: The caller has closed its connection.
        """
        if time.monotonic() >= self.caller.deadline_at:
            raise FleetError(deadline_failure(self.progress.may_have_run))
        if self.context.brokers.lag.is_lagging:
            self.delivery.raise_if_caller_left()

    def _recheck_key(self) -> None:
        """Checks the key and the lease again right before the send.

        The process may have been suspended since admission, and the key revoked
        meanwhile.

        Raises:
            FleetError: The key is no longer valid or the lease has expired.
        """
        if self.caller.workspace is None:
            return
        workspace = self.view.table.workspace_of_key(self.caller.api_key)
        if workspace is None or not self.view.has_valid_lease():
            kind = (
                FailureKind.UNKNOWN_KEY
                if workspace is None
                else FailureKind.NO_LEASE
            )
            if self.progress.may_have_run:
                kind = FailureKind.ENDPOINT_LOST
            raise FleetError(
                failure(
                    kind,
                    "the key can no longer be verified; retry shortly",
                    self._outcome(),
                    BUSY_RETRY_SECONDS,
                )
            )

    def _recheck_connected(self, endpoint: Registration) -> None:
        """Checks everything again once there is a connection.

        Raises:
            SendFailedError: The endpoint must not get requests any more, or
                the caller may have left.
            FleetError: The deadline has passed, the gateway stops before it,
                or the key or the lease is no longer valid.
            CallerGoneError: The caller has closed its connection.
        """
        self.progress.may_have_run = self.progress.may_have_run_before
        with self._permit_refusals():
            self.permit.check()
        self._recheck_caller()
        if not self.progress.may_have_run:
            self.context.outlasting.check(self.caller.deadline_at)
        is_late = self.context.brokers.lag.is_lagging
        if is_late and self.delivery.is_caller_in_doubt:
            raise SendFailedError(
                SendOutcome.WITHDRAWN, "the caller may have left"
            )
        self._recheck_key()
        self._check_version(endpoint, SendOutcome.WITHDRAWN)
        if not self.view.may_send_to(endpoint):
            raise SendFailedError(SendOutcome.WITHDRAWN, "no longer usable")
        self.progress.may_have_run = True
        self.progress.sent_at = time.monotonic()
        self.progress.answer_at = None

    def _workspace_name(self) -> str:
        workspace = self.caller.workspace
        return workspace.name if workspace is not None else ""

    async def _send(self, plan: SendPlan) -> web.StreamResponse:
        context = self.context
        endpoint = plan.endpoint.endpoint
        await self.view.age.hold()
        with self._track(plan) as tracked:
            if self.context.brokers.lag.is_lagging:
                await self.delivery.wait_while_in_doubt()
            self._recheck_caller()
            self._recheck_key()
            self.progress.tried.add(endpoint)
            self.trace.sends.append(endpoint)
            self.trace.prefill_tokens += plan.prefill_tokens
            self.progress.may_have_run_before = self.progress.may_have_run
            self.progress.may_have_run = True
            async with open_response(
                context.session,
                self.caller,
                plan,
                context.names,
                lambda: self._recheck_connected(plan.endpoint),
                lambda head: context.notices.read(plan.endpoint, head),
            ) as upstream:
                if upstream.status >= 500 and self._may_retry():
                    raise SendFailedError(
                        SendOutcome.BROKEN, f"status {upstream.status}"
                    )
                response = await self.delivery.relay(
                    upstream, partial(self._on_data, plan, tracked)
                )
            if self.delivery.last_end is ResponseEnd.UNKNOWN:
                await self._check_survival(plan.endpoint)
        self.view.health_of(endpoint).record_success(time.monotonic())
        return response

    def _on_data(self, plan: SendPlan, tracked: LocalRequest) -> None:
        """Notes that data of a send has arrived; may be called repeatedly.

        Raises:
            SendFailedError: The data may be of another software version.
        """
        if tracked.has_data:
            return
        tracked.has_data = True
        self.progress.answer_at = time.monotonic()
        tracked.finish_prefill()
        version = plan.endpoint.software_version
        if self.caller.route.is_resumable_stream:
            self._check_version(plan.endpoint, SendOutcome.BROKEN)
            self.progress.version = version
            self.context.origins.record(self.caller, self.service.name, version)
        self.trace.versions.append(version)

    def _check_version(
        self, endpoint: Registration, outcome: SendOutcome
    ) -> None:
        """Checks that an endpoint has not been started at another version.

        Args:
            endpoint: The endpoint, as registered when it was chosen.
            outcome: What is known about the request if it has.

        Raises:
            SendFailedError: It has.
        """
        known = self.view.registrations.by_endpoint.get(endpoint.endpoint)
        version = endpoint.software_version
        if known is not None and known.software_version != version:
            raise SendFailedError(outcome, "other software version now")

    async def _check_survival(self, endpoint: Registration) -> None:
        """Checks that an endpoint has not ended together with its response.

        Raises:
            SendFailedError: It has; the response may have been broken off.
        """
        if await self.context.crashes.has_ended(endpoint):
            raise SendFailedError(
                SendOutcome.BROKEN,
                "the endpoint ended with its response",
                is_connection_lost=True,
            )

    @contextmanager
    def _track(self, plan: SendPlan) -> Iterator[LocalRequest]:
        """Counts a send in the local load and at the broker while it lasts."""
        endpoint = plan.endpoint.endpoint
        client = None
        failed = False
        if plan.broker_number:
            client = self.context.brokers.client_for(self.service.name)
            running = RunningRequest(
                plan.broker_number,
                self.service.name,
                endpoint,
                plan.prefill_tokens,
                self.caller.unshared_memory_tokens,
                self._workspace_name(),
                self.caller.output_tokens,
            )
            client.on_started(running, self.caller.parts, plan.is_granted)
        try:
            with self.context.loads.track(
                endpoint, plan.prefill_tokens
            ) as tracked:
                if client is not None:
                    tracked.on_prefilled = lambda: client.on_first_token(
                        plan.broker_number
                    )
                yield tracked
        except SendFailedError as error:
            failed = self._is_endpoint_fault(error)
            raise
        finally:
            if client is not None:
                client.on_finished(
                    plan.broker_number, failed, self._gap_ratio()
                )

    def _gap_ratio(self) -> float:
        """Returns the longest gap of the stream relative to its objective.

        0.0 if there is no objective, or too few events to tell.
        """
        objective_ms = self.caller.route.gap_objective_ms
        if objective_ms <= 0 or self.delivery.write_count < MIN_EVENTS:
            return 0.0
        return round(self.delivery.longest_gap * 1000 / objective_ms, 3)

    def _is_endpoint_fault(self, error: SendFailedError) -> bool:
        """Whether a failed send counts against the endpoint's health.

        A connect timeout does not count while the event loop is late: the
        connection may have been established in time.
        """
        if error.timed_out and self.context.brokers.lag.is_lagging:
            return False
        return error.outcome is not SendOutcome.WITHDRAWN

    def _may_retry(self) -> bool:
        """Whether another send is allowed; spends no retry budget."""
        return (
            self.caller.may_repeat
            and self.progress.sends + 1 < self.caller.route.max_attempts
            and self.budget.tokens >= 1.0
        )

    def _on_send_failed(self, plan: SendPlan, error: SendFailedError) -> None:
        """Records a failed send and decides whether the request is sent again.

        Raises:
            FleetError: The request must not be sent again.
        """
        self.trace.sends[-1] += f" {error.outcome.value}: {error.reason[:80]}"
        self.context.metrics.count(
            "failed_sends",
            outcome=error.outcome.value,
            retry_after="yes" if error.retry_after else "no",
        )
        now = time.monotonic()
        if error.is_connection_lost:
            self._on_connection_lost(plan.endpoint, now)
            if self.permit.is_held:
                raise self._attempts_error()
        health = self.view.health_of(plan.endpoint.endpoint)
        if error.outcome is not SendOutcome.BROKEN:
            self.progress.may_have_run = self.progress.may_have_run_before
        if error.outcome in (SendOutcome.NOT_SENT, SendOutcome.WITHDRAWN):
            if self._is_endpoint_fault(error):
                health.record_failure(now)
            self.progress.connect_failures += 1
            if self.progress.connect_failures < MAX_CONNECT_ATTEMPTS:
                return
            raise self.planner.no_endpoint()
        self.progress.sends += 1
        if error.outcome is SendOutcome.REFUSED:
            health.record_failure(now)
        if error.outcome is SendOutcome.BROKEN:
            if not error.reason.startswith("status"):
                self.trace.has_broken = True
                health.record_failure(now)
            if not self.caller.may_repeat or self.delivery.is_passed_on:
                raise self._attempts_error()
        if self.progress.sends >= self.caller.route.max_attempts:
            raise self._attempts_error()
        if not self.budget.spend():
            raise self._attempts_error()

    def _on_connection_lost(self, endpoint: Registration, now: float) -> None:
        progress = self.progress
        self.context.crashes.on_broken(
            endpoint,
            BrokenRun(
                self.caller.fingerprint,
                progress.sent_at,
                now,
                progress.lost_with,
                tuple(part.digest for part in self.caller.shared_parts),
                progress.answer_at,
            ),
        )
        progress.lost_with += (lifetime_of(endpoint),)

    def _attempts_error(self) -> FleetError:
        pause_seconds = self.view.pause_seconds(self.service.name)
        return FleetError(
            attempts_failure(self.progress.may_have_run, pause_seconds)
        )

    def _outcome(self) -> Outcome:
        return (
            Outcome.UNKNOWN if self.progress.may_have_run else Outcome.NOT_RUN
        )
