"""The gateway role: sets up and runs the parts of a gateway."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    nullcontext,
)

from aiohttp import web

from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.broker_client import ForwardingInfo
from marjoramyard.fleet.gateway.broker_clients import (
    BrokerClients,
    open_broker_session,
)
from marjoramyard.fleet.gateway.broker_protocol import BROKER_PATH
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cache_lists import CacheLists
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.config_fetcher import ConfigFetcher
from marjoramyard.fleet.gateway.connections import CallerConnections
from marjoramyard.fleet.gateway.control_sync import ControlSync
from marjoramyard.fleet.gateway.crash_detection import CrashDetector
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.early_refusal import EarlyRefusal
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.request_handler import RequestHandler
from marjoramyard.fleet.gateway.stream_origins import StreamOrigins
from marjoramyard.fleet.gateway.suspect_reports import (
    ATTEMPT_SECONDS,
    SuspectReports,
)
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.gateway.version_confirmations import (
    VersionConfirmations,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.endpoint_session import open_endpoint_session
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.descriptors import usable_descriptors

logger = get_logger(__name__)

LEASE_MARGIN_SECONDS = 0.5
"""Subtracted from the time within which a revoked key must be refused. Covers
the time from admission until the request reaches its endpoint."""
BALANCER_NOTICE_SECONDS = 2.6
"""Time for the load balancer, which checks once a second, to miss two readiness
checks."""
IDLE_SECONDS = 16.0
"""Keep-alive timeout. Longer than callers keep idle connections (12 s), so that
the gateway does not close one on which a request is being sent."""
QUIET_POLLS = 6
"""Consecutive polls without a request that is served after which draining ends.
Polls are counted because the event loop may be late. Requests that are refused
don't prolong it: callers that come back at once would make it last until its
time is over."""
_DRAIN_POLL_SECONDS = 0.05


class GatewayRole:
    """Serves callers, and drains before the process exits.

    Attributes:
        connections: The connections of callers.
    """

    def __init__(self, app: Application, view: FleetView, handler):
        self.app = app
        self.settings = app.settings
        self.view = view
        self.handler = handler
        self.connections = CallerConnections(
            usable_descriptors(self.settings.max_descriptors)
        )
        handler.closes_connections = self.sheds_connections
        self.connections.forwarded_count = handler.guard.forwarded_count
        handler.is_full = lambda: self.connections.is_full
        app.signalled_before = handler.context.brokers.lag.up_to_date_until

    def is_ready(self) -> bool:
        """Whether there is a configuration and the lease is valid."""
        return self.view.table is not None and self.view.has_valid_lease()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles a request; closes the connection after it while draining."""
        busy = self.connections.busy
        busy.add(request.protocol)
        try:
            response = await self.handler.handle(request)
        finally:
            busy.discard(request.protocol)
        if self.sheds_connections() and not response.prepared:
            response.force_close()
        return response

    async def handle_forwarded(
        self, request: web.Request
    ) -> web.StreamResponse:
        """Handles a request that another gateway has forwarded.

        The other gateway keeps the connection unless this one closes it.
        """
        response = await self.handler.handle(request)
        if self.sheds_connections() and not response.prepared:
            response.force_close()
        return response

    def wrap_connection(
        self, inner: asyncio.Protocol, is_idle: Callable[[], bool]
    ) -> asyncio.Protocol:
        """Adds early refusal to a caller's connection."""
        return EarlyRefusal(
            inner,
            is_idle,
            self._refuses_early,
            self.handler.guard.refuse_early,
            self.sheds_connections,
            self.handler.guard.start_forwarding,
        )

    def _refuses_early(self) -> bool:
        is_stopping = self.app.stopping.is_set()
        return self.handler.guard.demand.is_checked and not is_stopping

    def sheds_connections(self) -> bool:
        """Whether connections are closed after the response.

        While this gateway is not ready because of its load, the load balancer
        directs the callers' next connections to other gateways.
        """
        overloaded = self.handler.guard.limit.is_overloaded_by_one
        return overloaded or self.closes_connections()

    def closes_connections(self) -> bool:
        """Whether this gateway is stopping or has too many connections."""
        return self.app.stopping.is_set() or self.connections.is_crowded

    async def readyz(self, _: web.Request) -> web.Response:
        """Answers the load balancer's readiness check."""
        ready = (
            self.is_ready()
            and not self.app.stopping.is_set()
            and not self.handler.guard.limit.is_overloaded_by_one
        )
        return web.Response(status=200 if ready else 503)

    async def drain(self) -> None:
        """Stops accepting requests and waits for those in progress.

        The readiness check fails first. After the load balancer has had time to
        notice, new requests are refused and idle connections closed: kept open,
        they would bring requests until the process is killed.
        """
        loop = asyncio.get_running_loop()
        end = self.app.ends_at
        self.handler.outlasting.stop(end)
        self.handler.guard.refuse_outlasting(end)
        notice_end = self.app.stopped_at + BALANCER_NOTICE_SECONDS
        try:
            await asyncio.sleep(min(notice_end, end) - loop.time())
            self.handler.is_refusing = True
            await self._wait_until_quiet(end)
        finally:
            logger.info(
                "drained",
                in_progress=self.handler.active_count,
                seconds=round(self.app.stopping_seconds(), 2),
            )
            # A late event loop may have cancelled the drain.
            self.handler.guard.end_forwarded()

    async def _wait_until_quiet(self, end: float) -> None:
        """Closes idle connections until nothing is served any more.

        Args:
            end: When to return in any case, on the event loop clock.
        """
        loop = asyncio.get_running_loop()
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS and loop.time() < end:
            started_count = self.handler.started_count
            self.connections.close_idle()
            await asyncio.sleep(_DRAIN_POLL_SECONDS)
            if (
                self.handler.active_count
                or self.handler.started_count != started_count
            ):
                quiet_polls = 0
            else:
                quiet_polls += 1


@asynccontextmanager
async def gateway_role(app: Application) -> AsyncIterator[GatewayRole]:
    """Runs the gateway role."""
    settings = app.settings
    dialect = GATEWAY_DIALECTS.get(settings.dialect)
    lease_seconds = settings.revoke_ms / 1000 - LEASE_MARGIN_SECONDS
    view = FleetView(dialect, lease_seconds)
    async with (
        open_endpoint_session(app.metrics) as session,
        open_broker_session() as to_brokers,
    ):
        brokers = BrokerClients(
            app.tasks,
            view,
            to_brokers,
            app.metrics,
            settings.zone,
            ForwardingInfo(
                settings.forwarding_address(), settings.processor_cores
            ),
        )
        brokers.is_leaving = app.stopping.is_set
        view.age.late_seconds = brokers.lag.late_seconds
        brokers.lag.on_wake_up.append(view.age.on_wake_up)
        cold_starts = ColdStarts(
            view, settings.cold_overrun, settings.cold_slack
        )
        notices = EndpointNotices(view, brokers, dialect.headers.leaving)
        to_leader = ControlClient(
            app.client, settings.seed_addresses(), ATTEMPT_SECONDS
        )
        to_leader.known_leader = lambda: view.leader_address
        reports = SuspectReports(
            to_leader,
            app.tasks,
            str(app.incarnation),
            lambda: view.control_addresses,
        )
        suspects = GatewaySuspects(view, reports, app.tasks, app.metrics)
        crashes = CrashDetector(view, suspects, app.tasks)
        confirmations = VersionConfirmations(
            view, to_leader, app.tasks, app.metrics
        )
        origins = StreamOrigins(view, brokers, confirmations, app.metrics)
        handler = RequestHandler(
            view, session, brokers, cold_starts, notices, crashes, origins, app
        )
        broker_server = BrokerServer(
            view,
            cold_starts,
            CacheLists(
                session,
                app.tasks,
                dialect.cache_list,
                view,
                notices,
                app.held_bytes,
            ),
        )
        app.metrics.gauge(
            "broker_wait_seconds", broker_server.mean_wait_seconds
        )
        app.metrics.gauge("broker_requests", broker_server.request_counts)
        app.metrics.gauge(
            "broker_snapshot_holders", broker_server.handovers.holder_counts
        )
        app.tasks.spawn_forever(broker_server.send_heartbeats_forever)
        app.tasks.spawn_forever(broker_server.log_load_forever)
        app.tasks.spawn_forever(handler.guard.log_refusals_forever)
        role = GatewayRole(app, view, handler)
        demand = handler.guard.demand
        demand.cores = settings.processor_cores
        demand.max_forwarded = role.connections.max_forwarded
        demand.max_outgoing = role.connections.max_outgoing
        demand.free_callers = lambda: role.connections.free_count
        fetcher = ConfigFetcher(app.client, view, settings.zone)
        async with (
            app.serve(
                settings.internal, [web.get(BROKER_PATH, broker_server.serve)]
            ),
            app.serve(
                settings.ready_listen,
                [web.get(dialect.ready_path, role.readyz)],
                internal=False,
                health=False,
            ),
            _serve_forwarded(app, role),
            app.serve(
                settings.listen,
                [web.route("*", "/{path:.*}", role.handle)],
                internal=False,
                health=False,
                keepalive=IDLE_SECONDS,
                wrapper=role.wrap_connection,
                answers_half_closed=True,
            ) as listener,
        ):
            role.connections.listener = listener
            # The other hosts hear of this gateway once it can be called.
            app.tasks.spawn_forever(fetcher.run)
            app.tasks.spawn_forever(ControlSync(app, view, fetcher).run)
            app.tasks.spawn_forever(role.connections.keep_within_limit)
            yield role
            handler.guard.connections.close()


def _serve_forwarded(
    app: Application, role: GatewayRole
) -> AbstractAsyncContextManager:
    """Serves requests that other gateways forward, if settings allow it."""
    address = app.settings.forwarding_address()
    if not address:
        return nullcontext()
    return app.serve(
        address,
        [web.route("*", "/{path:.*}", role.handle_forwarded)],
        internal=False,
        health=False,
    )


def setup(app: Application) -> None:
    """Registers the gateway role."""
    app.add_role("gateway", gateway_role)
