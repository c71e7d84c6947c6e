"""Runs one request: placement, sends, and retries after failed sends."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.cold_start import GRANT_VALID_MS
from marjoramyard.coordination.placement.local_placement import place_prompt
from marjoramyard.coordination.routing.config import Service
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.attempts import (
    SendFailedError,
    SendOutcome,
    SendPlan,
    open_response,
)
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.broker_protocol import (
    PlaceGrant,
    PlaceRefusal,
    RunningRequest,
)
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.delivery import ResponseDelivery
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.engine_load import (
    EngineLoads,
    LocalRequest,
    estimate_prefill_rate,
)
from marjoramyard.fleet.gateway.request_trace import (
    PlacedBy,
    RequestTrace,
    Unplaceable,
)
from marjoramyard.fleet.gateway.run_failures import (
    BUSY_RETRY_SECONDS,
    attempts_failure,
    deadline_failure,
    late_failure,
    no_endpoint_failure,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.errors import (
    FailureKind,
    FleetError,
    Outcome,
    failure,
)
from marjoramyard.kernel.metrics import Metrics

MAX_CONNECT_ATTEMPTS = 4
"""Connection attempts per request, each to another endpoint if there is one.
Each takes half a second at the most, and callers wait for seconds."""
MIN_EVENTS = 8
"""Events after which the longest gap of a stream shows how its engine does."""


class RequestRunContext(msgspec.Struct, frozen=True):
    """State that all request runs of a gateway share.

    Attributes:
        view: The gateway's view of the fleet.
        session: The HTTP session for requests to endpoints.
        brokers: The clients of the services' brokers.
        cold_starts: The limits of endpoints that have just started.
        loads: The requests that this gateway has in flight at each engine.
        notices: What endpoints say of themselves in their responses.
        names: The header names of the dialect.
        metrics: The metrics of the process.
    """

    view: FleetView
    session: aiohttp.ClientSession
    brokers: BrokerClients
    cold_starts: ColdStarts
    loads: EngineLoads
    notices: EndpointNotices
    names: HeaderNames
    metrics: Metrics


class RequestRun:
    """Sends one request, with retries, until it has a response or fails.

    Attributes:
        tried: Endpoints that the request was sent to or whose grant it
            returned.
        sends: Failed sends that may have reached an endpoint.
        connect_failures: Sends of which no byte reached an endpoint.
        may_have_run: Whether an endpoint may have run the request.
        may_have_run_before: The value of `may_have_run` before the current
            send.
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
        self.tried: set[str] = set()
        self.sends = 0
        self.connect_failures = 0
        self.may_have_run = False
        self.may_have_run_before = False

    async def run_to_completion(self) -> web.StreamResponse:
        """Sends the request until it has a response or may not be sent again.

        Raises:
            FleetError: There is no response; the outcome says whether the
                request may have run.
        """
        while True:
            candidates = self._candidates()
            plan = await self._plan(candidates)
            try:
                return await self._send(plan)
            except SendFailedError as error:
                self._on_send_failed(plan, error)

    def _candidates(self) -> list[Registration]:
        candidates = self.view.sendable(self.service.name, self.tried)
        if not candidates:
            candidates = self.view.sendable(self.service.name, set())
            if (
                not candidates
                or self.sends
                or self.connect_failures >= MAX_CONNECT_ATTEMPTS
            ):
                raise self._no_endpoint(self._why_unplaceable())
        return candidates

    def _why_unplaceable(self) -> Unplaceable:
        service = self.service.name
        if self.view.is_evacuated(service):
            return Unplaceable.EVACUATED
        if self.view.pause_seconds(service):
            return Unplaceable.PAUSED
        return Unplaceable.NONE_READY

    def _no_endpoint(self, why: Unplaceable) -> FleetError:
        self.trace.unplaceable = why
        pause_seconds = self.view.pause_seconds(self.service.name)
        return FleetError(
            no_endpoint_failure(self.may_have_run, why, pause_seconds)
        )

    async def _plan(self, candidates: list[Registration]) -> SendPlan:
        if not self.caller.parts or self.service.engine is None:
            chosen = self._least_loaded(self._placeable(candidates))
            self.context.cold_starts.record(self.service, chosen.endpoint)
            return SendPlan(chosen, "", self._last_event_id())
        client = self.context.brokers.client_for(self.service.name)
        started_at = time.monotonic()
        broker_number, reply = await client.place(
            self.caller, self.service, self.tried
        )
        self.trace.wait_ms += (time.monotonic() - started_at) * 1000
        if isinstance(reply, PlaceRefusal):
            self.trace.predicted_ms = round(reply.predicted_ms)
            raise FleetError(late_failure(reply, self.may_have_run))
        if reply is None:
            # Endpoints may have changed during the wait for the broker.
            plan = self._plan_locally(self._candidates(), broker_number)
        else:
            age_ms = (time.monotonic() - started_at) * 1000
            plan = self._plan_granted(reply, broker_number, age_ms)
        self._record_placement(plan)
        return plan

    def _record_placement(self, plan: SendPlan) -> None:
        by = PlacedBy.BROKER if plan.is_granted else PlacedBy.GATEWAY
        self.trace.placed_by = by
        self.context.metrics.count("placements", by=by.value)

    def _plan_granted(
        self, reply: PlaceGrant, broker_number: int, age_ms: float
    ) -> SendPlan:
        """Plans a send by the broker's grant, if that may still be used.

        Args:
            reply: The grant.
            broker_number: The number of the request.
            age_ms: The time since the grant was requested.
        """
        known = self.view.registrations.by_endpoint
        registration = known.get(reply.endpoint)
        has_expired = reply.is_cold and age_ms > GRANT_VALID_MS
        if (
            registration is None
            or has_expired
            or not self.view.may_send_to(registration)
        ):
            # The broker may not know yet that the endpoint is draining or
            # pausing, or its zone evacuated.
            self.context.brokers.client_for(self.service.name).return_grant(
                broker_number
            )
            self.tried.add(reply.endpoint)
            return self._plan_locally(self._candidates(), broker_number)
        source = known.get(reply.fetch_from)
        may_fetch = source is not None and self.view.may_send_to(source)
        return SendPlan(
            registration,
            source.address if may_fetch else "",
            self._last_event_id(),
            reply.tokens,
            broker_number,
            True,
        )

    def _recheck_caller(self) -> None:
        """Checks right before the send that the caller is still waiting.

        While the event loop is late, neither its timeouts nor the closing of
        callers' connections have been processed.

        Raises:
            FleetError: The deadline has passed.
            CallerGoneError: The caller has closed its connection.
        """
        if time.monotonic() >= self.caller.deadline_at:
            raise FleetError(deadline_failure(self.may_have_run))
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
            if self.may_have_run:
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
            SendFailedError: The endpoint must not get requests any more.
            FleetError: The deadline has passed, or the key or the lease is no
                longer valid.
            CallerGoneError: The caller has closed its connection.
        """
        self.may_have_run = self.may_have_run_before
        self._recheck_caller()
        self._recheck_key()
        if not self.view.may_send_to(endpoint):
            raise SendFailedError(SendOutcome.WITHDRAWN, "no longer usable")
        self.may_have_run = True

    def _least_loaded(self, candidates: list[Registration]) -> Registration:
        loads = self.context.loads
        return min(
            candidates,
            key=lambda registration: (
                loads.load_of(registration.endpoint).running,
                random.random(),
            ),
        )

    def _placeable(self, candidates: list[Registration]) -> list[Registration]:
        """Returns the endpoints that may be chosen without a broker."""
        found = self.context.cold_starts.placeable(self.service, candidates)
        if not found:
            raise self._no_endpoint(Unplaceable.COLD)
        return found

    def _plan_locally(
        self, candidates: list[Registration], broker_number: int
    ) -> SendPlan:
        """Places a prompt by this gateway's own requests in flight."""
        candidates = self._placeable(candidates)
        loads = self.context.loads
        loads.rate = estimate_prefill_rate(
            self.view.table.config, len(candidates)
        )
        profile = self.service.engine
        fetch_ms = 0.0
        if profile.link_mbps > 0:
            fetch_ms = profile.token_bytes * 8 / profile.link_mbps / 1000
        placement = place_prompt(
            self.caller.parts,
            [
                loads.load_of(registration.endpoint)
                for registration in candidates
            ],
            fetch_ms,
        )
        by_id = {
            registration.endpoint: registration for registration in candidates
        }
        source = by_id.get(placement.fetch_from)
        return SendPlan(
            by_id[placement.endpoint],
            source.address if source is not None else "",
            self._last_event_id(),
            placement.prefill_tokens,
            broker_number,
        )

    def _workspace_name(self) -> str:
        workspace = self.caller.workspace
        return workspace.name if workspace is not None else ""

    def _last_event_id(self) -> str:
        return self.delivery.events.last_id or self.caller.last_event

    async def _send(self, plan: SendPlan) -> web.StreamResponse:
        context = self.context
        endpoint = plan.endpoint.endpoint
        with self._track(plan) as tracked:
            self._recheck_caller()
            self._recheck_key()
            self.tried.add(endpoint)
            self.trace.sends.append(endpoint)
            self.trace.prefill_tokens += plan.prefill_tokens
            self.may_have_run_before = self.may_have_run
            self.may_have_run = True
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
                    upstream, tracked.finish_prefill
                )
        self.view.health_of(endpoint).record_success(time.monotonic())
        return response

    @contextmanager
    def _track(self, plan: SendPlan) -> Iterator[LocalRequest]:
        """Counts a send in the local load and at the broker while it lasts."""
        endpoint = plan.endpoint.endpoint
        client = None
        failed = not_run = False
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
            not_run = error.outcome in (
                SendOutcome.NOT_SENT,
                SendOutcome.REFUSED,
            )
            raise
        finally:
            if client is not None:
                client.on_finished(
                    plan.broker_number, failed, self._gap_ratio(), not_run
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
            and self.sends + 1 < self.caller.route.max_attempts
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
        health = self.view.health_of(plan.endpoint.endpoint)
        if error.outcome is not SendOutcome.BROKEN:
            self.may_have_run = self.may_have_run_before
        if error.outcome in (SendOutcome.NOT_SENT, SendOutcome.WITHDRAWN):
            if self._is_endpoint_fault(error):
                health.record_failure(now)
            self.connect_failures += 1
            if self.connect_failures < MAX_CONNECT_ATTEMPTS:
                return
            raise self._no_endpoint(self._why_unplaceable())
        self.sends += 1
        if error.outcome is SendOutcome.REFUSED:
            health.record_failure(now)
        if error.outcome is SendOutcome.BROKEN:
            if not error.reason.startswith("status"):
                health.record_failure(now)
            if not self.caller.may_repeat:
                raise self._attempts_error(error)
        if self.sends >= self.caller.route.max_attempts:
            raise self._attempts_error(error)
        if not self.budget.spend():
            raise self._attempts_error(error)

    def _attempts_error(self, error: SendFailedError) -> FleetError:
        pause_seconds = self.view.pause_seconds(self.service.name)
        return FleetError(
            attempts_failure(error, self.may_have_run, pause_seconds)
        )

    def _outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN
