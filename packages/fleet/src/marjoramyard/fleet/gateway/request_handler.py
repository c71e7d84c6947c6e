"""Handles callers' requests from admission to the response."""

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import aiohttp
from aiohttp import web

from marjoramyard.coordination.routing.config import RequestKind
from marjoramyard.coordination.routing.table import pick_destination
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.coordination.serving.stream_versions import StreamOrigin
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.admission import (
    AdmittedRequest,
    CallerRequest,
    admit,
    read_caller_request,
    stated_seconds,
)
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.caller_patience import CallerPatience
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.crash_detection import CrashDetector
from marjoramyard.fleet.gateway.delivery import (
    CallerGoneError,
    ResponseDelivery,
)
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.engine_load import EngineLoads
from marjoramyard.fleet.gateway.overload_guard import (
    OverloadGuard,
    needs_engine,
    render_failure,
)
from marjoramyard.fleet.gateway.request_run import RequestRun
from marjoramyard.fleet.gateway.request_trace import RequestTrace
from marjoramyard.fleet.gateway.run_failures import (
    BUSY_RETRY_SECONDS,
    LEAVING_RETRY_SECONDS,
    deadline_failure,
    stopped_failure,
    unknown_stream_failure,
)
from marjoramyard.fleet.gateway.send_planning import RequestRunContext
from marjoramyard.fleet.gateway.startup_wait import StartupWait
from marjoramyard.fleet.gateway.stream_origins import StreamOrigins
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.connections import has_caller_left, is_half_closed
from marjoramyard.fleet.util.deadlines import timeout_after_input
from marjoramyard.fleet.util.jitter import jitter
from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests
from marjoramyard.fleet.util.request_body import HOLDING, read_body
from marjoramyard.kernel.errors import (
    FailureKind,
    FleetError,
    failure,
    raise_failure,
)
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

RETRY_SLACK_SHARE = 0.8
"""Share of the fleet's retry slack that is distributed. The rest covers
restarted gateways, which get their part twice within a window."""


class RequestHandler:
    """Handles requests of callers.

    Attributes:
        closes_connections: Whether to close connections after the response.
        is_full: Whether too many connections are in use.
        outlasting: Refuses requests that may outlast a stopping gateway.
        is_refusing: Whether all requests are refused because of draining.
        guard: Refuses or forwards prompts beyond the limit.
        budgets: The retry budgets by service.
        patience: Tells new callers from those that were refused before.
        startup: Holds requests while the gateway can't serve yet.
        active_count: Requests in progress.
        started_count: All requests so far that draining did not refuse.
    """

    def __init__(
        self,
        view: FleetView,
        session: aiohttp.ClientSession,
        brokers: BrokerClients,
        cold_starts: ColdStarts,
        notices: EndpointNotices,
        crashes: CrashDetector,
        origins: StreamOrigins,
        app: Application,
    ):
        self.view = view
        self.metrics = app.metrics
        self.settings = app.settings
        self.closes_connections: Callable[[], bool] = app.stopping.is_set
        self.is_full: Callable[[], bool] = lambda: False
        self.outlasting = OutlastingRequests(LEAVING_RETRY_SECONDS)
        self.is_refusing = False
        self.names = view.dialect.headers
        self.context = RequestRunContext(
            view,
            session,
            brokers,
            cold_starts,
            EngineLoads(),
            notices,
            crashes.suspects,
            crashes,
            self.names,
            app.metrics,
            origins,
            outlasting=self.outlasting,
        )
        self.guard = OverloadGuard(view, brokers, app.metrics)
        self.guard.on_started = self._on_started
        self.guard.on_ended = self._on_ended
        self.budgets: dict[str, RetryBudget] = {}
        self.patience = CallerPatience()
        self.startup = StartupWait(view, app.settings.startup_wait_seconds)
        self.active_count = 0
        self.started_count = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one request of a caller."""
        self._on_started()
        delivery = ResponseDelivery(request, self.closes_connections)
        trace = RequestTrace()
        started_at = time.monotonic()
        caller: CallerRequest | None = None
        status, outcome = 0, "caller-left"
        try:
            self._refuse_if_unable()
            await self.startup.hold(stated_seconds(request, self.names))
            await self.view.age.hold()
            admitted = admit(request, self.view, self.names, started_at)
            request[HOLDING].assign(_owner(admitted))
            with self._within_limit(admitted):
                caller = read_caller_request(request, admitted, self.names)
                caller.waited_ms = self.patience.waited_ms(
                    caller.route.name,
                    caller.seconds_left(caller.arrived_at) * 1000,
                )
                async with self.outlasting.refusing(caller.deadline_at):
                    caller.body = await self._read_body(request, caller)
                response = await self._serve(caller, delivery, trace)
            status, outcome = response.status, "complete"
            return response
        except FleetError as error:
            status, outcome = error.failure.kind.status, error.failure.code
            if delivery.has_started:
                delivery.abort()
                return delivery.response
            return render_failure(error.failure, self.view.dialect)
        except CallerGoneError:
            delivery.abort()
            return delivery.response
        except asyncio.CancelledError:
            if has_caller_left(request):
                raise
            outcome = FailureKind.STOPPED.code
            if delivery.has_started:
                raise
            reason = stopped_failure(may_have_run=bool(trace.sends))
            status, outcome = reason.kind.status, reason.code
            return render_failure(reason, self.view.dialect)
        finally:
            self._on_ended()
            self._log_request(
                request, caller, delivery, trace, started_at, status, outcome
            )

    def _on_started(self) -> None:
        self.active_count += 1
        if not self.is_refusing:
            self.started_count += 1

    def _on_ended(self) -> None:
        self.active_count -= 1

    def _within_limit(
        self, admitted: AdmittedRequest
    ) -> AbstractContextManager[None]:
        """Counts prompts against the limit; other requests are exempt."""
        if not needs_engine(self.view, admitted.route):
            return nullcontext()
        workspace = admitted.workspace
        return self.guard.admit(workspace.name if workspace else "")

    def _refuse_if_unable(self) -> None:
        """Refuses requests while draining or out of connections."""
        if self.is_refusing:
            raise_failure(
                FailureKind.LEAVING,
                "this gateway is shutting down; use another one",
                retry_after=LEAVING_RETRY_SECONDS,
            )
        if self.is_full():
            raise_failure(
                FailureKind.BUSY,
                "this gateway has too many connections; use another one",
                retry_after=jitter(BUSY_RETRY_SECONDS),
            )

    def _log_request(
        self, request, caller, delivery, trace, started_at, status, outcome
    ) -> None:
        now = time.monotonic()
        kind = caller.route.request_kind.value if caller else "none"
        self.metrics.count("requests", outcome=outcome, kind=kind)
        if outcome == FailureKind.OVERLOADED.code:
            # Logging each refused request would add to the overload.
            return
        self.metrics.observe("request_seconds", now - started_at, kind=kind)
        logger.info(
            "request",
            id=request.headers.get(self.names.attempt, ""),
            route=caller.route.name if caller else "",
            workspace=(
                caller.workspace.name if caller and caller.workspace else ""
            ),
            config=self.view.version,
            sends=trace.sends,
            fingerprint=caller.fingerprint if trace.has_broken else None,
            ended_by=[end.value for end, _ in delivery.ends],
            end_position=[content.value for _, content in delivery.ends],
            placed_by=trace.placed_by.value if trace.placed_by else None,
            wait_ms=round(trace.wait_ms),
            predicted_ms=trace.predicted_ms,
            overdue=caller.is_overdue if caller else False,
            unplaceable=trace.unplaceable.value if trace.unplaceable else None,
            status=status,
            outcome=outcome,
            half_closed=is_half_closed(request),
            first_ms=(
                round((delivery.first_at - started_at) * 1000)
                if delivery.first_at
                else None
            ),
            longest_gap_ms=round(delivery.longest_gap * 1000),
            total_ms=round((now - started_at) * 1000),
            prompt_tokens=sum(p.tokens for p in caller.parts) if caller else 0,
            read_tokens=round(trace.prefill_tokens),
            missed=_missed_objective(caller, delivery, started_at),
            last_event=caller.last_event if caller else "",
            resumes=caller.resumes if caller else "",
            versions=trace.versions,
        )

    async def _read_body(
        self, request: web.Request, caller: CallerRequest
    ) -> bytes:
        """Reads a request's body.

        Raises:
            FleetError: It is too large, there is no room for it, or it has not
                arrived by the deadline.
        """
        max_bytes = int(self.view.table.config.limits.max_body_bytes)
        try:
            async with timeout_after_input(caller.deadline_at):
                return await read_body(request, max_bytes)
        except TimeoutError:
            raise FleetError(
                failure(
                    FailureKind.REQUEST_TIMEOUT,
                    "the body did not arrive before the deadline; send it "
                    "again",
                )
            ) from None

    async def _serve(
        self,
        caller: CallerRequest,
        delivery: ResponseDelivery,
        trace: RequestTrace,
    ) -> web.StreamResponse:
        origin = await self._find_origin(caller)
        destinations = caller.route.weighted_destinations
        name = (
            origin.service
            if origin is not None
            else pick_destination(destinations, random.random()).service
        )
        service = self.view.table.services.get(name)
        if service is None:
            # The configuration changed while the origin was looked up.
            raise FleetError(unknown_stream_failure(True))
        budget = self._budget(name)
        budget.on_request()
        run = RequestRun(self.context, caller, delivery, trace, service, budget)
        if origin is not None:
            run.progress.version = origin.version
        try:
            async with timeout_after_input(caller.deadline_at):
                return await run.run_to_completion()
        except TimeoutError:
            raise FleetError(
                deadline_failure(run.progress.may_have_run)
            ) from None

    async def _find_origin(self, caller: CallerRequest) -> StreamOrigin | None:
        """Returns what began a stream that is resumed; None for others.

        Raises:
            FleetError: The stream must not be resumed.
        """
        is_stream = caller.route.request_kind is RequestKind.STREAM
        if not is_stream or not caller.last_event:
            return None
        services = [d.service for d in caller.route.weighted_destinations]
        return await self.context.origins.find(caller, services)

    def _budget(self, service: str) -> RetryBudget:
        share = (
            self.settings.retry_slack
            * RETRY_SLACK_SHARE
            / self.view.gateway_count
        )
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retry_ratio, share)
            self.budgets[service] = budget
        budget.burst = share
        return budget


def _owner(admitted: AdmittedRequest) -> str:
    """Returns for whom the bytes of a request are held.

    Callers of an open route can't be told apart; they share what is theirs.
    """
    if admitted.workspace is not None:
        return admitted.workspace.name
    return f"route {admitted.route.name}"


def _missed_objective(
    caller: CallerRequest | None, delivery: ResponseDelivery, started_at: float
) -> str | None:
    """Returns the objective that a response missed: first, gap or None."""
    if caller is None or not delivery.first_at:
        return None
    first_ms = (delivery.first_at - started_at) * 1000
    if 0 < caller.route.objective_ms < first_ms:
        return "first"
    gap_ms = delivery.longest_gap * 1000
    if 0 < caller.route.gap_objective_ms < gap_ms:
        return "gap"
    return None
