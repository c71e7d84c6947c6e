"""Serves a caller's request: chooses, sends, repeats, answers."""

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
from marjoramyard.fleet.gateway.admitting import (
    CallerRequest,
    Claim,
    check_claim,
    read_head,
)
from marjoramyard.fleet.gateway.broker_link import BrokerLinks
from marjoramyard.fleet.gateway.delivery import CallerGoneError, Delivery
from marjoramyard.fleet.gateway.early_refusal import (
    RequestHead,
    response_bytes,
)
from marjoramyard.fleet.gateway.loads import Loads
from marjoramyard.fleet.gateway.overload import ServingLimit
from marjoramyard.fleet.gateway.runs import (
    FULL_RETRY_SECONDS,
    Run,
    RunTools,
)
from marjoramyard.fleet.gateway.story import Story
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.rpc import failure_response
from marjoramyard.fleet.util.spread import spread
from marjoramyard.kernel.errors import Failure, FleetError, Kind, raise_failure
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

SLACK_SHARE = 0.8
"""How much of the fleet's retry slack is given out; the rest covers
gateways that restart and so get their part twice within a window."""
REPORT_SECONDS = 1.0
LEAVING_RETRY_SECONDS = 0.05
"""The caller's next connection reaches another gateway."""


class Dispatcher:
    """Serves requests with what the gateway knows of the fleet."""

    def __init__(
        self,
        view: FleetView,
        session: aiohttp.ClientSession,
        brokers: BrokerLinks,
        app: Application,
    ):
        self.view = view
        self.metrics = app.metrics
        self.settings = app.settings
        self.closes_connections: Callable[[], bool] = app.stopping.is_set
        self.is_full: Callable[[], bool] = lambda: False
        self.ends_at = float("inf")
        self.refuses = False
        self.names = view.dialect.headers
        self.tools = RunTools(
            view, session, brokers, Loads(), self.names, app.metrics
        )
        self.limit = ServingLimit()
        brokers.lag.on_wake_up.append(self.limit.on_wake_up)
        self.budgets: dict[str, RetryBudget] = {}
        self.active = 0
        self.begun = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serves one request of a caller."""
        self.active += 1
        self.begun += 1
        delivery = Delivery(request, self.closes_connections)
        story = Story()
        began = time.monotonic()
        caller: CallerRequest | None = None
        status, why = 0, "caller-left"
        try:
            self._refuse_if_unable()
            claim = check_claim(request, self.view, self.names)
            with self._within_limit(claim):
                caller = read_head(request, claim, self.names)
                self._refuse_if_too_long(caller)
                caller.body = await request.read()
                response = await self._serve(caller, delivery, story)
            status, why = response.status, "complete"
            return response
        except FleetError as error:
            status, why = error.failure.kind.status, error.failure.code
            if delivery.has_begun:
                delivery.cut()
                return delivery.response
            return self._refusal(error.failure)
        except CallerGoneError:
            delivery.cut()
            return delivery.response
        finally:
            self.active -= 1
            self._note(request, caller, delivery, story, began, status, why)

    def refuse_early(self, head: RequestHead) -> bytes | None:
        """Returns the response to a prompt beyond the limit."""
        table = self.view.table
        if table is None or "%" in head.path or not self.view.lease_holds():
            return None
        path = head.path.partition("?")[0]
        route = table.route(head.header(b"host"), path)
        if route is None or not self._needs_engine(route):
            return None
        name = ""
        if table.needs_keys and not route.open_access:
            key = head.header(self.names.api_key.lower().encode())
            workspace = table.workspace_of_key(key)
            if workspace is None:
                return None
            name = workspace.name
        if self.limit.admits(name):
            return None
        kind = route.request_kind.value
        self.metrics.count("requests", outcome=Kind.OVERLOADED.code, kind=kind)
        return response_bytes(self._refusal(self.limit.refusal(name)))

    def _needs_engine(self, route: Route) -> bool:
        services = self.view.table.services
        return any(
            services[destination.service].engine is not None
            for destination in route.weighted_destinations
        )

    def _within_limit(self, claim: Claim) -> AbstractContextManager[None]:
        """Counts a prompt against the limit; others are served in no time."""
        if not self._needs_engine(claim.route):
            return nullcontext()
        workspace = claim.workspace
        return self.limit.serving(workspace.name if workspace else "")

    async def report_overload_forever(self) -> None:
        """Logs what was refused for want of processor here."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            refused = self.limit.take_refused()
            if refused:
                logger.info(
                    "gateway_overloaded",
                    limit=round(self.limit.limit),
                    active=self.limit.total,
                    refused=refused.total(),
                    most_of=refused.most_common(1)[0][0],
                )

    def _refuse_if_unable(self) -> None:
        """Refuses what can't be seen through here, before it is read."""
        if self.refuses:
            raise_failure(
                Kind.LEAVING,
                "this gateway is shutting down; send it to another one",
                retry_after=LEAVING_RETRY_SECONDS,
            )
        if self.is_full():
            raise_failure(
                Kind.BUSY,
                "this gateway has too many requests; send it to another one",
                retry_after=spread(FULL_RETRY_SECONDS),
            )

    def _refuse_if_too_long(self, caller: CallerRequest) -> None:
        """Refuses, while leaving, what might not end before the process.

        A long stream that is taken after SIGTERM would be cut at the end of
        the grace; refused at once, it begins elsewhere within a round trip.
        """
        if caller.give_up_at > self.ends_at:
            raise_failure(
                Kind.LEAVING,
                "this gateway ends too soon for it; send it to another one",
                retry_after=LEAVING_RETRY_SECONDS,
            )

    def _refusal(self, reason: Failure) -> web.Response:
        response = failure_response(reason)
        exact = self.view.dialect.fractional_retry_after
        if exact and reason.retry_after is not None:
            response.headers["Retry-After"] = f"{reason.retry_after:.2f}"
        return response

    def _note(
        self, request, caller, delivery, story, began, status, why
    ) -> None:
        now = time.monotonic()
        kind = caller.route.request_kind.value if caller else "none"
        self.metrics.count("requests", outcome=why, kind=kind)
        if why == Kind.OVERLOADED.code:
            # Their lines would take more processor than refusing them.
            return
        self.metrics.observe("request_seconds", now - began, kind=kind)
        logger.info(
            "request",
            id=request.headers.get(self.names.attempt, ""),
            route=caller.route.name if caller else "",
            workspace=(
                caller.workspace.name if caller and caller.workspace else ""
            ),
            config=self.view.version,
            sends=story.sends,
            placed_by=story.placed_by.value if story.placed_by else None,
            wait_ms=round(story.wait_ms),
            predicted_ms=story.predicted_ms,
            status=status,
            outcome=why,
            first_ms=(
                round((delivery.first_at - began) * 1000)
                if delivery.first_at
                else None
            ),
            longest_gap_ms=round(delivery.longest_gap * 1000),
            total_ms=round((now - began) * 1000),
            prompt_tokens=sum(p.tokens for p in caller.parts) if caller else 0,
            read_tokens=round(story.read_tokens),
            missed=_missed(caller, delivery, began),
        )

    async def _serve(
        self, caller: CallerRequest, delivery: Delivery, story: Story
    ) -> web.StreamResponse:
        destination = pick_destination(
            caller.route.weighted_destinations, random.random()
        )
        budget = self._budget(destination.service)
        budget.on_request()
        service = self.view.table.services[destination.service]
        run = Run(self.tools, caller, delivery, story, service, budget)
        try:
            async with asyncio.timeout_at(caller.give_up_at):
                return await run.to_end()
        except TimeoutError:
            raise FleetError(run.at_deadline()) from None

    def _budget(self, service: str) -> RetryBudget:
        share = self.settings.retry_slack * SLACK_SHARE / self.view.gateways
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retry_ratio, share)
            self.budgets[service] = budget
        budget.burst = share
        return budget


def _missed(
    caller: CallerRequest | None, delivery: Delivery, began: float
) -> str | None:
    """Names the objective that an answer missed, for its log line."""
    if caller is None or not delivery.first_at:
        return None
    first_ms = (delivery.first_at - began) * 1000
    if 0 < caller.route.objective_ms < first_ms:
        return "first"
    gap_ms = delivery.longest_gap * 1000
    if 0 < caller.route.gap_objective_ms < gap_ms:
        return "gap"
    return None
