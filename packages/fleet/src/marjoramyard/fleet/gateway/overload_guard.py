"""Refuses or forwards prompts beyond the limit, before they are parsed."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
from aiohttp import web

from marjoramyard.coordination.routing.config import Route
from marjoramyard.fleet.gateway.balancing import Decision
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.demand import GatewayDemand
from marjoramyard.fleet.gateway.dialect import GatewayDialect
from marjoramyard.fleet.gateway.early_refusal import RequestHead
from marjoramyard.fleet.gateway.peer_connections import PeerConnections
from marjoramyard.fleet.gateway.peer_forwarding import (
    ForwardedRequest,
    ForwardingFailures,
    ForwardingPlan,
    PeerSelector,
    can_forward,
    can_keep_connection,
    closing_request,
    keeping_request,
)
from marjoramyard.fleet.gateway.run_failures import LEAVING_RETRY_SECONDS
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.raw_responses import response_bytes
from marjoramyard.fleet.util.rpc import failure_response
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    Outcome,
    failure,
)
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.numbers import read_number

logger = get_logger(__name__)

LOG_INTERVAL_SECONDS = 1.0
LOGGED_PEERS = 4
"""How many of the peers that got the most prompts are logged."""
UNREACHABLE_RETRY_SECONDS = 0.1
"""`Retry-After` of a prompt whose peer could not be reached; the next one goes
to another peer."""


class OverloadGuard:
    """Protects a gateway from more prompts than its processor can serve.

    Attributes:
        demand: The prompts relative to the processor of this gateway.
        limit: The limit on prompts in service.
        forwarding_limit: The limit on prompts being forwarded.
        peers: Chooses the gateways that prompts are forwarded to.
        connections: Connections to peers that are kept for the next prompt.
        refused: The last checked prompt if it is to be refused.
        peer_count: How many gateways had room for the last prompt that was
            checked.
        forwarding_failures: Responses to forwarded prompts that got none.
        forwarded: The prompts that are being forwarded.
        on_started: Called when a prompt starts to be forwarded.
        on_ended: Called when a forwarded prompt has ended.
    """

    def __init__(
        self, view: FleetView, brokers: BrokerClients, metrics: Metrics
    ):
        self.view = view
        self.names = view.dialect.headers
        self.brokers = brokers
        self.metrics = metrics
        self.demand = GatewayDemand()
        self.limit = self.demand.limit
        self.forwarding_limit = self.demand.forwarding_limit
        self.peers = PeerSelector()
        self.connections = PeerConnections()
        self.refused: RequestHead | None = None
        self.peer_count = 0
        self.forwarding_failures = _forwarding_failures(view.dialect)
        self.forwarded: set[ForwardedRequest] = set()
        self.on_started: Callable[[], None] = lambda: None
        self.on_ended: Callable[[], None] = lambda: None
        brokers.needs_peers = lambda: self.demand.is_checked
        brokers.excess = lambda: self.demand.excess.rate
        brokers.lag.on_wake_up.append(self.demand.on_wake_up)

    @contextmanager
    def admit(self, workspace: str) -> Iterator[None]:
        """Counts a prompt while it is in service.

        Raises:
            FleetError: The limit is reached; the prompt has not run.
        """
        if not self.limit.admits(workspace):
            self.demand.note_excess()
        with self.limit.admit(workspace):
            yield

    def refuse_early(self, head: RequestHead) -> bytes | None:
        """Returns the response to a prompt beyond the limit, else None."""
        found = self._route_and_workspace(head)
        if found is None:
            return None
        route, workspace = found
        if head is not self.refused and self.limit.admits(workspace):
            return None
        kind = route.request_kind.value
        self.metrics.count(
            "requests", outcome=FailureKind.OVERLOADED.code, kind=kind
        )
        self.demand.note_excess()
        refused = self.limit.refuse(workspace)
        return response_bytes(render_failure(refused, self.view.dialect))

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
        if route is None or not needs_engine(self.view, route):
            return None
        if not table.needs_keys or route.open_access:
            return route, ""
        key = head.header(self.names.api_key.lower().encode())
        workspace = table.workspace_of_key(key)
        return (route, workspace.name) if workspace is not None else None

    def forwarded_count(self) -> int:
        """Returns the number of prompts that are being forwarded."""
        return self.forwarding_limit.total

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
        if found is None:
            return None
        route, workspace = found
        peers = self.brokers.peers()
        self.peer_count = len(peers)
        decision = self.demand.decide(workspace, bool(peers))
        self.refused = head if decision is Decision.REFUSE else None
        if decision is Decision.SERVE:
            self._expect(workspace)
        if decision is not Decision.FORWARD or not can_forward(head):
            return None
        now = asyncio.get_running_loop().time()
        peer = self.peers.choose(peers, now, peers)
        if not peer:
            return None
        plan = self._forwarding_plan(head, route, workspace, peer)
        forwarded = self._send(plan, head, data, caller)
        self.forwarded.add(forwarded)
        self.peers.on_started(peer)
        self.demand.on_forwarded(workspace, peer)
        self.on_started()
        return forwarded

    def _expect(self, workspace: str) -> None:
        """Counts a prompt until its handler has had time to count it."""
        self.demand.expect(workspace)
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self.demand.unexpect, workspace)

    def _send(
        self,
        plan: ForwardingPlan,
        head: RequestHead,
        data: bytes,
        caller: asyncio.Transport,
    ) -> ForwardedRequest:
        if not can_keep_connection(head):
            forwarded = ForwardedRequest(plan, caller, self._on_forwarded)
            forwarded.send(closing_request(head, data))
            return forwarded
        request = keeping_request(head, data)
        size = len(request) + head.size - len(data)
        forwarded = ForwardedRequest(
            msgspec.structs.replace(plan, request_size=size),
            caller,
            self._on_forwarded,
            self.connections,
        )
        forwarded.send(request)
        return forwarded

    def _forwarding_plan(
        self, head: RequestHead, route: Route, workspace: str, peer: str
    ) -> ForwardingPlan:
        text = head.header(self.names.deadline_ms.lower().encode())
        seconds = route.timeout_ms / 1000
        stated_ms = read_number(text)
        if stated_ms is not None:
            seconds = max(0.0, min(seconds, stated_ms / 1000))
        return ForwardingPlan(
            peer,
            head.header(self.names.attempt.lower().encode()),
            seconds,
            self.forwarding_failures,
            workspace,
        )

    def refuse_outlasting(self, stops_at: float) -> None:
        """Refuses forwarded prompts that may outlast this gateway.

        Only those of which a part is missing: they have not run.

        Args:
            stops_at: When the others are ended, on the event loop clock.
        """
        for request in list(self.forwarded):
            if request.is_partial and request.deadline_at > stops_at:
                request.refuse()

    def end_forwarded(self) -> None:
        """Ends all forwarded prompts with a response, as the gateway stops."""
        for request in list(self.forwarded):
            request.stop()

    def _on_forwarded(self, request: ForwardedRequest, outcome: str) -> None:
        now = asyncio.get_running_loop().time()
        self.forwarded.discard(request)
        self.peers.on_ended(request.plan.peer)
        if not request.is_sent and outcome == "not-sent":
            self.peers.avoid(request.plan.peer, now)
        self.demand.on_ended(request.plan.workspace)
        self.on_ended()
        self.metrics.count("forwarded_requests", outcome=outcome)
        logger.info(
            "request_forwarded",
            id=request.plan.attempt,
            peer=request.plan.peer,
            outcome=outcome,
            response_bytes=request.response.size,
            half_closed=request.is_half_closed,
            total_ms=round((now - request.started_at) * 1000),
        )

    async def log_refusals_forever(self) -> None:
        """Logs what became of the prompts of an overload, once a second."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            refused = self.limit.pop_refused_counts()
            forwarded = self.demand.pop_forwarded_counts()
            started = self.limit.pop_started_count()
            if refused or forwarded:
                self._log_overload(refused, forwarded, started)

    def _log_overload(
        self, refused: Counter[str], forwarded: Counter[str], started: int
    ) -> None:
        logger.info(
            "gateway_overloaded",
            limit=_rounded(self.limit.limit),
            active=self.limit.total,
            own_limit=_rounded(self.demand.policy.own_limit),
            processor_share=round(self.demand.processor_share, 2),
            forwarding_limit=_rounded(self.forwarding_limit.limit),
            forwarded=self.forwarding_limit.total,
            peers=self.peer_count,
            served_started=started,
            forwarded_started=forwarded.total(),
            forwarded_to=dict(forwarded.most_common(LOGGED_PEERS)),
            refused=refused.total(),
            most_of=_most_common(refused or self.forwarding_limit.active),
        )


def _most_common(counts: Counter[str]) -> str:
    return counts.most_common(1)[0][0] if counts else ""


def _rounded(limit: float) -> int | None:
    """Returns a limit for the log; None if there is none yet."""
    return round(limit) if math.isfinite(limit) else None


def needs_engine(view: FleetView, route: Route) -> bool:
    """Whether requests of a route are prompts for engines."""
    services = view.table.services
    return any(
        services[destination.service].engine is not None
        for destination in route.weighted_destinations
    )


def render_failure(reason: Failure, dialect: GatewayDialect) -> web.Response:
    """Returns the response for a failure, as callers of a dialect expect it."""
    response = failure_response(reason)
    if dialect.fractional_retry_after and reason.retry_after is not None:
        response.headers["Retry-After"] = f"{reason.retry_after:.2f}"
    return response


def _forwarding_failures(dialect: GatewayDialect) -> ForwardingFailures:
    def response(*arguments) -> bytes:
        rendered = render_failure(failure(*arguments), dialect)
        rendered.headers["Connection"] = "close"
        return response_bytes(rendered)

    return ForwardingFailures(
        response(
            FailureKind.OVERLOADED,
            "this gateway is overloaded; retry shortly",
            Outcome.NOT_RUN,
            UNREACHABLE_RETRY_SECONDS,
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
        response(
            FailureKind.LEAVING,
            "this gateway shuts down before the deadline; use another one",
            Outcome.NOT_RUN,
            LEAVING_RETRY_SECONDS,
        ),
    )
