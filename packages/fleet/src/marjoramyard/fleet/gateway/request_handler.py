"""Handles callers' requests from admission to the response."""

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import aiohttp
from aiohttp import web

from marjoramyard.coordination.routing.config import Route
from marjoramyard.coordination.routing.table import pick_destination
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.admission import (
    AdmittedRequest,
    CallerRequest,
    admit,
    read_caller_request,
)
from marjoramyard.fleet.gateway.broker_client import BrokerClients
from marjoramyard.fleet.gateway.delivery import (
    CallerGoneError,
    ResponseDelivery,
)
from marjoramyard.fleet.gateway.early_refusal import (
    RequestHead,
    response_bytes,
)
from marjoramyard.fleet.gateway.engine_load import EngineLoads
from marjoramyard.fleet.gateway.overload import (
    ELSEWHERE_RETRY_SECONDS,
    ConcurrencyLimit,
)
from marjoramyard.fleet.gateway.peer_forwarding import (
    ForwardedRequest,
    ForwardingFailures,
    ForwardingPlan,
    PeerSelector,
    can_forward,
    closing_request,
)
from marjoramyard.fleet.gateway.request_run import (
    BUSY_RETRY_SECONDS,
    RequestRun,
    RequestRunContext,
)
from marjoramyard.fleet.gateway.request_trace import RequestTrace
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.jitter import jitter
from marjoramyard.fleet.util.rpc import failure_response
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    Outcome,
    failure,
    raise_failure,
)
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

RETRY_SLACK_SHARE = 0.8
"""Share of the fleet's retry slack that is distributed. The rest covers
restarted gateways, which get their part twice within a window."""
LOG_INTERVAL_SECONDS = 1.0
NEEDS_PEERS_SECONDS = 2.0
"""How long after an overload a gateway is told of others that have room, and
gets no requests of others itself."""
LEAVING_RETRY_SECONDS = 0.05
"""`Retry-After` while draining; the next connection reaches another gateway."""


class RequestHandler:
    """Handles requests of callers.

    Attributes:
        closes_connections: Whether to close connections after the response.
        is_full: Whether too many connections are in use.
        stops_at: When a draining gateway exits, on the event loop clock in
            seconds.
        is_refusing: Whether all requests are refused because of draining.
        limit: The limit on prompts in service.
        forwarding_limit: The limit on prompts being forwarded.
        overloaded_at: When a prompt was last beyond the limit, on the monotonic
            clock in seconds.
        peers: Chooses the gateways that prompts are forwarded to.
        forwarding_failures: Responses to forwarded prompts that got none.
        budgets: The retry budgets by service.
        active_count: Requests in progress.
        started_count: All requests so far.
    """

    def __init__(
        self,
        view: FleetView,
        session: aiohttp.ClientSession,
        brokers: BrokerClients,
        app: Application,
    ):
        self.view = view
        self.metrics = app.metrics
        self.settings = app.settings
        self.closes_connections: Callable[[], bool] = app.stopping.is_set
        self.is_full: Callable[[], bool] = lambda: False
        self.stops_at = float("inf")
        self.is_refusing = False
        self.names = view.dialect.headers
        self.context = RequestRunContext(
            view, session, brokers, EngineLoads(), self.names, app.metrics
        )
        self.limit = ConcurrencyLimit()
        self.forwarding_limit = ConcurrencyLimit()
        self.peers = PeerSelector()
        self.forwarding_failures = self._forwarding_failures()
        self.limit.lagging_share = brokers.lagging_share
        self.overloaded_at = float("-inf")
        brokers.needs_peers = self._needs_peers
        brokers.lag.on_wake_up.append(self.limit.on_wake_up)
        brokers.lag.on_wake_up.append(self.forwarding_limit.on_wake_up)
        self.budgets: dict[str, RetryBudget] = {}
        self.active_count = 0
        self.started_count = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one request of a caller."""
        self.active_count += 1
        self.started_count += 1
        delivery = ResponseDelivery(request, self.closes_connections)
        trace = RequestTrace()
        started_at = time.monotonic()
        caller: CallerRequest | None = None
        status, outcome = 0, "caller-left"
        try:
            self._refuse_if_unable()
            admitted = admit(request, self.view, self.names)
            with self._within_limit(admitted):
                caller = read_caller_request(request, admitted, self.names)
                self._refuse_if_outlasting_shutdown(caller)
                caller.body = await request.read()
                response = await self._serve(caller, delivery, trace)
            status, outcome = response.status, "complete"
            return response
        except FleetError as error:
            status, outcome = error.failure.kind.status, error.failure.code
            if delivery.has_started:
                delivery.abort()
                return delivery.response
            return self._failure_response(error.failure)
        except CallerGoneError:
            delivery.abort()
            return delivery.response
        finally:
            self.active_count -= 1
            self._log_request(
                request, caller, delivery, trace, started_at, status, outcome
            )

    def refuse_early(self, head: RequestHead) -> bytes | None:
        """Returns the response to a prompt beyond the limit, else None."""
        found = self._route_and_workspace(head)
        if found is None or self.limit.admits(found[1]):
            return None
        route, workspace = found
        kind = route.request_kind.value
        self.metrics.count(
            "requests", outcome=FailureKind.OVERLOADED.code, kind=kind
        )
        self.overloaded_at = time.monotonic()
        refused = self.limit.refuse(workspace)
        return response_bytes(self._failure_response(refused))

    def _route_and_workspace(
        self, head: RequestHead
    ) -> tuple[Route, str] | None:
        """Returns the route of a prompt and its workspace; "" on open routes.

        Returns None for other requests and for those that must be parsed to
        tell.
        """
        table = self.view.table
        if table is None or "%" in head.path or not self.view.has_valid_lease():
            return None
        path = head.path.partition("?")[0]
        route = table.route(head.header(b"host"), path)
        if route is None or not self._needs_engine(route):
            return None
        if not table.needs_keys or route.open_access:
            return route, ""
        key = head.header(self.names.api_key.lower().encode())
        workspace = table.workspace_of_key(key)
        return (route, workspace.name) if workspace is not None else None

    def _needs_peers(self) -> bool:
        """Whether prompts were refused or forwarded recently."""
        return time.monotonic() - self.overloaded_at < NEEDS_PEERS_SECONDS

    def start_forwarding(
        self, head: RequestHead, data: bytes, caller: asyncio.Transport
    ) -> ForwardedRequest | None:
        """Forwards a prompt beyond the limit to another gateway.

        Args:
            head: The head of the request.
            data: The bytes received so far, which begin with the head.
            caller: The connection of the caller.

        Returns:
            The forwarded request; None if no gateway has room for it.
        """
        found = self._route_and_workspace(head)
        if found is None or self.limit.admits(found[1]):
            return None
        self.overloaded_at = time.monotonic()
        if self.forwarding_limit.is_reached or not can_forward(head):
            return None
        now = asyncio.get_running_loop().time()
        peer = self.peers.choose(self.context.brokers.peers(), now)
        if not peer:
            return None
        plan = self._forwarding_plan(head, found[0], peer)
        forwarded = ForwardedRequest(plan, caller, self._on_forwarded)
        forwarded.send(closing_request(head, data))
        self.peers.on_started(peer)
        self.forwarding_limit.total += 1
        self.active_count += 1
        self.started_count += 1
        return forwarded

    def _forwarding_plan(
        self, head: RequestHead, route: Route, peer: str
    ) -> ForwardingPlan:
        text = head.header(self.names.deadline_ms.lower().encode())
        seconds = route.timeout_ms / 1000
        if text.isdigit():
            seconds = min(seconds, int(text) / 1000)
        return ForwardingPlan(
            peer,
            head.header(self.names.attempt.lower().encode()),
            seconds,
            self.forwarding_failures,
        )

    def _forwarding_failures(self) -> ForwardingFailures:
        def response(*arguments) -> bytes:
            rendered = self._failure_response(failure(*arguments))
            rendered.headers["Connection"] = "close"
            return response_bytes(rendered)

        return ForwardingFailures(
            response(
                FailureKind.OVERLOADED,
                "this gateway is overloaded; use another one",
                Outcome.NOT_RUN,
                ELSEWHERE_RETRY_SECONDS,
            ),
            response(
                FailureKind.ENDPOINT_LOST,
                "the gateway that served the request was lost; check the "
                "result before sending it again",
                Outcome.UNKNOWN,
            ),
            response(
                FailureKind.DEADLINE,
                "no response before the deadline; the request may have run",
                Outcome.UNKNOWN,
            ),
        )

    def _on_forwarded(self, request: ForwardedRequest, outcome: str) -> None:
        now = asyncio.get_running_loop().time()
        self.peers.on_ended(request.plan.peer)
        if not request.is_sent and outcome == "not-sent":
            self.peers.avoid(request.plan.peer, now)
        self.forwarding_limit.total -= 1
        self.active_count -= 1
        self.metrics.count("forwarded_requests", outcome=outcome)
        logger.info(
            "request_forwarded",
            id=request.plan.attempt,
            peer=request.plan.peer,
            outcome=outcome,
            response_bytes=request.response_bytes,
            total_ms=round((now - request.started_at) * 1000),
        )

    def _needs_engine(self, route: Route) -> bool:
        services = self.view.table.services
        return any(
            services[destination.service].engine is not None
            for destination in route.weighted_destinations
        )

    def _within_limit(
        self, admitted: AdmittedRequest
    ) -> AbstractContextManager[None]:
        """Counts prompts against the limit; other requests are exempt."""
        if not self._needs_engine(admitted.route):
            return nullcontext()
        workspace = admitted.workspace
        return self.limit.admit(workspace.name if workspace else "")

    async def log_overload_forever(self) -> None:
        """Logs the prompts that were refused by the limit, once a second."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            refused = self.limit.pop_refused_counts()
            if refused:
                logger.info(
                    "gateway_overloaded",
                    limit=round(self.limit.limit),
                    active=self.limit.total,
                    refused=refused.total(),
                    most_of=refused.most_common(1)[0][0],
                )

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

    def _refuse_if_outlasting_shutdown(self, caller: CallerRequest) -> None:
        """Refuses, while draining, requests that may outlast the process.

        A long stream would be cut off at the end of the grace period; refused
        at once, it starts on another gateway.
        """
        if caller.deadline_at > self.stops_at:
            raise_failure(
                FailureKind.LEAVING,
                "this gateway shuts down before the deadline; use another one",
                retry_after=LEAVING_RETRY_SECONDS,
            )

    def _failure_response(self, reason: Failure) -> web.Response:
        response = failure_response(reason)
        exact = self.view.dialect.fractional_retry_after
        if exact and reason.retry_after is not None:
            response.headers["Retry-After"] = f"{reason.retry_after:.2f}"
        return response

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
            placed_by=trace.placed_by.value if trace.placed_by else None,
            wait_ms=round(trace.wait_ms),
            predicted_ms=trace.predicted_ms,
            status=status,
            outcome=outcome,
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
        )

    async def _serve(
        self,
        caller: CallerRequest,
        delivery: ResponseDelivery,
        trace: RequestTrace,
    ) -> web.StreamResponse:
        destination = pick_destination(
            caller.route.weighted_destinations, random.random()
        )
        budget = self._budget(destination.service)
        budget.on_request()
        service = self.view.table.services[destination.service]
        run = RequestRun(self.context, caller, delivery, trace, service, budget)
        try:
            async with asyncio.timeout_at(caller.deadline_at):
                return await run.run_to_completion()
        except TimeoutError:
            raise FleetError(run.deadline_failure()) from None

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
